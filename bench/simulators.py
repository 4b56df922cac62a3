"""Run callbacks in the order of their times, for experiments over the core."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Simulator:
    """Hold what is to be called at which time.

    Attributes
    ----------
    now : float
        Time of the callback that runs, in seconds.
    """

    __slots__ = ("_events", "_numbers", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Call `callback` at a time, or next when it has passed."""
        heapq.heappush(self._events, (max(time, self.now), next(self._numbers), callback))

    def call_every(self, period_s: float, callback: Callable[[], None], first: float) -> None:
        """Call `callback` every `period_s` seconds from a time on."""

        def call() -> None:
            callback()
            self.call_at(self.now + period_s, call)

        self.call_at(first, call)

    def run(self, until: float) -> None:
        """Run everything that is due before a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until
