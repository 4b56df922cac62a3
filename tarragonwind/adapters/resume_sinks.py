"""Receive the rest of a stream that is resumed at its upstream."""

from __future__ import annotations

from typing import Protocol

from tarragonwind.adapters.caller_dialects import Headers
from tarragonwind.adapters.response_headers import is_event_stream
from tarragonwind.adapters.response_sinks import ResponseSink
from tarragonwind.ports import HttpError


class ResumedStream(Protocol):
    """Receive the rest of a stream that is resumed at its upstream."""

    @property
    def request_name(self) -> str:
        """Return the id of the request."""

    def on_body(self, data: bytes) -> None:
        """Handle body bytes."""

    def on_complete(self) -> None:
        """Handle the end of the stream."""

    def on_stream_interrupted(self, reason: str) -> None:
        """Handle another interruption."""

    def on_resume_refused(self, reason: str) -> None:
        """Handle an upstream that does not go on with the stream."""


class ResumeSink(ResponseSink):
    """Pass the rest of an interrupted stream to the relay that resumes it."""

    __slots__ = ("_accepted", "_relay")

    def __init__(self, relay: ResumedStream) -> None:
        self._relay = relay
        self._accepted = False

    @property
    def request_name(self) -> str:
        """Return the id of the request, so that its earlier connections aren't used again."""
        return self._relay.request_name

    def on_head(self, status: int, headers: Headers) -> None:
        """Accept the response if the upstream goes on with the events."""
        self._accepted = status == 200 and is_event_stream(headers)
        if not self._accepted:
            self._relay.on_resume_refused(f"the engine refused to resume: status {status}")

    def on_body(self, data: bytes) -> None:
        """Pass body bytes to the relay."""
        if self._accepted:
            self._relay.on_body(data)

    def on_complete(self) -> None:
        """End the relayed response."""
        if self._accepted:
            self._relay.on_complete()

    def on_failed(self, exc: HttpError) -> None:
        """Pass the failure to the relay, which resumes again or aborts the response."""
        self._relay.on_stream_interrupted(str(exc))
