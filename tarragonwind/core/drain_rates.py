"""Measure the rate at which a pool drains its queue."""

from __future__ import annotations

import math

TIME_CONSTANT_S = 5.0
"""Time constant of the exponential moving average."""

MEASURED_AFTER_S = 2.0
"""Busy time after which the measured rate replaces the nominal one."""


class DrainRate:
    """Estimate the tokens granted per second while requests are queued."""

    __slots__ = ("_busy_s", "_granted", "_nominal", "_observed_at", "_rate", "_was_busy")

    def __init__(self) -> None:
        self._nominal = 1.0
        self._rate = 0.0
        self._granted = 0
        self._busy_s = 0.0
        self._observed_at: float | None = None
        self._was_busy = False

    @property
    def tokens_per_s(self) -> float:
        """Return the measured rate, or the nominal rate until there is one."""
        return max(1.0, self._rate if self.measured else self._nominal)

    @property
    def measured(self) -> bool:
        """Return True once enough busy time has been observed."""
        return self._busy_s >= MEASURED_AFTER_S

    def set_nominal(self, nominal: float) -> None:
        """Set the rate from the catalogue, in tokens per second."""
        self._nominal = nominal

    def add(self, cost_tokens: int) -> None:
        """Add granted work."""
        self._granted += cost_tokens

    def observe(self, now: float, is_busy: bool) -> None:
        """End a measurement period; it counts if requests were queued at its start and at its end.

        Parameters
        ----------
        now : float
            Time in seconds.
        is_busy : bool
            Whether requests are queued now.
        """
        granted = self._granted
        self._granted = 0
        observed_at = self._observed_at
        self._observed_at = now
        counts = self._was_busy and is_busy
        self._was_busy = is_busy
        if observed_at is None or not counts or now <= observed_at:
            return
        period_s = now - observed_at
        weight = 1.0 - math.exp(-period_s / TIME_CONSTANT_S)
        if self._busy_s == 0.0:
            self._rate = self._nominal
        self._busy_s += period_s
        self._rate += weight * (granted / period_s - self._rate)
