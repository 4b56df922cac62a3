"""Estimate how long requests wait in a pool's queue, and whether they can be served in time."""

from __future__ import annotations

import itertools
import math

from tarragonwind.core.drain_rates import DrainRate
from tarragonwind.core.homes import ANY_REGION, Homes, is_at_home
from tarragonwind.core.permit_ledgers import PermitLedger
from tarragonwind.core.queues import (
    LEVEL_COUNT,
    Lane,
    QueuedRequest,
    TierQueue,
    is_late,
    priority_of,
)
from tarragonwind.core.upstream_holds import UpstreamHolds
from tarragonwind.core.upstream_loads import UpstreamLoad
from tarragonwind.core.warming_rates import (
    LEAST_LEFT,
    AskedRate,
    WarmingRate,
    create_warming_rate,
)

WAIT_MARGINS = (2.0, 1.5, 1.25, 1.0)
"""Ratio of expected wait to time left above which a request is refused, by tier."""

MIN_RETRY_AFTER_S = 0.2
"""Lower bound of the retry delay returned to callers, in seconds."""

FASTEST_CACHE_S = 0.1
"""Time for which the fastest upstream of each version is cached, in seconds."""

REQUEST_WEIGHT = 0.05
"""Weight of one request in the moving average of the work of a request."""

SWEEP_PERIOD_S = 0.2
"""Interval between sweeps over waiting requests, in seconds."""


