"""Keep the registered upstreams during outages of the key-value store.

Registrations can expire while the store is unavailable. An entry that is missing after the outage
is kept for a grace period, within which a live upstream registers again.
"""

from __future__ import annotations

from tarragonwind.core.entries import UpstreamEntry

REREGISTRATION_GRACE_S = 2.0
"""Time after a store outage within which live upstreams have registered again."""


class UpstreamRegistry:
    """Hold the entries of upstreams and the expiry times of missing ones."""

    __slots__ = ("_entries", "_expires_at")

    def __init__(self) -> None:
        self._entries: dict[str, UpstreamEntry] = {}
        self._expires_at: dict[str, float] = {}

    def put(self, entry: UpstreamEntry) -> None:
        """Add or replace an entry."""
        self._entries[entry.name] = entry
        self._expires_at.pop(entry.name, None)

    def remove(self, now: float, name: str, store_recovered_at: float) -> None:
        """Remove an entry that is no longer registered, after the grace period if one is running.

        Parameters
        ----------
        now : float
            Time in seconds.
        name : str
            Name of the upstream.
        store_recovered_at : float
            Time at which the store last became available again.
        """
        if name not in self._entries:
            return
        if now < store_recovered_at + REREGISTRATION_GRACE_S:
            self._expires_at.setdefault(name, store_recovered_at + REREGISTRATION_GRACE_S)
        else:
            self._delete(name)

    def expire(self, now: float) -> list[str]:
        """Remove missing entries whose grace period has ended and return their names."""
        expired = [name for name, expires_at in self._expires_at.items() if expires_at <= now]
        for name in expired:
            self._delete(name)
        return expired

    def next_expiry(self) -> float | None:
        """Return the time at which the next missing entry expires, or None."""
        return min(self._expires_at.values(), default=None)

    def entries(self) -> list[UpstreamEntry]:
        """Return all current entries."""
        return list(self._entries.values())

    def _delete(self, name: str) -> None:
        self._entries.pop(name, None)
        self._expires_at.pop(name, None)
