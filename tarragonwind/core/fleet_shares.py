"""Compute the fraction of the fleet on this side of a network partition.

The fractions of all sides of a partition add up to 1, so that limits shared by the fleet are not
exceeded. An unreachable host may be dead or partitioned. Its lease in the store distinguishes the
two: the lease expires if the host is dead and is renewed while the host runs. While the store is
unavailable, an unreachable host counts for `LOST_HOST_RETENTION_S`. Limits that must hold in each
partition, even for hosts that have lost their lease, use `retained_fraction`.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from tarragonwind.records import dataclass

LOST_HOST_RETENTION_S = 30.0
"""Time for which an unreachable host still counts without a lease."""


@dataclass(frozen=True, slots=True)
class RecentCount:
    """Hold how many lost hosts still count without a lease, and until when that is so."""

    hosts: int
    valid_until: float


class FleetShares:
    """Track live hosts, lease holders and hosts that were live recently.

    All values are kept between changes of these sets, as they are asked for with each report of
    tokens and each tick.

    Parameters
    ----------
    name : str
        Name of this host.
    """

    __slots__ = (
        "_given",
        "_leased",
        "_leaving",
        "_live",
        "_live_at",
        "_lost_at",
        "_recent",
        "_reserved",
        "_store_unavailable",
    )

    def __init__(self, name: str) -> None:
        self._live: frozenset[str] = frozenset([name])
        self._live_at = -inf
        self._leaving: frozenset[str] = frozenset()
        self._leased: frozenset[str] = frozenset()
        self._lost_at: dict[str, float] = {}
        self._given: tuple[object, object] = (None, None)
        self._store_unavailable = True
        self._reserved: frozenset[str] = frozenset()
        self._recent: dict[float, RecentCount] = {}

    def set_live(self, now: float, live: Iterable[str], leaving: Iterable[str]) -> None:
        """Set the live hosts and the hosts that have announced a graceful shutdown.

        Several calls a second pass the tuples of the call before; these cost no look at the hosts.
        """
        given = (live, leaving)
        if not are_same_tuples(given, self._given):
            self._given = given
            self._replace_hosts(frozenset(live) or self._live, frozenset(leaving))
        self._live_at = now

    def _replace_hosts(self, live: frozenset[str], leaving: frozenset[str]) -> None:
        for host in self._live - live:
            self._lost_at[host] = self._live_at
        for host in live - self._live:
            self._lost_at.pop(host, None)
        self._live, self._leaving = live, leaving
        self._on_changed()

    def set_leased(self, leased: Iterable[str], store_unavailable: bool) -> None:
        """Set the hosts that hold a lease, and whether the store is unavailable.

        The frozenset of the call before costs no look at the hosts.
        """
        self._store_unavailable = store_unavailable
        if leased is not self._leased:
            self._leased = frozenset(leased)
            self._on_changed()

    def _on_changed(self) -> None:
        """Work out which hosts count beside the live ones as long as they hold their leases."""
        self._reserved = self._leased - self._leaving - self._live
        self._recent.clear()

    def size(self, now: float) -> int:
        """Return the number of hosts in the whole fleet, at least 1."""
        known = len(self._live) + len(self._reserved)
        if self._store_unavailable:
            known += self._recently_live(now, LOST_HOST_RETENTION_S)
        return max(1, known)

    def _recently_live(self, now: float, retention_s: float) -> int:
        """Return the number of lost hosts that count for a time without a lease."""
        recent = self._recent.get(retention_s)
        if recent is None or now > recent.valid_until:
            times = [
                lost_at
                for host, lost_at in self._lost_at.items()
                if now - lost_at <= retention_s
                and host not in self._leaving
                and host not in self._reserved
            ]
            recent = RecentCount(len(times), min(times, default=inf) + retention_s)
            self._recent[retention_s] = recent
        return recent.hosts

    def live_fraction(self, now: float) -> float:
        """Return the fraction of the fleet that is live on this side, above 0 and at most 1."""
        return min(1.0, len(self._live) / self.size(now))

    def retained_fraction(self, now: float, retention_s: float = LOST_HOST_RETENTION_S) -> float:
        """Return the live fraction if lost hosts count for the retention time without a lease.

        A host that is cut off from the store as well loses its lease but still serves callers.
        """
        known = len(self._live) + len(self._reserved) + self._recently_live(now, retention_s)
        return min(1.0, len(self._live) / max(1, known))

    def own_share(self, now: float) -> float:
        """Return this host's equal share of a limit that applies to the whole fleet."""
        return 1.0 / self.size(now)


def are_same_tuples(given: tuple[object, ...], before: tuple[object, ...]) -> bool:
    """Return whether collections are the same objects as before and can't have changed since."""
    return all(
        type(one) is tuple and one is other for one, other in zip(given, before, strict=True)
    )
