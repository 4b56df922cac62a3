"""Queue changed member records to piggyback on a limited number of messages each."""

from __future__ import annotations

import heapq
from collections.abc import Callable

PUSH_DELAY_S = 0.02
"""Delay before a push, so that records that change at about the same time share a message."""


class BroadcastQueue:
    """Count down the remaining sends of each changed record and schedule pushes.

    Parameters
    ----------
    push_count : int
        Number of sends of each record by pushes.
    repeat_count : int
        Number of further sends of each record on probes.

    Attributes
    ----------
    push_at : float or None
        Time at which a push is due, in seconds; None if none is scheduled.
    """

    __slots__ = ("_repeat_count", "_sends", "_sends_left", "push_at")

    def __init__(self, push_count: int, repeat_count: int) -> None:
        self._sends = push_count + repeat_count
        self._repeat_count = repeat_count
        self._sends_left: dict[str, int] = {}
        self.push_at: float | None = None

    def add(self, name: str) -> None:
        """Queue the record of a member with its full number of sends."""
        self._sends_left[name] = self._sends

    def schedule_push(self, now: float) -> None:
        """Schedule a push after `PUSH_DELAY_S` unless one is already scheduled."""
        if self.push_at is None:
            self.push_at = now + PUSH_DELAY_S

    def end_push(self, now: float) -> None:
        """Complete a push; schedule another one if some records did not fit into it."""
        self.push_at = None
        if any(left > self._repeat_count for left in self._sends_left.values()):
            self.schedule_push(now)

    def take(self, count: int, first: str = "") -> list[str]:
        """Return up to `count` names, the least sent first, and count a send of each.

        `first` is included even if it is not queued.
        """
        names = heapq.nlargest(count, self._sends_left, key=self._sends_left.__getitem__)
        if first and first not in names:
            names = [first, *names[: count - 1]]
        for name in names:
            self._count_send(name)
        return names

    def forget(self, predicate: Callable[[str], bool]) -> None:
        """Drop the queued records for whose name the predicate returns True."""
        for name in list(self._sends_left):
            if predicate(name):
                del self._sends_left[name]

    def _count_send(self, name: str) -> None:
        left = self._sends_left.get(name, 0) - 1
        if left > 0:
            self._sends_left[name] = left
        else:
            self._sends_left.pop(name, None)
