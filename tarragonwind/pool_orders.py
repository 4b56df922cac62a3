"""Run the order runners of the engine pools that this host owns."""

from __future__ import annotations

from tarragonwind.adapters.orders import OrderRunner
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import BackEndKind, MoveEntry
from tarragonwind.core.orders import plan_desired_states
from tarragonwind.core.pool_owners import PoolOwners
from tarragonwind.ports import Address, HttpTransport, Members, Store, Timers

OWNERSHIP_CHECK_PERIOD_S = 0.5
"""Interval between checks of which pools this host owns, in seconds."""


class PoolOrderRunners:
    """Run one `OrderRunner` for each engine pool that this host owns.

    Parameters
    ----------
    members : Members
        Cluster members; gives this host's name.
    owners : PoolOwners
        Pools that this host owns.
    store : Store
        Store that holds the claims.
    http : HttpTransport
        HTTP client for upstreams and the weight store.
    timers : Timers
        Clock and timers.
    weights : Address
        Address of the weight store.
    rate_per_s : float
        Maximum number of loads that begin per second.
    """

    def __init__(
        self,
        members: Members,
        owners: PoolOwners,
        store: Store,
        http: HttpTransport,
        timers: Timers,
        weights: Address,
        rate_per_s: float,
    ) -> None:
        self._members = members
        self._owners = owners
        self._store = store
        self._http = http
        self._timers = timers
        self._weights = weights
        self._rate_per_s = rate_per_s
        self._catalogue = Catalogue()
        self._runners: dict[str, OrderRunner] = {}
        timers.call_every(OWNERSHIP_CHECK_PERIOD_S, self._update_runners)

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue."""
        self._catalogue = catalogue
        for pool, runner in self._runners.items():
            self._set_desired(pool, runner)

    def _update_runners(self) -> None:
        """Start runners for newly owned pools, and stop those of pools no longer owned."""
        owned = {pool for pool in self._owners.active_pools() if self._has_engines(pool)}
        for pool in [pool for pool in self._runners if pool not in owned]:
            self._runners.pop(pool).stop()
        for pool in owned - set(self._runners):
            runner = OrderRunner(
                pool,
                self._members.name,
                self._store,
                self._http,
                self._timers,
                self._weights,
                self._rate_per_s,
            )
            self._set_desired(pool, runner)
            self._runners[pool] = runner

    def _has_engines(self, name: str) -> bool:
        pool = self._catalogue.pool(name)
        return pool is not None and pool.back_end is BackEndKind.ENGINE

    def _set_desired(self, pool: str, runner: OrderRunner) -> None:
        upstreams = self._catalogue.upstreams_of(pool)
        entries = self._catalogue.contents("move").values()
        moves = [one for one in entries if isinstance(one, MoveEntry) and one.pool == pool]
        addresses = {entry.name: Address(entry.host, entry.port) for entry in upstreams}
        runner.set_desired(plan_desired_states(upstreams, moves, self._catalogue.number), addresses)
