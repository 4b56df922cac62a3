"""Hold the keys of requests that are kept from upstreams, each for a limited time."""

from __future__ import annotations

from collections.abc import Iterable

QUARANTINE_S = 600.0
"""Time for which a key is kept from upstreams, in seconds."""

MAX_QUARANTINES = 1_024
"""Maximum number of keys in quarantine; the one that ends first is dropped first."""

MAX_COMBINATIONS = 64
"""Maximum number of combinations in quarantine; the one that ends first is dropped first."""


class Quarantines:
    """Hold the end of each quarantine, of a key or of a combination of several parts."""

    __slots__ = ("_combinations", "_until")

    def __init__(self) -> None:
        self._until: dict[int, float] = {}
        self._combinations: dict[frozenset[int], float] = {}

    def add_combination(self, now: float, parts: frozenset[int], seconds: float) -> bool:
        """Quarantine prompts with all of some parts; return False if they are already."""
        if self._combinations.get(parts, now) > now or seconds <= 0:
            return False
        self._combinations[parts] = now + min(seconds, QUARANTINE_S)
        while len(self._combinations) > MAX_COMBINATIONS:
            first = min(self._combinations, key=self._combinations.__getitem__)
            del self._combinations[first]
        return True

    def end_combination(self, parts: frozenset[int]) -> bool:
        """End the quarantine of a combination; return whether it was in quarantine."""
        return self._combinations.pop(parts, None) is not None

    def add(self, now: float, key: int, seconds: float = QUARANTINE_S) -> bool:
        """Quarantine a key; return False if it is in quarantine already, which then stays."""
        if self._until.get(key, now) > now or seconds <= 0:
            return False
        self._until[key] = now + min(seconds, QUARANTINE_S)
        while len(self._until) > MAX_QUARANTINES:
            del self._until[min(self._until, key=self._until.__getitem__)]
        return True

    def left_s(self, now: float, keys: Iterable[int]) -> float:
        """Return the longest time for which prompts with these keys are kept back, in seconds."""
        if not self._until and not self._combinations:
            return 0.0
        held = frozenset(keys)
        ends = [self._until[key] for key in held if key in self._until]
        ends += [until for parts, until in self._combinations.items() if parts <= held]
        return max(0.0, max(ends, default=now) - now)

    def active(self, now: float) -> dict[int, float]:
        """Return the time left of each key in quarantine, in seconds."""
        self._until = {key: until for key, until in self._until.items() if until > now}
        return {key: until - now for key, until in self._until.items()}
