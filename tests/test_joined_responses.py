"""Test that a response which has begun is not left where it can't be resumed."""

import contextlib
import time

import pytest

from tests.test_silent_upstreams import (
    PAUSE_S,
    SHORT_PAUSE_S,
    TARGET_S,
    Harness,
    PausingUpstream,
    read_answer,
)
from tests.test_standby_handovers import grant

PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nab"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"


@pytest.mark.parametrize(
    ("first", "rest"),
    [(PLAIN, b"cd"), (CHUNKED, b"2\r\ncd\r\n0\r\n\r\n")],
    ids=["length", "chunked"],
)
def test_a_second_response_is_not_joined_to_one_that_has_begun_and_can_not_be_resumed(first, rest):
    silent = PausingUpstream(first, rest, PAUSE_S)
    other = PausingUpstream(first, rest, SHORT_PAUSE_S)
    with contextlib.closing(Harness(silent, other)) as harness:
        conn = harness.send(stream=False)
        grant_if_asked(harness, "up-2")
        assert read_answer(conn) == (200, b"abcd")


def test_a_response_that_has_begun_is_not_called_silent_where_its_route_names_no_gap():
    silent = PausingUpstream(PLAIN, b"cd", 4 * TARGET_S)
    other = PausingUpstream(PLAIN, b"cd", SHORT_PAUSE_S)
    with contextlib.closing(Harness(silent, other)) as harness:
        for route in harness.gateway.context.catalogue().routes:
            route.event_gap_s = 0.0
        conn = harness.send(stream=False)
        grant_if_asked(harness, "up-2")
        assert read_answer(conn) == (200, b"abcd")
        assert not harness.scheduler.stalls


def grant_if_asked(harness, upstream):
    """Grant the permit that the response waits for, if it asks for one within its pause."""
    deadline = time.monotonic() + 0.9 * PAUSE_S
    while not harness.scheduler.held and time.monotonic() < deadline:
        time.sleep(0.01)
    if harness.scheduler.held:
        grant(harness, upstream)
