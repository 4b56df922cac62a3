"""Remember for how long upstreams have asked to get no requests."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

EVICTION_SIZE = 256
"""Number of holds above which those that have ended are dropped."""

KeyT = TypeVar("KeyT", bound=Hashable)


class UpstreamHolds(Generic[KeyT]):
    """Hold the end of each upstream's request to be left alone."""

    __slots__ = ("_latest", "_until")

    def __init__(self) -> None:
        self._until: dict[KeyT, float] = {}
        self._latest = float("-inf")

    def put(self, now: float, key: KeyT, seconds: float) -> None:
        """Hold back for a time from now; a longer hold stays."""
        if seconds <= 0:
            return
        if len(self._until) >= EVICTION_SIZE:
            self._until = {one: until for one, until in self._until.items() if until > now}
        self._until[key] = max(now + seconds, self._until.get(key, now))
        self._latest = max(self._latest, self._until[key])

    def any_left(self, now: float) -> bool:
        """Return whether any hold has not ended."""
        return now < self._latest

    def left_s(self, now: float, key: KeyT) -> float:
        """Return the time until a hold ends, in seconds; 0 if there is none."""
        return max(0.0, self._until.get(key, now) - now)
