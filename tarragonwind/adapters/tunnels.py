"""Pass connections to upstreams on for hosts whose own path to them is lost.

The host that needs a tunnel connects and sends the upstream's address with a proof of the fleet's
secret, see `tarragonwind.adapters.tunnel_openings`. The other host connects to the upstream and
answers with a msgpack boolean; after True both directions are passed on unchanged. A tunnel is
never passed on to a third host.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgpack
from loguru import logger

from tarragonwind.adapters.connections import (
    CLOSED_BY_PEER,
    Connection,
    ConnectionEvents,
)
from tarragonwind.adapters.connects import ConnectAttempt, DirectConnect, OnFailed, OnOpen
from tarragonwind.adapters.listeners import Listener
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.memory_guards import MemoryGuard, TunnelHolding
from tarragonwind.adapters.tunnel_openings import (
    TunnelOpening,
    decode_opening,
    encode_opening,
)
from tarragonwind.ports import Address, Timer

OPEN_TIMEOUT_S = 1.0
"""Longest time until a new connection has named an upstream, in seconds."""
UPSTREAM_CONNECT_TIMEOUT_S = 0.4
"""Longest time to connect to the upstream of a tunnel, in seconds."""
TUNNEL_TIMEOUT_S = 0.6
"""Longest time to open a tunnel through one host, in seconds."""
MAX_TUNNELS = 512
MAX_OPENING = 128
"""Maximum number of connections beyond that which have not named an upstream yet."""
BUFFERED_BYTES = 64 * 1024
"""Bytes that wait in one direction of a tunnel above which its other side is read no further."""


class TunnelConnect(ConnectionEvents, ConnectAttempt):
    """Open a connection to an upstream through another host.

    Parameters
    ----------
    loop : Loop
        Event loop for the socket and the timer.
    through : Address
        Tunnel address of the other host.
    opening : TunnelOpening
        Upstream, and the proof of the fleet's secret.
    on_open, on_failed : callable
        Receive the result.
    """

    __slots__ = ("_attempt", "_conn", "_loop", "_on_failed", "_on_open", "_opening", "_timer")

    def __init__(
        self,
        loop: Loop,
        through: Address,
        opening: TunnelOpening,
        on_open: OnOpen,
        on_failed: OnFailed,
    ) -> None:
        self._loop = loop
        self._opening = opening
        self._on_open = on_open
        self._on_failed = on_failed
        self._conn: Connection | None = None
        self._timer: Timer | None = None
        self._attempt = DirectConnect(loop, through, TUNNEL_TIMEOUT_S, self._ask, on_failed)

    def start(self) -> None:
        """Begin to connect to the other host."""
        self._attempt.start()

    def cancel(self) -> None:
        """Give the attempt up and close its connection."""
        self._attempt.cancel()
        self._close()

    def _ask(self, conn: Connection) -> None:
        self._conn = conn
        conn.events = self
        self._timer = self._loop.timers.call_later(TUNNEL_TIMEOUT_S, self._on_timeout)
        conn.write(encode_opening(self._opening))

    def on_data(self, data: bytes) -> None:
        """Take the other host's answer."""
        conn = self._conn
        assert conn is not None
        if data != msgpack.packb(True):
            self._close()
            self._on_failed("the other host can't reach the upstream either")
            return
        self._stop_timer()
        self._on_open(conn)

    def on_closed(self, reason: str) -> None:
        """Report a host that closes the connection instead of an answer."""
        self._stop_timer()
        self._on_failed(f"no tunnel: {reason}")

    def _on_timeout(self) -> None:
        self._timer = None
        self._close()
        self._on_failed("the other host gave no answer")

    def _close(self) -> None:
        self._stop_timer()
        if self._conn is not None:
            self._conn.close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class TunnelEnd(ConnectionEvents):
    """Pass the bytes of one side of a tunnel on to the other side, and its end.

    Attributes
    ----------
    conn : Connection
        Connection of this side.
    other : TunnelEnd
        Other side.
    """

    __slots__ = ("_on_end", "conn", "other")

    def __init__(self, conn: Connection, on_end: Callable[[], None]) -> None:
        self.conn = conn
        self.other = self
        self._on_end = on_end

    def on_data(self, data: bytes) -> None:
        """Write to the other side, and read no further while that one is congested."""
        self.other.conn.write(data)
        if self.other.conn.congested():
            self.conn.pause_reading(detect_close=False)

    def on_drained(self) -> None:
        """Read the other side again."""
        self.other.conn.resume_reading()

    def on_closed(self, reason: str) -> None:
        """End the other side in the same way: orderly, or with a reset."""
        if reason == CLOSED_BY_PEER:
            self.other.conn.close_when_sent()
        else:
            self.other.conn.reset()
        self._on_end()


