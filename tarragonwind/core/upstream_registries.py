"""Keep the registered upstreams while the key-value store is unavailable or goes back in time.

Registrations can expire while the store is unavailable. An entry that is missing after the outage
is kept for a grace period, within which a live upstream registers again. A store that comes back
from an older copy shows registrations that have changed or ended since; these stay as they were.
"""

from __future__ import annotations

import dataclasses

from tarragonwind.core.entries import UpstreamEntry, UpstreamState
from tarragonwind.core.store_positions import ORIGIN, StorePosition

MAX_DEPARTED = 1_024
"""Maximum number of remembered upstreams that leave or are gone; the oldest is dropped first."""
REREGISTRATION_GRACE_S = 2.0
"""Time after a store outage within which live upstreams have registered again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """Hold an entry and the position at which it was written."""

    entry: UpstreamEntry
    position: StorePosition


def is_same_start(one: UpstreamEntry, other: UpstreamEntry) -> bool:
    """Return whether two entries describe one start of an upstream at one address."""
    return (one.name, one.incarnation, one.host, one.port) == (
        other.name,
        other.incarnation,
        other.host,
        other.port,
    )


def is_older_start(entry: UpstreamEntry, position: StorePosition, known: Registration) -> bool:
    """Return whether an older copy of the store shows a start before the known one."""
    return position.era > known.position.era and entry.incarnation < known.entry.incarnation


class UpstreamRegistry:
    """Hold the registrations of upstreams and the expiry times of missing ones."""

    __slots__ = ("_departed", "_expires_at", "_registrations")

    def __init__(self) -> None:
        self._registrations: dict[str, Registration] = {}
        self._expires_at: dict[str, float] = {}
        self._departed: dict[str, Registration] = {}

    def put(self, entry: UpstreamEntry, position: StorePosition = ORIGIN) -> bool:
        """Add or replace an entry; return False if it is an outdated one, which has no effect.

        An upstream that was leaving stays so until it starts again or has another address.
        """
        known = self._registrations.get(entry.name)
        if known is not None and is_older_start(entry, position, known):
            return False
        departed = self._departed.get(entry.name)
        if departed is not None and not is_same_start(departed.entry, entry):
            del self._departed[entry.name]
            departed = None
        if departed is not None and self._is_outdated(departed, entry, position):
            return False
        if departed is not None and departed.entry.state is UpstreamState.LEAVING:
            entry = dataclasses.replace(entry, state=UpstreamState.LEAVING)
        if entry.state is UpstreamState.LEAVING:
            self._remember(Registration(entry, position))
        self._registrations[entry.name] = Registration(entry, position)
        self._expires_at.pop(entry.name, None)
        return True

    def _is_outdated(
        self, departed: Registration, entry: UpstreamEntry, position: StorePosition
    ) -> bool:
        """Return whether an older copy of the store shows a registration that has ended since."""
        gone = entry.name not in self._registrations
        from_copy = position.era > departed.position.era
        same_write = position.revision == departed.position.revision and entry == departed.entry
        return gone and from_copy and same_write

    def _remember(self, registration: Registration) -> None:
        self._departed.pop(registration.entry.name, None)
        self._departed[registration.entry.name] = registration
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def mark_leaving(self, name: str, incarnation: int, host: str, port: int) -> bool:
        """Mark one start of an upstream as leaving; return False if it is unknown or marked."""
        registration = self._registrations.get(name)
        if registration is None or registration.entry.state is UpstreamState.LEAVING:
            return False
        entry = registration.entry
        if (entry.incarnation, entry.host, entry.port) != (incarnation, host, port):
            return False
        return self.put(
            dataclasses.replace(entry, state=UpstreamState.LEAVING), registration.position
        )

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
        if name not in self._registrations:
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
        return [registration.entry for registration in self._registrations.values()]

    def _delete(self, name: str) -> None:
        registration = self._registrations.pop(name, None)
        self._expires_at.pop(name, None)
        if registration is not None:
            self._remember(registration)
