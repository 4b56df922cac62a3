"""Accept TCP connections on the daemon's event loop."""

from __future__ import annotations

import socket
from collections.abc import Callable

from tarragonwind.adapters.loops import POLL_READ, Loop, SocketHandler
from tarragonwind.ports import Address

ACCEPT_BATCH = 64
"""Maximum number of connections accepted in one pass of the event loop."""
LISTEN_BACKLOG = 1024


class Listener(SocketHandler):
    """Accept connections on one address.

    Parameters
    ----------
    loop : Loop
        Event loop that polls the socket.
    address : Address
        Address to listen on; port 0 selects a free port.
    on_accept : callable
        Called with each accepted non-blocking socket and the address of the peer.
    sock : socket.socket, optional
        Listening socket to use; its connections are accepted from `start` on.
    """

    __slots__ = ("_on_accept", "_poller", "_sock", "_started", "address")

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_accept: Callable[[socket.socket, Address], None],
        sock: socket.socket | None = None,
    ) -> None:
        self._on_accept = on_accept
        self._poller = loop.poller
        self._started = False
        self._sock = sock or listen(address)
        self._sock.setblocking(False)
        host, port = self._sock.getsockname()[:2]
        self.address = Address(host, port)
        if sock is None:
            self.start()

    def start(self) -> None:
        """Start accepting connections; further calls have no effect."""
        if not self._started:
            self._started = True
            self._poller.add_handler(self._sock.fileno(), self, POLL_READ)

    def pause(self) -> None:
        """Leave new connections in the backlog until `resume`."""
        self._poll_for(0)

    def resume(self) -> None:
        """Accept connections again."""
        self._poll_for(POLL_READ)

    def _poll_for(self, events: int) -> None:
        if self._started and self._sock.fileno() >= 0:
            self._poller.change_events(self._sock.fileno(), events)

    def on_ready(self, events: int) -> None:
        """Accept up to `ACCEPT_BATCH` waiting connections."""
        self._accept(ACCEPT_BATCH)

    def accept_waiting(self) -> None:
        """Accept all connections that wait in the backlog; closing the socket would reset them."""
        self._accept(LISTEN_BACKLOG)

    def _accept(self, limit: int) -> None:
        for _ in range(limit):
            try:
                sock, peer = self._sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._on_accept(sock, Address(peer[0], peer[1]))

    def close(self) -> None:
        """Stop listening."""
        if self._sock.fileno() >= 0:
            self._started = True
            self._poller.remove_handler(self._sock.fileno())
            self._sock.close()


def listen(address: Address) -> socket.socket:
    """Return a socket that listens on an address."""
    return socket.create_server((address.host, address.port), backlog=LISTEN_BACKLOG)
