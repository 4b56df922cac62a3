"""Pace the requests to an upstream that has named a limit."""

from __future__ import annotations

BURST_S = 0.25
"""Time over which a pause may be made up for, in seconds at the limit."""

MIN_PER_S = 0.1
"""Lower bound of a pace, in requests per second: only a response tells that a limit has ended."""


class RequestPacer:
    """Allow requests at a limit, with a token bucket that is empty at first.

    Parameters
    ----------
    now : float
        Time in seconds.
    per_s : float
        Limit in requests per second.
    """

    __slots__ = ("_filled_at", "_per_s", "_tokens")

    def __init__(self, now: float, per_s: float) -> None:
        self._per_s = max(MIN_PER_S, per_s)
        self._tokens = 0.0
        self._filled_at = now

    def set_limit(self, now: float, per_s: float) -> None:
        """Change the limit; what was allowed until now stays."""
        self._fill(now)
        self._per_s = max(MIN_PER_S, per_s)

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._fill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> None:
        """Count a request; one that wasn't allowed delays no later ones beyond the limit."""
        self._fill(now)
        self._tokens = max(0.0, self._tokens - 1.0)

    def _fill(self, now: float) -> None:
        burst = 1.0 + self._per_s * BURST_S
        added = max(0.0, now - self._filled_at) * self._per_s
        self._tokens = min(burst, self._tokens + added)
        self._filled_at = max(now, self._filled_at)
