"""Correct predicted times by the times that were observed."""

from __future__ import annotations

import math

REFRESH_S = 0.05
"""Time for which a worked-out ratio is used again, in seconds."""


class Correction:
    """Average the ratio of observed to predicted times; without observations it returns to 1.

    Parameters
    ----------
    weight : float
        Weight of one observation.
    half_life_s : float
        Time in which it returns half-way to 1, in seconds.
    bound : float
        Largest ratio; its reciprocal is the smallest.
    """

    __slots__ = (
        "_bound",
        "_half_life_s",
        "_log_ratio",
        "_observed_at",
        "_ratio",
        "_ratio_at",
        "_weight",
    )

    def __init__(self, weight: float, half_life_s: float, bound: float) -> None:
        self._weight = weight
        self._half_life_s = half_life_s
        self._bound = math.log(bound)
        self._log_ratio = 0.0
        self._observed_at = 0.0
        self._ratio = 1.0
        self._ratio_at = -math.inf

    def observe(self, now: float, predicted_s: float, observed_s: float) -> None:
        """Take in one prediction, made with the ratio of its time, and what came of it."""
        if predicted_s <= 0 or observed_s <= 0:
            return
        moved = self._decayed(now) + self._weight * math.log(observed_s / predicted_s)
        self._log_ratio = min(self._bound, max(-self._bound, moved))
        self._observed_at = now
        self._ratio_at = -math.inf

    def ratio(self, now: float) -> float:
        """Return the factor that predictions are to be multiplied by."""
        if now - self._ratio_at >= REFRESH_S:
            self._ratio = math.exp(self._decayed(now))
            self._ratio_at = now
        return self._ratio

    def _decayed(self, now: float) -> float:
        idle_s = max(0.0, now - self._observed_at)
        return float(self._log_ratio * 0.5 ** (idle_s / self._half_life_s))
