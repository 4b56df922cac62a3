"""Test that nothing of a request stays in memory after its end, without the cyclic collector.

The collector counts objects and not bytes, so what only it would free holds bodies for a long time.
"""

import collections
import gc
import itertools
import os
import resource

import pytest

from tarragonwind.adapters import connections
from tarragonwind.adapters.caller_exchanges import CallerExchange
from tarragonwind.adapters.client_exchanges import ClientExchange
from tarragonwind.adapters.connections import Connection
from tarragonwind.adapters.connects import DirectConnect
from tarragonwind.adapters.gateway_contexts import GatewayContext
from tarragonwind.adapters.gateways import Gateway
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.http_requests import CallerRequest, HttpLimits
from tarragonwind.adapters.http_servers import CallerConnection, HttpServer
from tarragonwind.adapters.loops import create_loop
from tarragonwind.adapters.relays import Relay
from tarragonwind.adapters.request_handlers import RequestHandler
from tarragonwind.adapters.request_parsers import RequestParser
from tarragonwind.adapters.response_parsers import ResponseParser
from tarragonwind.adapters.response_sinks import FetchSink
from tarragonwind.adapters.standby_permits import StandbyPermit
from tarragonwind.core.entries import RouteEntry, UpstreamEntry
from tarragonwind.core.response_rules import MalformedResponse
from tarragonwind.futures import Future, Task
from tarragonwind.ports import Address, HttpError, HttpRequest
from tests.support import TOKEN, FakeCatalogue, RoundRobinScheduler, run_until

AUTHORIZATION = (b"Authorization", f"Bearer {TOKEN}".encode())
CLOSE = (b"Connection", b"close")
OF_ONE_REQUEST = (
    CallerConnection,
    CallerExchange,
    CallerRequest,
    ClientExchange,
    Connection,
    DirectConnect,
    FetchSink,
    Future,
    HttpError,
    MalformedResponse,
    Relay,
    RequestHandler,
    RequestParser,
    ResponseParser,
    StandbyPermit,
    Task,
)
"""Types of which no object may be left once all requests and connections have ended."""
REQUESTS = 10_000
BODY = os.urandom(8_192)
CONCURRENCY = 8
LINGER_S = 0.05
"""Time for which a closed connection waits for its peer, instead of a second."""
MAX_OBJECTS_LEFT = 1_000
"""A tenth of an object for each request; buffers of the loop and of the log vary a little."""
MAX_BYTES_LEFT = 16 * 1024 * 1024
"""A fifth of what the bodies of all requests take."""


class DiscardingHistogram:
    """Take durations, which an instrument without an exporter would keep up to a limit."""

    def record(self, amount, attributes=None):
        pass


class LifetimeHarness:
    """Run callers, a gateway and an upstream on one event loop."""

    def __init__(self):
        self.loop = create_loop()
        limits = HttpLimits()
        address = Address("127.0.0.1", 0)
        self.answer = lambda exchange: exchange.answer(200, [], b"ok")
        self._upstream = HttpServer(
            self.loop, address, limits, lambda exchange: self.answer(exchange), self._on_error
        )
        upstreams = [
            UpstreamEntry(
                name=name,
                owner="o",
                pool="chat",
                version="v1",
                host="127.0.0.1",
                port=self._upstream.address.port,
                data_centre="etna",
                refusal_not_run=True,
            )
            for name in ("up-1", "up-2")
        ]
        routes = [
            RouteEntry(
                name=name,
                owner="o",
                pool="chat",
                tier=1,
                path_prefix=f"/{name}",
                deadline_s=30.0,
                target_latency_s=target_latency_s,
                max_attempts=2,
                idempotent=True,
            )
            for name, target_latency_s in (("lookup", 0.0), ("watched", 0.02))
        ]
        self.scheduler = RoundRobinScheduler(["up-1", "up-2"])
        self.client = HttpClient(self.loop)
        catalogue = FakeCatalogue(upstreams, routes)
        catalogue.organisation.requests_per_s = 100_000.0
        context = GatewayContext(self.loop, self.client, lambda: catalogue, self.scheduler)
        telemetry = context.telemetry
        for histogram in (telemetry.duration, telemetry.first_byte, telemetry.wait):
            histogram.attach(DiscardingHistogram())
        self.gateway = Gateway(Address("127.0.0.1", 0), limits, context)
        self.statuses = collections.Counter()

    def _on_error(self, exchange, error):
        exchange.answer(400, [], b"")

    def send(self, on_end, headers=(AUTHORIZATION,), body=b"", path="/lookup/1", timeout_s=20.0):
        """Send one request and count its status, 0 for no response."""

        def count(fut):
            try:
                self.statuses[fut.result().status] += 1
            except HttpError:
                self.statuses[0] += 1
            self.scheduler.reports.clear()
            self.scheduler.scheduling_requests.clear()
            on_end()

        req = HttpRequest("POST", path, list(headers), body)
        self.client.fetch(self.gateway.address, req, timeout_s).add_callback(count)

    def send_all(self, count, **request):
        """Send `count` requests, at most `CONCURRENCY` at a time, and wait for their ends."""
        left = itertools.count(1)
        ended = []

        def send_next():
            if next(left) <= count:
                self.send(on_end, **request)

        def on_end():
            ended.append(None)
            # Not from within the callback: the calls would nest ever deeper.
            self.loop.timers.call_later(0.0, send_next)

        for _ in range(CONCURRENCY):
            self.loop.timers.call_later(0.0, send_next)
        run_until(self.loop, lambda: len(ended) == count, 120.0)

    def close(self):
        """Close all connections, and wait until their servers have noticed."""
        self.client.close()
        servers = (self.gateway._server, self._upstream)
        run_until(self.loop, lambda: not any(server.connection_count for server in servers))
        lingered_at = self.loop.timers.now() + 2 * LINGER_S
        run_until(self.loop, lambda: self.loop.timers.now() > lingered_at)
        for server in servers:
            server.stop()


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(connections, "LINGER_S", LINGER_S)
    harness = LifetimeHarness()
    yield harness
    harness.client.close()