def filter_by_version(version: str, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
    """Return the upstreams of a version, or all for an empty version."""
    return [load for load in loads if version in ("", load.entry.version)]


def filter_by_homes(homes: Homes, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
    """Return the upstreams that may get a request with these homes."""
    return [load for load in loads if is_at_home(homes, load.entry)] if homes else loads


def max_wait_s(now: float, req: QueuedRequest) -> float:
    """Return the longest expected wait for which a request is kept, in seconds."""
    return (req.latest_first_byte - now) * WAIT_MARGINS[req.tier]


class WaitEstimates:
    """Estimate the waits in the queue of one pool from the rate at which it is drained.

    Parameters
    ----------
    queue : TierQueue
        Waiting requests.
    ledger : PermitLedger
        Granted permits and the load of the upstreams.
    holds : UpstreamHolds
        Pauses that upstreams have asked of single hosts.
    max_retry_after_s : float
        Upper bound of the retry delay returned to callers, in seconds.
    """

    __slots__ = (
        "_asked",
        "_fastest_at",
        "_fastest_loads",
        "_holds",
        "_late_rate",
        "_ledger",
        "_max_retry_after_s",
        "_queue",
        "_rate",
        "_request_tokens",
        "_warming",
    )

    def __init__(
        self,
        queue: TierQueue,
        ledger: PermitLedger,
        holds: UpstreamHolds[tuple[str, str]],
        max_retry_after_s: float,
    ) -> None:
        self._queue = queue
        self._ledger = ledger
        self._holds = holds
        self._max_retry_after_s = max_retry_after_s
        self._rate = DrainRate()
        self._late_rate = DrainRate()
        self._asked = AskedRate()
        self._request_tokens = 1.0
        self._warming: WarmingRate | None = None
        self._fastest_at = float("-inf")
        self._fastest_loads: dict[Lane, UpstreamLoad | None] = {}

    def update_nominal(self) -> None:
        """Set the nominal drain rate from the upstreams."""
        self._rate.set_nominal(self._ledger.nominal_rate())

    def observe(self, now: float, unhurried: int = 0) -> None:
        """End a measurement period of the drain rates.

        Parameters
        ----------
        now : float
            Time in seconds.
        unhurried : int
            Waiting requests that could have been granted: they show no lack of room.
        """
        self._asked.observe(now)
        measured = self._rate.tokens_per_s if self._rate.measured else math.inf
        self._warming = create_warming_rate(
            now, self._ledger.loads.values(), self._request_tokens, measured
        )
        self._rate.observe(now, len(self._queue) > unhurried)
        self._late_rate.observe(now, self._queue.has_late())

    def add_asked(self, req: QueuedRequest) -> None:
        """Add the work of a request that has arrived."""
        self._asked.add(priority_of(req.tier, req.rank), req.cost_tokens)

    def add_granted(self, req: QueuedRequest) -> None:
        """Add the work of a request that was granted a permit."""
        self._request_tokens += REQUEST_WEIGHT * (req.cost_tokens - self._request_tokens)
        self._rate.add(req.cost_tokens)
        if is_late(req.level):
            self._late_rate.add(req.cost_tokens)

    def retry_after_s(self, tier: int, rank: int, organisation: str) -> float:
        """Return the time until a new request is expected to be served, in seconds.

        The request is late by then, so the late work ahead of it is included. What higher
        priorities ask for meanwhile is served first.
        """
        work = self._queue.work_before_late(tier, rank, organisation)
        taken = self._asked.above(priority_of(tier, rank))
        if self._warming is not None:
            wait_s = self._warming.drain_s(work, taken)
        else:
            rate = self._rate.tokens_per_s
            wait_s = work / max(rate - taken, LEAST_LEFT * rate)
        return min(self._max_retry_after_s, max(MIN_RETRY_AFTER_S, wait_s))

    def exceeds_limit(self, now: float, req: QueuedRequest) -> bool:
        """Return whether the work ahead of a new request takes longer than it may wait."""
        if len(self._queue) == 0:
            return False
        work = self._queue.work_before(req.tier, req.rank, req.organisation)
        return self._drain_s(work) > max_wait_s(now, req)

    def _drain_s(self, work: float) -> float:
        """Return the time that work ahead of a request takes, in seconds."""
        if self._warming is not None:
            return self._warming.drain_s(work)
        return work / self._rate.tokens_per_s

    def fastest(self, now: float, version: str, homes: Homes = ANY_REGION) -> UpstreamLoad | None:
        """Return the fastest usable upstream of a version, cached for `FASTEST_CACHE_S`."""
        if now - self._fastest_at >= FASTEST_CACHE_S:
            self._fastest_at = now
            self._fastest_loads.clear()
        lane = (version, homes)
        if lane not in self._fastest_loads:
            loads = filter_by_version(version, list(self._ledger.loads.values()))
            at_home = filter_by_homes(homes, loads)
            available = [load for load in at_home if load.is_available()]
            usable = [load for load in available if load.is_unrestricted(now)] or available
            fastest = min(usable, key=lambda load: load.token_s(now), default=None)
            self._fastest_loads[lane] = fastest
        return self._fastest_loads[lane]

    def is_feasible(self, now: float, req: QueuedRequest) -> bool:
        """Return whether the fastest upstream could still meet a request's deadlines.

        False for a request whose caller disconnects before the next sweep: the caller must
        get the refusal while it is still connected.
        """
        fastest = self.fastest(now, req.version, req.homes)
        if fastest is None:
            return now + SWEEP_PERIOD_S <= req.first_byte_deadline
        first_byte_at = now + fastest.min_first_byte_s(now, req.prompt_tokens)
        if first_byte_at + SWEEP_PERIOD_S > req.first_byte_deadline:
            return False
        finished_at = first_byte_at + req.output_tokens * fastest.token_s(now)
        return not req.deadline_is_total or finished_at <= req.deadline

    def by_level_s(self) -> list[float]:
        """Return the time that the work ahead of each queue level takes."""
        waits_s = [0.0]
        if self._warming is not None:
            ahead = itertools.accumulate(self._queue.work_by_level(), initial=0)
            return [self._warming.drain_s(work) for work in ahead]
        if not self._rate.measured:
            return waits_s * LEVEL_COUNT
        for level, work in enumerate(self._queue.work_by_level()):
            late = is_late(level) and self._late_rate.measured
            rate = self._late_rate if late else self._rate
            waits_s.append(waits_s[-1] + work / rate.tokens_per_s)
        return waits_s

    def hold_left_s(self, now: float, req: QueuedRequest) -> float:
        """Return the time until an upstream takes requests of the request's host, in seconds."""
        if not self._holds.any_left(now):
            return 0.0
        loads = filter_by_version(req.version, list(self._ledger.loads.values()))
        waits_s = [
            self._holds.left_s(now, (req.host, load.entry.name))
            for load in filter_by_homes(req.homes, loads)
            if load.is_available()
        ]
        return min(waits_s, default=0.0)

    def is_held_too_long(self, now: float, req: QueuedRequest) -> bool:
        """Return whether every upstream is held for the request's host beyond its latest grant."""
        return now + self.hold_left_s(now, req) > req.latest_first_byte

    def without_held(
        self, now: float, req: QueuedRequest, loads: list[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return the upstreams that take requests of the request's host now."""
        if not self._holds.any_left(now):
            return loads
        return [load for load in loads if not self._holds.left_s(now, (req.host, load.entry.name))]
