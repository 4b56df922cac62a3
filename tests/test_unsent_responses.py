"""Test that a response which its caller reads slowly arrives whole, and so does the next one."""

import contextlib
import socket
import time

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.ports import Address
from tests.support import LoopRunner

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BODY_BYTES = 16 * 1024 * 1024
"""More than the socket buffers of both sides take."""
IDLE_S = 0.3
PAUSE_S = 0.1
"""Time from a response that was read whole to the next request: well within the idle limit."""
BUFFER_BYTES = 64 * 1024


class LargeResponses:
    """Answer each request with a large body, and count them."""

    def __init__(self) -> None:
        self.count = 0

    def answer(self, exchange) -> None:
        self.count += 1
        exchange.answer(200, [], b"x" * BODY_BYTES)


class SlowCaller:
    """Send requests on one connection and read the responses when asked to."""

    def __init__(self, port) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(10)

    def send(self) -> None:
        self.sock.sendall(REQUEST)

    def read_response(self) -> bytes:
        """Return a whole response, or what came of it before the end of the connection."""
        got = bytearray()
        with contextlib.suppress(ConnectionResetError):
            while not self.is_whole(got) and (data := self.sock.recv(BUFFER_BYTES)):
                got += data
        return bytes(got)

    def is_whole(self, got) -> bool:
        head_bytes = got.find(b"\r\n\r\n") + 4
        return head_bytes >= 4 and len(got) >= head_bytes + BODY_BYTES


@pytest.fixture
def runner():
    one = LoopRunner()
    one.start()
    yield one
    one.stop()


@pytest.fixture
def served():
    return LargeResponses()


@pytest.fixture
def server(runner, served):
    address = Address("127.0.0.1", 0)
    return runner.call(
        lambda: HttpServer(runner.loop, address, HttpLimits(), served.answer, lambda *_: None)
    )


@pytest.mark.parametrize("announced", [False, True], ids=["kept", "announced-close"])
def test_a_response_that_is_still_being_sent_is_not_cut_by_the_close_of_idle_connections(
    runner, served, server, announced
):
    caller = SlowCaller(server.address.port)
    if announced:
        runner.call(server.announce_close)
    caller.send()
    wait_until(lambda: served.count == 1, "the response is being sent")
    runner.call(server.stop)
    runner.call(server.close_idle)
    assert caller.is_whole(caller.read_response())


@pytest.mark.parametrize("before_s", [0.0, 0.01, 0.02, 0.03, 0.05, 0.1])
def test_a_request_after_a_response_that_outlasted_the_idle_limit_is_answered(
    served, server, before_s
):
    server.limits.idle_timeout_s = IDLE_S
    caller = SlowCaller(server.address.port)
    caller.send()
    wait_until(lambda: served.count == 1, "the response is being sent")
    time.sleep(2 * IDLE_S - before_s)
    assert caller.is_whole(caller.read_response())
    time.sleep(PAUSE_S)
    caller.send()
    assert caller.is_whole(caller.read_response())
