"""Learn the protocol levels of all hosts, for parts that act only if every host can."""

from __future__ import annotations

from tarragonwind.adapters.peer_transports import PeerTransport
from tarragonwind.ports import Members, Timers

LEARN_PERIOD_S = 1.0
"""Interval at which one host whose level is unknown is connected to, in seconds. Each host connects
to each other one once, so a fleet of 320 hosts takes some minutes and about 1 KB/s a host."""


class FleetLevels:
    """Tell which protocol levels the running hosts have announced.

    Parameters
    ----------
    members : Members
        Membership of the fleet.
    peers : PeerTransport
        Transport, whose handshakes tell the levels.
    timers : Timers
        Clock and timers.
    """

    def __init__(self, members: Members, peers: PeerTransport, timers: Timers) -> None:
        self._members = members
        self._peers = peers
        self._turn = 0
        timers.call_every(LEARN_PERIOD_S, self._learn_next)

    def supports(self, host: str, level: int) -> bool:
        """Return whether a host is known to read messages of a protocol level."""
        return self._peers.supports(host, level)

    def all_support(self, level: int) -> bool:
        """Return whether every running host is known to read messages of a protocol level."""
        return all(self._peers.supports(host, level) for host in self._members.running())

    def _learn_next(self) -> None:
        """Connect to one running host that has not been connected since it started."""
        unknown = self._peers.levels.unknown(self._members.running())
        if unknown:
            # In turn, since some may be unreachable.
            self._turn += 1
            self._peers.open(unknown[self._turn % len(unknown)])