@pytest.fixture
def no_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_left(before):
    """Return by type how many objects of requests exist beside those that existed before."""
    known = {id(one) for one in before}
    return dict(
        collections.Counter(
            type(one).__name__
            for one in gc.get_objects()
            if isinstance(one, OF_ONE_REQUEST) and id(one) not in known
        )
    )


def find_objects():
    return [one for one in gc.get_objects() if isinstance(one, OF_ONE_REQUEST)]


def measure_rss():
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def test_ten_thousand_requests_leave_neither_objects_nor_bytes(harness, no_collector):
    # Guards against a host that grows by the body of each request that it has answered.
    harness.send_all(200, body=BODY)
    objects, rss = len(gc.get_objects()), measure_rss()
    harness.send_all(REQUESTS, body=BODY)
    left = len(gc.get_objects()) - objects
    grown = measure_rss() - rss
    assert harness.statuses == {200: REQUESTS + 200}
    assert (left <= MAX_OBJECTS_LEFT, grown <= MAX_BYTES_LEFT) == (True, True), (left, grown)


def fail(exchange):
    exchange.answer(500, [], b"failed")


def refuse(exchange):
    exchange.answer(503, [], b"full")


def answer_without_status(exchange):
    exchange.answer(600, [], b"no response")


def answer_without_http(exchange):
    exchange._conn.write(b"no response\r\n\r\n")


def cut(exchange):
    exchange.start(200, [], 10)
    exchange.write(b"half")
    exchange.abort()


def stream(exchange):
    exchange.start(200, [(b"Content-Type", b"text/event-stream")])
    exchange.write(b"id: 1\ndata: a\n\n")
    exchange.finish()


def reset(exchange):
    exchange.abort()


def stay_silent(exchange):
    pass


@pytest.mark.parametrize(
    ("answer", "request_", "status"),
    [
        pytest.param(None, {}, 200, id="answered"),
        pytest.param(None, {"headers": (AUTHORIZATION, CLOSE)}, 200, id="connection-closed"),
        pytest.param(None, {"headers": ()}, 401, id="unauthorized"),
        pytest.param(None, {"path": "/none"}, 404, id="no-route"),
        pytest.param(fail, {}, 500, id="failed-and-retried"),
        pytest.param(refuse, {}, 503, id="refused-and-retried"),
        pytest.param(cut, {}, 0, id="response-cut"),
        pytest.param(reset, {}, 502, id="upstream-reset"),
        pytest.param(answer_without_status, {}, 502, id="no-status"),
        pytest.param(answer_without_http, {}, 502, id="no-http"),
        pytest.param(stream, {}, 200, id="stream"),
        pytest.param(stay_silent, {"timeout_s": 0.1}, 0, id="caller-left"),
        pytest.param(
            stay_silent,
            {"headers": (AUTHORIZATION, (b"Tarragonwind-Timeout-Ms", b"100"))},
            504,
            id="deadline-passed",
        ),
        pytest.param(
            stay_silent,
            {
                "headers": (AUTHORIZATION, (b"Tarragonwind-Timeout-Ms", b"200")),
                "path": "/watched/1",
            },
            504,
            id="silent-upstream-left",
        ),
    ],
)
def test_a_request_leaves_nothing_however_it_ends(harness, no_collector, answer, request_, status):
    # Guards against references in a ring between handler, exchange, relay and their closures.
    before = find_objects()
    if answer is not None:
        harness.answer = answer
    harness.send_all(2 * CONCURRENCY, body=BODY, **request_)
    harness.close()
    assert harness.statuses == {status: 2 * CONCURRENCY}
    assert count_left(before) == {}
