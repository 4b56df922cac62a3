"""Decide whether a request waits for a full engine that keeps much of its prompt."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable

from tarragonwind.core.brittle_pools import BrittlePools
from tarragonwind.core.kept_prefixes import KeptPrefixes
from tarragonwind.core.permit_ledgers import GrantedPermit, PermitLedger
from tarragonwind.core.placements import Placement, Placer
from tarragonwind.core.queues import PermitKey, QueuedRequest, TierQueue
from tarragonwind.core.upstream_loads import UpstreamLoad
from tarragonwind.records import dataclass

MIN_SAVED_TOKENS = 512
"""Prompt tokens that a request must save to wait for an engine."""
MAX_TIME_FRACTION = 0.75
"""Maximum expected time to the first byte with the wait, relative to the best engine with room."""
MAX_WAIT_S = 1.0
"""Maximum expected wait for an engine, in seconds. Expected ends of responses that are further away
are too uncertain."""
WAIT_MARGIN = 1.5
"""Ratio of a wait to the expected wait after which it is given up."""
MAX_WAITING_PER_UPSTREAM = 2
"""Maximum number of requests that wait for one engine, so that a burst spreads over engines."""
MAX_WAITING_PER_ORGANISATION = 2
"""Maximum number of requests of one organisation that wait for engines. It is below
`queues.MAX_LOOKAHEAD`, so that requests behind them are tried too."""
MAX_HOLDERS = 12
"""Maximum number of engines considered for one request."""
ENDS_CACHE_S = 0.02
"""Time for which the expected ends of permits are cached, in seconds."""
OVERDUE_FRACTION = 0.1
"""Expected remaining time of a response that is overdue, relative to its time until now."""


@dataclass(frozen=True, slots=True)
class PrefixWait:
    """Describe the wait of a request for an engine.

    Attributes
    ----------
    req : QueuedRequest
        The request.
    upstream : str
        The engine.
    until : float
        Time at which the wait is given up, in seconds.
    """

    req: QueuedRequest
    upstream: str
    until: float


class PrefixWaits:
    """Hold the requests of one pool that wait for an engine although others have room.

    Parameters
    ----------
    pool : str
        Name of the pool.
    queue : TierQueue
        Waiting requests.
    ledger : PermitLedger
        Granted permits and the load of the upstreams.
    placer : Placer
        Estimates the times of requests.
    kept : KeptPrefixes
        What engines probably keep.
    brittle : BrittlePools
        Brittle pools.

    Attributes
    ----------
    met, given_up : int
        Number of waits that ended with a grant of the engine, and of those given up.
    """

    __slots__ = (
        "_brittle",
        "_ends",
        "_ends_at",
        "_kept",
        "_ledger",
        "_placer",
        "_pool",
        "_queue",
        "_waiting",
        "given_up",
        "met",
    )

    def __init__(
        self,
        pool: str,
        queue: TierQueue,
        ledger: PermitLedger,
        placer: Placer,
        kept: KeptPrefixes,
        brittle: BrittlePools,
    ) -> None:
        self.met = 0
        self.given_up = 0
        self._pool = pool
        self._queue = queue
        self._ledger = ledger
        self._placer = placer
        self._kept = kept
        self._brittle = brittle
        self._waiting: dict[PermitKey, PrefixWait] = {}
        self._ends: dict[str, list[tuple[float, int]]] = {}
        self._ends_at = -math.inf

    def count(self) -> int:
        """Return the number of requests that wait for an engine."""
        if self._waiting:
            self._drop_left()
        return len(self._waiting)

    def should_wait(
        self,
        now: float,
        req: QueuedRequest,
        choose: Callable[[], Placement | None],
        allowed: Callable[[list[UpstreamLoad]], list[UpstreamLoad]],
    ) -> bool:
        """Return whether a request should wait for an engine instead of using one with room.

        Parameters
        ----------
        now : float
            Time in seconds.
        req : QueuedRequest
            The request, which lists the parts of its prompt.
        choose : callable
            Returns the best placement on an engine with room.
        allowed : callable
            Returns those of some upstreams that may get the request.
        """
        if req.prefix_wait_over:
            return False
        wait = self._waiting.get(req.key)
        if wait is not None:
            if now < wait.until and self._is_worth_waiting(now, req, wait.upstream, allowed):
                return True
            # The request is granted now; `on_granted` counts whether by the engine of the wait.
            req.prefix_wait_over = True
            return False
        if self._brittle.is_brittle(now, self._pool):
            return False
        full = self._full_holders(now, req, allowed)
        if not full:
            return False
        best = choose()
        found = self._soonest(now, req, full, best) if best is not None else None
        if found is None:
            return False
        load, wait_s = found
        until = now + min(MAX_WAIT_S, WAIT_MARGIN * wait_s)
        self._waiting[req.key] = PrefixWait(req, load.entry.name, until)
        return True

    def without_awaited(
        self, now: float, req: QueuedRequest, loads: list[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return the engines that no request of the same or a higher priority waits for.

        It is granted the engine in the same search of the queue, as it came earlier.
        """
        if not self._waiting or req.key in self._waiting:
            return loads
        awaited = {
            wait.upstream
            for key, wait in self._waiting.items()
            if wait.req.level <= req.level and now < wait.until and key in self._queue
        }
        return [load for load in loads if load.entry.name not in awaited] if awaited else loads

    def on_granted(self, key: PermitKey, upstream: str) -> None:
        """Count the end of a wait by a grant."""
        wait = self._waiting.pop(key, None)
        if wait is None:
            return
        if wait.upstream == upstream:
            self.met += 1
        else:
            self.given_up += 1

    def clear(self) -> None:
        """Forget all waits."""
        self._waiting.clear()
        self._ends_at = -math.inf

    def _is_worth_waiting(
        self,
        now: float,
        req: QueuedRequest,
        upstream: str,
        allowed: Callable[[list[UpstreamLoad]], list[UpstreamLoad]],
    ) -> bool:
        """Return whether the engine of a wait is still full, usable and keeps the prompt."""
        load = self._ledger.loads.get(upstream)
        if load is None or not self._may_wait_for(now, req, load) or not allowed([load]):
            return False
        return self._kept.kept_tokens(now, upstream, req.parts) >= MIN_SAVED_TOKENS

    def _may_wait_for(self, now: float, req: QueuedRequest, load: UpstreamLoad) -> bool:
        if not load.is_available() or not load.is_unrestricted(now):
            return False
        if load.entry.name in req.avoid or req.version not in ("", load.entry.version):
            return False
        if self._brittle.is_brittle(now, self._pool):
            return False
        return not load.has_room(now) or not self._has_memory(now, req, load, 0)

    def _has_memory(self, now: float, req: QueuedRequest, load: UpstreamLoad, freed: int) -> bool:
        return load.strict.has_memory(now, req.memory_tokens - freed, load.entry.slots, True)

    def _full_holders(
        self,
        now: float,
        req: QueuedRequest,
        allowed: Callable[[list[UpstreamLoad]], list[UpstreamLoad]],
    ) -> list[UpstreamLoad]:
        """Return the full engines that keep much of a prompt and take another waiting request."""
        self._drop_left()
        waits = self._waiting.values()
        own = sum(wait.req.organisation == req.organisation for wait in waits)
        if own >= MAX_WAITING_PER_ORGANISATION:
            return []
        full = (
            load
            for name in self._kept.holders(req.parts)
            if (load := self._ledger.loads.get(name)) is not None
            and self._ahead(name) < MAX_WAITING_PER_UPSTREAM
            and self._may_wait_for(now, req, load)
            and self._kept.kept_tokens(now, name, req.parts) >= MIN_SAVED_TOKENS
        )
        loads = list(itertools.islice(full, MAX_HOLDERS))
        return allowed(loads) if loads else loads

    def _soonest(
        self, now: float, req: QueuedRequest, loads: list[UpstreamLoad], best: Placement
    ) -> tuple[UpstreamLoad, float] | None:
        """Return the engine with the earliest first byte and the wait for it, if it is worth it."""
        limit_s = MAX_TIME_FRACTION * best.first_byte_s
        found = None
        for load in loads:
            placement = self._placer.estimate(now, load, req)
            saved = (placement.cached_share - best.cached_share) * req.prompt_tokens
            wait_s = self._wait_s(now, req, load)
            first_byte_s = wait_s + placement.first_byte_s
            if saved < MIN_SAVED_TOKENS or wait_s > MAX_WAIT_S or first_byte_s > limit_s:
                continue
            if wait_s + placement.expected_s > best.expected_s:
                continue
            latest = WAIT_MARGIN * wait_s + placement.first_byte_s
            if now + latest > min(req.target_at, req.latest_first_byte):
                continue
            if not self._placer.meets_deadline(now + WAIT_MARGIN * wait_s, placement, req):
                continue
            found = (load, wait_s)
            limit_s = first_byte_s
        return found

    def _wait_s(self, now: float, req: QueuedRequest, load: UpstreamLoad) -> float:
        """Return the time until an engine is expected to have room for a request, in seconds."""
        running = load.in_flight + self._ahead(load.entry.name)
        freed = 0
        for end, memory_tokens in self._ends_of(now, load.entry.name):
            running -= 1
            freed += memory_tokens
            if running < load.entry.slots * load.share and self._has_memory(now, req, load, freed):
                return max(0.0, end - now)
        return math.inf

    def _ahead(self, upstream: str) -> int:
        return sum(wait.upstream == upstream for wait in self._waiting.values())

    def _ends_of(self, now: float, upstream: str) -> list[tuple[float, int]]:
        """Return the expected end and the memory of each permit of an engine, the soonest first."""
        if now - self._ends_at >= ENDS_CACHE_S:
            self._ends_at = now
            self._ends = {}
            for permit in self._ledger:
                ends = self._ends.setdefault(permit.upstream, [])
                ends.append((_expected_end(now, permit), permit.memory_tokens))
            for ends in self._ends.values():
                ends.sort()
        return self._ends.get(upstream, [])

    def _drop_left(self) -> None:
        """Drop waits of requests that were cancelled or refused."""
        for key in [key for key in self._waiting if key not in self._queue]:
            del self._waiting[key]
            self.given_up += 1


def _expected_end(now: float, permit: GrantedPermit) -> float:
    """Return the time at which a permit is expected to be released, infinite if it isn't known."""
    if not permit.expected_s:
        return math.inf
    elapsed_s = now - permit.granted_at
    return now + max(permit.expected_s - elapsed_s, OVERDUE_FRACTION * elapsed_s)
