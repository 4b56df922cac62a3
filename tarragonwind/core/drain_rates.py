"""Measure how fast a pool takes work off its queue."""

from __future__ import annotations

import math

TIME_CONSTANT_S = 5.0
"""Time over which the measured rate forgets, in seconds."""

MEASURED_AFTER_S = 2.0
"""Busy time after which the measured rate is used, in seconds."""


class DrainRate:
    """Estimate the tokens a second that are granted while asks wait."""

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
        """Return the measured rate, or the nominal one before there is a measurement."""
        return max(1.0, self._rate if self.measured else self._nominal)

    @property
    def measured(self) -> bool:
        """Tell whether the rate was measured."""
        return self._busy_s >= MEASURED_AFTER_S

    def set_nominal(self, nominal: float) -> None:
        """Set the rate that the catalogue promises, in tokens a second."""
        self._nominal = nominal

    def add(self, cost_tokens: int) -> None:
        """Count granted work."""
        self._granted += cost_tokens

    def observe(self, now: float, is_busy: bool) -> None:
        """Close a period; it counts when asks waited at its beginning and at its end.

        Parameters
        ----------
        now : float
            Time in seconds.
        is_busy : bool
            Whether asks wait now.
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
