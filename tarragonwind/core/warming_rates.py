"""Estimate how fast a pool works off its queue while most of its upstreams are cold."""

from __future__ import annotations

import math
from collections.abc import Iterable

from tarragonwind.core.cold_upstreams import WINDOW_S
from tarragonwind.core.queues import PRIORITY_COUNT
from tarragonwind.core.upstream_loads import UpstreamLoad

LEAST_LEFT = 0.1
"""Fraction of the rate of a warm pool that is expected to be left for any tier."""
ASKED_PERIOD_S = 0.2
"""Shortest measurement period of the work asked for, in seconds."""
ASKED_TIME_CONSTANT_S = 2.0
"""Time constant of its exponential moving average, in seconds."""
MOSTLY_COLD = 0.5
"""Fraction of a pool's nominal rate at cold upstreams above which the measured rate misleads."""


class WarmingRate:
    """Hold the rate of a pool now and what is added when each cold upstream has warmed.

    Parameters
    ----------
    tokens_per_s : float
        Rate now, in tokens per second.
    gains : iterable of (float, float)
        Time until an upstream is warm, in seconds, and the rate that it adds.
    """

    __slots__ = ("_gains", "tokens_per_s")

    def __init__(self, tokens_per_s: float, gains: Iterable[tuple[float, float]]) -> None:
        self.tokens_per_s = tokens_per_s
        self._gains = sorted(gains)

    def drain_s(self, work: float, taken: float = 0.0) -> float:
        """Return the time that some work takes, in seconds.

        Parameters
        ----------
        work : float
            Work, in tokens.
        taken : float
            Rate at which work arrives that is served first, in tokens per second.
        """
        rate, elapsed_s = self.tokens_per_s, 0.0
        for after_s, gain in self._gains:
            done = max(0.0, rate - taken) * (after_s - elapsed_s)
            if work <= done:
                break
            work -= done
            elapsed_s = after_s
            rate += gain
        return elapsed_s + work / max(1.0, rate - taken, LEAST_LEFT * rate)


class AskedRate:
    """Measure the work that callers ask for by priority, in tokens per second."""

    __slots__ = ("_asked", "_observed_at", "_rates")

    def __init__(self) -> None:
        self._asked = [0.0] * PRIORITY_COUNT
        self._rates = [0.0] * PRIORITY_COUNT
        self._observed_at: float | None = None

    def add(self, priority: int, cost_tokens: int) -> None:
        """Add the work of a request."""
        self._asked[priority] += cost_tokens

    def observe(self, now: float) -> None:
        """End a measurement period."""
        observed_at = self._observed_at
        if observed_at is not None and now - observed_at < ASKED_PERIOD_S:
            return
        self._observed_at = now
        if observed_at is not None:
            period_s = now - observed_at
            weight = 1.0 - math.exp(-period_s / ASKED_TIME_CONSTANT_S)
            for priority, asked in enumerate(self._asked):
                self._rates[priority] += weight * (asked / period_s - self._rates[priority])
        self._asked = [0.0] * PRIORITY_COUNT

    def above(self, priority: int) -> float:
        """Return the rate of all higher priorities."""
        return sum(self._rates[:priority])


def create_warming_rate(
    now: float, loads: Iterable[UpstreamLoad], request_tokens: float, measured: float
) -> WarmingRate | None:
    """Return the rate of a pool that is mostly cold, None if it is not.

    Parameters
    ----------
    now : float
        Time in seconds.
    loads : iterable of UpstreamLoad
        Upstreams of the pool.
    request_tokens : float
        Mean work of a request, in tokens.
    measured : float
        Measured rate, in tokens per second; infinity if there is none.
    """
    warm_rate = cold_rate = cold_nominal = 0.0
    gains = []
    for load in loads:
        if load.strict.cold is None or not load.is_available():
            continue
        nominal = load.entry.tokens_per_s * load.share
        budget = load.strict.cold_budget(now)
        if budget is None:
            warm_rate += nominal
            continue
        paced = min(nominal, budget / WINDOW_S * request_tokens)
        cold_nominal += nominal
        cold_rate += paced
        gains.append((load.strict.cold_left_s(now), nominal - paced))
    if not gains or cold_nominal <= MOSTLY_COLD * (warm_rate + cold_nominal):
        return None
    return WarmingRate(max(1.0, min(measured, warm_rate + cold_rate)), gains)
