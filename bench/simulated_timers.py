"""Run the timers of a simulated host in the rounds of its event loop."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from bench.virtual_clocks import VirtualTimer

if TYPE_CHECKING:
    from bench.simulated_hosts import SimulatedHost


class HostTimers:
    """Run the timers of one host in the rounds of its loop, until its process ends.

    Parameters
    ----------
    host : SimulatedHost
        The host.
    """

    def __init__(self, host: SimulatedHost) -> None:
        self._host = host
        self._fleet = host.fleet
        self._started_at = host.fleet.clock.now()

    def now(self) -> float:
        """Return the time on the host, which passes while it works, in seconds."""
        return self._fleet.clock.now() + self._host.worked_s

    def wall(self) -> float:
        """Return the wall-clock time in seconds."""
        return self._fleet.clock.wall()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> VirtualTimer:
        """Call `callback` once."""
        timer = VirtualTimer(callback, 0.0)
        self._schedule(self.now() + max(0.0, delay_s), timer)
        return timer

    def call_every(self, period_s: float, callback: Callable[[], None]) -> VirtualTimer:
        """Call `callback` at multiples of a period since the start of the process."""
        timer = VirtualTimer(callback, period_s)
        self._schedule(self._next_due(period_s), timer)
        return timer

    def _next_due(self, period_s: float) -> float:
        passed = math.floor((self.now() - self._started_at) / period_s + 1e-6)
        return self._started_at + (passed + 1) * period_s

    def _schedule(self, due: float, timer: VirtualTimer) -> None:
        delay_s = max(0.0, due - self._fleet.clock.now())
        self._fleet.clock.call_later(delay_s, lambda: self._arrive(timer))

    def _arrive(self, timer: VirtualTimer) -> None:
        if timer.cancelled or not self._host.alive:
            return
        name = getattr(timer.callback, "__qualname__", "timer")
        self._host.work(f"timer {name}", self._host.costs.timer_s, lambda: self._run(timer))

    def _run(self, timer: VirtualTimer) -> None:
        if timer.cancelled:
            return
        if timer.period_s:
            self._schedule(self._next_due(timer.period_s), timer)
        timer.callback()
