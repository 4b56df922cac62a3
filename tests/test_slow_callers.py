"""Test callers that send or read too slowly, or open too many connections."""

import contextlib
import socket
import time

import pytest

from standins.fleets import FleetError, wait_until
from tarragonwind.adapters import caller_connections
from tarragonwind.adapters.connection_times import KEPT_S
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.core.memory_accounts import NO_HOLDER, MemoryAccount
from tarragonwind.errors import ErrorKind
from tarragonwind.ports import Address
from tests.support import LoopRunner

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
STATUSES = {ErrorKind.REQUEST_TOO_SLOW: 408, ErrorKind.SHED: 503}
MEGABYTE = 1_000_000


class Server:
    """Serve on a loop of its own; `body` is the body of each response."""

    def __init__(self, limits, account=None) -> None:
        self.runner = LoopRunner()
        self.socks = []
        self.body = b"ok"
        self.count = 0
        loop = self.runner.loop
        self.memory = MemoryGuard(loop.timers, account)
        self.http = HttpServer(
            loop, Address("127.0.0.1", 0), limits, self.answer, self.refuse, memory=self.memory
        )
        self.runner.start()

    def answer(self, exchange) -> None:
        self.count += 1
        exchange.answer(200, [], self.body)

    def refuse(self, exchange, error) -> None:
        exchange.answer(STATUSES.get(error.kind, 400), [], b"")

    def connect(self, host="127.0.0.1"):
        sock = socket.socket()
        sock.settimeout(3.0)
        sock.bind((host, 0))
        sock.connect(("127.0.0.1", self.http.address.port))
        self.socks.append(sock)
        return sock

    def stop(self) -> None:
        """Close all connections, so that no open files are left to the tests that follow."""
        for sock in self.socks:
            sock.close()
        with contextlib.suppress(FleetError):
            wait_until(lambda: self.http.connection_count == 0, "the connections end", 3.0)
        self.runner.call(self.http.stop)
        self.runner.stop()


@pytest.fixture
def start():
    servers = []

    def create(*arguments):
        servers.append(Server(*arguments))
        return servers[-1]

    yield create
    for server in servers:
        server.stop()


def test_a_body_that_comes_below_the_least_rate_is_refused(start, monkeypatch):
    monkeypatch.setattr(caller_connections, "RATE_PERIOD_S", 0.3)
    server = start(HttpLimits(min_bytes_per_second=1_000))
    caller = server.connect()
    caller.sendall(HEAD)
    caller.settimeout(0.02)
    deadline = time.monotonic() + 3.0
    got = b""
    while not got and time.monotonic() < deadline:
        try:
            caller.sendall(b"x")
            got = caller.recv(100)
        except TimeoutError:
            continue
    assert got.startswith(b"HTTP/1.1 408")


def test_a_body_that_comes_slowly_but_above_the_least_rate_is_read(start, monkeypatch):
    monkeypatch.setattr(caller_connections, "RATE_PERIOD_S", 0.3)
    server = start(HttpLimits(min_bytes_per_second=1_000))
    caller = server.connect()
    caller.sendall(HEAD)
    for _ in range(20):
        caller.sendall(b"x" * 5_000)
        time.sleep(0.05)
    assert caller.recv(100).startswith(b"HTTP/1.1 200")


def test_a_caller_that_reads_too_little_of_a_full_buffer_is_cut_off(start):
    server = start(HttpLimits(congestion_timeout_s=0.3, min_bytes_per_second=100_000))
    server.body = b"x" * 32 * MEGABYTE
    server.answer = None
    exchanges = []
    server.http.on_request = exchanges.append
    caller = server.connect()
    caller.sendall(REQUEST)
    wait_until(lambda: exchanges, "the request has been read")
    server.runner.call(lambda: exchanges[0].start(200, [], 40 * MEGABYTE))
    server.runner.call(lambda: exchanges[0].write(b"x" * 20 * MEGABYTE))
    deadline = time.monotonic() + 3.0
    while server.http.connection_count and time.monotonic() < deadline:
        caller.recv(100)
        time.sleep(0.05)
    assert server.http.connection_count == 0


def test_an_address_gets_no_more_than_its_share_of_the_connections(start):
    server = start(HttpLimits(max_connections=8, address_share=0.5))
    exchanges = []
    server.http.on_request = exchanges.append
    crowd = [server.connect("127.0.0.2") for _ in range(8)]
    for sock in crowd:
        with contextlib.suppress(ConnectionError):
            sock.sendall(REQUEST)
        time.sleep(0.02)
    other = server.connect("127.0.0.3")
    other.sendall(REQUEST)
    wait_until(lambda: len(exchanges) == 5, "four of the crowd and the other one are served")
    assert server.http.connection_count == 5


