"""Read callers' requests: whole ones only, with bounds on size and nothing after a fault."""

from __future__ import annotations

from collections import deque

import httptools

from tarragonwind.errors import ErrorKind, RequestError

MAX_PIPELINED = 16


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
    accepts_chunked : bool
        Whether the caller understands chunked answers.
    """

    __slots__ = ("body", "accepts_chunked", "headers", "keep_alive", "method", "target")

    def __init__(self, method: str, target: str, headers: list[tuple[bytes, bytes]]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = True
        self.accepts_chunked = True

    def header(self, name: bytes) -> bytes:
        """Return the first value of a field, empty when it is absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""


class RequestParser:
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
        request.accepts_chunked = version == "1.1"

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
