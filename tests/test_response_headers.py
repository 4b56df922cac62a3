"""Test what a response's header fields tell about its body."""

import pytest

from tarragonwind.adapters.response_headers import Framing, find_framing, is_event_stream


@pytest.mark.parametrize(
    ("status", "method", "headers", "framing"),
    [
        (200, "GET", [], Framing.CLOSE),
        (200, "GET", [(b"Content-Length", b"0")], Framing.LENGTH),
        (200, "GET", [(b"Transfer-Encoding", b"chunked")], Framing.CHUNKED),
        (200, "HEAD", [], Framing.NO_BODY),
        (204, "POST", [], Framing.NO_BODY),
        (304, "GET", [(b"Content-Length", b"7")], Framing.NO_BODY),
        (500, "GET", [(b"Connection", b"close")], Framing.CLOSE),
    ],
)
def test_framing_of_a_response(status, method, headers, framing):
    assert find_framing(status, headers, method) is framing


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([(b"Content-Type", b"text/event-stream")], True),
        ([(b"content-type", b"Text/Event-Stream; charset=utf-8")], True),
        ([(b"Content-Type", b"application/json")], False),
        ([(b"Content-Type", b"text/event-stream"), (b"Content-Encoding", b"gzip")], False),
        ([(b"Content-Type", b"text/event-stream"), (b"Content-Encoding", b"identity")], True),
        ([], False),
    ],
)
def test_event_streams_are_told_by_type_and_coding(headers, expected):
    assert is_event_stream(headers) is expected
