"""Remember which hosts have told a pool's owner what they hold, and which are lost."""

from __future__ import annotations

from collections.abc import Iterable


class HostRegister:
    """Hold what an owner knows of hosts in its present epoch."""

    __slots__ = ("_lost", "_stated", "_stated_at")

    def __init__(self) -> None:
        self._stated: set[str] = set()
        self._stated_at: dict[str, float] = {}
        self._lost: dict[str, float] = {}

    def note_statement(self, now: float, host: str) -> None:
        """Note that a host has told what it waits for and holds."""
        self._stated.add(host)
        self._stated_at[host] = now

    def has_stated(self, host: str) -> bool:
        """Tell whether a host has made a statement since it came or came back."""
        return host in self._stated

    def stated(self) -> set[str]:
        """Return the hosts that have made a statement."""
        return set(self._stated)

    def is_lost(self, host: str) -> bool:
        """Tell whether a host is not live and its permits are not free yet."""
        return host in self._lost

    def lose(self, now: float, hosts: Iterable[str]) -> None:
        """Note that hosts are not live any more."""
        for host in hosts:
            self._lost.setdefault(host, now)

    def take_back(self, live: set[str]) -> list[str]:
        """Return the lost hosts that are live again; they have to make a statement."""
        back = [host for host in self._lost if host in live]
        self._forget(back)
        return back

    def take_ended(self, before: float) -> list[str]:
        """Return the hosts that were lost before a time, and forget them."""
        ended = [host for host, lost_at in self._lost.items() if lost_at <= before]
        self._forget(ended)
        return ended

    def take_silent(self, now: float, hosts: Iterable[str], before: float) -> list[str]:
        """Return those of live hosts without a statement since a time, and count them anew."""
        silent = sorted(
            host
            for host in hosts
            if host not in self._lost and self._stated_at.get(host, before) <= before
        )
        for host in silent:
            self._stated_at[host] = now
        return silent

    def clear(self) -> None:
        """Forget all hosts, as at the start of an epoch."""
        self._stated.clear()
        self._stated_at.clear()
        self._lost.clear()

    def _forget(self, hosts: list[str]) -> None:
        for host in hosts:
            del self._lost[host]
            self._stated.discard(host)
            self._stated_at.pop(host, None)
