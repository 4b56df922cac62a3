"""Hold non-blocking TCP connections and listeners on the daemon's loop."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import struct
from collections.abc import Callable

from tarragonwind.adapters.loops import POLL_READ, POLL_WRITE, Loop, SocketHandler
from tarragonwind.ports import Address

READ_CHUNK_BYTES = 64 * 1024
HIGH_WATER_BYTES = 256 * 1024
"""Unsent bytes above which a writer should stop."""
LOW_WATER_BYTES = 64 * 1024
"""Unsent bytes below which a writer may go on."""
LINGER_S = 1.0
"""Longest time that a closed connection still reads, in seconds."""
CLOSE_STALL_S = 60.0
"""Longest time without progress while the last bytes of a connection go out, in seconds."""
CLOSED_BY_PEER = "closed by the other side"
"""Reason of an end without an error."""
ACCEPT_BATCH = 64
LISTEN_BACKLOG = 1024

POLL_GONE = select.EPOLLHUP | select.EPOLLERR
POLL_PEER_CLOSED = select.EPOLLRDHUP

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionEvents:
    """Name the calls that a connection's owner receives."""

    __slots__ = ()

    def on_connected(self) -> None:
        """Handle the end of a connect."""

    def on_data(self, data: bytes) -> None:
        """Handle bytes that arrived."""

    def on_drained(self) -> None:
        """Handle unsent bytes having fallen below the low-water mark."""

    def on_closed(self, reason: str) -> None:
        """Handle the end of the connection; called once, not after `Connection.close`."""

    def on_finished(self) -> None:
        """Handle the end that `Connection.close_when_sent` asked for."""


