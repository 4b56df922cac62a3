"""Share leases between keys that may end at about the same time."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.futures import Future, Task, spawn
from tarragonwind.ports import Store, Timers

LEASE_REUSE_PERIOD_S = 300.0
"""Time for which keys are bound to the same lease, in seconds."""


@dataclass(frozen=True, slots=True)
class SharedLease:
    """Hold one lease.

    Attributes
    ----------
    lease_id : int
        Id in the store.
    ttl_s : int
        Time that each key bound to it lives at the least, in seconds.
    granted_at : float
        Time on the monotonic clock before which the lease has not begun.
    ends_at : float
        Time on the monotonic clock before which the lease does not lapse.
    """

    lease_id: int
    ttl_s: int
    granted_at: float
    ends_at: float


class SharedLeases:
    """Grant at most one lease a time to live and period; they lapse by themselves."""

    def __init__(self, store: Store, timers: Timers) -> None:
        self._store = store
        self._timers = timers
        self._leases: dict[int, SharedLease] = {}
        self._grants: dict[int, Task[SharedLease]] = {}

    def find(self, ttl_s: int) -> Future[SharedLease]:
        """Return a lease that lives `ttl_s` seconds or longer; may fail with StoreError."""
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
        began_at = self._timers.now()
        duration_s = ttl_s + int(LEASE_REUSE_PERIOD_S)
        lease_id = await self._store.grant_lease(duration_s)
        lease = SharedLease(lease_id, ttl_s, began_at, began_at + duration_s)
        self._leases[ttl_s] = lease
        return lease

    def forget(self, lease: SharedLease) -> None:
        """Use a lease no more, because the store doesn't know it."""
        self._leases = {ttl_s: one for ttl_s, one in self._leases.items() if one != lease}
