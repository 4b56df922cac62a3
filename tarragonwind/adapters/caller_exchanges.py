"""Write the response to one request of a caller."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from tarragonwind.adapters.http_requests import CallerRequest
from tarragonwind.ports import Address

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
"""Response headers that apply to one connection only; the server writes its own."""


class ResponseConnection(Protocol):
    """Carry the bytes of a response to a caller."""

    peer: Address

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""

    @property
    def stopping(self) -> bool:
        """Return whether the next response announces the end of its connection."""

    def write(self, data: bytes) -> None:
        """Send response bytes."""

    def congested(self) -> bool:
        """Return whether the writer should pause."""

    def stop_reading(self) -> None:
        """Leave what the caller sends from now on unread, as it gets no response."""

    def reset_unless_finished(self) -> None:
        """Reset the connection if it ends before the response that its end completes."""

    def finish_exchange(self, exchange: CallerExchange) -> None:
        """Start the next request, or close the connection."""

    def abort(self) -> None:
        """Reset the connection."""


class ExchangeEvents:
    """Receive events of a caller's connection while a response is written."""

    __slots__ = ()

    def on_caller_drained(self) -> None:
        """Handle the send buffer falling below the low-water mark, so that writing may continue."""

    def on_caller_disconnected(self) -> None:
        """Handle a caller that disconnected before its response was complete."""


NO_EVENTS = ExchangeEvents()
"""Receiver of the events of an exchange that nothing is to be told of."""


class CallerExchange:
    """Write the response to one request of a caller.

    Attributes
    ----------
    request : CallerRequest
        The request.
    started : bool
        Whether the response head has been written.
    """

    __slots__ = ("_chunked", "_conn", "_remaining_bytes", "events", "request", "started")

    def __init__(self, conn: ResponseConnection, request: CallerRequest) -> None:
        self.request = request
        self.events = NO_EVENTS
        self.started = False
        self._conn = conn
        self._chunked = False
        self._remaining_bytes: int | None = None

    @property
    def peer(self) -> Address:
        """Return the caller's address."""
        return self._conn.peer

    @property
    def disconnected(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._conn.closed

    def start(
        self, status: int, headers: list[tuple[bytes, bytes]], length: int | None = None
    ) -> None:
        """Write the status line and header fields.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : list of (bytes, bytes)
            Header fields; hop-by-hop fields are left out.
        length : int, optional
            Length of the body in bytes; without it the body is chunked, or ends with the connection
            for HTTP/1.0.
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
            self._remaining_bytes = 0
            if length is not None and status != 204:
                lines.append(b"Content-Length: %d\r\n" % length)
        elif length is not None:
            self._remaining_bytes = length
            lines.append(b"Content-Length: %d\r\n" % length)
        elif self.request.accepts_chunked:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            self.request.keep_alive = False
            self._conn.reset_unless_finished()
        if not self.request.keep_alive or self._conn.stopping:
            self.request.keep_alive = False
            lines.append(b"Connection: close\r\n")
            self._conn.stop_reading()

    def write(self, data: bytes) -> None:
        """Write body bytes.

        Raises
        ------
        ValueError
            If the body exceeds the announced length.
        """
        if self._chunked:
            self._conn.write(b"%x\r\n%b\r\n" % (len(data), data))
            return
        if self._remaining_bytes is not None:
            if len(data) > self._remaining_bytes:
                raise ValueError("the body is longer than announced")
            self._remaining_bytes -= len(data)
        self._conn.write(data)

    def congested(self) -> bool:
        """Return whether to stop writing until `ExchangeEvents.on_caller_drained`."""
        return self._conn.congested()

    def finish(self) -> None:
        """End the response; reset the connection if the body is shorter than announced."""
        if self._remaining_bytes:
            self.abort()
            return
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")
        self._conn.finish_exchange(self)

    def abort(self) -> None:
        """Reset the connection, so that the caller sees the response as incomplete."""
        self._conn.abort()

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a complete response."""
        self.start(status, headers, len(body))
        if body and self.request.method != "HEAD":
            self.write(body)
        self.finish()


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"
