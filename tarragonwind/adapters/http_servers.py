"""Serve HTTP/1.1 to callers: one request a connection at a time, with bounds on all of it."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools

from tarragonwind.adapters.connections import Connection, ConnectionEvents, Listener
from tarragonwind.adapters.loops import Loop
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.ports import Address, Timer

MAX_PIPELINED = 16
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


class HttpLimits:
    """Bound what one caller's connection may cost.

    Attributes
    ----------
    max_head_bytes, max_body_bytes : int
        Largest request line with header fields, and body, in bytes.
    head_timeout_s, body_timeout_s : float
        Longest time from the first byte to the whole head, and from there to the whole body.
    idle_timeout_s : float
        Longest wait for a first or a next request.
    stall_timeout_s : float
        Longest time without the caller taking any byte of an answer that waits for it.
    max_connections : int
        Connections open at one time.
    """

    __slots__ = (
        "body_timeout_s",
        "head_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_connections",
        "max_head_bytes",
        "stall_timeout_s",
    )

    def __init__(
        self,
        max_head_bytes: int = 32 * 1024,
        max_body_bytes: int = 8 * 1024 * 1024,
        head_timeout_s: float = 10.0,
        body_timeout_s: float = 30.0,
        idle_timeout_s: float = 75.0,
        stall_timeout_s: float = 60.0,
        max_connections: int = 10_000,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.body_timeout_s = body_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.stall_timeout_s = stall_timeout_s
        self.max_connections = max_connections


class CallerRequest:
    """Hold one whole request of a caller.

    Attributes
    ----------
    method, target : str
        Method and request target as sent.
    headers : list of (bytes, bytes)
        Header fields as sent.
    body : bytes
        Whole body.
    keep_alive : bool
        Whether the connection may stay open after the answer.
    chunked_answer : bool
        Whether the caller understands chunked answers.
    """

    __slots__ = ("body", "chunked_answer", "headers", "keep_alive", "method", "target")

    def __init__(self, method: str, target: str, headers: list[tuple[bytes, bytes]]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = True
        self.chunked_answer = True

    def header(self, name: bytes) -> bytes:
        """Return the first value of a field, empty when it is absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""


