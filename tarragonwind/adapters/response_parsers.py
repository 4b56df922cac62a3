"""Parse the responses on a connection, and refuse what the parser takes that is no response."""

from __future__ import annotations

import httptools

from tarragonwind.adapters.caller_dialects import Headers
from tarragonwind.adapters.response_headers import content_length
from tarragonwind.core.response_rules import MalformedResponse, ResponseHead, check_head

MAX_HEAD_BYTES = 64 * 1024
"""Longest run of bytes that are no body, as those of a head or of trailers."""
MAX_HEADER_FIELDS = 256
"""Maximum number of header fields; each takes some 150 bytes of memory beside its own bytes."""
MAX_ERROR_LENGTH = 200
EMPTY_LINE = b"\n\r\n"
"""End of a head, from the end of its last line on."""
NO_PARSER = httptools.HttpResponseParser(object())
"""Parser of the library after `ResponseParser.close`."""


class ResponseEvents:
    """Receive what is parsed."""

    __slots__ = ()

    def on_response_begin(self) -> None:
        """Handle the first byte of a response."""

    def on_response_head(self, status: int, headers: Headers) -> bool:
        """Handle the head of a final response; return whether it answers the request.

        Another response may follow one that does not.
        """
        return False

    def on_response_body(self, data: bytes) -> None:
        """Handle bytes of the body."""

    def on_response_end(self) -> None:
        """Handle the end of a final response."""


NO_EVENTS = ResponseEvents()
"""Receiver of what is parsed after `ResponseParser.close`."""


def find_cause(exc: httptools.HttpParserCallbackError) -> ValueError:
    """Return the error that ended a callback, as one of the response."""
    cause = exc.__context__
    if isinstance(cause, ValueError):
        return cause
    return ValueError(f"the response was not handled: {cause!r}")


class ResponseParser:
    """Parse the responses to one request: interim ones, ones to other requests, and its own.

    The library skips empty lines before a response and takes status lines of other protocols. Up to
    the head of the request's own response it is fed whole heads, or single lines of a head that
    came in part, so that each status line is known and can be checked here.

    Parameters
    ----------
    events : ResponseEvents
        Receiver of what is parsed; `ValueError` that it raises ends the parsing.

    Attributes
    ----------
    accepted : bool
        Whether the head of the request's own response has been parsed.
    """

    __slots__ = (
        "_awaits_line",
        "_closed",
        "_discard_left",
        "_events",
        "_head_bytes",
        "_headers",
        "_in_interim",
        "_parser",
        "_status_line",
        "accepted",
    )

    def __init__(self, events: ResponseEvents) -> None:
        self.accepted = False
        self._events = events
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head_bytes = 0
        self._status_line = b""
        self._awaits_line = True
        self._in_interim = False
        self._discard_left = 0
        self._closed = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        ValueError
            If they are no response, or the receiver of the events refuses it.
        """
        try:
            self._feed(data)
        except httptools.HttpParserUpgrade:
            raise MalformedResponse("the response switches protocols") from None
        except httptools.HttpParserCallbackError as exc:
            raise find_cause(exc) from None
        except httptools.HttpParserError as exc:
            message = f"malformed response: {exc}"[:MAX_ERROR_LENGTH]
            raise MalformedResponse(message) from None

    def should_keep_alive(self) -> bool:
        """Return whether the connection may be used again; call it in `on_response_end`."""
        return bool(self._parser.should_keep_alive())

    def close(self) -> None:
        """Parse no further.

        The receiver of the events and the parser of the library refer to this object, and would
        form rings of references with it.
        """
        self._closed = True
        self._events = NO_EVENTS
        self._parser = NO_PARSER

    def _feed(self, data: bytes) -> None:
        begin = 0
        while begin < len(data) and not self.accepted and not self._closed:
            begin = self._feed_head(data, begin) or self._feed_piece(data, begin)
        if begin < len(data) and not self._closed:
            self._parser.feed_data(data[begin:] if begin else data)

    def _feed_head(self, data: bytes, begin: int) -> int:
        """Parse one head if all of it is there; return its end, 0 if it is not.

        Should the parser meet a second status line among these bytes, none is known for it, which
        `check_head` refuses.
        """
        if not self._awaits_line or self._status_line or self._discard_left:
            return 0
        empty_line = data.find(EMPTY_LINE, begin)
        if empty_line < 0:
            return 0
        end = empty_line + len(EMPTY_LINE)
        self._status_line = data[begin : data.find(b"\n", begin) + 1]
        self._awaits_line = False
        self._parser.feed_data(data[begin:end])
        return end

    def _feed_piece(self, data: bytes, begin: int) -> int:
        """Parse a line, or a body of known length that belongs to no request; return its end."""
        if self._discard_left:
            end = min(len(data), begin + self._discard_left)
            self._discard_left -= end - begin
        else:
            end = data.find(b"\n", begin) + 1 or len(data)
        piece = data[begin:end]
        if self._awaits_line:
            self._status_line += piece
            self._awaits_line = not piece.endswith(b"\n")
        self._parser.feed_data(piece)
        return end

    def on_message_begin(self) -> None:
        """Pass the event on."""
        self._events.on_response_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field, limiting their total size and number; trailers are dropped."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADER_FIELDS:
            raise ValueError("response headers are too large")
        if not self.accepted:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check a head, and pass that of a final response on."""
        if self._closed:
            return
        if self.accepted:
            raise ValueError("a second response on one exchange")
        status = self._parser.get_status_code()
        headers = self._headers
        check_head(ResponseHead(self._status_line.rstrip(b"\r\n"), status, headers))
        self._in_interim = status < 200
        if self._in_interim:
            return
        self.accepted = self._events.on_response_head(status, headers)
        if not self.accepted:
            self._discard_left = content_length(headers) or 0

    def on_body(self, data: bytes) -> None:
        """Pass body bytes on; an interim response has none (RFC 9112, 6.3)."""
        if self._in_interim:
            raise MalformedResponse("expected no body of an interim response, got one")
        self._events.on_response_body(data)

    def on_message_complete(self) -> None:
        """Pass the end of a final response on, and expect a status line behind other ones."""
        if not self._in_interim:
            self._events.on_response_end()
        if not self.accepted:
            self._await_next()

    def _await_next(self) -> None:
        """Expect another response behind an interim one, or behind one to another request."""
        if not self._in_interim:
            self._head_bytes = 0
        self._headers = []
        self._discard_left = 0
        self._status_line = b""
        self._awaits_line = True
