"""Simulate the connections of a host to the others, with the handshakes and the packed messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tarragonwind.adapters.peer_handshakes import PeerIdentity
from tarragonwind.adapters.peer_levels import PeerLevels
from tarragonwind.adapters.peer_transports import PeerTransport
from tarragonwind.messages import (
    OWN_LEVEL,
    Message,
    build_message,
    new_unpacker,
    pack_message,
)
from tarragonwind.ports import Address

if TYPE_CHECKING:
    from bench.simulated_hosts import SimulatedHost

CONNECT_TIMEOUT_S = 2.0
"""Time after which a connection to a machine without power fails, in seconds."""


class SimulatedPeers(PeerTransport):
    """Carry the messages of one host; each is packed and unpacked as on a connection.

    Parameters
    ----------
    host : SimulatedHost
        The host.
    """

    def __init__(self, host: SimulatedHost) -> None:
        self._host = host
        self._fleet = host.fleet
        address = self._fleet.addresses[host.name]
        self.identity = PeerIdentity(host.name, "etna", host.start_id, address, OWN_LEVEL)
        self.address = address
        self.levels = PeerLevels(host.name, OWN_LEVEL)
        self._known: dict[str, Address] = {}
        self._connected: dict[str, int] = {}
        self._subscribers: dict[type[Any], list[Callable[[str, Any], None]]] = {}
        self._on_connected: list[Callable[[PeerIdentity], None]] = []
        self._on_lost: list[Callable[[str], None]] = []

    def set_address(self, name: str, address: Address) -> None:
        """Set the address of a host."""
        self._known[name] = address

    def subscribe(self, cls: type[Any], callback: Callable[[str, Any], None]) -> None:
        """Register a callback for the messages of a class."""
        self._subscribers.setdefault(cls, []).append(callback)

    def subscribe_connected(self, callback: Callable[[PeerIdentity], None]) -> None:
        """Register a callback for each peer whose handshake has completed."""
        self._on_connected.append(callback)

    def subscribe_lost(self, callback: Callable[[str], None]) -> None:
        """Register a callback for each host whose connection failed or broke."""
        self._on_lost.append(callback)

    def supports(self, host: str, level: int) -> bool:
        """Return whether a host has shown a protocol level."""
        return self.levels.supports(host, level)

    def drop(self, host: str) -> None:
        """Close the connections to a host."""
        self.levels.forget(host)
        self._connected.pop(host, None)

    def open(self, host: str) -> None:
        """Connect to a host."""
        self._connect(host)

    def connect_to(self, address: Address) -> None:
        """Connect to an address."""
        name = self._fleet.names_by_address.get(address)
        if name is not None and name != self._host.name:
            self._connect(name)

    def _connect(self, name: str) -> None:
        """Complete a handshake with a host after some latency, or report that it failed."""
        if self._connected.get(name) is not None:
            return
        self._connected[name] = 0
        self._fleet.later(lambda: self._greet(name))

    def _greet(self, name: str) -> None:
        peer = self._fleet.hosts.get(name)
        if not self._host.alive:
            return
        if peer is None or not peer.listens:
            dark = self._fleet.is_dark(name)
            delay_s = CONNECT_TIMEOUT_S if dark else 0.0
            self._fleet.clock.call_later(delay_s, lambda: self._fail(name))
            return
        self._connected[name] = peer.start_id
        peer.work("message Hello", peer.costs.message_s, lambda: peer.peers.accept(self._host))
        self._fleet.later(lambda: self._complete(peer))

    def _fail(self, name: str) -> None:
        self._connected.pop(name, None)
        if self._host.alive:
            self._host.work("lost", self._host.costs.message_s, lambda: self._notify_lost(name))

    def _complete(self, peer: SimulatedHost) -> None:
        if self._host.alive and peer.alive:
            identity = peer.peers.identity
            cost_s = self._host.costs.message_s
            self._host.work("message Hello", cost_s, lambda: self._on_hello(identity))

    def accept(self, caller: SimulatedHost) -> None:
        """Complete the handshake that another host has begun."""
        self._connected[caller.name] = caller.start_id
        self._on_hello(caller.peers.identity)

    def _on_hello(self, identity: PeerIdentity) -> None:
        self._known[identity.name] = identity.address
        self.levels.set(identity)
        for callback in self._on_connected:
            callback(identity)

    def _notify_lost(self, name: str) -> None:
        self.levels.forget(name)
        for callback in self._on_lost:
            callback(name)

    def send(self, host: str, msg: Message) -> bool:
        """Queue a message to a host."""
        if host == self._host.name:
            self._host.timers.call_later(0.0, lambda: self.deliver(host, msg))
            return True
        if host not in self._known:
            return False
        self._connect(host)
        data = pack_message(msg, OWN_LEVEL)
        self._fleet.post(self._host, host, type(msg).__name__, data)
        return True

    def receive(self, sender: str, data: bytes) -> None:
        """Read a message and pass it on."""
        unpacker = new_unpacker()
        unpacker.feed(data)
        for values in unpacker:
            self.deliver(sender, build_message(values))

    def deliver(self, sender: str, msg: Message) -> None:
        """Pass a message to its subscribers."""
        for callback in self._subscribers.get(type(msg), ()):
            callback(sender, msg)

    def on_reset(self, name: str, start_id: int) -> None:
        """Report that a connection broke, if it was to that run of the host."""
        if self._connected.get(name) == start_id:
            self._fail(name)
