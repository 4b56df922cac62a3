"""Track the granted permits of a pool and the load that they put on its upstreams."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from tarragonwind.core.entries import TIER_COUNT, UpstreamEntry, UpstreamState
from tarragonwind.core.homes import ANY_REGION, Homes, is_at_home
from tarragonwind.core.queues import PermitKey
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad
from tarragonwind.records import dataclass


@dataclass(frozen=True, slots=True)
class GrantedPrefix:
    """Describe what an engine was expected to keep of a granted prompt.

    Attributes
    ----------
    unread : tuple of int
        Parts that the engine has to read for the request.
    kept_s, full_s : float
        Expected time to the first byte if the engine keeps the rest, and if it keeps nothing, in
        seconds.
    """

    unread: tuple[int, ...]
    kept_s: float
    full_s: float


@dataclass(slots=True)
class GrantedPermit:
    """Describe a granted permit in use.

    Attributes
    ----------
    host : str
        Host that holds the permit.
    permit_id : int
        Unique on that host.
    upstream, version : str
        Upstream that the host may dispatch to, and its version.
    tier : int
        Priority tier of the request, 0 the highest.
    cost_tokens : int
        Estimated work, in output tokens.
    granted_at : float
        Time at which the grant was last sent, in seconds.
    first_byte_s, token_s : float
        Expected time to the first byte and per token, in seconds; 0 excludes the permit from the
        correction of these estimates.
    keys : tuple of int
        Keys of the prompt's shared parts and of the request, see `Suspicions`.
    memory_tokens : int
        Memory that the request needs at an engine, in tokens.
    expected_s : float
        Expected time from the grant to the release, in seconds; 0 if it isn't known.
    prefix : GrantedPrefix or None
        What the engine probably kept of a prompt whose parts are followed.
    """

    host: str
    permit_id: int
    upstream: str
    version: str
    tier: int
    cost_tokens: int
    granted_at: float
    first_byte_s: float = 0.0
    token_s: float = 0.0
    keys: tuple[int, ...] = ()
    memory_tokens: int = 0
    expected_s: float = 0.0
    prefix: GrantedPrefix | None = None

    @property
    def key(self) -> PermitKey:
        """Return the key that identifies the permit in the pool."""
        return (self.host, self.permit_id)


class PermitLedger:
    """Hold the granted permits of a pool and the load of its upstreams.

    Parameters
    ----------
    settings : LoadSettings
        Load limits, performance model and ejection of upstreams.
    conditions : UpstreamConditions, optional
        Which upstreams are cold or brittle, and the memory of engines.
    is_local : bool
        Whether the owner grants the local share of one host.

    Attributes
    ----------
    loads : dict of str to UpstreamLoad
        Load of each upstream.
    strict_share : float
        Fraction of strict limits that the owner may use, above 0 and at most 1.
    """

    __slots__ = (
        "_by_host",
        "_conditions",
        "_is_local",
        "_known_fraction",
        "_new_owner_at",
        "_permits",
        "_settings",
        "_share",
        "loads",
        "strict_share",
    )

    def __init__(
        self,
        settings: LoadSettings,
        conditions: UpstreamConditions | None = None,
        is_local: bool = False,
    ) -> None:
        self.loads: dict[str, UpstreamLoad] = {}
        self._settings = settings
        self._conditions = conditions or UpstreamConditions()
        self._is_local = is_local
        self._share = 1.0
        self.strict_share = 1.0
        self._known_fraction = 1.0
        self._new_owner_at = -math.inf
        self._permits: dict[PermitKey, GrantedPermit] = {}
        self._by_host: dict[str, set[PermitKey]] = {}

    def __len__(self) -> int:
        return len(self._permits)

    def __iter__(self) -> Iterator[GrantedPermit]:
        return iter(self._permits.values())

    def configure(self, upstreams: Iterable[UpstreamEntry]) -> list[str]:
        """Replace the upstreams; return the names of those that were removed or have restarted."""
        entries = {entry.name: entry for entry in upstreams}
        restarted = [
            name
            for name, load in self.loads.items()
            if name in entries and entries[name].incarnation != load.entry.incarnation
        ]
        for name in restarted:
            self._forget_upstream(name)
        for name, entry in entries.items():
            load = self.loads.get(name)
            if load is None:
                load = self._create_load(entry)
                self.loads[name] = load
            load.entry = entry
            load.strict.cold = self._conditions.cold.find(name)
        gone = [name for name in self.loads if name not in entries]
        for name in gone:
            self._forget_upstream(name)
        return gone + restarted

    def _create_load(self, entry: UpstreamEntry) -> UpstreamLoad:
        load = UpstreamLoad(entry, self._settings, self._conditions, self._is_local)
        load.share = self._share
        load.strict.share = self.strict_share * self._known_fraction
        load.strict.on_new_owner(self._new_owner_at)
        return load

    def set_share(self, share: float) -> None:
        """Limit use to a fraction of the capacity of each upstream."""
        self._share = share
        for load in self.loads.values():
            load.share = share

    def set_strict_share(self, share: float) -> None:
        """Set the fraction of the upstreams' strict limits that this owner may use."""
        self.strict_share = share
        for load in self.loads.values():
            load.strict.share = share * self._known_fraction

    def set_known_fraction(self, fraction: float) -> None:
        """Set the fraction of that share that is left by hosts whose permits are not known."""
        if fraction != self._known_fraction:
            self._known_fraction = fraction
            self.set_strict_share(self.strict_share)

    def on_hosts_joined(self) -> None:
        """Take into account that hosts have come whose permits are not known yet."""
        for load in self.loads.values():
            load.strict.memory.on_hosts_joined()

    def on_new_owner(self, now: float) -> None:
        """Take into account that another owner may have granted until now."""
        self._new_owner_at = now
        for load in self.loads.values():
            load.strict.on_new_owner(now)

    def add(self, now: float, permit: GrantedPermit) -> None:
        """Add a permit and its load."""
        self._permits[permit.key] = permit
        self._by_host.setdefault(permit.host, set()).add(permit.key)
        load = self.loads[permit.upstream]
        load.add(now, permit.cost_tokens)
        load.strict.memory.used += permit.memory_tokens

    def adopt(self, now: float, permit: GrantedPermit) -> None:
        """Add a permit that another owner has granted."""
        self.add(now, permit)
        self.loads[permit.upstream].strict.memory.on_adopted(now, permit.memory_tokens)

    def release(self, now: float, key: PermitKey) -> GrantedPermit | None:
        """Remove a permit and its load; return it, or None if there is no such permit."""
        permit = self._remove(key)
        if permit is not None:
            load = self.loads.get(permit.upstream)
            if load is not None:
                load.release(now, permit.cost_tokens)
                load.strict.memory.used -= permit.memory_tokens
        return permit

    def _remove(self, key: PermitKey) -> GrantedPermit | None:
        permit = self._permits.pop(key, None)
        if permit is None:
            return None
        of_host = self._by_host[permit.host]
        of_host.remove(key)
        if not of_host:
            del self._by_host[permit.host]
        return permit

    def clear(self, now: float) -> None:
        """Remove all permits and their load."""
        for key in list(self._permits):
            self.release(now, key)

    def find(self, key: PermitKey) -> GrantedPermit | None:
        """Return a permit by key, or None if there is no such permit."""
        return self._permits.get(key)

    def keys_of(self, host: str) -> list[PermitKey]:
        """Return the keys of a host's permits."""
        return list(self._by_host.get(host, ()))

    def hosts(self, granted_before: float = float("inf")) -> set[str]:
        """Return the hosts that hold a permit granted before a time."""
        return {
            permit.host for permit in self._permits.values() if permit.granted_at < granted_before
        }

    def count_by_tier(self) -> list[int]:
        """Return the number of permits by tier."""
        counts = [0] * TIER_COUNT
        for permit in self._permits.values():
            counts[permit.tier] += 1
        return counts

    def has_live(self, version: str, homes: Homes = ANY_REGION) -> bool:
        """Return whether an upstream of a version is live; an empty version means any."""
        return any(
            load.entry.state is UpstreamState.LIVE
            for load in self.loads.values()
            if version in ("", load.entry.version) and is_at_home(homes, load.entry)
        )

    def serves(self, version: str, homes: Homes = ANY_REGION) -> bool:
        """Return whether an upstream of a version takes work; an empty version means any."""
        return any(
            load.is_available()
            for load in self.loads.values()
            if version in ("", load.entry.version) and is_at_home(homes, load.entry)
        )

    def is_below_share(self) -> bool:
        """Return whether one more permit stays within the share of the pool's slots."""
        if self._share >= 1.0:
            return True
        slots = sum(load.entry.slots for load in self.loads.values() if load.is_available())
        return len(self._permits) < max(1, round(slots * self._share))

    def nominal_rate(self) -> float:
        """Return the share of the pool's nominal rate in the catalogue, in tokens per second."""
        return self._share * sum(load.entry.tokens_per_s for load in self.loads.values())

    def _forget_upstream(self, name: str) -> None:
        del self.loads[name]
        for key in [key for key, permit in self._permits.items() if permit.upstream == name]:
            self._remove(key)
