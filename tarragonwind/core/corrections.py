"""Correct predicted times by the ratio of observed to predicted times."""

from __future__ import annotations

import math

RATIO_CACHE_S = 0.05
"""Time for which a computed ratio is cached, in seconds."""


class Correction:
    """Average the ratio of observed to predicted times, decaying to 1 without observations.

    Parameters
    ----------
    weight : float
        Weight of one observation.
    half_life_s : float
        Half-life of the logarithm of the ratio, in seconds.
    bound : float
        Upper bound of the ratio; its reciprocal is the lower bound.
    """

    __slots__ = (
        "_half_life_s",
        "_log_bound",
        "_log_ratio",
        "_observed_at",
        "_ratio",
        "_ratio_at",
        "_weight",
    )

    def __init__(self, weight: float, half_life_s: float, bound: float) -> None:
        self._weight = weight
        self._half_life_s = half_life_s
        self._log_bound = math.log(bound)
        self._log_ratio = 0.0
        self._observed_at = 0.0
        self._ratio = 1.0
        self._ratio_at = -math.inf

    def observe(self, now: float, predicted_s: float, observed_s: float) -> None:
        """Update the ratio with one observation.

        Parameters
        ----------
        now : float
            Time in seconds.
        predicted_s : float
            Predicted time, already multiplied by the ratio in force at the time of the prediction.
        observed_s : float
            Observed time.
        """
        if predicted_s <= 0 or observed_s <= 0:
            return
        log_ratio = self._decayed(now) + self._weight * math.log(observed_s / predicted_s)
        self._log_ratio = min(self._log_bound, max(-self._log_bound, log_ratio))
        self._observed_at = now
        self._ratio_at = -math.inf

    def ratio(self, now: float) -> float:
        """Return the factor by which predictions are to be multiplied."""
        if now - self._ratio_at >= RATIO_CACHE_S:
            self._ratio = math.exp(self._decayed(now))
            self._ratio_at = now
        return self._ratio

    def _decayed(self, now: float) -> float:
        idle_s = max(0.0, now - self._observed_at)
        return float(self._log_ratio * 0.5 ** (idle_s / self._half_life_s))
