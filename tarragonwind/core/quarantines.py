"""Hold the keys of requests that are kept from upstreams, each for a limited time."""

from __future__ import annotations

from collections.abc import Iterable

QUARANTINE_S = 600.0
"""Time for which a key is kept from upstreams, in seconds."""

MAX_QUARANTINES = 1_024
"""Maximum number of keys in quarantine; the one that ends first is dropped first."""


class Quarantines:
    """Hold the end of each key's quarantine."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[int, float] = {}

    def add(self, now: float, key: int, seconds: float = QUARANTINE_S) -> bool:
        """Quarantine a key; return False if it is in quarantine already, which then stays."""
        if self._until.get(key, now) > now or seconds <= 0:
            return False
        self._until[key] = now + min(seconds, QUARANTINE_S)
        while len(self._until) > MAX_QUARANTINES:
            del self._until[min(self._until, key=self._until.__getitem__)]
        return True

    def left_s(self, now: float, keys: Iterable[int]) -> float:
        """Return the longest time for which any of the keys stays in quarantine, in seconds."""
        if not self._until:
            return 0.0
        return max((max(0.0, self._until.get(key, now) - now) for key in keys), default=0.0)

    def active(self, now: float) -> dict[int, float]:
        """Return the time left of each key in quarantine, in seconds."""
        self._until = {key: until for key, until in self._until.items() if until > now}
        return {key: until - now for key, until in self._until.items()}
