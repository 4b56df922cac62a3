"""Test the host list poller against the stand-in, with outages and invalid responses."""

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.host_list import HostList
from tarragonwind.adapters.host_lists import (
    HostListError,
    create_host_list_reader,
    parse_hosts,
)
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import create_loop
from tarragonwind.ports import Address, HttpRequest, HttpResponse

WAIT_LIMIT_S = 20.0


class HostListHarness:
    """Run the stand-in and a poller alternately, each on an event loop of its own."""

    def __init__(self):
        self.list = HostList(0, lag=0.0)
        self.loop = create_loop()
        self.http = HttpClient(self.loop, 1.0, 4)
        self.address = Address("127.0.0.1", self.list._server.address.port)
        self.received = []
        self.reader = create_host_list_reader(
            self.http, self.loop.timers, self.address, 0.1, random.Random(1), self.received.append
        )

    def wait(self, reached):
        deadline = self.loop.timers.now() + WAIT_LIMIT_S
        while not reached() and self.loop.timers.now() < deadline:
            for loop in (self.list.loop, self.loop):
                loop.timers.call_later(0.005, loop.stop)
                loop.run()
        assert reached()

    def post(self, path, **doc):
        req = HttpRequest("POST", path, [], json.dumps(doc).encode())
        fut = self.http.fetch(self.address, req, 5.0)
        self.wait(fut.done)
        assert fut.result().status == 200

    def register(self, name):
        self.post("/register", name=name, address="127.0.0.1", port=7400, data_centre="etna")


def test_poller_follows_the_list_and_keeps_the_last_valid_one():
    harness = HostListHarness()
    harness.register("host-a")
    harness.register("host-b")
    harness.reader.start()
    harness.wait(lambda: harness.received and len(harness.received[-1]) == 2)
    harness.post("/leave", name="host-b")
    harness.wait(lambda: [host.leaving for host in harness.received[-1]] == [False, True])
    harness.post("/control", away=True)
    harness.wait(lambda: harness.reader.failures > 2)
    harness.post("/control", away=False, nonsense=True)
    failures = harness.reader.failures
    harness.wait(lambda: harness.reader.failures > failures + 2)
    assert [host.name for host in harness.received[-1]] == ["host-a", "host-b"]
    harness.post("/control", nonsense=False)
    harness.post("/remove", name="host-b")
    harness.wait(lambda: [host.name for host in harness.received[-1]] == ["host-a"])
    assert harness.reader.failures == 0


def test_change_is_not_visible_before_the_lag():
    harness = HostListHarness()
    harness.register("host-a")
    harness.post("/control", lag_s=3600.0)
    harness.register("host-b")
    harness.reader.start()
    harness.wait(lambda: len(harness.received) > 2)
    assert [host.name for host in harness.received[-1]] == ["host-a"]


def host(**changes):
    entry = {"name": "a", "address": "10.0.0.1", "port": 1, "data_centre": "x", "state": "live"}
    return {**entry, **changes}


@pytest.mark.parametrize(
    "doc",
    [
        [],
        {},
        {"hosts": []},
        {"hosts": [host(), host()]},
        {"hosts": [host(port=0)]},
        {"hosts": [host(port=True)]},
        {"hosts": [host(state="gone")]},
        {"hosts": [host(state=["live"])]},
        {"hosts": [host(name="")]},
    ],
)
def test_invalid_lists_are_refused(doc):
    with pytest.raises(HostListError):
        parse_hosts(HttpResponse(200, [], json.dumps(doc).encode()))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=50) | st.just(b"[" * 100_000), st.integers(100, 599))
def test_arbitrary_bytes_raise_only_host_list_errors(body, status):
    with pytest.raises(HostListError):
        parse_hosts(HttpResponse(status, [], body))
