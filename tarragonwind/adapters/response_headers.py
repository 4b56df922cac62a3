"""Read from a response's header fields how its body is framed, what it holds and how long it is."""

from __future__ import annotations

import enum

from tarragonwind.adapters.caller_dialects import Headers

EVENT_STREAM_TYPE = b"text/event-stream"
NO_CODING = (b"", b"identity")
BODILESS_STATUSES = frozenset([204, 304])
STREAM_ID_HEADER = b"stream-id"
"""Response header with the id under which an upstream can resume or cancel the stream."""
MAX_STREAM_ID_LENGTH = 128


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
    return media_type == EVENT_STREAM_TYPE and not has_content_coding(headers)


def has_content_coding(headers: Headers) -> bool:
    """Return whether the body is encoded, so that its bytes aren't the content."""
    codings = [value for name, value in headers if name.lower() == b"content-encoding"]
    return any(coding.strip().lower() not in NO_CODING for coding in codings)


def content_length(headers: Headers) -> int | None:
    """Return the value of Content-Length in bytes, or None."""
    for name, value in headers:
        if name.lower() == b"content-length":
            return int(value)
    return None


def find_stream_id(headers: Headers) -> str:
    """Return the id of a resumable stream, empty if there is no valid one."""
    for name, value in headers:
        if name.lower() == STREAM_ID_HEADER:
            text = value.decode("latin-1")
            plain = text.replace("-", "").isalnum() and text.isascii()
            return text if plain and len(text) <= MAX_STREAM_ID_LENGTH else ""
    return ""
