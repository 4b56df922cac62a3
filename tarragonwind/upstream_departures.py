"""Tell the other hosts of an upstream that has announced its leaving in a response."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.messages import Message, message
from tarragonwind.ports import Members, Peers
from tarragonwind.records import dataclass


@message(62)
@dataclass(frozen=True, slots=True)
class UpstreamLeaving(Message):
    """Tell that one start of an upstream is leaving.

    Attributes
    ----------
    name : str
        Name of the upstream.
    incarnation : int
        Start of the upstream that is leaving.
    host, port : str, int
        Address of the upstream.
    """

    name: str
    incarnation: int
    host: str
    port: int


class UpstreamDepartures:
    """Share the leaving of upstreams between hosts.

    Parameters
    ----------
    members : Members
        Membership of the fleet.
    peers : Peers
        Transport between hosts.
    mark_leaving : callable
        Records the leaving on this host; returns False if it was known.
    """

    def __init__(
        self, members: Members, peers: Peers, mark_leaving: Callable[[UpstreamLeaving], bool]
    ) -> None:
        self._members = members
        self._peers = peers
        self._mark_leaving = mark_leaving
        peers.subscribe(UpstreamLeaving, self._on_message)

    def announce(self, entry: UpstreamEntry) -> None:
        """Record that an upstream has announced its leaving, and tell the others if it is news."""
        msg = UpstreamLeaving(entry.name, entry.incarnation, entry.host, entry.port)
        if not self._mark_leaving(msg):
            return
        for host in self._members.live():
            if host != self._members.name:
                self._peers.send(host, msg)

    def _on_message(self, sender: str, msg: UpstreamLeaving) -> None:
        self._mark_leaving(msg)
