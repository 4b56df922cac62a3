"""Share store leases between keys that may expire at about the same time."""

from __future__ import annotations

from tarragonwind.futures import Future, Task, spawn
from tarragonwind.ports import Store, Timers
from tarragonwind.records import dataclass

LEASE_REUSE_PERIOD_S = 300.0
"""Time after its grant for which a lease is reused for new keys."""


@dataclass(frozen=True, slots=True)
class SharedLease:
    """Represent one granted lease.

    Attributes
    ----------
    lease_id : int
        Identifier of the lease in the store.
    ttl_s : int
        Minimum lifetime of each key that is attached to it, in seconds.
    granted_at : float
        Monotonic time of the grant request, so no later than the actual grant, in seconds.
    ends_at : float
        Monotonic time before which the lease does not expire, in seconds.
    """

    lease_id: int
    ttl_s: int
    granted_at: float
    ends_at: float


class SharedLeases:
    """Grant at most one lease per time to live and reuse period; leases are never revoked."""

    def __init__(self, store: Store, timers: Timers) -> None:
        self._store = store
        self._timers = timers
        self._leases: dict[int, SharedLease] = {}
        self._grants: dict[int, Task[SharedLease]] = {}

    def find(self, ttl_s: int) -> Future[SharedLease]:
        """Return a lease with at least `ttl_s` seconds left; the future may fail with StoreError.

        A current lease is reused, and concurrent calls share one pending grant.
        """
        lease = self._leases.get(ttl_s)
        if lease is not None and self._timers.now() - lease.granted_at < LEASE_REUSE_PERIOD_S:
            fut: Future[SharedLease] = Future()
            fut.set_result(lease)
            return fut
        grant = self._grants.get(ttl_s)
        if grant is None or grant.done():
            grant = spawn(self._grant(ttl_s))
            self._grants[ttl_s] = grant
        return grant

    async def _grant(self, ttl_s: int) -> SharedLease:
        requested_at = self._timers.now()
        duration_s = ttl_s + int(LEASE_REUSE_PERIOD_S)
        lease_id = await self._store.grant_lease(duration_s)
        lease = SharedLease(lease_id, ttl_s, requested_at, requested_at + duration_s)
        self._leases[ttl_s] = lease
        return lease

    def forget(self, lease: SharedLease) -> None:
        """Stop reusing a lease that the store no longer has."""
        self._leases = {ttl_s: one for ttl_s, one in self._leases.items() if one != lease}
