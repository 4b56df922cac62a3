"""Choose which changed records ride on the next message."""

from __future__ import annotations

import heapq
from collections.abc import Callable

PUSH_DELAY_S = 0.02
"""Time that broadcasts waits for more broadcasts before it is pushed."""


class BroadcastQueue:
    """Count down the sends of each changed record, and tell when a push is due.

    Parameters
    ----------
    push_count : int
        Sends of each record by pushes.
    repeat_count : int
        Further sends of each record on probes.

    Attributes
    ----------
    push_at : float or None
        When a push is due, in seconds.
    """

    __slots__ = ("_repeat_count", "_sends", "_sends_left", "push_at")

    def __init__(self, push_count: int, repeat_count: int) -> None:
        self._sends = push_count + repeat_count
        self._repeat_count = repeat_count
        self._sends_left: dict[str, int] = {}
        self.push_at: float | None = None

    def add(self, name: str) -> None:
        """Let the record of a member ride on the next messages."""
        self._sends_left[name] = self._sends

    def schedule_push(self, now: float) -> None:
        """Let a push be due soon."""
        if self.push_at is None:
            self.push_at = now + PUSH_DELAY_S

    def end_push(self, now: float) -> None:
        """Note that a push was made; another one is due when not all fitted on it."""
        self.push_at = None
        if any(left > self._repeat_count for left in self._sends_left.values()):
            self.schedule_push(now)

    def take(self, count: int, first: str = "") -> list[str]:
        """Return up to `count` names, `first` before all others, then the least sent."""
        names = heapq.nlargest(count, self._sends_left, key=self._sends_left.__getitem__)
        if first and first not in names:
            names = [first, *names[: count - 1]]
        for name in names:
            self._count_send(name)
        return names

    def forget(self, unwanted: Callable[[str], bool]) -> None:
        """Send the records no more whose name is unwanted."""
        for name in list(self._sends_left):
            if unwanted(name):
                del self._sends_left[name]

    def _count_send(self, name: str) -> None:
        left = self._sends_left.get(name, 0) - 1
        if left > 0:
            self._sends_left[name] = left
        else:
            self._sends_left.pop(name, None)