class Connection(SocketHandler):
    """Read and write one TCP socket without blocking.

    Parameters
    ----------
    loop : Loop
        Loop that polls the socket.
    sock : socket.socket
        Non-blocking socket.
    events : ConnectionEvents
        Owner of the connection.
    connecting : bool
        Whether the socket's connect is still under way.
    """

    __slots__ = (
        "_closing",
        "_connecting",
        "_fileno",
        "_mask",
        "_out",
        "_over_high_water",
        "_poller",
        "_timers",
        "closed",
        "events",
        "sent_bytes",
        "sock",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        events: ConnectionEvents,
        connecting: bool = False,
    ) -> None:
        self.sock = sock
        self.events = events
        self.closed = False
        self.sent_bytes = 0
        self._poller = loop.poller
        self._timers = loop.timers
        self._fileno = sock.fileno()
        self._connecting = connecting
        self._closing = False
        self._over_high_water = False
        self._out = bytearray()
        self._mask = POLL_WRITE if connecting else POLL_READ | POLL_PEER_CLOSED
        self._poller.add_handler(self._fileno, self, self._mask)

    @property
    def unsent(self) -> int:
        """Return the bytes that wait to be sent."""
        return len(self._out)

    def write(self, data: bytes) -> None:
        """Send bytes now as far as the socket takes them and keep the rest."""
        if self.closed or self._closing or not data:
            return
        if self._out or self._connecting:
            self._out += data
        else:
            self._send_first(data)
        if len(self._out) > HIGH_WATER_BYTES:
            self._over_high_water = True

    def _send_first(self, data: bytes) -> None:
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The error shows again at the next poll, which reports the end to the owner.
            return
        self.sent_bytes += sent
        if sent < len(data):
            self._out += data[sent:]
            self._set_mask(self._mask | POLL_WRITE)

    def congested(self) -> bool:
        """Tell whether the writer should stop until `on_drained`."""
        return self._over_high_water

    def pause_reading(self, detect_close: bool = True) -> None:
        """Stop reading.

        Parameters
        ----------
        detect_close : bool
            Whether an ordinary end of the other side is acted on meanwhile. When bytes that were
            sent before the end still matter, it must not be.
        """
        mask = self._mask & ~POLL_READ
        self._set_mask(mask if detect_close else mask & ~POLL_PEER_CLOSED)

    def resume_reading(self) -> None:
        """Read again."""
        self._set_mask(self._mask | POLL_READ | POLL_PEER_CLOSED)

    def close(self) -> None:
        """Close at once without telling the owner; unsent bytes are lost."""
        if self.closed:
            return
        self.closed = True
        self._poller.remove_handler(self._fileno)
        with contextlib.suppress(OSError):
            self.sock.close()
        self._out.clear()
        if self._closing:
            self.events.on_finished()

    def close_when_sent(self) -> None:
        """Close after the unsent bytes have gone out and the other side has had time to read.

        Closing while unread bytes wait would reset the connection and could destroy the answer on
        its way, so what still arrives is discarded for a bounded time.
        """
        if self.closed or self._closing:
            return
        self._closing = True
        self.resume_reading()
        if self._out:
            self._watch_progress(self.sent_bytes)
        else:
            self._shut_down_writing()

    def _watch_progress(self, sent_bytes: int) -> None:
        """Give up on the other side when it has taken no byte for a while."""

        def look() -> None:
            if self.closed or not self._out:
                return
            if self.sent_bytes == sent_bytes:
                self.close()
            else:
                self._watch_progress(self.sent_bytes)

        self._timers.call_later(CLOSE_STALL_S, look)

    def _shut_down_writing(self) -> None:
        self._timers.call_later(LINGER_S, self.close)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def reset(self) -> None:
        """Close so that the other side sees an error and not an ordinary end."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def is_stale(self) -> bool:
        """Tell whether an idle connection has ended or holds bytes nobody asked for."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def on_ready(self, events: int) -> None:
        """Handle readiness of the socket."""
        if self._connecting:
            self._finish_connect()
            return
        if events & POLL_READ:
            self._read()
        if not self.closed and events & POLL_WRITE:
            self._flush()
        if not self.closed and events & (POLL_GONE | POLL_PEER_CLOSED):
            self._handle_end(events)

    def _handle_end(self, events: int) -> None:
        if events & POLL_GONE:
            self._end("connection reset")
        elif not self._mask & POLL_READ:
            self._end(CLOSED_BY_PEER)

    def _finish_connect(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._end(errno.errorcode.get(error, str(error)))
            return
        self._connecting = False
        mask = POLL_READ | POLL_PEER_CLOSED
        self._set_mask(mask | POLL_WRITE if self._out else mask)
        self.events.on_connected()

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._end(str(exc))
            return
        if data and self._closing:
            return
        if data:
            self.events.on_data(data)
        else:
            self._end(CLOSED_BY_PEER)

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self._out)
        except BlockingIOError:
            return
        except OSError as exc:
            self._end(str(exc))
            return
        self.sent_bytes += sent
        del self._out[:sent]
        if not self._out:
            self._set_mask(self._mask & ~POLL_WRITE)
        if self._closing and not self._out:
            self._shut_down_writing()
        elif self._over_high_water and len(self._out) < LOW_WATER_BYTES:
            self._over_high_water = False
            self.events.on_drained()

    def _end(self, reason: str) -> None:
        self.close()
        if not self._closing:
            self.events.on_closed(reason)

    def _set_mask(self, mask: int) -> None:
        if self.closed or mask == self._mask:
            return
        self._mask = mask
        self._poller.change_events(self._fileno, mask)


class Listener(SocketHandler):
    """Accept connections on one address.

    Parameters
    ----------
    loop : Loop
        Loop that polls the socket.
    address : Address
        Where to listen; port 0 takes a free one.
    on_accept : callable
        Called with each accepted non-blocking socket and the other side's address.
    sock : socket.socket, optional
        Socket that listens already; what connects to it waits until `start`.
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
        """Accept from now on; harmless when it does already."""
        if not self._started:
            self._started = True
            self._poller.add_handler(self._sock.fileno(), self, POLL_READ)

    def on_ready(self, events: int) -> None:
        """Accept what waits, up to a bound for each pass of the loop."""
        for _ in range(ACCEPT_BATCH):
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


def open_connection(loop: Loop, address: Address, events: ConnectionEvents) -> Connection:
    """Start a connect and return the connection; `events` hears how it ends.

    Raises
    ------
    OSError
        When the connect can't even be started.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    error = sock.connect_ex((address.host, address.port))
    if error not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(error, errno.errorcode.get(error, "connect failed"))
    return Connection(loop, sock, events, connecting=True)
