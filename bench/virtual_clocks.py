"""Timers on a virtual clock, for experiments and tests that do not wait."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

EPOCH_S = 1_000_000.0
"""Wall-clock time at the start, in seconds."""


class VirtualTimer:
    """Registration of one callback, with a period of 0 if it is called once."""

    __slots__ = ("callback", "cancelled", "period_s")

    def __init__(self, callback: Callable[[], None], period_s: float) -> None:
        self.callback = callback
        self.period_s = period_s
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the timer."""
        self.cancelled = True


class VirtualTimers:
    """Implement the timers port on a clock that only `advance` moves."""

    def __init__(self) -> None:
        self._time = 0.0
        self._heap: list[tuple[float, int, VirtualTimer]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Return the virtual time since the start, in seconds."""
        return self._time

    def wall(self) -> float:
        """Return the virtual wall-clock time, in seconds."""
        return EPOCH_S + self._time

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> VirtualTimer:
        """Call `callback` once, after `delay_s` seconds."""
        return self._push(self._time + delay_s, VirtualTimer(callback, 0.0))

    def call_every(self, period_s: float, callback: Callable[[], None]) -> VirtualTimer:
        """Call `callback` every `period_s` seconds."""
        return self._push(self._time + period_s, VirtualTimer(callback, period_s))

    def _push(self, due: float, timer: VirtualTimer) -> VirtualTimer:
        heapq.heappush(self._heap, (due, next(self._sequence), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the timers that fall due."""
        end = self._time + seconds
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                continue
            self._time = max(self._time, due)
            if timer.period_s:
                self._push(due + timer.period_s, timer)
            timer.callback()
        self._time = end

    def advance_until(self, condition: Callable[[], bool], limit_s: float, step_s: float) -> bool:
        """Advance in steps until `condition` holds; return False if `limit_s` passes first."""
        end = self._time + limit_s
        while not condition():
            if self._time >= end:
                return False
            self.advance(step_s)
        return True
