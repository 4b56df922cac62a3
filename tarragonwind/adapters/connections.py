"""Provide non-blocking TCP connections and listeners on the daemon's event loop."""

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
"""Size of the send buffer above which a writer should pause, unless its connection has another."""
LOW_WATER_BYTES = 64 * 1024
"""Size of the send buffer below which a paused writer may resume."""
LINGER_S = 1.0
"""Time for which input is discarded after the write side is shut down, in seconds."""
CLOSE_STALL_S = 60.0
"""Longest time without progress while a closing connection sends its last bytes, in seconds."""
CLOSED_BY_PEER = "closed by the other side"
"""Reason given for an orderly close by the peer."""
RESET_AFTER_CLOSE = "closed by the other side, then reset"
"""Reason given for an orderly close that a reset followed, before the close was read."""
TCP_INFO_BYTES_ACKED = struct.Struct("=120xQ")
"""Place of `tcpi_bytes_acked` in Linux's `struct tcp_info`."""

POLL_HANGUP = select.EPOLLHUP | select.EPOLLERR
POLL_PEER_CLOSED = select.EPOLLRDHUP

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close sends RST."""
ORDERLY_CLOSE = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which a close sends FIN after the unsent bytes."""


class ConnectionEvents:
    """Receive the events of a connection."""

    __slots__ = ()

    def on_connected(self) -> None:
        """Handle an established connection."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_drained(self) -> None:
        """Handle the send buffer falling below the low-water mark."""

    def on_closed(self, reason: str) -> None:
        """Handle a connection that the peer or an error ended; not called after `close`."""

    def on_input_ended(self) -> bool:
        """Handle the end of the input; return whether a response is written before the close."""
        return False

    def on_finished(self) -> None:
        """Handle the end of a close that `Connection.close_when_sent` began."""


NO_EVENTS = ConnectionEvents()
"""Receiver of the events of a closed connection."""


class Connection(SocketHandler):
    """Read and write one non-blocking TCP socket.

    The operating system reports the error of a socket once, to whichever call comes first, and
    later reads look like an orderly close. So the first error is kept, whatever call has met it,
    and is the reason for which the connection ends; what came before it is read first.

    Parameters
    ----------
    loop : Loop
        Event loop that polls the socket.
    sock : socket.socket
        Non-blocking socket.
    events : ConnectionEvents
        Receiver of the events.
    connecting : bool
        Whether a connect is in progress.

    Attributes
    ----------
    closed : bool
        Whether the connection is closed.
    dropped_bytes : int
        Number of bytes that were read and discarded while the connection was being closed.
    peer_closed : bool
        Whether the peer has closed its sending side; what it sent before may not be read yet.
    peer_closed_unread : bool
        Whether the peer closed in an orderly way and had received nothing since `mark_acked`.
    high_water_bytes : int
        Size of the send buffer above which the writer should pause, in bytes.
    on_unsent : callable or None
        Called with the size of the send buffer when it has changed; not called at the close.
    read_bytes : int
        Largest number of bytes that are read at a time.
    sent_bytes : int
        Number of bytes that the operating system has accepted.
    """

    __slots__ = (
        "_acked_before",
        "_closing",
        "_connecting",
        "_error",
        "_fileno",
        "_mask",
        "_over_high_water",
        "_poller",
        "_resets_on_close",
        "_send_buffer",
        "_timers",
        "closed",
        "dropped_bytes",
        "events",
        "high_water_bytes",
        "on_unsent",
        "peer_closed",
        "peer_closed_unread",
        "read_bytes",
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
        self.dropped_bytes = 0
        self.peer_closed = False
        self.peer_closed_unread = False
        self.sent_bytes = 0
        self.high_water_bytes = HIGH_WATER_BYTES
        self.read_bytes = READ_CHUNK_BYTES
        self.on_unsent: Callable[[int], None] | None = None
        self._acked_before = 0
        self._error = ""
        self._poller = loop.poller
        self._timers = loop.timers
        self._fileno = sock.fileno()
        self._connecting = connecting
        self._closing = False
        self._over_high_water = False
        self._resets_on_close = False
        self._send_buffer = bytearray()
        self._mask = POLL_WRITE if connecting else POLL_READ | POLL_PEER_CLOSED
        self._poller.add_handler(self._fileno, self, self._mask)

    @property
    def unsent(self) -> int:
        """Return the size of the send buffer in bytes."""
        return len(self._send_buffer)

    @property
    def closing(self) -> bool:
        """Return whether `close_when_sent` has begun."""
        return self._closing

    def write(self, data: bytes) -> None:
        """Send as many bytes as the socket accepts and buffer the rest."""
        if self.closed or self._closing or not data:
            return
        if self._send_buffer or self._connecting:
            self._send_buffer += data
        else:
            self._send_first(data)
        if self._send_buffer:
            if self.on_unsent is not None:
                self.on_unsent(len(self._send_buffer))
            if len(self._send_buffer) > self.high_water_bytes:
                self._over_high_water = True

    def _send_first(self, data: bytes) -> None:
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as exc:
            self._keep_error(exc)
            # The next poll ends the connection, also after an error that leaves the socket open.
            self._set_mask(self._mask | POLL_WRITE)
            return
        self.sent_bytes += sent
        if sent < len(data):
            self._send_buffer += data[sent:]
            self._set_mask(self._mask | POLL_WRITE)

    def _keep_error(self, exc: OSError) -> None:
        """Keep the first error as the reason for the end."""
        if not self._error:
            # A reset reads as this error where the peer had closed its sending side before.
            closed_before = exc.errno == errno.EPIPE
            self._error = RESET_AFTER_CLOSE if closed_before else str(exc)

    def congested(self) -> bool:
        """Return whether the writer should pause until `on_drained`."""
        return self._over_high_water

    def await_drain(self) -> bool:
        """Return whether much is unsent; if so, `on_drained` is called once it is sent."""
        if len(self._send_buffer) >= LOW_WATER_BYTES:
            self._over_high_water = True
        return self._over_high_water

    def pause_reading(self, detect_close: bool = True) -> None:
        """Stop reading.

        Parameters
        ----------
        detect_close : bool
            Whether an orderly close by the peer ends the connection meanwhile. Set it to False if
            bytes that were sent before the close are still to be read.
        """
        mask = self._mask & ~POLL_READ
        self._set_mask(mask if detect_close else mask & ~POLL_PEER_CLOSED)

    def resume_reading(self) -> None:
        """Resume reading."""
        self._set_mask(self._mask | POLL_READ | POLL_PEER_CLOSED)

    def close(self) -> None:
        """Close immediately without calling `on_closed`; unsent bytes are lost."""
        if self.closed:
            return
        self.closed = True
        self._poller.remove_handler(self._fileno)
        with contextlib.suppress(OSError):
            self.sock.close()
        self._send_buffer.clear()
        events = self.events
        # The receiver refers to this connection, and would form a ring of references with it.
        self.events = NO_EVENTS
        self.on_unsent = None
        if self._closing:
            events.on_finished()

    def close_when_sent(self, discard_input: bool = False) -> None:
        """Close after the unsent bytes are sent and the peer has had time to read them.

        Input is left unread, so a request that crosses the close is known not to have been read.

        Parameters
        ----------
        discard_input : bool
            Whether to read and discard input for `LINGER_S`. A peer that is still sending a request
            needs it: closing with unread input resets the connection, and the reset can destroy a
            response that the peer has not read yet.
        """
        if self.closed or self._closing:
            return
        self._closing = True
        if discard_input:
            self.resume_reading()
        else:
            self.pause_reading()
        if self._send_buffer:
            self._close_if_stalled(self.sent_bytes)
        else:
            self._shut_down_writing()

    def has_input(self) -> bool:
        """Return whether bytes, or the peer's close, wait to be read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as exc:
            self._keep_error(exc)
        return True

    def _close_if_stalled(self, sent_bytes: int) -> None:
        """Close if the peer has read nothing within `CLOSE_STALL_S`."""

        def check() -> None:
            if self.closed or not self._send_buffer:
                return
            if self.sent_bytes == sent_bytes:
                self.close()
            else:
                self._close_if_stalled(self.sent_bytes)

        self._timers.call_later(CLOSE_STALL_S, check)

    def _shut_down_writing(self) -> None:
        self._timers.call_later(LINGER_S, self._close_if_acked)
        try:
            if self._resets_on_close:
                self._set_linger(ORDERLY_CLOSE)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _close_if_acked(self, waited_s: float = LINGER_S) -> None:
        """Close, unless unread input would make that a reset that destroys unacknowledged bytes."""
        if self.closed:
            return
        unacked = 0 < self._acked_bytes() < self.sent_bytes
        if not (unacked and self.has_input() and waited_s < CLOSE_STALL_S):
            self.close()
            return
        self._timers.call_later(LINGER_S, lambda: self._close_if_acked(waited_s + LINGER_S))

    def reset(self) -> None:
        """Close with RST, so that the peer sees an error instead of an orderly close."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self._set_linger(RESET_ON_CLOSE)
        self.close()

    def reset_unless_finished(self) -> None:
        """Let every end but `close_when_sent` send RST, also that of the process.

        It is for responses whose only end is that of their connection.
        """
        self._resets_on_close = True
        with contextlib.suppress(OSError):
            self._set_linger(RESET_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def mark_acked(self) -> None:
        """Remember what the peer has acknowledged, to tell later whether it received more."""
        self._acked_before = self._acked_bytes()

    def received_nothing(self) -> bool:
        """Return whether the peer has acknowledged nothing since `mark_acked`.

        Each segment acknowledges what its sender had received before it. So bytes that are read
        while this holds were sent before the peer had received anything. False if it is unknown.
        """
        return bool(self._acked_before) and self._acked_bytes() == self._acked_before

    def _acked_bytes(self) -> int:
        """Return the number of bytes that the peer has acknowledged, 0 if that is unknown."""
        size = TCP_INFO_BYTES_ACKED.size
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        except OSError:
            return 0
        return int(TCP_INFO_BYTES_ACKED.unpack(info)[0]) if len(info) == size else 0

    def _is_closed_unread(self, reason: str) -> bool:
        """Return whether the peer's close acknowledges nothing since `mark_acked`.

        A FIN acknowledges all that its sender had received. A reset does not: after a reset alone,
        or where nothing was acknowledged before, it is unknown what was received.
        """
        return reason in (CLOSED_BY_PEER, RESET_AFTER_CLOSE) and self.received_nothing()

    def is_stale(self) -> bool:
        """Return whether an idle connection is closed or has received unsolicited bytes."""
        return self.has_input()

    def on_ready(self, events: int) -> None:
        """Handle readiness of the socket."""
        if self._connecting:
            self._finish_connect()
            return
        if events & POLL_PEER_CLOSED:
            self.peer_closed = True
        if events & POLL_READ:
            self._read()
        if not self.closed and events & POLL_WRITE and not self._error:
            self._flush()
        if not self.closed and (self._error or events & (POLL_HANGUP | POLL_PEER_CLOSED)):
            self._handle_end(events)

    def _handle_end(self, events: int) -> None:
        if events & POLL_READ and not self._closing:
            # What came before the end is read first, at the next polls.
            return
        if self._error:
            self._end_connection(self._error)
        elif events & POLL_HANGUP:
            self._end_connection("connection reset")
        elif not self._mask & POLL_READ:
            self._end_connection(CLOSED_BY_PEER)

    def _finish_connect(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._end_connection(errno.errorcode.get(error, str(error)))
            return
        self._connecting = False
        mask = POLL_READ | POLL_PEER_CLOSED
        self._set_mask(mask | POLL_WRITE if self._send_buffer else mask)
        self.events.on_connected()

    def _read(self) -> None:
        try:
            data = self.sock.recv(self.read_bytes)
        except BlockingIOError:
            return
        except OSError as exc:
            self._keep_error(exc)
            self._end_connection(self._error)
            return
        if data and self._closing:
            self.dropped_bytes += len(data)
            return
        if data:
            self.events.on_data(data)
        elif self._error:
            self._end_connection(self._error)
        elif self._closing or not self.events.on_input_ended():
            self._end_connection(CLOSED_BY_PEER)

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self._send_buffer)
        except BlockingIOError:
            return
        except OSError as exc:
            self._keep_error(exc)
            return
        self.sent_bytes += sent
        del self._send_buffer[:sent]
        if self.on_unsent is not None:
            self.on_unsent(len(self._send_buffer))
        if not self._send_buffer:
            self._set_mask(self._mask & ~POLL_WRITE)
        if self._closing and not self._send_buffer:
            self._shut_down_writing()
        elif self._over_high_water and len(self._send_buffer) < LOW_WATER_BYTES:
            self._over_high_water = False
            self.events.on_drained()

    def _end_connection(self, reason: str) -> None:
        self.peer_closed_unread = self._is_closed_unread(reason)
        events = self.events
        self.close()
        if not self._closing:
            events.on_closed(reason)

    def _set_mask(self, mask: int) -> None:
        if self.closed or mask == self._mask:
            return
        self._mask = mask
        self._poller.change_events(self._fileno, mask)


def open_connection(loop: Loop, address: Address, events: ConnectionEvents) -> Connection:
    """Start a non-blocking connect and return the connection; `events` receives its result.

    Raises
    ------
    OSError
        If the connect fails immediately.
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
