"""Implement one TCP connection between two daemons: handshake, framing, bounded send queue."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import msgpack

from tarragonwind.adapters.loops import POLL_READ, POLL_WRITE, Loop, SocketHandler
from tarragonwind.adapters.peer_handshakes import Goodbye, PeerIdentity
from tarragonwind.messages import (
    FIRST_LEVEL,
    Message,
    MessageError,
    UnknownMessageError,
    build_message,
    new_unpacker,
    pack_message,
)
from tarragonwind.ports import Address

MAX_HELLO_BYTES = 2048
"""Maximum size of the handshake message, which is read before the peer is authenticated."""
MAX_QUEUE_BYTES = 8 * 1024 * 1024
"""Maximum number of bytes queued for a peer that reads too slowly."""
READ_BYTES = 256 * 1024
"""Maximum number of bytes per read."""
USER_TIMEOUT_MS = 5000
"""TCP user timeout: the kernel closes a connection with data unacknowledged for this long. It also
closes an idle one that was silent for this long, at the first due probe after an unanswered one."""
KEEPALIVE_IDLE_S = 2
"""Idle time before the first TCP keepalive probe, in seconds: several fit in the user timeout."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
"""Unanswered probes after which a connection is closed."""


class ConnHandler:
    """Define the callbacks of a connection."""

    def on_hello(self, conn: PeerConn, hello: Message, size: int) -> None:
        """Verify the peer's handshake of `size` bytes; raise `MessageError` to reject it."""
        raise NotImplementedError

    def on_message(self, conn: PeerConn, msg: Message, size: int) -> None:
        """Handle a received message of `size` packed bytes."""
        raise NotImplementedError

    def on_unknown(self, conn: PeerConn, number: int, size: int) -> None:
        """Handle a received message of `size` bytes whose number this build doesn't know."""
        raise NotImplementedError

    def on_closed(self, conn: PeerConn, reason: str) -> None:
        """Handle the close of a connection."""
        raise NotImplementedError


