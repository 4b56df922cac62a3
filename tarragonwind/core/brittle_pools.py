"""Remember in which pools the upstreams fall over when they have to reject requests."""

from __future__ import annotations

import math

from tarragonwind.records import dataclass

BRITTLE_MEMORY_S = 30.0
"""Time for which a pool counts as brittle after a response that said so, in seconds. It covers the
time in which its upstreams, having fallen over, send no responses."""
REPORT_PERIOD_S = 1.0
"""Interval at which the owner of a brittle pool is told so, in seconds."""


@dataclass(slots=True)
class BrittlePool:
    """Hold what upstreams of a pool have said.

    Attributes
    ----------
    rejections_per_s : int
        Rejected requests per second that an upstream endures.
    named_at, reported_at : float
        Time of the last response with it, and of the last report, in seconds.
    """

    rejections_per_s: int
    named_at: float
    reported_at: float = -math.inf


class BrittlePools:
    """Hold the brittle pools, shared by the pool owners and the permit client of one host.

    All upstreams of a pool are brittle at the same time, so one response tells of all.

    Attributes
    ----------
    until : float
        Time from which no pool is brittle, in seconds.
    """

    __slots__ = ("_pools", "until")

    def __init__(self) -> None:
        self.until = -math.inf
        self._pools: dict[str, BrittlePool] = {}

    def is_brittle(self, now: float, pool: str) -> bool:
        """Return whether the upstreams of a pool are brittle."""
        known = self._pools.get(pool)
        return known is not None and now < known.named_at + BRITTLE_MEMORY_S

    def find(self, now: float, pool: str) -> BrittlePool | None:
        """Return what the upstreams of a pool have said, None if they aren't brittle."""
        return self._pools[pool] if self.is_brittle(now, pool) else None

    def learn(self, now: float, pool: str, rejections_per_s: int, age_s: float = 0.0) -> bool:
        """Record what an upstream or a host has said; return whether the pool was not brittle."""
        was_brittle = self.is_brittle(now, pool)
        named_at = now - age_s
        self.until = max(self.until, named_at + BRITTLE_MEMORY_S)
        known = self._pools.get(pool)
        if known is None:
            self._pools[pool] = BrittlePool(rejections_per_s, named_at)
        elif named_at >= known.named_at:
            known.named_at = named_at
            known.rejections_per_s = rejections_per_s
        return not was_brittle and self.is_brittle(now, pool)

    def take_report_due(self, now: float, pool: str) -> bool:
        """Return whether the owner is to be told of a brittle pool, at most once a period."""
        known = self.find(now, pool)
        if known is None or now - known.reported_at < REPORT_PERIOD_S:
            return False
        known.reported_at = now
        return True

    def count(self, now: float) -> int:
        """Return the number of brittle pools."""
        return sum(self.is_brittle(now, pool) for pool in self._pools)
