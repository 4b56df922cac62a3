"""Find the next request that can be granted, and the upstreams with room that may serve it."""

from __future__ import annotations

import random
from collections.abc import Callable

from tarragonwind.core.memory_admissions import MemoryAdmission
from tarragonwind.core.owner_takeovers import OwnerTakeover
from tarragonwind.core.permit_ledgers import PermitLedger
from tarragonwind.core.placements import Placement, Placer, prefer_warm
from tarragonwind.core.prefix_plans import PrefixPlanner
from tarragonwind.core.queues import QueuedRequest, TierQueue
from tarragonwind.core.upstream_loads import UpstreamLoad
from tarragonwind.core.wait_estimates import WaitEstimates, filter_by_homes, filter_by_version


class UpstreamSearch:
    """Match the waiting requests of one pool with the upstreams that have room.

    Parameters
    ----------
    pool : str
        Name of the pool.
    queue : TierQueue
        Waiting requests.
    ledger : PermitLedger
        Granted permits and the load of the upstreams.
    waits : WaitEstimates
        Knows which upstreams have asked a host for a pause.
    memory : MemoryAdmission
        Memory of engines.
    takeover : OwnerTakeover
        Knows whether the permits of all hosts are known.
    placer : Placer
        Estimates the times of a request on an upstream.
    prefixes : PrefixPlanner
        What engines keep of prompts, and the requests that wait for it.
    packs_requests : callable
        Returns whether requests of a pool's version fill one upstream before the next.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = (
        "_ledger",
        "_memory",
        "_packs_requests",
        "_placer",
        "_pool",
        "_prefixes",
        "_queue",
        "_rng",
        "_takeover",
        "_waits",
    )

    def __init__(
        self,
        pool: str,
        queue: TierQueue,
        ledger: PermitLedger,
        waits: WaitEstimates,
        memory: MemoryAdmission,
        takeover: OwnerTakeover,
        placer: Placer,
        prefixes: PrefixPlanner,
        packs_requests: Callable[[str, str], bool],
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._ledger = ledger
        self._waits = waits
        self._memory = memory
        self._takeover = takeover
        self._placer = placer
        self._prefixes = prefixes
        self._packs_requests = packs_requests
        self._rng = rng

    def has_room(self, now: float, req: QueuedRequest) -> bool:
        """Return whether an upstream that may serve a request has room for it."""
        loads = filter_by_version(req.version, list(self._ledger.loads.values()))
        return any(load.has_room(now) for load in self.usable(now, req, loads))

    def take_next(
        self, now: float, available: list[UpstreamLoad]
    ) -> tuple[QueuedRequest, list[UpstreamLoad]] | None:
        """Remove the next queued request that an upstream with room can serve.

        Returns
        -------
        tuple of QueuedRequest and list of UpstreamLoad, or None
            The request, and the upstreams with room that may serve it.
        """
        loads: list[UpstreamLoad] = []
        versions = {"", *(load.entry.version for load in available)}

        def fits(req: QueuedRequest) -> bool:
            nonlocal loads
            loads = self.usable(now, req, filter_by_version(req.version, available))
            if not loads:
                return False
            if self._packs_requests(self._pool, req.version):
                return True
            if req.deadline_is_total and not self._placer.should_place_now(
                now, loads, self._waits.fastest(now, req.version, req.homes), req
            ):
                return False
            return not req.parts or not self._should_wait(now, req, loads)

        req = self._queue.pop(versions.__contains__, fits)
        return None if req is None else (req, loads)

    def _should_wait(self, now: float, req: QueuedRequest, loads: list[UpstreamLoad]) -> bool:
        """Return whether a request should wait for a full engine that keeps its prompt."""

        def choose() -> Placement | None:
            return self._placer.choose(now, self._rng, prefer_warm(now, loads, req), req)

        def allowed(full: list[UpstreamLoad]) -> list[UpstreamLoad]:
            at_home = self._waits.without_held(now, req, filter_by_homes(req.homes, full))
            return self._memory.without_reserved(req, at_home)

        return self._prefixes.waits.should_wait(now, req, choose, allowed)

    def usable(
        self, now: float, req: QueuedRequest, loads: list[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return those in a request's homes that take requests of its host and have memory."""
        loads = self._waits.without_held(now, req, filter_by_homes(req.homes, loads))
        loads = self._prefixes.waits.without_awaited(now, req, loads)
        share = self._ledger.strict_share
        return self._memory.fitting(now, req, loads, lambda: self._takeover.knows_all(now, share))
