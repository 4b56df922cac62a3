"""Read from a response's header fields how its body is framed, what it holds and how long it is."""

from __future__ import annotations

import enum

from tarragonwind.adapters.caller_dialects import Headers

EVENT_STREAM_TYPE = b"text/event-stream"
BODILESS_STATUSES = frozenset([204, 304])


class Framing(enum.Enum):
    """Define what ends the body of a response (RFC 9112, 6.3)."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    """Neither a length nor chunks: the body ends with the connection."""


def find_framing(status: int, headers: Headers, method: str) -> Framing:
    """Return how the response to a request with this method is framed."""
    if method == "HEAD" or status in BODILESS_STATUSES:
        return Framing.NO_BODY
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


def is_event_stream(headers: Headers) -> bool:
    """Return whether the body consists of server-sent events that are not compressed."""
    fields = {name.lower(): value for name, value in headers}
    media_type = fields.get(b"content-type", b"").partition(b";")[0].strip().lower()
    coding = fields.get(b"content-encoding", b"identity").strip().lower()
    return media_type == EVENT_STREAM_TYPE and coding == b"identity"
