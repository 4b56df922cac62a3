"""Remember which hosts have told a pool's owner what they hold, and which are lost."""

from __future__ import annotations

from collections.abc import Iterable


class HostTracker:
    """Hold what an owner knows of hosts in its present epoch."""

    __slots__ = ("_lost", "_reported", "_reported_at")

    def __init__(self) -> None:
        self._reported: set[str] = set()
        self._reported_at: dict[str, float] = {}
        self._lost: dict[str, float] = {}

    def record_report(self, now: float, host: str) -> None:
        """Note that a host has told what it waits for and holds."""
        self._reported.add(host)
        self._reported_at[host] = now

    def has_reported(self, host: str) -> bool:
        """Tell whether a host has made a statement since it came or came back."""
        return host in self._reported

    def reported(self) -> set[str]:
        """Return the hosts that have made a statement."""
        return set(self._reported)

    def is_lost(self, host: str) -> bool:
        """Tell whether a host is not live and its permits are not free yet."""
        return host in self._lost

    def mark_lost(self, now: float, hosts: Iterable[str]) -> None:
        """Note that hosts are not live any more."""
        for host in hosts:
            self._lost.setdefault(host, now)

    def take_returned(self, live: set[str]) -> list[str]:
        """Return the lost hosts that are live again; they have to make a statement."""
        back = [host for host in self._lost if host in live]
        self._forget(back)
        return back

    def take_expired(self, before: float) -> list[str]:
        """Return the hosts that were lost before a time, and forget them."""
        ended = [host for host, lost_at in self._lost.items() if lost_at <= before]
        self._forget(ended)
        return ended

    def take_overdue(self, now: float, hosts: Iterable[str], before: float) -> list[str]:
        """Return those of live hosts without a statement since a time, and count them anew."""
        silent = sorted(
            host
            for host in hosts
            if host not in self._lost and self._reported_at.get(host, before) <= before
        )
        for host in silent:
            self._reported_at[host] = now
        return silent

    def clear(self) -> None:
        """Forget all hosts, as at the start of an epoch."""
        self._reported.clear()
        self._reported_at.clear()
        self._lost.clear()

    def _forget(self, hosts: list[str]) -> None:
        for host in hosts:
            del self._lost[host]
            self._reported.discard(host)
            self._reported_at.pop(host, None)
