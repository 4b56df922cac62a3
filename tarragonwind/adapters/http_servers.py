"""Serve HTTP/1.1 to callers: one request a connection at a time, with bounds on all of it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from http import HTTPStatus

from tarragonwind.adapters.connections import Connection, ConnectionEvents, Listener
from tarragonwind.adapters.http_requests import CallerRequest, HttpLimits, RequestParser
from tarragonwind.adapters.loops import Loop
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.ports import Address, Timer

SKIPPED_RESPONSE_HEADERS = frozenset(
    [
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
"""Fields that belong to one connection; the server writes its own."""


class ExchangeEvents:
    """Name what the owner of a caller's exchange hears while it answers."""

    __slots__ = ()

    def on_caller_drained(self) -> None:
        """Handle the caller having taken enough bytes to go on."""

    def on_caller_disconnected(self) -> None:
        """Handle the caller having left before its answer was whole."""


class CallerExchange:
    """Answer one request of a caller.

    Attributes
    ----------
    request : CallerRequest
        The request.
    started : bool
        Whether the head of the answer has been written.
    """

    __slots__ = ("_chunked", "_conn", "_left_bytes", "events", "request", "started")

    def __init__(self, conn: CallerConnection, request: CallerRequest) -> None:
        self.request = request
        self.events = ExchangeEvents()
        self.started = False
        self._conn = conn
        self._chunked = False
        self._left_bytes: int | None = None

    @property
    def peer(self) -> Address:
        """Return the caller's address."""
        return self._conn.peer

    @property
    def disconnected(self) -> bool:
        """Tell whether the caller has left."""
        return self._conn.closed

    def start(
        self, status: int, headers: list[tuple[bytes, bytes]], length: int | None = None
    ) -> None:
        """Write the head of the answer.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : list of (bytes, bytes)
            Fields; those that belong to a connection are left out.
        length : int, optional
            Length of the body in bytes; without it the body is chunked.
        """
        self.started = True
        bodiless = status in (204, 304) or self.request.method == "HEAD"
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason_phrase(status))]
        for name, value in headers:
            if name.lower() not in SKIPPED_RESPONSE_HEADERS:
                lines.append(name + b": " + value + b"\r\n")
        self._add_framing(lines, status, length, bodiless)
        lines.append(b"\r\n")
        self._conn.write(b"".join(lines))

    def _add_framing(
        self, lines: list[bytes], status: int, length: int | None, bodiless: bool
    ) -> None:
        if bodiless:
            self._left_bytes = 0
            if length is not None and status != 204:
                lines.append(b"Content-Length: %d\r\n" % length)
        elif length is not None:
            self._left_bytes = length
            lines.append(b"Content-Length: %d\r\n" % length)
        elif self.request.accepts_chunked:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            self.request.keep_alive = False
        if not self.request.keep_alive or self._conn.stopping:
            self.request.keep_alive = False
            lines.append(b"Connection: close\r\n")

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body.

        Raises
        ------
        ValueError
            When the body gets longer than was announced.
        """
        if self._chunked:
            self._conn.write(b"%x\r\n%b\r\n" % (len(data), data))
            return
        if self._left_bytes is not None:
            if len(data) > self._left_bytes:
                raise ValueError("the body is longer than announced")
            self._left_bytes -= len(data)
        self._conn.write(data)

    def congested(self) -> bool:
        """Tell whether to wait for `ExchangeEvents.on_caller_drained` before more is written."""
        return self._conn.congested()

    def finish(self) -> None:
        """End a whole answer; one that is shorter than announced is cut visibly."""
        if self._left_bytes:
            self.abort()
            return
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")
        self._conn.finish_exchange(self)

    def abort(self) -> None:
        """Cut the answer so that the caller can't take it for whole."""
        self._conn.abort()

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a whole short answer."""
        self.start(status, headers, len(body))
        if body and self.request.method != "HEAD":
            self.write(body)
        self.finish()


def reason_phrase(status: int) -> bytes:
    """Return the standard phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"


