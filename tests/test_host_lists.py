"""Read the platform's list through the stand-in, with outages and nonsense."""

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

GIVE_UP_S = 20.0


class World:
    """Run the stand-in and a reader, each on a loop of its own, in turn."""

    def __init__(self):
        self.list = HostList(0, lag=0.0)
        self.loop = create_loop()
        self.http = HttpClient(self.loop, 1.0, 4)
        self.address = Address("127.0.0.1", self.list._server.address.port)
        self.lists = []
        self.reader = create_host_list_reader(
            self.http, self.loop.timers, self.address, 0.1, random.Random(1), self.lists.append
        )

    def wait(self, reached):
        deadline = self.loop.timers.now() + GIVE_UP_S
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


def test_the_reader_follows_the_list_and_keeps_the_last_one():
    world = World()
    world.register("host-a")
    world.register("host-b")
    world.reader.start()
    world.wait(lambda: world.lists and len(world.lists[-1]) == 2)
    world.post("/leave", name="host-b")
    world.wait(lambda: [host.leaving for host in world.lists[-1]] == [False, True])
    world.post("/control", away=True)
    world.wait(lambda: world.reader.failures > 2)
    world.post("/control", away=False, nonsense=True)
    failures = world.reader.failures
    world.wait(lambda: world.reader.failures > failures + 2)
    assert [host.name for host in world.lists[-1]] == ["host-a", "host-b"]
    world.post("/control", nonsense=False)
    world.post("/remove", name="host-b")
    world.wait(lambda: [host.name for host in world.lists[-1]] == ["host-a"])
    assert world.reader.failures == 0


def test_a_change_shows_after_the_lag():
    world = World()
    world.register("host-a")
    world.post("/control", lag_s=3600.0)
    world.register("host-b")
    world.reader.start()
    world.wait(lambda: len(world.lists) > 2)
    assert [host.name for host in world.lists[-1]] == ["host-a"]


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
def test_nonsense_is_refused(doc):
    with pytest.raises(HostListError):
        parse_hosts(HttpResponse(200, [], json.dumps(doc).encode()))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=50) | st.just(b"[" * 100_000), st.integers(100, 599))
def test_no_bytes_raise_another_error(body, status):
    with pytest.raises(HostListError):
        parse_hosts(HttpResponse(status, [], body))
