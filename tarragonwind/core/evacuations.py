"""Know which data centres are evacuated, so that their upstreams get nothing new.

An evacuation lasts until it is taken back. One that a store of a new era lacks was lost with an
older copy of the store, not taken back: it stays until its writer has had time to write it again.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

from tarragonwind.core.entries import UpstreamEntry, UpstreamState

LOST_GRACE_S = 10.0
"""Time for which an evacuation that an older copy of the store lacks stays in force, in seconds.
The operator writes again what the store lost; an evacuation that ends too early breaks its bound,
one that ends too late only leaves capacity unused."""


class Evacuations:
    """Hold the evacuated data centres, and the end of those that the store has lost."""

    __slots__ = ("_expires_at", "_names")

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._expires_at: dict[str, float] = {}

    def begin(self, name: str) -> bool:
        """Record an evacuation that the store shows; return whether it is new."""
        self._expires_at.pop(name, None)
        is_new = name not in self._names
        self._names.add(name)
        return is_new

    def end(self, name: str) -> bool:
        """Record that an evacuation was taken back; return whether it was in force."""
        self._expires_at.pop(name, None)
        if name not in self._names:
            return False
        self._names.discard(name)
        return True

    def lose(self, now: float, name: str) -> bool:
        """Keep an evacuation for a while that the store has lost; return whether it is in force."""
        if name not in self._names:
            return False
        self._expires_at.setdefault(name, now + LOST_GRACE_S)
        return True

    def expire(self, now: float) -> list[str]:
        """End the lost evacuations that nobody has written again; return their data centres."""
        expired = [name for name, expires_at in self._expires_at.items() if expires_at <= now]
        for name in expired:
            self.end(name)
        return expired

    def next_expiry(self) -> float | None:
        """Return the time at which the next lost evacuation ends, or None."""
        return min(self._expires_at.values(), default=None)

    def names(self) -> frozenset[str]:
        """Return the data centres that are evacuated."""
        return frozenset(self._names)


def withhold_evacuated(
    upstreams: Iterable[UpstreamEntry], evacuated: Collection[str]
) -> list[UpstreamEntry]:
    """Return the entries with those of evacuated data centres as leaving.

    A leaving upstream stays known, so that what runs on it ends there, and gets nothing new.
    """
    return [
        (
            dataclasses.replace(entry, state=UpstreamState.LEAVING)
            if entry.data_centre in evacuated and entry.state is UpstreamState.LIVE
            else entry
        )
        for entry in upstreams
    ]
