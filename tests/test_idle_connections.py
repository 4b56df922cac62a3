"""Test that a request is answered, or left unread, around the close of its idle connection."""

import contextlib
import select
import socket
import time

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.gateway_contexts import GatewayContext
from tarragonwind.adapters.gateways import Gateway
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.core.configurations import CallerLimits
from tarragonwind.ports import Address
from tests.support import FakeCatalogue, LoopRunner, RoundRobinScheduler

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
RESPONSE_ENDS = (b"ok", b"}\n")
SHORT_S = 0.4
LONG_S = 1.6
END_S = 3.0


class ServedRequests:
    """Answer each request at once, and count them."""

    def __init__(self) -> None:
        self.count = 0

    def answer(self, exchange) -> None:
        self.count += 1
        exchange.answer(200, [], b"ok")


@pytest.fixture
def runner():
    one = LoopRunner()
    one.start()
    yield one
    one.stop()


@pytest.fixture
def gateway(runner):
    context = GatewayContext(
        runner.loop,
        HttpClient(runner.loop),
        lambda: FakeCatalogue([], []),
        RoundRobinScheduler(["up-1"]),
    )
    return runner.call(lambda: Gateway(Address("127.0.0.1", 0), HttpLimits(), context))


def set_idle_limit(runner, gateway, seconds):
    runner.call(lambda: gateway.set_limits(CallerLimits(idle_timeout_s=seconds)))


def open_connection(address):
    sock = socket.create_connection(("127.0.0.1", address.port))
    sock.settimeout(5)
    return sock


def exchange(sock):
    """Send a request and return its response, empty if the connection has ended."""
    sock.sendall(REQUEST)
    got = b""
    while not got.endswith(RESPONSE_ENDS) and (data := sock.recv(4_096)):
        got += data
    return got


def test_a_kept_connection_stays_open_by_an_idle_limit_that_was_raised_since(runner, gateway):
    set_idle_limit(runner, gateway, SHORT_S)
    caller = open_connection(gateway.address)
    assert exchange(caller).startswith(b"HTTP/1.1 401")
    set_idle_limit(runner, gateway, LONG_S)
    time.sleep(0.8 * LONG_S)
    assert exchange(caller).startswith(b"HTTP/1.1 401")


def test_a_kept_connection_stays_open_by_the_limit_under_which_its_wait_began(runner, gateway):
    set_idle_limit(runner, gateway, LONG_S)
    caller = open_connection(gateway.address)
    assert exchange(caller).startswith(b"HTTP/1.1 401")
    set_idle_limit(runner, gateway, SHORT_S)
    time.sleep(0.8 * LONG_S)
    assert exchange(caller).startswith(b"HTTP/1.1 401")


def test_a_wait_that_begins_while_a_lowered_limit_spreads_may_last_as_before(runner, gateway):
    set_idle_limit(runner, gateway, LONG_S)
    caller = open_connection(gateway.address)
    set_idle_limit(runner, gateway, SHORT_S)
    assert exchange(caller).startswith(b"HTTP/1.1 401")
    time.sleep(0.8 * LONG_S)
    assert exchange(caller).startswith(b"HTTP/1.1 401")


def test_a_lowered_idle_limit_binds_the_connections_that_come_after_it(runner, gateway):
    set_idle_limit(runner, gateway, 60.0)
    set_idle_limit(runner, gateway, SHORT_S)
    time.sleep(END_S + SHORT_S)
    caller = open_connection(gateway.address)
    assert exchange(caller).startswith(b"HTTP/1.1 401")
    started_at = time.monotonic()
    assert caller.recv(100) == b""
    assert SHORT_S * 0.9 < time.monotonic() - started_at < 2 * SHORT_S


def was_reset(sock):
    """Return whether the other side resets a connection that it has closed."""
    poller = select.poll()
    poller.register(sock, 0)
    deadline = time.monotonic() + 3.0
    while time.monotonic() < deadline:
        if any(mask & (select.POLLERR | select.POLLHUP) for _, mask in poller.poll(20)):
            return True
    return False


