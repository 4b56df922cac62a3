"""Choose the versions that serve the requests of a pool's queue."""

from __future__ import annotations

import random

from tarragonwind.core.homes import ANY_REGION, Homes
from tarragonwind.core.owner_settings import VersionChooser
from tarragonwind.core.permit_ledgers import PermitLedger
from tarragonwind.core.queues import Lane, QueuedRequest, TierQueue

MAX_VERSION_DRAWS = 3
"""Maximum number of random version draws for one request. Each draw after the first increases the
traffic of a version with a small share while the other versions can't serve."""


class VersionDraws:
    """Choose versions at random, and again for waiting requests whose version can't serve.

    Parameters
    ----------
    pool : str
        Name of the pool.
    rng : random.Random
        Source of randomness.
    choose_version : VersionChooser
        Chooses the version that serves a request.
    queue : TierQueue
        Waiting requests.
    ledger : PermitLedger
        Upstreams of the pool.
    """

    __slots__ = ("_choose_version", "_ledger", "_pool", "_queue", "_rng")

    def __init__(
        self,
        pool: str,
        rng: random.Random,
        choose_version: VersionChooser,
        queue: TierQueue,
        ledger: PermitLedger,
    ) -> None:
        self._pool = pool
        self._rng = rng
        self._choose_version = choose_version
        self._queue = queue
        self._ledger = ledger

    def choose(self, now: float, route: str, homes: Homes = ANY_REGION) -> str:
        """Choose a version at random, with a bounded number of retries if it can't serve now.

        Where none of them serves in the homes of a request, any version there may.
        """
        version = ""
        for _ in range(MAX_VERSION_DRAWS):
            version = self._choose_version(now, self._rng, self._pool, route)
            if self._ledger.serves(version, homes):
                return version
        return "" if homes and self._ledger.serves("", homes) else version

    def rechoose_unservable(self, now: float) -> None:
        """Choose the version again, once for each request, when its version can no longer serve."""
        serving: dict[Lane, bool] = {}
        unservable = []
        for req in self._queue:
            if req.lane not in serving:
                serving[req.lane] = self._ledger.serves(req.version, req.homes)
            if not serving[req.lane] and not req.version_redrawn:
                unservable.append(req)
        for req in unservable:
            req.version_redrawn = True
        self.rechoose(now, unservable)

    def rechoose(self, now: float, reqs: list[QueuedRequest]) -> None:
        """Choose the versions of waiting requests again."""
        for req in reqs:
            self._queue.remove(req.key)
        for req in reqs:
            req.version = self.choose(now, req.route, req.homes)
            self._queue.push(req)
