"""Test requests whose callers have left before a host that starts gets to read them."""

import socket
import time

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.ports import Address
from tests.support import LoopRunner

REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
LATE_S = 2.0


@pytest.fixture
def runner():
    one = LoopRunner()
    one.start()
    yield one
    one.stop()


@pytest.fixture
def taken():
    return []


@pytest.fixture
def server(runner, taken):
    """Return a server that accepts nothing yet; callers wait in the backlog of its socket."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=128)
    address = Address("127.0.0.1", sock.getsockname()[1])

    def refuse(exchange, error):
        exchange.answer(400, [], b"")

    def take(exchange):
        taken.append(exchange.request.target)
        exchange.answer(200, [], b"")

    return runner.call(
        lambda: HttpServer(runner.loop, address, HttpLimits(), take, refuse, sock=sock)
    )


def send(server, request):
    sock = socket.create_connection((server.address.host, server.address.port))
    sock.settimeout(LATE_S)
    sock.sendall(request)
    return sock


@pytest.mark.parametrize("request_bytes", [REQUEST, POST])
def test_a_host_that_starts_serves_none_of_the_requests_whose_callers_have_left(
    runner, server, taken, request_bytes
):
    """Guards against a return that is late because the backlog is served to nobody."""
    for number in range(40):
        send(server, request_bytes % number).close()
    waiting = [send(server, request_bytes % number) for number in (100, 101)]
    runner.call(server.start)
    for sock in waiting:
        assert sock.recv(1_024).startswith(b"HTTP/1.1 200")
    wait_until(lambda: runner.call(lambda: server.connection_count) == len(waiting), LATE_S)
    assert sorted(taken) == ["/100", "/101"]
    assert server.abandoned == 40
    for sock in waiting:
        sock.close()


def test_a_malformed_request_of_a_caller_that_closed_its_side_is_refused(runner, server, taken):
    runner.call(server.start)
    sock = send(server, b"no request\r\n\r\n")
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(1_024).startswith(b"HTTP/1.1 400")
    assert not taken


def test_a_request_after_one_that_was_answered_is_dropped_when_its_caller_has_left(
    runner, server, taken
):
    runner.call(server.start)
    sock = send(server, REQUEST % 1)
    assert sock.recv(1_024).startswith(b"HTTP/1.1 200")

    def leave_while_busy():
        sock.sendall(REQUEST % 2)
        sock.close()
        time.sleep(0.05)

    runner.call(leave_while_busy)
    wait_until(lambda: runner.call(lambda: server.connection_count) == 0, LATE_S)
    assert taken == ["/1"]
