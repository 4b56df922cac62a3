"""Test requests that come behind a response which announces the end of its connection."""

import time

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.connections import LINGER_S
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.ports import Address
from tests.support import LoopRunner
from tests.test_idle_connections import REQUEST, open_connection, read_all, was_reset

BODY_BYTES = 512 * 1024
"""More than a caller's receive buffer takes, and less than both buffers of a connection."""


@pytest.fixture
def stopping():
    """Yield the requests that a server which announces its stop has handed over, and a caller."""
    runner, served = LoopRunner(), []
    runner.start()
    server = runner.call(
        lambda: HttpServer(
            runner.loop, Address("127.0.0.1", 0), HttpLimits(), served.append, lambda *_: None
        )
    )
    runner.call(server.announce_close)
    caller = open_connection(server.address)
    caller.sendall(REQUEST)
    wait_until(lambda: served, "the request has been read")
    yield runner, server, served, caller
    runner.stop()


def test_a_request_behind_an_announced_close_is_answered_or_left_unread(stopping):
    runner, _, served, caller = stopping
    runner.call(lambda: served[0].start(200, [], 2))
    caller.sendall(REQUEST)
    time.sleep(0.1)

    def end_response():
        served[0].write(b"ok")
        served[0].finish()

    runner.call(end_response)
    reset = was_reset(caller)
    assert reset or len(served) == 2


def test_a_request_behind_an_announced_close_does_not_cut_the_response_before_it(stopping):
    runner, server, served, caller = stopping
    runner.call(lambda: served[0].answer(200, [], b"x" * BODY_BYTES))
    wait_until(lambda: not server.unsent_bytes, "the kernel has taken the response")
    caller.sendall(REQUEST)
    time.sleep(1.5 * LINGER_S)
    got = read_all(caller)
    assert len(got.partition(b"\r\n\r\n")[2]) == BODY_BYTES
