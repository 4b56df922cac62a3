"""Discrete-event simulation for experiments on the core."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Simulator:
    """Run callbacks in the order of their simulated times.

    Attributes
    ----------
    now : float
        Current simulated time, in seconds.
    """

    __slots__ = ("_events", "_numbers", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Call `callback` at `time`, or at the current time if `time` has passed."""
        heapq.heappush(self._events, (max(time, self.now), next(self._numbers), callback))

    def call_every(self, period_s: float, callback: Callable[[], None], first: float) -> None:
        """Call `callback` every `period_s` seconds, starting at the time `first`."""

        def call() -> None:
            callback()
            self.call_at(self.now + period_s, call)

        self.call_at(first, call)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to and including the time `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until