class Tunnel(ConnectionEvents):
    """Serve one tunnel for another host.

    Parameters
    ----------
    server : TunnelServer
        Server that accepted the connection.
    sock : socket.socket
        Accepted socket.
    """

    __slots__ = ("_attempt", "_holding", "_near", "_server", "_timer", "_upstream_conn")

    def __init__(self, server: TunnelServer, sock: socket.socket, peer: Address) -> None:
        self._server = server
        self._holding = TunnelHolding(server.memory, f"host {peer.host}")
        self._attempt: ConnectAttempt | None = None
        self._upstream_conn: Connection | None = None
        self._near = Connection(server.loop, sock, self)
        # A response may end with its connection: the end of this process must not look like that.
        self._near.reset_unless_finished()
        timers = server.loop.timers
        self._timer: Timer | None = timers.call_later(OPEN_TIMEOUT_S, self.end)

    def on_data(self, data: bytes) -> None:
        """Connect to the upstream that the other host has named."""
        if self._attempt is not None:
            # Nothing may be sent before the answer.
            self.end()
            return
        try:
            opening = decode_opening(data)
            self._server.check(opening)
        except ValueError as exc:
            logger.warning("event=tunnel_rejected reason={!r}", str(exc))
            self.end()
            return
        upstream = opening.upstream
        if not self._server.may_connect(upstream):
            self._refuse("")
            return
        self._stop_timer()
        attempt = DirectConnect(
            self._server.loop, upstream, UPSTREAM_CONNECT_TIMEOUT_S, self._join, self._refuse
        )
        self._attempt = attempt
        attempt.start()

    def on_closed(self, reason: str) -> None:
        """Give the tunnel up when the other host does."""
        self.end()

    def end(self) -> None:
        """Close both sides."""
        self._stop_timer()
        if self._attempt is not None:
            self._attempt.cancel()
        for conn in (self._near, self._upstream_conn):
            if conn is not None:
                conn.reset()
        self._server.remove(self)

    def _refuse(self, reason: str) -> None:
        self._stop_timer()
        self._near.write(msgpack.packb(False))
        self._near.close_when_sent()
        self._server.remove(self)

    def _join(self, conn: Connection) -> None:
        self._upstream_conn = conn
        near = TunnelEnd(self._near, self._on_end)
        far = TunnelEnd(conn, self._on_end)
        near.other, far.other = far, near
        for side in (self._near, conn):
            side.high_water_bytes = BUFFERED_BYTES
            side.on_unsent = self._charge
        self._near.events = near
        conn.events = far
        self._near.write(msgpack.packb(True))

    def _charge(self, _size: int) -> None:
        upstream_unsent = self._upstream_conn.unsent if self._upstream_conn is not None else 0
        self._holding.set_buffered(self._near.unsent + upstream_unsent)

    def free(self) -> None:
        """Free what the tunnel is charged for."""
        self._holding.close()

    def _on_end(self) -> None:
        self._server.remove(self)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class TunnelServer:
    """Accept the tunnels of other hosts.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    address : Address
        Address to listen on.
    is_open : callable
        Returns whether this host passes connections on to an address.
    check : callable
        Raises `ValueError` for an opening that no member of the fleet has sent.
    memory : MemoryGuard, optional
        Counts what tunnels buffer; none is opened while memory is short.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        is_open: Callable[[Address], bool],
        check: Callable[[TunnelOpening], None],
        memory: MemoryGuard | None = None,
    ) -> None:
        self.loop = loop
        self.memory = memory or MemoryGuard(loop.timers)
        self.check = check
        self._is_open = is_open
        self._tunnels: set[Tunnel] = set()
        self._listener = Listener(loop, address, self._on_accept)
        self.address = self._listener.address

    @property
    def count(self) -> int:
        """Return the number of tunnels."""
        return len(self._tunnels)

    def may_connect(self, upstream: Address) -> bool:
        """Return whether another host may reach an upstream through this one now."""
        has_room = len(self._tunnels) <= MAX_TUNNELS and self.memory.has_room(2 * BUFFERED_BYTES)
        return has_room and self._is_open(upstream)

    def remove(self, tunnel: Tunnel) -> None:
        """Forget a tunnel that has ended."""
        self._tunnels.discard(tunnel)
        tunnel.free()

    def close(self) -> None:
        """Stop listening and end all tunnels."""
        self._listener.close()
        for tunnel in list(self._tunnels):
            tunnel.end()

    def _on_accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._tunnels) >= MAX_TUNNELS + MAX_OPENING:
            self.memory.note_refused_connection(peer.host)
            sock.close()
            return
        self._tunnels.add(Tunnel(self, sock, peer))