class PeerConn(SocketHandler):
    """Exchange framed messages over one socket.

    Attributes
    ----------
    outbound : bool
        Whether this daemon initiated the connection.
    expected_name : str
        Host name that the peer must have, empty for any.
    identity : PeerIdentity or None
        Identity of the peer, None until its handshake was verified.
    remote : Address
        Remote address of the socket.
    created_at, last_active_at : float
        Times of creation and of the last message queued or received, in seconds.
    partial_since : float
        Time of the last read that ended within a message, in seconds; infinity for none.
    queued_bytes : int
        Number of bytes queued and not yet written to the socket.
    closing : bool
        Whether a `Goodbye` was sent or received; nothing more is sent then.
    closed : bool
        Whether the socket is closed.
    """

    __slots__ = (
        "_connecting",
        "_goodbye_received",
        "_handler",
        "_handshake_bytes",
        "_loop",
        "_out",
        "_pending",
        "_received_bytes",
        "_sock",
        "_unpacker",
        "_write_interest",
        "closed",
        "closing",
        "created_at",
        "expected_name",
        "identity",
        "last_active_at",
        "outbound",
        "partial_since",
        "queued_bytes",
        "remote",
    )

    def __init__(
        self,
        loop: Loop,
        handler: ConnHandler,
        sock: socket.socket,
        remote: Address,
        expected_name: str | None,
    ) -> None:
        self._loop = loop
        self._handler = handler
        self._sock = sock
        self._out: list[bytes] = []
        self._pending: list[tuple[int, bytes]] = []
        self._handshake_bytes = bytearray()
        self._goodbye_received = False
        self._received_bytes = 0
        self.partial_since = float("inf")
        self._unpacker: Any = None
        self.remote = remote
        self.outbound = expected_name is not None
        self.expected_name = expected_name or ""
        self.identity: PeerIdentity | None = None
        self.closed = False
        self.closing = False
        self.queued_bytes = 0
        self.created_at = loop.timers.now()
        self.last_active_at = self.created_at
        self._connecting = self.outbound
        self._write_interest = self.outbound
        _set_options(sock)
        events = POLL_READ | (POLL_WRITE if self._write_interest else 0)
        loop.poller.add_handler(sock.fileno(), self, events)

    def queue(self, data: bytes, level: int = FIRST_LEVEL) -> bool:
        """Queue a packed message until `flush`; close and return False if the queue is full.

        Messages are held back until the peer is authenticated by its handshake; those above the
        protocol level that it announces are discarded then.
        """
        if self.closed:
            return False
        if self.queued_bytes + len(data) > MAX_QUEUE_BYTES:
            self.close("send_queue_full")
            return False
        if self.identity is None:
            self._pending.append((level, data))
        else:
            self._out.append(data)
        self.queued_bytes += len(data)
        self.last_active_at = self._loop.timers.now()
        return True

    def queue_hello(self, data: bytes) -> None:
        """Queue the handshake message, which is sent before the peer is authenticated."""
        self._out.append(data)
        self.queued_bytes += len(data)

    def release_pending(self, peer_level: int) -> int:
        """Release the messages held back until the handshake; return how many were discarded.

        Messages above the peer's protocol level are discarded.
        """
        pending = self.take_pending()
        for level, data in pending:
            if level <= peer_level:
                self._out.append(data)
            else:
                self.queued_bytes -= len(data)
        return sum(level > peer_level for level, _ in pending)

    def take_pending(self) -> list[tuple[int, bytes]]:
        """Return and clear the messages held back until the handshake, with their levels."""
        pending = self._pending
        self._pending = []
        return pending

    def flush(self) -> None:
        """Write queued bytes until the socket would block."""
        if self.closed or self._connecting:
            return
        while self._out:
            data = b"".join(self._out)
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as exc:
                self.close(f"send_failed:{exc.errno}")
                return
            self.queued_bytes -= sent
            self._out = [data[sent:]] if sent < len(data) else []
            if sent < len(data):
                break
        if self._goodbye_received and not self._out:
            self.close("goodbye")
            return
        self._set_write_interest(bool(self._out))

    def on_ready(self, events: int) -> None:
        """Handle readiness of the socket."""
        if self.closed:
            return
        if self._connecting and not self._finish_connect(events):
            return
        if events & POLL_WRITE:
            self.flush()
        if not self.closed and events & ~POLL_WRITE:
            self._read()

    def finish(self) -> None:
        """Send a `Goodbye`; the peer closes the connection after reading everything."""
        if self.closing:
            return
        if self.queue(pack_message(Goodbye())):
            self.closing = True
            self.flush()

    def close(self, reason: str) -> None:
        """Close the socket immediately and discard queued messages."""
        if self.closed:
            return
        self.closed = True
        self._loop.poller.remove_handler(self._sock.fileno())
        self._sock.close()
        self._out.clear()
        self._pending.clear()
        self._handler.on_closed(self, reason)

    def _finish_connect(self, events: int) -> bool:
        if not events & ~POLL_READ:
            return False
        errno = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if errno:
            self.close(f"connect_failed:{errno}")
            return False
        self._connecting = False
        self.flush()
        return not self.closed

    def _set_write_interest(self, enabled: bool) -> None:
        if enabled != self._write_interest:
            self._write_interest = enabled
            events = POLL_READ | (POLL_WRITE if enabled else 0)
            self._loop.poller.change_events(self._sock.fileno(), events)

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self.close(f"receive_failed:{exc.errno}")
            return
        if not data:
            self.close("closed_by_peer")
            return
        try:
            self._feed(data)
        except (MessageError, ValueError, TypeError, msgpack.UnpackException) as exc:
            self.close(f"bad_input:{type(exc).__name__}:{exc}")

    def _feed(self, data: bytes) -> None:
        if self.identity is None:
            data = self._feed_handshake(data)
            if self.identity is None:
                return
            self._unpacker = new_unpacker()
        unpacker = self._unpacker
        unpacker.feed(data)
        self._received_bytes += len(data)
        start = unpacker.tell()
        for values in unpacker:
            end = unpacker.tell()
            self.last_active_at = self._loop.timers.now()
            self._handle_values(values, end - start)
            start = end
            if self.closed:
                return
        complete = start == self._received_bytes
        self.partial_since = float("inf") if complete else self._loop.timers.now()

    def _feed_handshake(self, data: bytes) -> bytes:
        self._handshake_bytes += data
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_HELLO_BYTES)
        unpacker.feed(self._handshake_bytes[:MAX_HELLO_BYTES])
        try:
            values = unpacker.unpack()
        except msgpack.OutOfData:
            if len(self._handshake_bytes) >= MAX_HELLO_BYTES:
                raise MessageError(f"Hello exceeds {MAX_HELLO_BYTES} bytes") from None
            return b""
        size = unpacker.tell()
        self._handler.on_hello(self, build_message(values), size)
        return bytes(self._handshake_bytes[size:])

    def _handle_values(self, values: Any, size: int) -> None:
        try:
            msg = build_message(values)
        except UnknownMessageError as exc:
            self._handler.on_unknown(self, exc.number, size)
            return
        if isinstance(msg, Goodbye):
            self.closing = True
            self._goodbye_received = True
            self.flush()
            return
        self._handler.on_message(self, msg, size)


def _set_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


AcceptCallback = Callable[[socket.socket, Address], None]


class PeerListener(SocketHandler):
    """Listen for connections of peers."""

    __slots__ = ("_loop", "_on_accept", "address", "sock")

    def __init__(self, loop: Loop, address: Address, on_accept: AcceptCallback) -> None:
        self._loop = loop
        self._on_accept = on_accept
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((address.host, address.port))
        self.sock.listen(1024)
        self.sock.setblocking(False)
        self.address = Address(address.host, self.sock.getsockname()[1])
        loop.poller.add_handler(self.sock.fileno(), self, POLL_READ)

    def on_ready(self, events: int) -> None:
        """Accept all pending connections."""
        while True:
            try:
                sock, remote = self.sock.accept()
            except OSError:
                return
            self._on_accept(sock, Address(remote[0], remote[1]))

    def close(self) -> None:
        """Close the listening socket."""
        self._loop.poller.remove_handler(self.sock.fileno())
        self.sock.close()