def test_connections_that_have_stopped_give_way_to_others_of_their_address(start):
    server = start(HttpLimits(max_connections=20))
    crowd = [server.connect() for _ in range(20)]
    for sock in crowd:
        sock.sendall(b"G")
    wait_until(lambda: server.http.reading_count == 20, "the crowd has been read")
    # The first comes before any connection of the crowd counts as stopped, and waits for that.
    for _ in range(30):
        caller = server.connect()
        caller.sendall(REQUEST)
        assert caller.recv(100).startswith(b"HTTP/1.1 200")
        caller.close()


def test_a_request_in_progress_is_never_closed_for_others(start):
    server = start(HttpLimits(max_connections=2))
    exchanges = []
    server.http.on_request = exchanges.append
    busy = [server.connect() for _ in range(2)]
    for sock in busy:
        sock.sendall(REQUEST)
    wait_until(lambda: len(exchanges) == 2, "both requests have been read")
    time.sleep(KEPT_S)
    assert server.connect().recv(10) == b""
    server.runner.call(lambda: [one.answer(200, [], b"ok") for one in exchanges])
    assert all(sock.recv(100).startswith(b"HTTP/1.1 200") for sock in busy)


def test_bodies_without_room_wait_unread_and_are_refused_in_time(start):
    server = start(HttpLimits(max_body_bytes=100_000), MemoryAccount(MEGABYTE))
    crowd = [server.connect() for _ in range(10)]
    for sock in crowd:
        sock.sendall(HEAD + b"x" * 99_000)
    time.sleep(0.3)
    assert server.memory.account.used_bytes <= MEGABYTE
    for sock in crowd[6:]:
        sock.sendall(b"x" * 1_000)
    statuses = [sock.recv(100)[9:12] for sock in crowd[6:]]
    assert set(statuses) <= {b"200", b"503"}
    assert server.count == statuses.count(b"200")


def test_a_body_in_chunks_that_had_waited_for_memory_still_has_its_time(start):
    account = MemoryAccount(2 * MEGABYTE)
    server = start(HttpLimits(body_timeout_s=0.5), account)
    holding = server.runner.call(lambda: server.memory.open("other", NO_HOLDER))
    caller = server.connect()
    caller.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    caller.sendall(chunk)
    wait_until(lambda: account.used_bytes > MEGABYTE / 2, "the first chunks have room", 2.0)
    server.runner.call(lambda: account.set_input(holding, 2 * MEGABYTE))
    for _ in range(4):
        caller.sendall(chunk)
    wait_until(lambda: account.waiting_count == 1, "the body waits for memory", 2.0)
    server.runner.call(lambda: server.memory.close(holding))
    assert caller.recv(100).startswith(b"HTTP/1.1 408")


def test_a_response_is_buffered_as_far_as_there_is_room(start):
    server = start(HttpLimits(), MemoryAccount(64 * MEGABYTE))
    exchanges = []
    server.http.on_request = exchanges.append
    callers = [server.connect() for _ in range(40)]
    for caller in callers:
        caller.sendall(REQUEST)
    wait_until(lambda: len(exchanges) == 40, "the requests have been read")

    def fill(exchange) -> int:
        exchange.start(200, [], 64 * MEGABYTE)
        written = 0
        while not exchange.congested():
            exchange.write(b"x" * 65_536)
            written += 65_536
        return written

    written = [server.runner.call(lambda one=one: fill(one)) for one in exchanges]
    assert written[0] > 4 * MEGABYTE
    assert server.memory.account.used_bytes < 64 * MEGABYTE


def test_all_that_was_charged_is_free_after_a_crowd(start):
    server = start(HttpLimits(max_body_bytes=100_000), MemoryAccount(MEGABYTE))
    crowd = [server.connect() for _ in range(30)]
    for number, sock in enumerate(crowd):
        sock.sendall([HEAD + b"x" * 50_000, REQUEST * 50, b"GET /", HEAD][number % 4])
    time.sleep(0.2)
    for sock in crowd:
        sock.close()
    wait_until(lambda: server.http.connection_count == 0, "the connections are closed")
    assert server.memory.account.used_bytes == 0
