"""Tell which part of the fleet this host's side is, so that sides that lose each other add up.

A lost host may be dead or cut off. Its lease in the store tells: it lapses when the host is dead
and is kept while it is only cut off from the others. Without the store a lost host counts for a
while.
"""

from __future__ import annotations

from collections.abc import Iterable

LOST_HOST_RETENTION_S = 30.0
"""Time for which a lost host counts while the store can't tell, in seconds."""


class FleetShares:
    """Hold who lives, who holds a lease and who lived lately.

    Parameters
    ----------
    name : str
        Name of this host.
    """

    __slots__ = ("_lived_at", "_live", "_leased", "_leaving", "_store_away")

    def __init__(self, name: str) -> None:
        self._live: frozenset[str] = frozenset([name])
        self._leaving: frozenset[str] = frozenset()
        self._leased: frozenset[str] = frozenset()
        self._lived_at: dict[str, float] = {}
        self._store_away = True

    def set_live(self, now: float, live: Iterable[str], leaving: Iterable[str]) -> None:
        """Take in which hosts live and which have announced their planned stop."""
        self._live = frozenset(live) or self._live
        self._leaving = frozenset(leaving)
        for host in self._live:
            self._lived_at[host] = now

    def set_leased(self, leased: Iterable[str], store_away: bool) -> None:
        """Take in which hosts hold a lease, and whether the store can tell now."""
        self._leased = frozenset(leased)
        self._store_away = store_away

    def size(self, now: float) -> int:
        """Return the number of hosts of the whole fleet."""
        known = self._live | (self._leased - self._leaving)
        if self._store_away:
            known |= {
                host
                for host, at in self._lived_at.items()
                if now - at <= LOST_HOST_RETENTION_S and host not in self._leaving
            }
        return max(1, len(known))

    def live_fraction(self, now: float) -> float:
        """Return the part of the fleet that this side is, above 0 and at most 1."""
        return min(1.0, len(self._live) / self.size(now))

    def own_share(self, now: float) -> float:
        """Return this host's equal share of what the whole fleet may use."""
        return 1.0 / self.size(now)
