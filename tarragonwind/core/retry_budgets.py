"""Bound the repeated dispatches of a pool to a part of its requests.

Each host keeps to its own part: repeats follow the requests that came to it, and the fixed
allowance is divided by the number of hosts. So the sum over all hosts keeps to the whole budget,
whichever of them live or reach one another.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SAFETY_FACTOR = 0.8
"""Part of the budget that is used; windows of others may be cut otherwise than this host's."""


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Set the budget that all hosts share.

    Attributes
    ----------
    ratio : float
        Repeats for each request.
    window_s : float
        Time over which both are counted, in seconds.
    allowance : float
        Repeats in each window beyond the ratio, over all hosts.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    allowance: float = 10.0


class _PoolWindow:
    """Hold the times of one pool's requests and repeats within the window."""

    __slots__ = ("repeats", "requests")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def forget(self, before: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class RetryBudget:
    """Tell whether this host may dispatch a request of a pool once more."""

    __slots__ = ("_pools", "_settings", "host_count")

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.host_count = 1
        self._settings = settings
        self._pools: dict[str, _PoolWindow] = {}

    def record_request(self, now: float, pool: str) -> None:
        """Count a request that came for a pool."""
        self._window(now, pool).requests.append(now)

    def take(self, now: float, pool: str) -> bool:
        """Count one more dispatch of a request if the budget has room for it."""
        window = self._window(now, pool)
        settings = self._settings
        allowance = settings.allowance / max(1, self.host_count)
        room = SAFETY_FACTOR * (settings.ratio * len(window.requests) + allowance)
        if len(window.repeats) + 1 > room:
            return False
        window.repeats.append(now)
        return True

    def _window(self, now: float, pool: str) -> _PoolWindow:
        window = self._pools.setdefault(pool, _PoolWindow())
        window.forget(now - self._settings.window_s)
        return window