def find_server(runner, served, limits):
    address = Address("127.0.0.1", 0)
    return runner.call(
        lambda: HttpServer(runner.loop, address, limits, served.answer, lambda *_: None)
    )


def test_a_request_that_crosses_the_close_of_its_idle_connection_is_not_read_and_dropped(runner):
    served = ServedRequests()
    server = find_server(runner, served, HttpLimits(idle_timeout_s=SHORT_S))
    caller = open_connection(server.address)
    assert exchange(caller).startswith(b"HTTP/1.1 200")
    # The end of the connection has arrived, and the caller has not looked at it yet.
    select.select([caller], [], [], 5)
    caller.sendall(REQUEST)
    assert was_reset(caller)
    assert served.count == 1


def test_a_request_that_has_arrived_when_its_idle_connection_is_due_to_close_is_answered(runner):
    served = ServedRequests()
    server = find_server(runner, served, HttpLimits(idle_timeout_s=SHORT_S))
    caller = open_connection(server.address)
    assert exchange(caller).startswith(b"HTTP/1.1 200")

    def send_and_pass_the_limit():
        caller.sendall(REQUEST)
        time.sleep(1.5 * SHORT_S)

    runner.call(send_and_pass_the_limit)
    assert caller.recv(4_096).startswith(b"HTTP/1.1 200")
    assert served.count == 2


def test_a_request_that_waits_behind_another_is_answered_when_idle_connections_are_closed(runner):
    served = []
    server = runner.call(
        lambda: HttpServer(
            runner.loop, Address("127.0.0.1", 0), HttpLimits(), served.append, lambda *_: None
        )
    )
    caller = open_connection(server.address)
    caller.sendall(REQUEST + REQUEST)
    wait_until(lambda: served, "the first request has been read")

    def answer_and_close_idle():
        served[0].answer(200, [], b"ok")
        server.stop()
        server.close_idle()

    runner.call(answer_and_close_idle)
    wait_until(lambda: len(served) == 2, "the second request is served", 3.0)
    runner.call(lambda: served[1].answer(200, [], b"ok"))
    assert read_all(caller).count(b"HTTP/1.1 200") == 2


def test_a_request_that_was_read_before_the_stop_is_answered_behind_another(runner):
    served = []
    server = runner.call(
        lambda: HttpServer(
            runner.loop, Address("127.0.0.1", 0), HttpLimits(), served.append, lambda *_: None
        )
    )
    caller = open_connection(server.address)
    caller.sendall(REQUEST + REQUEST)
    wait_until(lambda: served, "the first request has been read")
    runner.call(server.announce_close)
    runner.call(lambda: served[0].answer(200, [], b"ok"))
    wait_until(lambda: len(served) == 2, "the second request is served", 3.0)
    runner.call(lambda: served[1].answer(200, [], b"ok"))
    got = read_all(caller)
    assert got.count(b"HTTP/1.1 200") == 2
    assert got.count(b"Connection: close") == 1


def read_all(sock):
    got = b""
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(4_096):
            got += data
    return got


def test_requests_sent_around_the_idle_close_are_answered_or_unread(runner):
    served = ServedRequests()
    server = find_server(runner, served, HttpLimits(idle_timeout_s=SHORT_S))
    callers = [open_connection(server.address) for _ in range(60)]
    began = {}
    for caller in callers:
        assert exchange(caller).startswith(b"HTTP/1.1 200")
        began[caller] = time.monotonic()
    for number, caller in enumerate(callers):
        offset_s = (number % 20 - 10) / 1_000
        time.sleep(max(0.0, began[caller] + SHORT_S + offset_s - time.monotonic()))
        with contextlib.suppress(ConnectionError):
            caller.sendall(REQUEST)
    answered = {caller for caller in callers if read_all(caller).startswith(b"HTTP/1.1 200")}
    unread = {caller for caller in callers if caller not in answered and was_reset(caller)}
    assert len(answered) == served.count - len(callers)
    assert len(answered | unread) == len(callers), f"{len(answered)} answered, {len(unread)} unread"
