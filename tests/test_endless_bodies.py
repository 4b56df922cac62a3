"""Test bodies without end that are passed on or kept for a second try: their memory is bounded."""

import contextlib
import http.client
import threading
import time
from dataclasses import replace

import pytest

from standins.fleets import wait_until
from tests.test_endless_responses import (
    BLOCK_BYTES,
    CHUNKED,
    FAILURE,
    MAX_GROWTH_BYTES,
    OK,
    STREAM,
    Growth,
    endless,
    open_request,
    route,
)

READ_BYTES = 48 * 1024 * 1024
"""Bytes that a caller reads before it leaves: more than the process may grow by."""
CALLERS = 12
MAX_KEPT_BYTES = 1024 * 1024
"""Bound of what is kept of one response, an event or a failure."""
EVENT = b"data: " + b"x" * 1_000 + b"\n\n"
CHUNK = b"%x\r\n" % BLOCK_BYTES + b"x" * BLOCK_BYTES + b"\r\n"

PASSED_ON = [
    pytest.param(OK + b"\r\n", b"x" * BLOCK_BYTES, id="until-close"),
    pytest.param(OK + CHUNKED, CHUNK, id="chunks"),
    pytest.param(OK + b"Content-Length: 999999999999\r\n\r\n", b"x" * BLOCK_BYTES, id="length"),
    pytest.param(STREAM + b"\r\n", EVENT * 64, id="events"),
    pytest.param(STREAM + CHUNKED, b"%x\r\n" % len(EVENT) + EVENT + b"\r\n", id="events-in-chunks"),
]
KEPT = [
    pytest.param(FAILURE, b"x" * BLOCK_BYTES, id="failure-until-close"),
    pytest.param(FAILURE.replace(b"\r\n\r\n", b"\r\n") + CHUNKED, CHUNK, id="failure-in-chunks"),
    pytest.param(
        FAILURE.replace(b"\r\n\r\n", b"\r\nContent-Length: 999999999999\r\n\r\n"),
        b"x" * BLOCK_BYTES,
        id="failure-length",
    ),
    pytest.param(STREAM + b"\r\n" + EVENT, b"data: x\n" * 8_192, id="event-behind-a-whole-one"),
]


@pytest.mark.parametrize(("beginning", "block"), PASSED_ON)
def test_a_body_without_end_is_passed_on_in_bounded_memory_until_the_caller_leaves(
    beginning, block
):
    with endless(beginning, block) as (harness, upstream), Growth() as growth:
        if not beginning.startswith(STREAM):
            # Of a stream that may go on elsewhere, only whole events are passed on.
            harness.catalogue.routes[0] = replace(route(), resumable=False)
        conn = open_request(harness)
        response = conn.getresponse()
        assert response.status == 200
        read = 0
        while read < READ_BYTES:
            data = response.read1(BLOCK_BYTES)
            assert data
            read += len(data)
        response.close()
        conn.close()
        wait_until(lambda: upstream.closed, "the upstream's connection is closed")
    assert growth.bytes <= MAX_GROWTH_BYTES


def fetch(harness):
    conn = open_request(harness)
    with contextlib.suppress(http.client.HTTPException, ConnectionError):
        response = conn.getresponse()
        while response.read1(BLOCK_BYTES):
            pass
    conn.close()


@pytest.mark.parametrize(("beginning", "block"), KEPT)
def test_bodies_without_end_that_are_kept_for_a_second_try_take_bounded_memory(beginning, block):
    with endless(beginning, block) as (harness, upstream), Growth() as growth:
        began_at = time.monotonic()
        threads = [threading.Thread(target=fetch, args=(harness,)) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        assert not any(thread.is_alive() for thread in threads)
        wait_until(lambda: upstream.closed >= CALLERS, "the upstream's connections are closed")
        assert time.monotonic() - began_at < 10.0
    assert growth.bytes <= MAX_GROWTH_BYTES + CALLERS * MAX_KEPT_BYTES
