"""Test that a request stays with its silent upstream until another one takes it."""

import contextlib
import http.client
import json
import math
import socket
import threading
import time

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.gateway_contexts import GatewayContext
from tarragonwind.adapters.gateways import Gateway
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.core.entries import RouteEntry, UpstreamEntry
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.ports import Address
from tests.support import FakeCatalogue, LoopRunner, RoundRobinScheduler
from tests.test_gateways import AUTH, chat

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
EVENTS = [b"id: %d\ndata: a\n\n" % number for number in range(1, 5)]
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
TARGET_S = 0.1
"""Target of the routes; an upstream is silent after 2.5 times as long."""
POLL_S = 0.02
PAUSE_S = 0.8
SHORT_PAUSE_S = 0.02


class PausingUpstream:
    """Answer each request with two pieces of bytes, the second one when it is told to go on.

    With `pause_s` it goes on by itself after that time, in seconds.
    """

    def __init__(self, first: bytes, rest: bytes, pause_s: float = math.inf) -> None:
        self.requests: list[bytes] = []
        self.cut = threading.Event()
        self.goes_on = threading.Event()
        self._first, self._rest, self._pause_s = first, rest, pause_s
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.port = self._sock.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(conn,), daemon=True).start()

    def _answer(self, conn: socket.socket) -> None:
        self.requests.append(conn.recv(65_536))
        with conn, contextlib.suppress(ConnectionError):
            conn.sendall(self._first)
            if self._is_kept(conn):
                conn.sendall(self._rest)
                return
        self.cut.set()

    def _is_kept(self, conn: socket.socket) -> bool:
        """Wait until the upstream goes on; return False if the connection ends before."""
        conn.settimeout(POLL_S)
        ends_at = time.monotonic() + self._pause_s
        while not self.goes_on.is_set() and time.monotonic() < ends_at:
            try:
                if conn.recv(65_536) == b"":
                    return False
            except TimeoutError:
                continue
        return True

    def close(self) -> None:
        self._sock.close()


class SecondPermitScheduler(RoundRobinScheduler):
    """Grant the first permit at once; hold each later request until the test decides it."""

    def __init__(self, upstreams: list[str]) -> None:
        super().__init__(upstreams)
        self.held: list[tuple] = []
        self.refuses = False

    def request_permit(self, request, on_granted, on_refused) -> int:
        if not self.scheduling_requests:
            return super().request_permit(request, on_granted, on_refused)
        self.scheduling_requests.append(request)
        if self.refuses:
            on_refused(RequestError(ErrorKind.DEADLINE_UNMEETABLE, "no room", 0.5))
        else:
            self.held.append((request, on_granted, on_refused))
        return len(self.scheduling_requests)

    def grant(self) -> None:
        request, on_granted, on_refused = self.held.pop()
        super().request_permit(request, on_granted, on_refused)


class Harness:
    """Run a gateway before two upstreams, of which the first falls silent."""

    def __init__(self, silent: PausingUpstream, other: PausingUpstream) -> None:
        self.runner = LoopRunner()
        self.silent, self.other = silent, other
        upstreams = [
            UpstreamEntry(
                name=name,
                owner="o",
                pool="chat",
                version="v1",
                host="127.0.0.1",
                port=upstream.port,
                data_centre="etna",
            )
            for name, upstream in (("up-1", silent), ("up-2", other))
        ]
        times = {"target_latency_s": TARGET_S, "event_gap_s": TARGET_S, "max_attempts": 2}
        common = {"owner": "o", "pool": "chat", "tier": 1, **times}
        routes = [
            RouteEntry(name="chat", model="m", streams=True, resumable=True, **common),
            RouteEntry(name="lookup", path_prefix="/lookup", **common),
        ]
        self.scheduler = SecondPermitScheduler(["up-1", "up-2"])
        loop = self.runner.loop
        context = GatewayContext(
            loop,
            HttpClient(loop, connect_timeout_s=1.0),
            lambda: FakeCatalogue(upstreams, routes),
            self.scheduler,
        )
        self.gateway = Gateway(Address("127.0.0.1", 0), HttpLimits(), context)
        self.runner.start()

    def send(self, stream: bool):
        """Send a request and return its connection."""
        port = self.gateway.address.port
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        if stream:
            conn.request("POST", "/v1/chat/completions", json.dumps(chat(stream=True)), AUTH)
        else:
            conn.request("GET", "/lookup/1", headers=AUTH)
        return conn

    def close(self) -> None:
        self.runner.stop()
        self.silent.close()
        self.other.close()


@pytest.fixture(params=["stream", "plain"])
def harness(request):
    if request.param == "stream":
        silent = PausingUpstream(HEAD + EVENTS[0], b"".join(EVENTS[1:]))
        other = PausingUpstream(HEAD + EVENTS[1], b"".join(EVENTS[2:]))
    else:
        silent = PausingUpstream(b"", PLAIN)
        other = PausingUpstream(b"", PLAIN)
    other.goes_on.set()
    one = Harness(silent, other)
    one.stream = request.param == "stream"
    one.body = b"".join(EVENTS) if one.stream else b"ok"
    yield one
    one.close()


def read_answer(conn):
    got = conn.getresponse()
    return got.status, got.read()


def test_a_request_that_no_other_upstream_takes_stays_with_its_silent_upstream(harness):
    harness.scheduler.refuses = True
    conn = harness.send(harness.stream)
    requests = harness.scheduler.scheduling_requests
    wait_until(lambda: len(requests) >= 3, "the request asks for another upstream again", 5.0)
    harness.silent.goes_on.set()
    assert read_answer(conn) == (200, harness.body)
    assert len(harness.silent.requests) == 1
    assert not harness.silent.cut.is_set()
    wait_until(lambda: harness.scheduler.reports, "the permit is released", 2.0)
    assert [report.outcome for report in harness.scheduler.reports] == [Outcome.OK]


def test_a_request_that_waits_for_another_upstream_goes_on_when_its_own_does(harness):
    conn = harness.send(harness.stream)
    wait_until(lambda: harness.scheduler.held, "the request asks for another upstream", 5.0)
    harness.silent.goes_on.set()
    assert read_answer(conn) == (200, harness.body)
    assert len(harness.scheduler.scheduling_requests) == 2
    assert harness.scheduler.scheduling_requests[1].avoid == ["up-1"]
    wait_until(lambda: harness.scheduler.cancelled, "the request for a permit is cancelled", 2.0)
    assert not harness.other.requests


def test_a_request_leaves_its_silent_upstream_when_another_takes_it(harness):
    conn = harness.send(harness.stream)
    wait_until(lambda: harness.scheduler.held, "the request asks for another upstream", 5.0)
    assert not harness.silent.cut.is_set()
    harness.runner.call(harness.scheduler.grant)
    assert read_answer(conn) == (200, harness.body)
    assert harness.silent.cut.wait(2.0)
    assert len(harness.other.requests) == 1


def test_a_caller_that_leaves_gives_up_the_permit_that_it_waits_for(harness):
    conn = harness.send(harness.stream)
    wait_until(lambda: harness.scheduler.held, "the request asks for another upstream", 5.0)
    conn.close()
    wait_until(lambda: harness.scheduler.cancelled, "the request for a permit is cancelled", 2.0)
    assert harness.silent.cut.wait(2.0)
    assert not harness.other.requests
