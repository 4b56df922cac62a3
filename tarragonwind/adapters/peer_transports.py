"""Define the transport between daemons as the membership uses it: by addresses and handshakes."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable

from tarragonwind.adapters.peer_handshakes import PeerIdentity
from tarragonwind.adapters.peer_levels import PeerLevels
from tarragonwind.ports import Address, Peers


class PeerTransport(Peers):
    """Send messages between daemons whose addresses become known bit by bit.

    Attributes
    ----------
    identity : PeerIdentity
        Identity of this daemon.
    levels : PeerLevels
        Protocol levels of the hosts that have been connected.
    """

    identity: PeerIdentity
    levels: PeerLevels

    @abstractmethod
    def set_address(self, name: str, address: Address) -> None:
        """Set the address that a host listens on."""

    @abstractmethod
    def connect_to(self, address: Address) -> None:
        """Open a connection to an address whose host name is not known yet."""

    @abstractmethod
    def open(self, host: str) -> None:
        """Open a connection to a host whose address is known, unless one is open."""

    @abstractmethod
    def drop(self, host: str) -> None:
        """Close all connections to a host and discard queued messages and its protocol level."""

    @abstractmethod
    def subscribe_connected(self, callback: Callable[[PeerIdentity], None]) -> None:
        """Register a callback for the peer of each connection that completes its handshake."""

    @abstractmethod
    def subscribe_lost(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of each host whose connection failed or broke."""
