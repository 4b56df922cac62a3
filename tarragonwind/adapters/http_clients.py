"""Send HTTP/1.1 requests to upstreams and the platform, one exchange a connection at a time."""

from __future__ import annotations

from collections.abc import Callable

import httptools
from loguru import logger

from tarragonwind.adapters.connections import (
    ORDERLY_END,
    Connection,
    ConnectionEvents,
    open_connection,
)
from tarragonwind.adapters.loops import Loop
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpError, HttpRequest, HttpResponse, HttpTransport, Timer

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_PER_ADDRESS = 64
MAX_HEAD_BYTES = 64 * 1024
MAX_FETCH_BODY_BYTES = 64 * 1024 * 1024
IDLE_CLOSE_S = 30.0
"""Longest time that an idle connection is kept, in seconds."""
KEEP_MARGIN_S = 0.5
"""Time before the other side's own limit at which an idle connection is closed, in seconds."""
IDLE_SWEEP_S = 2.0
"""Time between two sweeps over idle connections, in seconds."""


class ResponseSink:
    """Name the calls that follow one exchange."""

    __slots__ = ()

    def on_sent(self) -> None:
        """Note that bytes of the request may have left; called once, before they do."""

    def owns_answer(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Tell whether an answer is for this exchange; one that isn't is read and dropped."""
        return True

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Handle the final status line and the header fields."""

    def on_body(self, data: bytes) -> None:
        """Handle the next bytes of the body, without framing."""

    def on_complete(self) -> None:
        """Handle the whole response having arrived."""

    def on_failed(self, exc: HttpError) -> None:
        """Handle the exchange having ended early; called at most once, instead of the above."""

    def on_request_drained(self) -> None:
        """Handle the request's unsent bytes having fallen below the low-water mark."""


def encode_request(address: Address, req: HttpRequest) -> bytes:
    """Return the bytes of a request with its Host and Content-Length fields."""
    authority = req.authority or str(address)
    head = [f"{req.method} {req.target} HTTP/1.1\r\nHost: {authority}\r\n".encode("latin-1")]
    for name, value in req.headers:
        head.append(name + b": " + value + b"\r\n")
    if req.body or req.method not in ("GET", "HEAD"):
        head.append(b"Content-Length: %d\r\n" % len(req.body))
    head.append(b"\r\n")
    return b"".join(head) + req.body


class ClientExchange(ConnectionEvents):
    """Carry one request and its response over one connection.

    Parameters
    ----------
    client : HttpClient
        Client that keeps the connection afterwards.
    address : Address
        Other side.
    req : HttpRequest
        Whole request.
    sink : ResponseSink
        Follower of the exchange.
    """

    __slots__ = (
        "_body_parts",
        "_client",
        "_complete",
        "_conn",
        "_connect_timer",
        "_ended",
        "_head_bytes",
        "_headers",
        "_keeps",
        "_parser",
        "_req",
        "_sent",
        "_sink",
        "_skipping",
        "_status",
        "_until_close",
        "address",
    )

    def __init__(
        self, client: HttpClient, address: Address, req: HttpRequest, sink: ResponseSink
    ) -> None:
        self.address = address
        self._client = client
        self._req = req
        self._sink = sink
        self._headers: list[tuple[bytes, bytes]] = []
        self._body_parts: list[bytes] = []
        self._head_bytes = 0
        self._status = 0
        self._sent = False
        self._complete = False
        self._skipping = False
        self._keeps = False
        self._until_close = False
        self._ended = False
        self._parser = httptools.HttpResponseParser(self)
        self._conn: Connection | None = None
        self._connect_timer: Timer | None = None

    def start(self) -> None:
        """Send the request over a kept connection, or over a new one."""
        conn = self._client.take_idle(self.address)
        if conn is not None:
            conn.events = self
            self._conn = conn
            self._send()
            return
        try:
            self._conn = open_connection(self._client.loop, self.address, self)
        except OSError as exc:
            self._fail(str(exc))
            return
        timeout_s = self._client.connect_timeout_s
        self._connect_timer = self._client.loop.timers.call_later(timeout_s, self._connect_late)

    def cancel(self) -> None:
        """End the exchange without telling the sink; the other side sees the connection close."""
        self._ended = True
        self._stop_connect_timer()
        if self._conn is not None:
            self._conn.close()

    @property
    def sent(self) -> bool:
        """Tell whether a byte of the request may have reached the other side."""
        return self._sent

    def pause(self) -> None:
        """Stop reading the response."""
        if self._conn is not None:
            self._conn.pause_reading(notice_end=False)

    def resume(self) -> None:
        """Read the response again."""
        if self._conn is not None:
            self._conn.resume_reading()

    def fail(self, message: str) -> None:
        """End the exchange with an error from outside, such as a timeout."""
        self._fail(message)

    def on_connected(self) -> None:
        """Send the request once the connection stands."""
        self._stop_connect_timer()
        self._send()

    def on_data(self, data: bytes) -> None:
        """Parse what arrived and pass it on."""
        fault = ""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            fault = "the response switches protocols"
        except (httptools.HttpParserError, ValueError) as exc:
            fault = f"malformed response: {exc}"[:200]
        if self._ended:
            return
        if fault and not self._complete:
            self._fail(fault)
            return
        self._pass_body()
        if self._complete and not self._ended:
            keep = not fault and not self._until_close and self._keeps
            self._finish(reuse=keep)

    def on_closed(self, reason: str) -> None:
        """Tell the sink how the exchange ended."""
        if self._until_close and self._status and reason == ORDERLY_END:
            self._pass_body()
            self._finish(reuse=False)
            return
        self._fail(reason)

    def on_drained(self) -> None:
        """Tell the sink that the request's bytes have gone out."""
        self._sink.on_request_drained()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field within the bound."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("response headers are too large")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on unless it is an interim response."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers = []
            return
        if self._status:
            raise ValueError("a second response on one exchange")
        if not self._sink.owns_answer(self._headers):
            self._skip_answer(status)
            return
        self._status = status
        self._until_close = not has_framing(status, self._headers, self._req.method)
        self._sink.on_head(status, self._headers)
        if self._req.method == "HEAD":
            # The parser would wait for the body that the length announces and HEAD leaves out.
            self._complete = True
            self._until_close = True

    def _skip_answer(self, status: int) -> None:
        """Drop an answer to an earlier request; this one's comes behind it."""
        if not has_framing(status, self._headers, self._req.method):
            raise ValueError("an answer to another request runs to the end of the connection")
        logger.warning("event=foreign_answer_dropped upstream={} status={}", self.address, status)
        self._skipping = True

    def on_body(self, data: bytes) -> None:
        """Collect body bytes of one read."""
        if not self._skipping:
            self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        if self._skipping:
            self._skipping = False
            self._headers = []
            self._head_bytes = 0
        elif self._status:
            # The parser forgets this once it has passed the end of the message.
            self._keeps = self._parser.should_keep_alive()
            self._complete = True

    def _pass_body(self) -> None:
        if not self._body_parts:
            return
        parts = self._body_parts
        self._body_parts = []
        self._sink.on_body(parts[0] if len(parts) == 1 else b"".join(parts))

    def _send(self) -> None:
        assert self._conn is not None
        self._sent = True
        self._sink.on_sent()
        self._conn.write(encode_request(self.address, self._req))

    def _connect_late(self) -> None:
        self._fail("connect timed out")

    def _stop_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None

    def _finish(self, reuse: bool) -> None:
        if self._ended:
            return
        self._ended = True
        assert self._conn is not None
        if reuse and not self._conn.closed and not self._conn.unsent:
            kept_s = read_keep_alive(self._headers)
            self._client.keep_idle(self.address, self._conn, kept_s)
        else:
            self._conn.close()
        self._sink.on_complete()

    def _fail(self, message: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._stop_connect_timer()
        if self._conn is not None:
            self._conn.close()
        self._sink.on_failed(HttpError(message, self._sent))


def has_framing(status: int, headers: list[tuple[bytes, bytes]], method: str) -> bool:
    """Tell whether a response's end is marked by its length or its last chunk."""
    if method == "HEAD" or status in (204, 304):
        return True
    names = {name.lower() for name, _ in headers}
    return b"content-length" in names or b"transfer-encoding" in names


def read_keep_alive(headers: list[tuple[bytes, bytes]]) -> float | None:
    """Return the time in seconds for which the other side keeps an idle connection, if it says."""
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                return float(number)
    return None


class IdleConnection(ConnectionEvents):
    """Watch one kept connection and forget it when it ends.

    Attributes
    ----------
    until : float
        Time at which it is closed, in seconds.
    """

    __slots__ = ("address", "client", "conn", "until")

    def __init__(
        self, client: HttpClient, address: Address, conn: Connection, until: float
    ) -> None:
        self.client = client
        self.address = address
        self.conn = conn
        self.until = until

    def on_data(self, data: bytes) -> None:
        """Close: bytes that nobody asked for must not answer the next request."""
        self.conn.close()
        self.client.drop_idle(self)

    def on_closed(self, reason: str) -> None:
        """Forget the connection."""
        self.client.drop_idle(self)


class HttpClient(HttpTransport):
    """Open exchanges and keep idle connections for each address.

    Parameters
    ----------
    loop : Loop
        Loop that polls the sockets.
    connect_timeout_s : float
        Longest connect, in seconds.
    max_idle : int
        Idle connections kept for each address.
    """

    def __init__(
        self,
        loop: Loop,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle: int = MAX_IDLE_PER_ADDRESS,
    ) -> None:
        self.loop = loop
        self.connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: dict[Address, list[IdleConnection]] = {}
        loop.timers.call_every(IDLE_SWEEP_S, self._close_old)

    def exchange(self, address: Address, req: HttpRequest, sink: ResponseSink) -> ClientExchange:
        """Start one exchange; it is never repeated."""
        exchange = ClientExchange(self, address, req, sink)
        exchange.start()
        return exchange

    def fetch(self, address: Address, req: HttpRequest, timeout_s: float) -> Future[HttpResponse]:
        """Send a request and wait for the whole response."""
        sink = FetchSink(self.loop, timeout_s)
        sink.begin(self.exchange(address, req, sink))
        return sink.fut

    def stream(
        self,
        address: Address,
        req: HttpRequest,
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
    ) -> Callable[[], None]:
        """Send a request and pass on the response's body as it comes."""
        sink = FollowSink(on_data, on_end)
        exchange = self.exchange(address, req, sink)
        return exchange.cancel

    def take_idle(self, address: Address) -> Connection | None:
        """Return a kept connection that still stands, or None."""
        kept = self._idle.get(address, [])
        now = self.loop.timers.now()
        while kept:
            idle = kept.pop()
            conn = idle.conn
            if not conn.closed and idle.until > now and not conn.is_stale():
                return conn
            conn.close()
        return None

    def keep_idle(self, address: Address, conn: Connection, kept_s: float | None = None) -> None:
        """Keep a connection for the next exchange.

        Parameters
        ----------
        address : Address
            Other side.
        conn : Connection
            Connection without an exchange.
        kept_s : float, optional
            Time for which the other side keeps it, in seconds.
        """
        kept = self._idle.setdefault(address, [])
        if len(kept) >= self._max_idle:
            conn.close()
            return
        idle_s = IDLE_CLOSE_S if kept_s is None else min(IDLE_CLOSE_S, kept_s - KEEP_MARGIN_S)
        idle = IdleConnection(self, address, conn, self.loop.timers.now() + idle_s)
        conn.events = idle
        conn.resume_reading()
        kept.append(idle)

    def drop_idle(self, idle: IdleConnection) -> None:
        """Forget a kept connection."""
        kept = self._idle.get(idle.address, [])
        if idle in kept:
            kept.remove(idle)

    def close(self) -> None:
        """Close every kept connection."""
        for kept in self._idle.values():
            for idle in kept:
                idle.conn.close()
        self._idle.clear()

    def _close_old(self) -> None:
        now = self.loop.timers.now()
        for address in list(self._idle):
            kept = self._idle[address]
            for idle in [one for one in kept if one.until < now]:
                idle.conn.close()
                kept.remove(idle)
            if not kept:
                del self._idle[address]


class FetchSink(ResponseSink):
    """Collect a whole response within a time and a size."""

    __slots__ = ("_body", "_exchange", "_headers", "_status", "_timer", "fut")

    def __init__(self, loop: Loop, timeout_s: float) -> None:
        self.fut: Future[HttpResponse] = Future()
        self._exchange: ClientExchange | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._status = 0
        self._timer = loop.timers.call_later(timeout_s, self._late)

    def begin(self, exchange: ClientExchange) -> None:
        """Remember the exchange so that a timeout can end it."""
        self._exchange = exchange

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Keep the head."""
        self._status = status
        self._headers = headers

    def on_body(self, data: bytes) -> None:
        """Keep the body within its bound."""
        self._body += data
        if len(self._body) > MAX_FETCH_BODY_BYTES and self._exchange is not None:
            self._exchange.fail("response body is too large")

    def on_complete(self) -> None:
        """Set the result."""
        self._timer.cancel()
        self.fut.set_result(HttpResponse(self._status, self._headers, bytes(self._body)))

    def on_failed(self, exc: HttpError) -> None:
        """Set the error."""
        self._timer.cancel()
        self.fut.set_exception(exc)

    def _late(self) -> None:
        if self._exchange is not None:
            self._exchange.fail("no whole response in time")


class FollowSink(ResponseSink):
    """Pass a response's body to a callback as it comes."""

    __slots__ = ("_on_data", "_on_end", "_refusal")

    def __init__(self, on_data: Callable[[bytes], None], on_end: Callable[[str], None]) -> None:
        self._on_data = on_data
        self._on_end = on_end
        self._refusal = ""

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Remember a status that is no success."""
        if status != 200:
            self._refusal = f"status {status}"

    def on_body(self, data: bytes) -> None:
        """Pass the bytes on."""
        if not self._refusal:
            self._on_data(data)

    def on_complete(self) -> None:
        """Report the end."""
        self._on_end(self._refusal or "ended")

    def on_failed(self, exc: HttpError) -> None:
        """Report the failure."""
        self._on_end(str(exc))
