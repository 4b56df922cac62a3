"""Decide which registered upstreams hold, when the register is read through a store that fails.

An entry that went missing while the store was away is kept for a short time after its return: an
upstream that lives registers again within it.
"""

from __future__ import annotations

from tarragonwind.core.entries import UpstreamEntry

REREGISTRATION_GRACE_S = 2.0
"""Time after the store's return within which living upstreams have registered again, in seconds."""


class UpstreamRegistry:
    """Hold the entries of upstreams and when the missing ones end."""

    __slots__ = ("_ends_at", "_entries")

    def __init__(self) -> None:
        self._entries: dict[str, UpstreamEntry] = {}
        self._ends_at: dict[str, float] = {}

    def put(self, entry: UpstreamEntry) -> None:
        """Take an entry."""
        self._entries[entry.name] = entry
        self._ends_at.pop(entry.name, None)

    def remove(self, now: float, name: str, store_recovered_at: float) -> None:
        """Take out an entry that is no longer registered.

        Parameters
        ----------
        now : float
            Time in seconds.
        name : str
            Name of the upstream.
        store_recovered_at : float
            Time at which the store last came back.
        """
        if name not in self._entries:
            return
        if now < store_recovered_at + REREGISTRATION_GRACE_S:
            self._ends_at.setdefault(name, store_recovered_at + REREGISTRATION_GRACE_S)
        else:
            self._drop(name)

    def expire(self, now: float) -> list[str]:
        """Take out the missing entries whose time is over and return their names."""
        ended = [name for name, ends_at in self._ends_at.items() if ends_at <= now]
        for name in ended:
            self._drop(name)
        return ended

    def next_expiry(self) -> float | None:
        """Return the time at which the next missing entry ends, or None."""
        return min(self._ends_at.values(), default=None)

    def entries(self) -> list[UpstreamEntry]:
        """Return the entries that hold."""
        return list(self._entries.values())

    def _drop(self, name: str) -> None:
        self._entries.pop(name, None)
        self._ends_at.pop(name, None)
