"""Track which hosts have reported their permits to a pool's owner, and which are lost."""

from __future__ import annotations

from collections.abc import Iterable


class HostTracker:
    """Track the reports and losses of hosts within one epoch of a pool's owner."""

    __slots__ = ("_lost", "_reported", "_reported_at")

    def __init__(self) -> None:
        self._reported: set[str] = set()
        self._reported_at: dict[str, float] = {}
        self._lost: dict[str, float] = {}

    def record_report(self, now: float, host: str) -> None:
        """Record that a host has reported the permits that it holds and waits for."""
        self._reported.add(host)
        self._reported_at[host] = now

    def has_reported(self, host: str) -> bool:
        """Return whether a host has reported since it joined or returned."""
        return host in self._reported

    def reported(self) -> set[str]:
        """Return the hosts that have reported."""
        return set(self._reported)

    def is_lost(self, host: str) -> bool:
        """Return whether a host is not live and its permits have not been freed yet."""
        return host in self._lost

    def mark_lost(self, now: float, hosts: Iterable[str]) -> None:
        """Mark hosts as no longer live; a host that is already lost keeps its earlier time."""
        for host in hosts:
            self._lost.setdefault(host, now)

    def take_returned(self, live: set[str]) -> list[str]:
        """Remove and return the lost hosts that are live again; they have to report anew."""
        returned = [host for host in self._lost if host in live]
        self._forget(returned)
        return returned

    def take_expired(self, before: float) -> list[str]:
        """Remove and return the hosts that were lost at or before a time."""
        expired = [host for host, lost_at in self._lost.items() if lost_at <= before]
        self._forget(expired)
        return expired

    def take_overdue(self, now: float, hosts: Iterable[str], before: float) -> list[str]:
        """Return the given hosts, lost ones excepted, without a report since `before`.

        Their time of the last report is set to `now`, so that each is returned once per period.
        """
        overdue = sorted(
            host
            for host in hosts
            if host not in self._lost and self._reported_at.get(host, before) <= before
        )
        for host in overdue:
            self._reported_at[host] = now
        return overdue

    def clear(self) -> None:
        """Remove all hosts, as at the start of an epoch."""
        self._reported.clear()
        self._reported_at.clear()
        self._lost.clear()

    def _forget(self, hosts: list[str]) -> None:
        for host in hosts:
            del self._lost[host]
            self._reported.discard(host)
            self._reported_at.pop(host, None)