class CallerConnection(ConnectionEvents):
    """Read requests from one caller's connection and answer them in order."""

    __slots__ = (
        "_conn",
        "_current",
        "_fault",
        "_reader",
        "_server",
        "_stall_sent",
        "_timer",
        "peer",
    )

    def __init__(self, server: HttpServer, sock: socket.socket, peer: Address) -> None:
        self.peer = peer
        self._server = server
        self._reader = RequestParser(server.limits)
        self._current: CallerExchange | None = None
        self._fault: RequestError | None = None
        self._timer: Timer | None = None
        self._stall_sent = 0
        self._conn = Connection(server.loop, sock, self)
        self._expect(server.limits.idle_timeout_s)

    @property
    def closed(self) -> bool:
        """Tell whether the connection has ended."""
        return self._conn.closed

    @property
    def stopping(self) -> bool:
        """Tell whether the server is closing its connections."""
        return self._server.stopping

    @property
    def idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return self._current is None and not self._reader.in_head and not self._reader.in_body

    def write(self, data: bytes) -> None:
        """Queue bytes of an answer."""
        self._conn.write(data)
        if self._conn.congested() and self._timer is None:
            self._watch_stall()

    def congested(self) -> bool:
        """Tell whether the caller is behind."""
        return self._conn.congested()

    def on_data(self, data: bytes) -> None:
        """Read requests and start the first one."""
        was_reading = self._reader.in_head or self._reader.in_body
        self._fault = self._reader.feed(data)
        if self._current is not None:
            if self._reader.ready or self._fault:
                self._conn.pause_reading()
            return
        if self._reader.ready or self._fault:
            self._next_exchange()
        elif self._reader.in_body:
            self._begin_body()
        elif not was_reading:
            self._expect(self._server.limits.head_timeout_s)

    def _begin_body(self) -> None:
        if self._reader.wants_continue:
            self._reader.wants_continue = False
            self._conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not self._reader.body_timed:
            self._reader.body_timed = True
            self._expect(self._server.limits.body_timeout_s)

    def on_drained(self) -> None:
        """Let the answer go on."""
        if self._current is not None:
            self._current.events.on_caller_drained()

    def on_closed(self, reason: str) -> None:
        """Tell the owner of the answer that the caller left."""
        self._stop_timer()
        self._server.forget(self)
        current = self._current
        self._current = None
        if current is not None:
            current.events.on_caller_disconnected()

    def on_finished(self) -> None:
        """Forget the connection after its last bytes."""
        self._server.forget(self)

    @property
    def unsent(self) -> int:
        """Return the bytes of answers that the caller has not taken yet."""
        return self._conn.unsent

    def finish_exchange(self, exchange: CallerExchange) -> None:
        """Go on to the next request, or close."""
        if self._current is not exchange or self._conn.closed:
            return
        self._current = None
        self._stop_timer()
        if not exchange.request.keep_alive:
            self._close_when_sent()
            return
        self._conn.resume_reading()
        if self._reader.ready or self._fault:
            self._server.loop.timers.call_later(0.0, self._next_exchange)
        else:
            self._expect(self._server.limits.idle_timeout_s)

    def close(self) -> None:
        """Close at once; what is not read yet is not read any more."""
        self._stop_timer()
        self._conn.close()
        self._server.forget(self)

    def abort(self) -> None:
        """Cut the connection."""
        self._stop_timer()
        self._current = None
        self._conn.reset()
        self._server.forget(self)

    def _next_exchange(self) -> None:
        if self._current is not None or self._conn.closed:
            return
        self._stop_timer()
        if self._reader.ready:
            exchange = CallerExchange(self, self._reader.ready.popleft())
            self._current = exchange
            self._server.on_request(exchange)
        elif self._fault is not None:
            self._refuse(self._fault)

    def _refuse(self, fault: RequestError) -> None:
        request = CallerRequest("GET", "/", [])
        request.keep_alive = False
        exchange = CallerExchange(self, request)
        self._current = exchange
        self._conn.pause_reading()
        self._server.on_fault(exchange, fault)

    def _expect(self, timeout_s: float) -> None:
        self._stop_timer()
        self._timer = self._server.loop.timers.call_later(timeout_s, self._read_late)

    def _read_late(self) -> None:
        self._timer = None
        if self._current is not None:
            return
        if self.idle:
            self._close_when_sent()
            return
        self._refuse(RequestError(ErrorKind.REQUEST_TOO_SLOW, "the request came too slowly"))

    def _watch_stall(self) -> None:
        timeout_s = self._server.limits.stall_timeout_s
        self._stall_sent = self._conn.sent_bytes
        self._timer = self._server.loop.timers.call_later(timeout_s, self._check_stall)

    def _check_stall(self) -> None:
        self._timer = None
        if not self._conn.congested():
            return
        if self._conn.sent_bytes != self._stall_sent:
            self._watch_stall()
            return
        current = self._current
        self.abort()
        if current is not None:
            current.events.on_caller_disconnected()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_when_sent(self) -> None:
        self._stop_timer()
        self._conn.close_when_sent()


class HttpServer:
    """Accept callers and hand their whole requests on.

    Parameters
    ----------
    loop : Loop
        Loop that polls the sockets.
    address : Address
        Where to listen.
    limits : HttpLimits
        Bounds for each connection.
    on_request : callable
        Called with each exchange to answer.
    on_fault : callable
        Called with an exchange and the fault to answer it with.
    sock : socket.socket, optional
        Socket that listens already; its callers wait until `start`.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        limits: HttpLimits,
        on_request: Callable[[CallerExchange], None],
        on_fault: Callable[[CallerExchange, RequestError], None],
        sock: socket.socket | None = None,
    ) -> None:
        self.loop = loop
        self.limits = limits
        self.on_request = on_request
        self.on_fault = on_fault
        self.stopping = False
        self._connections: set[CallerConnection] = set()
        self._listener = Listener(loop, address, self._accept, sock)
        self.address = self._listener.address

    def start(self) -> None:
        """Serve the callers that wait at a socket that was given."""
        self._listener.start()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that callers have not taken yet."""
        return sum(conn.unsent for conn in self._connections)

    def announce_close(self) -> None:
        """Tell callers with each answer from now on that their connection will be closed."""
        self.stopping = True

    def stop(self) -> None:
        """Refuse new connections; those that stand are still served.

        An idle connection stays open, since its caller may be sending a request just now.
        """
        self.stopping = True
        self._listener.close()

    def close_idle(self) -> None:
        """Close the connections without a request.

        A request that crosses the close is not read, so its caller can tell that it has not run.
        """
        for conn in [conn for conn in self._connections if conn.idle]:
            conn.close()

    def forget(self, conn: CallerConnection) -> None:
        """Drop a connection that has ended."""
        self._connections.discard(conn)

    def _accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._connections) >= self.limits.max_connections:
            sock.close()
            return
        self._connections.add(CallerConnection(self, sock, peer))
