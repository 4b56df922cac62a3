"""Parse callers' HTTP/1.x requests one at a time, with limits on their size."""

from __future__ import annotations

from collections import deque

import httptools

from tarragonwind.adapters.chunk_bounds import ChunkBounds
from tarragonwind.adapters.http_requests import CallerRequest, HttpLimits
from tarragonwind.errors import ErrorKind, RequestError

MAX_HEADER_FIELDS = 256
"""Maximum number of header fields; each takes some 150 bytes of memory beside its own bytes."""
FIELD_OVERHEAD_BYTES = 160
NO_PARSER = httptools.HttpRequestParser(object())
"""Parser of a closed connection; a connection's own refers to what it reports to."""
HEAD_END = b"\r\n\r\n"
CHUNKS_END = b"0\r\n\r\n"
STRADDLE_BYTES = len(HEAD_END) - 1


class RequestParser:
    """Parse a byte stream into complete requests, one at a time, and stop at the first error.

    Input behind a complete request is kept unparsed until `advance`.

    Parameters
    ----------
    limits : HttpLimits
        Limits on head and body.
    holds_bodies : bool
        Whether a request whose body has not arrived yet is held at the end of its head until
        `accept_body`.

    Attributes
    ----------
    ready : deque of CallerRequest
        Complete requests that have not been taken, at most one.
    held : CallerRequest or None
        Request whose body is read after `accept_body`.
    in_head, in_body : bool
        Whether a part of a head, or a head but not its whole body, has been parsed.
    """

    __slots__ = (
        "_accepted",
        "_body",
        "_chunks",
        "_error",
        "_fed_head_bytes",
        "_head_bytes",
        "_headers",
        "_holds_bodies",
        "_input",
        "_length",
        "_limits",
        "_parser",
        "_position",
        "_request",
        "_straddle",
        "_url",
        "body_timed",
        "held",
        "in_body",
        "in_head",
        "ready",
        "wants_continue",
    )

    def __init__(self, limits: HttpLimits, holds_bodies: bool = False) -> None:
        self._limits = limits
        self._holds_bodies = holds_bodies
        self._parser = httptools.HttpRequestParser(self)
        self._request: CallerRequest | None = None
        self._url = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._fed_head_bytes = 0
        self._body = bytearray()
        self._length = 0
        self._chunks: ChunkBounds | None = None
        self._accepted = False
        self._error: RequestError | None = None
        self._input = b""
        self._position = 0
        self._straddle = b""
        self.held: CallerRequest | None = None
        self.in_head = False
        self.in_body = False
        self.wants_continue = False
        self.body_timed = False
        self.ready: deque[CallerRequest] = deque()

    @property
    def unparsed(self) -> int:
        """Return the number of bytes that were received and not parsed."""
        return len(self._input) - self._position

    @property
    def held_bytes(self) -> int:
        """Return the memory of the request that is being read and of unparsed input, in bytes."""
        fields = len(self._headers) * FIELD_OVERHEAD_BYTES if self.in_head or self.in_body else 0
        return self._head_bytes + fields + len(self._input)

    @property
    def body_bytes(self) -> int:
        """Return the number of bytes read of an incomplete body."""
        return len(self._body)

    @property
    def announced_bytes(self) -> int | None:
        """Return the announced length of the body, None if it comes in chunks."""
        return None if self._chunks is not None else self._length

    @property
    def has_small_chunks(self) -> bool:
        """Return whether the framing of a body in chunks is large beside the body."""
        return self._chunks is not None and self._chunks.is_dense(len(self._body))

    def feed(self, data: bytes) -> RequestError | None:
        """Add input and parse up to the end of one request.

        Returns
        -------
        RequestError or None
            The error that ends the connection after the responses to earlier requests.
        """
        if self._error is None:
            self._input = self._input[self._position :] + data if self.unparsed else data
            self._position = 0
            self.advance()
        return self._error

    def advance(self) -> RequestError | None:
        """Parse input that was kept, unless a complete or held request is waiting."""
        while self._position < len(self._input):
            if self.ready or self.held is not None or self._error is not None:
                return self._error
            self._parse_part()
        self._input = b""
        self._position = 0
        return self._error

    def accept_body(self) -> RequestError | None:
        """Read the body of the held request."""
        self.held = None
        self._accepted = True
        return self.advance()

    def release(self) -> None:
        """Drop all input and what was parsed of an incomplete request."""
        self._input = b""
        self._position = 0
        self._body = bytearray()
        self._headers = []
        self._request = None
        self.held = None
        self.ready.clear()

    def close(self) -> None:
        """Free what has been read; nothing may be fed any more."""
        self.release()
        self._error = self._error or RequestError(ErrorKind.BAD_REQUEST, "the connection is closed")
        self._parser = NO_PARSER

    def _parse_part(self) -> None:
        """Parse up to the next place at which a head or a request may end."""
        begin = self._position
        end = self._find_end(begin)
        part: bytes | memoryview = self._input
        if begin or end < len(part):
            part = memoryview(part)[begin:end]
        self._position = end
        self._feed_parser(part)
        if self._error is None and self.in_body:
            self._check_body(part)

    def _find_end(self, begin: int) -> int:
        """Return the end of the next part of the input: that of a head, body or line of chunks."""
        size = len(self._input)
        if self.in_body and self._chunks is None:
            return min(size, max(begin + 1, begin + self._length - len(self._body)))
        if self._straddle:
            joined = self._straddle + self._input[begin : begin + STRADDLE_BYTES]
            found = joined.find(HEAD_END)
            if found >= 0:
                end = begin + found + len(HEAD_END) - len(self._straddle)
                self._straddle = b""
                return end
        found = self._input.find(HEAD_END, begin)
        if found >= 0:
            self._straddle = b""
            return found + len(HEAD_END)
        self._straddle = (self._straddle + self._input[begin:])[-STRADDLE_BYTES:]
        return size

    def _feed_parser(self, part: bytes | memoryview) -> None:
        if self.in_head or not self.in_body:
            self._fed_head_bytes += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._set_error(ErrorKind.BAD_REQUEST, "switching protocols is not supported")
        except httptools.HttpParserCallbackError:
            self._set_error(ErrorKind.BAD_REQUEST, "malformed request")
        except httptools.HttpParserError as exc:
            self._set_error(ErrorKind.BAD_REQUEST, f"malformed request: {exc}"[:200])
        if self.in_head and self._fed_head_bytes > self._limits.max_head_bytes:
            self._set_error(ErrorKind.HEADERS_TOO_LARGE, "request head is too large")

    def _check_body(self, part: bytes | memoryview) -> None:
        """Bound what is still to come of a body, and hold a request that isn't accepted."""
        chunks = self._chunks
        body_bytes = len(self._body)
        if chunks is not None and self._accepted:
            if body_bytes + chunks.take(part) > self._limits.max_body_bytes:
                self._set_error(ErrorKind.BODY_TOO_LARGE, "request body is too large")
            elif chunks.has_excess_framing(body_bytes):
                self._set_error(ErrorKind.BAD_REQUEST, "too much framing for the request body")
        if not self._accepted:
            self._accepted = not self._holds_bodies or self._has_whole_body()
            self.held = None if self._accepted else self._request

    def _has_whole_body(self) -> bool:
        """Return whether the rest of the body is in the input already."""
        if self._chunks is not None:
            return self._input.find(CHUNKS_END, self._position) >= 0
        return self.unparsed >= self._length - len(self._body)

    def _set_error(self, kind: ErrorKind, message: str) -> None:
        if self._error is None:
            self._error = RequestError(kind, message)

    def _abort_parsing(self, kind: ErrorKind, message: str) -> None:
        self._set_error(kind, message)
        raise ValueError(message)

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.in_head = True
        self.body_timed = False
        self._accepted = False
        self._url.clear()
        self._headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._length = 0
        self._chunks = None

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailer fields are dropped."""
        if self.in_body:
            return
        self._headers.append((name, value))
        if len(self._headers) > MAX_HEADER_FIELDS:
            self._abort_parsing(ErrorKind.HEADERS_TOO_LARGE, "request has too many header fields")
        self._count_head(len(name) + len(value) + 4)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            self._abort_parsing(ErrorKind.HEADERS_TOO_LARGE, "request head is too large")

    def on_headers_complete(self) -> None:
        """Validate the request head."""
        self.in_head = False
        self.in_body = True
        self._fed_head_bytes = 0
        method = self._parser.get_method().decode("latin-1")
        if method == "CONNECT":
            self._abort_parsing(ErrorKind.METHOD_REFUSED, "CONNECT is not supported")
        try:
            target = self._url.decode("ascii")
        except UnicodeDecodeError:
            self._abort_parsing(ErrorKind.BAD_REQUEST, "request target is not ASCII")
        self._request = CallerRequest(method, target, self._headers)
        self._check_framing(self._request)

    def _check_framing(self, request: CallerRequest) -> None:
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            self._abort_parsing(ErrorKind.BAD_REQUEST, "only HTTP/1.0 and HTTP/1.1 are served")
        hosts = sum(1 for name, _ in request.headers if name.lower() == b"host")
        if hosts > 1 or (version == "1.1" and hosts == 0):
            self._abort_parsing(ErrorKind.BAD_REQUEST, "exactly one Host field is required")
        encoding = request.header(b"transfer-encoding")
        if encoding and (version == "1.0" or encoding.strip().lower() != b"chunked"):
            self._abort_parsing(
                ErrorKind.BAD_REQUEST, "only chunked transfer encoding is supported"
            )
        length = request.header(b"content-length")
        if length and int(length) > self._limits.max_body_bytes:
            self._abort_parsing(ErrorKind.BODY_TOO_LARGE, "request body is too large")
        self._length = int(length) if length else 0
        self._chunks = ChunkBounds() if encoding else None
        self.wants_continue = request.header(b"expect").lower() == b"100-continue"
        request.accepts_chunked = version == "1.1"

    def on_chunk_header(self) -> None:
        """Record the beginning of a chunk."""
        if self._chunks is not None:
            self._chunks.begin_chunk()

    def on_chunk_complete(self) -> None:
        """Record the end of a chunk."""
        if self._chunks is not None:
            self._chunks.end_chunk()

    def on_body(self, data: bytes) -> None:
        """Collect body bytes."""
        self._body += data
        if self._chunks is not None:
            self._chunks.body_bytes_in_chunk += len(data)
        if len(self._body) > self._limits.max_body_bytes:
            self._abort_parsing(ErrorKind.BODY_TOO_LARGE, "request body is too large")

    def on_message_complete(self) -> None:
        """Append the complete request to `ready`."""
        request = self._request
        if request is None:
            return
        self.in_body = False
        self.wants_continue = False
        request.body = bytes(self._body)
        request.head_cost = self._head_bytes + len(self._headers) * FIELD_OVERHEAD_BYTES
        request.keep_alive = self._parser.should_keep_alive()
        self._request = None
        self._body = bytearray()
        self._head_bytes = 0
        self._headers = []
        self.ready.append(request)
