"""Limit what organisations and routes have in progress and how often organisations ask."""

from __future__ import annotations

from dataclasses import dataclass, field

from tarragonwind.core.entries import OrganisationEntry, RouteEntry
from tarragonwind.errors import ErrorKind, RequestError

BURST_S = 1.0
"""Unused rate that an organisation may save up, in seconds."""

DURATION_WEIGHT = 0.1
"""Weight of one request in the running mean of durations."""

MIN_RETRY_AFTER_S = 0.1
"""Shortest time to come back that is given, in seconds."""


@dataclass(slots=True)
class _TokenBucket:
    """Admit a sustained rate with a bounded burst."""

    filled_at: float
    tokens: float

    def fill(self, now: float, rate_per_s: float) -> None:
        burst = max(1.0, rate_per_s * BURST_S)
        self.tokens = min(burst, self.tokens + max(0.0, now - self.filled_at) * rate_per_s)
        self.filled_at = now


@dataclass(slots=True)
class _InProgress:
    """Count requests in progress and average how long they take."""

    count: int = 0
    mean_duration_s: float = 1.0

    def end_one(self, duration_s: float) -> None:
        self.count -= 1
        self.mean_duration_s += DURATION_WEIGHT * (duration_s - self.mean_duration_s)

    def next_end_s(self) -> float:
        return self.mean_duration_s / max(1, self.count)


@dataclass(slots=True)
class Admission:
    """Hold one admitted request; end it with `OrganisationLimits.end`."""

    organisation: str
    route: str
    started_at: float
    ended: bool = field(default=False)


class OrganisationLimits:
    """Admit requests of one host within the limits of the catalogue."""

    __slots__ = ("_buckets", "_organisations", "_routes")

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}
        self._organisations: dict[str, _InProgress] = {}
        self._routes: dict[str, _InProgress] = {}

    def admit(self, now: float, organisation: OrganisationEntry, route: RouteEntry) -> Admission:
        """Admit one request; nothing is counted when it is refused.

        Raises
        ------
        RequestError
            Of kind ``over_limit``, with the time after which a request would be admitted.
        """
        in_organisation = self._organisations.setdefault(organisation.name, _InProgress())
        if in_organisation.count >= organisation.max_in_progress:
            raise _refusal(
                f"organisation {organisation.name} has {in_organisation.count} requests in "
                "progress, its limit on this host",
                in_organisation.next_end_s(),
            )
        in_route = self._routes.setdefault(route.name, _InProgress())
        if in_route.count >= route.max_in_progress:
            raise _refusal(
                f"route {route.name} has {in_route.count} requests in progress, its limit on "
                "this host",
                in_route.next_end_s(),
            )
        self._take_token(now, organisation)
        in_organisation.count += 1
        in_route.count += 1
        return Admission(organisation.name, route.name, now)

    def end(self, now: float, admission: Admission) -> None:
        """Count a request out; harmless when it was before."""
        if admission.ended:
            return
        admission.ended = True
        duration_s = now - admission.started_at
        self._organisations[admission.organisation].end_one(duration_s)
        self._routes[admission.route].end_one(duration_s)

    def in_progress(self, organisation: str) -> int:
        """Return the number of an organisation's requests in progress."""
        counted = self._organisations.get(organisation)
        return counted.count if counted is not None else 0

    def forget_idle(self, now: float, idle_s: float = 60.0) -> None:
        """Drop the state of organisations and routes that have asked nothing for a while."""
        for name in [name for name, counted in self._organisations.items() if not counted.count]:
            bucket = self._buckets.get(name)
            if bucket is None or now - bucket.filled_at >= idle_s:
                del self._organisations[name]
                self._buckets.pop(name, None)

    def _take_token(self, now: float, organisation: OrganisationEntry) -> None:
        rate_per_s = organisation.requests_per_s
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = _TokenBucket(now, max(1.0, rate_per_s * BURST_S))
            self._buckets[organisation.name] = bucket
        bucket.fill(now, rate_per_s)
        if bucket.tokens < 1.0:
            raise _refusal(
                f"organisation {organisation.name} asks more often than its "
                f"{rate_per_s:g} requests a second on this host",
                (1.0 - bucket.tokens) / rate_per_s,
            )
        bucket.tokens -= 1.0


def _refusal(message: str, retry_after_s: float) -> RequestError:
    return RequestError(
        ErrorKind.OVER_LIMIT, message, max(MIN_RETRY_AFTER_S, round(retry_after_s + 0.0005, 3))
    )
