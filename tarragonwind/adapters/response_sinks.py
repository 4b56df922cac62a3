"""Receive responses of upstreams: whole ones, and streams of their bodies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tarragonwind.adapters.loops import Loop
from tarragonwind.core.response_matches import UNNAMED_PROTOCOL, ResponseIdentity
from tarragonwind.futures import Future
from tarragonwind.ports import HttpError, HttpResponse

MAX_FETCH_BODY_BYTES = 64 * 1024 * 1024


class FailableExchange(Protocol):
    """Represent an exchange that its sink can end."""

    def fail(self, message: str) -> None:
        """Fail the exchange for an external reason, such as a timeout."""


class ResponseSink:
    """Receive the events of one exchange."""

    __slots__ = ()

    def may_send(self) -> bool:
        """Return whether the request may still be sent, now that a connection is open."""
        return True

    def on_sent(self) -> None:
        """Handle the start of sending; called once, before the first byte is sent."""

    @property
    def request_name(self) -> str:
        """Return the name of the request, which its other dispatches share; empty for none."""
        return ""

    def identify_response(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> ResponseIdentity:
        """Return what the head of a response tells of the request that it belongs to."""
        return UNNAMED_PROTOCOL

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Handle the status line and header fields; interim (1xx) responses are not passed on."""

    def on_body(self, data: bytes) -> None:
        """Handle decoded body bytes."""

    def on_complete(self) -> None:
        """Handle the end of the response."""

    def on_failed(self, exc: HttpError) -> None:
        """Handle a failed exchange; called at most once, and no other event follows."""

    def on_request_drained(self) -> None:
        """Handle the send buffer falling below the low-water mark."""


class FetchSink(ResponseSink):
    """Collect a complete response with limits on its time and size."""

    __slots__ = ("_body", "_exchange", "_headers", "_status", "_timer", "fut")

    def __init__(self, loop: Loop, timeout_s: float) -> None:
        self.fut: Future[HttpResponse] = Future()
        self._exchange: FailableExchange | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._status = 0
        self._timer = loop.timers.call_later(timeout_s, self._on_timeout)

    def begin(self, exchange: FailableExchange) -> None:
        """Set the exchange that a timeout fails."""
        self._exchange = exchange

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Store the status and header fields."""
        self._status = status
        self._headers = headers

    def on_body(self, data: bytes) -> None:
        """Collect the body, limiting its size to `MAX_FETCH_BODY_BYTES`."""
        self._body += data
        if len(self._body) > MAX_FETCH_BODY_BYTES and self._exchange is not None:
            self._exchange.fail("response body is too large")

    def on_complete(self) -> None:
        """Set the future's result."""
        self._timer.cancel()
        self.fut.set_result(HttpResponse(self._status, self._headers, bytes(self._body)))

    def on_failed(self, exc: HttpError) -> None:
        """Set the future's exception."""
        self._timer.cancel()
        self.fut.set_exception(exc)

    def _on_timeout(self) -> None:
        if self._exchange is not None:
            self._exchange.fail("no whole response in time")


class StreamSink(ResponseSink):
    """Stream a response body to a callback."""

    __slots__ = ("_on_data", "_on_end", "_status_error")

    def __init__(self, on_data: Callable[[bytes], None], on_end: Callable[[str], None]) -> None:
        self._on_data = on_data
        self._on_end = on_end
        self._status_error = ""

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Record a status other than 200, whose body is discarded."""
        if status != 200:
            self._status_error = f"status {status}"

    def on_body(self, data: bytes) -> None:
        """Pass the bytes to the callback."""
        if not self._status_error:
            self._on_data(data)

    def on_complete(self) -> None:
        """Call `on_end` with the reason."""
        self._on_end(self._status_error or "ended")

    def on_failed(self, exc: HttpError) -> None:
        """Call `on_end` with the error."""
        self._on_end(str(exc))
