"""Test a request whose beginning arrives while an earlier one on its connection is in progress."""

import select
import socket
import time

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.errors import ErrorKind
from tarragonwind.ports import Address
from tests.support import LoopRunner

FIRST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
LIMITS = {"head_timeout_s": 0.3, "body_timeout_s": 0.3, "idle_timeout_s": 30.0}
LATE_S = 2.0


class HeldRequests:
    """Keep the exchange of each request until the test answers it."""

    def __init__(self) -> None:
        self.exchanges = []

    def refuse(self, exchange, error) -> None:
        status = 408 if error.kind is ErrorKind.REQUEST_TOO_SLOW else 400
        exchange.answer(status, [], b"")


@pytest.fixture
def held():
    return HeldRequests()


@pytest.fixture
def runner():
    one = LoopRunner()
    one.start()
    yield one
    one.stop()


@pytest.fixture
def server(runner, held):
    address, limits = Address("127.0.0.1", 0), HttpLimits(**LIMITS)
    return runner.call(
        lambda: HttpServer(runner.loop, address, limits, held.exchanges.append, held.refuse)
    )


@pytest.fixture
def caller(server):
    sock = socket.create_connection(("127.0.0.1", server.address.port))
    sock.settimeout(LATE_S)
    return sock


def answer_first(runner, held, caller):
    wait_until(lambda: held.exchanges, "the first request has been read")
    time.sleep(0.1)
    runner.call(lambda: held.exchanges[0].answer(200, [], b""))
    return read_head(caller)


def read_head(caller):
    """Read one response head and return its status."""
    got = b""
    while not got.endswith(b"\r\n\r\n"):
        data = caller.recv(1)
        assert data, "the connection has been closed"
        got += data
    return int(got.split()[1])


@pytest.mark.parametrize("part", [HEAD[:20], HEAD + b"\r\nab"], ids=["head", "body"])
def test_a_slow_request_that_began_behind_another_is_refused_in_time(runner, held, caller, part):
    caller.sendall(FIRST + part)
    assert answer_first(runner, held, caller) == 200
    assert read_head(caller) == 408


def test_a_body_that_waits_for_leave_behind_another_request_gets_it(runner, held, caller):
    caller.sendall(FIRST + HEAD + b"Expect: 100-continue\r\n\r\n")
    assert answer_first(runner, held, caller) == 200
    assert read_head(caller) == 100
    caller.sendall(b"text")
    wait_until(lambda: len(held.exchanges) == 2, "the second request has been read")


def is_reset(sock):
    """Return whether the other side resets the connection, as for bytes that it hasn't read."""
    poller = select.poll()
    poller.register(sock, 0)
    deadline = time.monotonic() + LATE_S
    while time.monotonic() < deadline:
        if any(mask & (select.POLLERR | select.POLLHUP) for _, mask in poller.poll(20)):
            return True
    return False


def test_a_request_behind_a_response_that_announced_the_close_is_not_read(
    runner, held, server, caller
):
    caller.sendall(FIRST)
    wait_until(lambda: held.exchanges, "the first request has been read")
    (first,) = held.exchanges
    runner.call(server.announce_close)
    runner.call(lambda: first.start(200, [], 2))
    caller.sendall(FIRST)
    time.sleep(0.1)
    runner.call(lambda: first.write(b"ok"))
    runner.call(first.finish)
    assert is_reset(caller)
    assert len(held.exchanges) == 1