class RequestReader:
    """Turn bytes into whole requests, with bounds, and nothing after the first fault.

    Parameters
    ----------
    limits : HttpLimits
        Bounds on head and body.
    """

    def __init__(self, limits: HttpLimits) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._request: CallerRequest | None = None
        self._url = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._fed_since_head = 0
        self._body = bytearray()
        self._fault: RequestError | None = None
        self.in_head = False
        self.in_body = False
        self.wants_continue = False
        self.body_timed = False
        self.ready: deque[CallerRequest] = deque()

    def feed(self, data: bytes) -> RequestError | None:
        """Parse bytes; whole requests join `ready`.

        Returns
        -------
        RequestError or None
            The fault that ends the connection once the requests before it are answered.
        """
        if self._fault is not None:
            return self._fault
        if self.in_head or not self.in_body:
            self._fed_since_head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._set_fault(ErrorKind.BAD_REQUEST, "switching protocols is not supported")
        except httptools.HttpParserCallbackError:
            self._set_fault(ErrorKind.BAD_REQUEST, "malformed request")
        except httptools.HttpParserError as exc:
            self._set_fault(ErrorKind.BAD_REQUEST, f"malformed request: {exc}"[:200])
        if self.in_head and self._fed_since_head > self._limits.max_head_bytes:
            self._set_fault(ErrorKind.HEADERS_TOO_LARGE, "request head is too large")
        return self._fault

    def _set_fault(self, kind: ErrorKind, message: str) -> None:
        if self._fault is None:
            self._fault = RequestError(kind, message)

    def _stop(self, kind: ErrorKind, message: str) -> None:
        self._set_fault(kind, message)
        raise ValueError(message)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.in_head = True
        self.body_timed = False
        self._url.clear()
        self._headers = []
        self._head_bytes = 0
        self._body = bytearray()
        if len(self.ready) >= MAX_PIPELINED:
            self._stop(ErrorKind.BAD_REQUEST, "too many requests ahead of their answers")

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            self._stop(ErrorKind.HEADERS_TOO_LARGE, "request head is too large")

    def on_headers_complete(self) -> None:
        """Check the head and get ready for the body."""
        self.in_head = False
        self.in_body = True
        self._fed_since_head = 0
        method = self._parser.get_method().decode("latin-1")
        if method == "CONNECT":
            self._stop(ErrorKind.METHOD_REFUSED, "CONNECT is not supported")
        try:
            target = self._url.decode("ascii")
        except UnicodeDecodeError:
            self._stop(ErrorKind.BAD_REQUEST, "request target is not ASCII")
        self._request = CallerRequest(method, target, self._headers)
        self._check_framing()

    def _check_framing(self) -> None:
        request = self._request
        assert request is not None
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            self._stop(ErrorKind.BAD_REQUEST, "only HTTP/1.0 and HTTP/1.1 are served")
        hosts = sum(1 for name, _ in request.headers if name.lower() == b"host")
        if hosts > 1 or (version == "1.1" and hosts == 0):
            self._stop(ErrorKind.BAD_REQUEST, "exactly one Host field is required")
        encoding = request.header(b"transfer-encoding")
        if encoding and (version == "1.0" or encoding.strip().lower() != b"chunked"):
            self._stop(ErrorKind.BAD_REQUEST, "only chunked transfer encoding is supported")
        length = request.header(b"content-length")
        if length and int(length) > self._limits.max_body_bytes:
            self._stop(ErrorKind.BODY_TOO_LARGE, "request body is too large")
        self.wants_continue = request.header(b"expect").lower() == b"100-continue"
        request.chunked_answer = version == "1.1"

    def on_body(self, data: bytes) -> None:
        """Collect body bytes."""
        self._body += data
        if len(self._body) > self._limits.max_body_bytes:
            self._stop(ErrorKind.BODY_TOO_LARGE, "request body is too large")

    def on_message_complete(self) -> None:
        """Hand over the whole request."""
        request = self._request
        if request is None:
            return
        self.in_body = False
        self.wants_continue = False
        request.body = bytes(self._body)
        request.keep_alive = self._parser.should_keep_alive()
        self._request = None
        self._body = bytearray()
        self.ready.append(request)


class AnswerEvents:
    """Name what the owner of a caller's exchange hears while it answers."""

    __slots__ = ()

    def on_caller_drained(self) -> None:
        """Handle the caller having taken enough bytes to go on."""

    def on_caller_gone(self) -> None:
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
        self.events = AnswerEvents()
        self.started = False
        self._conn = conn
        self._chunked = False
        self._left_bytes: int | None = None

    @property
    def peer(self) -> Address:
        """Return the caller's address."""
        return self._conn.peer

    @property
    def gone(self) -> bool:
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
        elif self.request.chunked_answer:
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
        """Tell whether to wait for `AnswerEvents.on_caller_drained` before more is written."""
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
        self._reader = RequestReader(server.limits)
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
            current.events.on_caller_gone()

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
            current.events.on_caller_gone()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_when_sent(self) -> None:
        self._stop_timer()
        self._conn.close_when_sent()
        self._server.forget(self)


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
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        limits: HttpLimits,
        on_request: Callable[[CallerExchange], None],
        on_fault: Callable[[CallerExchange, RequestError], None],
    ) -> None:
        self.loop = loop
        self.limits = limits
        self.on_request = on_request
        self.on_fault = on_fault
        self.stopping = False
        self._connections: set[CallerConnection] = set()
        self._listener = Listener(loop, address, self._accept)
        self.address = self._listener.address

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def announce_close(self) -> None:
        """Tell callers with each answer from now on that their connection will be closed."""
        self.stopping = True

    def stop(self) -> None:
        """Refuse new connections; those that stand are still served.

        An idle connection stays open, since its caller may be sending a request just now.
        """
        self.stopping = True
        self._listener.close()

    def forget(self, conn: CallerConnection) -> None:
        """Drop a connection that has ended."""
        self._connections.discard(conn)

    def _accept(self, sock: socket.socket, peer: Address) -> None:
        if len(self._connections) >= self.limits.max_connections:
            sock.close()
            return
        self._connections.add(CallerConnection(self, sock, peer))
