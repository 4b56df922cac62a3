"""Limit the retries of a pool to a fraction of its requests.

Each host enforces its own part of the budget: a ratio of the requests that it received, plus an
equal part of the fixed allowance. So the sum over all hosts stays within the budget without any
communication, whichever of them are live.
"""

from __future__ import annotations

from collections import deque

from tarragonwind.records import dataclass

SAFETY_FACTOR = 0.8
"""Fraction of the budget that is used, as the windows of different hosts are not aligned."""


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Configure the retry budget, which applies to the sum over all hosts.

    Attributes
    ----------
    ratio : float
        Retries per request.
    window_s : float
        Length of the sliding window in which requests and retries are counted, in seconds.
    allowance : float
        Additional retries in each window, over all hosts.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    allowance: float = 10.0


class _PoolWindow:
    """Hold the times of one pool's requests and retries within the window."""

    __slots__ = ("retries", "requests")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def expire(self, before: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


class RetryBudget:
    """Limit the retries of this host by a budget for each pool."""

    __slots__ = ("_pools", "_settings", "host_count")

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.host_count = 1
        self._settings = settings
        self._pools: dict[str, _PoolWindow] = {}

    def record_request(self, now: float, pool: str) -> None:
        """Count a received request of a pool."""
        self._window(now, pool).requests.append(now)

    def take(self, now: float, pool: str) -> bool:
        """Count a retry and return True if the budget allows it, else return False."""
        window = self._window(now, pool)
        settings = self._settings
        allowance = settings.allowance / max(1, self.host_count)
        limit = SAFETY_FACTOR * (settings.ratio * len(window.requests) + allowance)
        if len(window.retries) + 1 > limit:
            return False
        window.retries.append(now)
        return True

    def _window(self, now: float, pool: str) -> _PoolWindow:
        window = self._pools.setdefault(pool, _PoolWindow())
        window.expire(now - self._settings.window_s)
        return window
