"""Stop a gateway while callers connect and send: what was accepted is answered."""

import http.client
import socket
import time

import pytest

from tarragonwind.adapters.connection_times import FIRST_REQUEST_S, NEXT_REQUEST_S
from tests.support import TOKEN
from tests.test_gateways import GatewayHarness

CALLERS = 20
REQUEST = (
    f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n"
    "Content-Length: 2\r\n\r\n{}"
).encode()
REST_S = 0.1


@pytest.fixture
def harness():
    one = GatewayHarness()
    yield one
    one.close()


def connect(harness):
    return socket.create_connection(("127.0.0.1", harness.gateway.address.port), timeout=5)


def stop(harness):
    harness.gateway.stop()
    return harness.gateway.close_idle()


def status_of(sock):
    try:
        return sock.recv(65536).partition(b"\r\n")[0].split(b" ")[1]
    except ConnectionResetError:
        return b"reset"
    except IndexError:
        return b"closed"
    finally:
        sock.close()


def test_requests_of_connections_in_the_backlog_are_answered(harness):
    def send_and_stop():
        socks = [connect(harness) for _ in range(CALLERS)]
        for sock in socks:
            sock.sendall(REQUEST)
        stop(harness)
        return socks

    socks = harness.runner.call(send_and_stop)
    assert {status_of(sock) for sock in socks} == {b"503"}


def test_requests_that_were_received_and_not_read_are_answered(harness):
    socks = [connect(harness) for _ in range(CALLERS)]
    time.sleep(REST_S)

    def send_and_stop():
        for sock in socks:
            sock.sendall(REQUEST)
        stop(harness)

    harness.runner.call(send_and_stop)
    assert {status_of(sock) for sock in socks} == {b"503"}


def test_a_new_connection_has_time_for_its_first_request(harness):
    socks = [connect(harness) for _ in range(CALLERS)]
    left_open = harness.runner.call(lambda: stop(harness))
    time.sleep(REST_S)
    for sock in socks:
        sock.sendall(REQUEST)
    assert left_open == CALLERS
    assert {status_of(sock) for sock in socks} == {b"503"}


def test_connections_without_a_request_are_closed(harness):
    socks = [connect(harness) for _ in range(CALLERS)]
    time.sleep(FIRST_REQUEST_S + REST_S)
    left_open = harness.runner.call(lambda: stop(harness))
    assert left_open == 0
    assert {status_of(sock) for sock in socks} == {b"closed"}


def receive_kept_answer(harness):
    """Return a connection on which an answer that didn't announce a close has just ended."""
    sock = connect(harness)
    sock.sendall(REQUEST)
    response = http.client.HTTPResponse(sock)
    response.begin()
    response.read()
    assert not response.will_close
    return sock


def test_a_request_right_after_an_answer_that_announced_no_close_is_served(harness):
    """Guards against a stop that closes a connection on which its caller goes on at once."""
    sock = receive_kept_answer(harness)
    assert harness.runner.call(lambda: stop(harness)) == 1
    time.sleep(NEXT_REQUEST_S / 2)
    sock.sendall(REQUEST)
    assert status_of(sock) == b"503"


def test_a_kept_connection_without_a_next_request_is_closed_soon(harness):
    sock = receive_kept_answer(harness)
    harness.runner.call(lambda: stop(harness))
    time.sleep(NEXT_REQUEST_S + REST_S)
    assert harness.runner.call(harness.gateway.close_idle) == 0
    assert status_of(sock) == b"closed"
