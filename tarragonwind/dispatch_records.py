"""Keep what a host knows of its permits until their dispatches end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from tarragonwind.core.answered_parts import AnsweredParts
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import RouteEntry, UpstreamState
from tarragonwind.core.homes import ANY_REGION, Homes
from tarragonwind.core.move_trials import Trial
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.pool_owners import PoolOwners
from tarragonwind.core.pool_usages import UNLIMITED_S, PoolUsage
from tarragonwind.core.schedulers import SchedulingRequest
from tarragonwind.records import dataclass


@dataclass(slots=True)
class DispatchRecord:
    """Keep the request, the version and the trial of a permit until its dispatch ends."""

    request: SchedulingRequest
    version: str
    trial: Trial | None = None


class DispatchRecords:
    """Hold the records of all permits of this host, by permit id."""

    __slots__ = ("_answered", "_records")

    def __init__(self) -> None:
        self._records: dict[int, DispatchRecord] = {}
        self._answered = AnsweredParts()

    def add(self, permit_id: int, request: SchedulingRequest, version: str) -> None:
        """Add the record of a granted permit."""
        self._records[permit_id] = DispatchRecord(request, version)

    def find(self, permit_id: int) -> DispatchRecord | None:
        """Return the record of a permit, None if its dispatch has ended."""
        return self._records.get(permit_id)

    def pop(self, permit_id: int) -> DispatchRecord | None:
        """Remove the record of a permit and return it, None if there is none."""
        return self._records.pop(permit_id, None)

    def homes(self, permit_id: int) -> Homes:
        """Return the homes of a permit's request."""
        record = self._records.get(permit_id)
        return record.request.homes if record is not None else ANY_REGION

    def versions(self, pool: str) -> Counter[str]:
        """Return the number of a pool's permits by version."""
        return Counter(
            record.version for record in self._records.values() if record.request.pool == pool
        )

    def later_parts(
        self, now: float, permit_id: int, outcome: Outcome, tokens: int
    ) -> Sequence[int]:
        """Return the parts beyond those of a permit's request that its owner has to learn of.

        Parameters
        ----------
        now : float
            Time in seconds.
        permit_id : int
            Permit whose dispatch has ended.
        outcome : Outcome
            Result of the dispatch.
        tokens : int
            Tokens that the upstream generated.
        """
        record = self._records.get(permit_id)
        if record is None or not record.request.later_parts:
            return ()
        if outcome is Outcome.CONNECTION_LOST:
            return record.request.later_parts
        if outcome is Outcome.OK or tokens > 0:
            return self._answered.select(now, record.request.later_parts)
        return ()


class SchedulerUsage(PoolUsage):
    """Tell how versions are used, from the records, owners and catalogue of this host.

    Parameters
    ----------
    records : DispatchRecords
        Permits that requests of this host hold.
    owners : PoolOwners
        Owners of pools on this host.
    """

    def __init__(self, records: DispatchRecords, owners: PoolOwners) -> None:
        self._records = records
        self._owners = owners
        self._catalogue = Catalogue()
        self._time_limits: dict[str, float] = {}

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue."""
        self._catalogue = catalogue
        self._time_limits = find_time_limits(catalogue)

    def held(self, pool: str) -> Counter[str]:
        """Return the number of permits that requests of this host hold, by version."""
        return self._records.versions(pool)

    def granted(self, pool: str) -> Counter[str]:
        """Return the number of permits in use or about to be at the pool's owner, by version."""
        owner = self._owners.owner(pool)
        return owner.permits_by_version() if owner is not None and owner.active else Counter()

    def live_slots(self, pool: str) -> Counter[str]:
        """Return the slots of the pool's live upstreams, by version."""
        slots: Counter[str] = Counter()
        for entry in self._catalogue.upstreams_of(pool):
            if entry.state is UpstreamState.LIVE:
                slots[entry.version] += entry.slots
        return slots

    def time_limit_s(self, pool: str) -> float:
        """Return the longest time that a request of the pool may take, in seconds."""
        return self._time_limits.get(pool, UNLIMITED_S)


def find_time_limits(catalogue: Catalogue) -> dict[str, float]:
    """Return the longest time that a request may take, by pool, in seconds."""
    limits: dict[str, float] = {}
    for route in catalogue.contents("route").values():
        if isinstance(route, RouteEntry):
            limit_s = route.answer_timeout_s or UNLIMITED_S
            for pool in [route.pool, *(share.pool for share in route.shares)]:
                limits[pool] = max(limits.get(pool, 0.0), limit_s)
    return limits
