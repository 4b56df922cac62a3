"""Test that a stream leaves its silent upstream only for one that can take it."""

import contextlib
import dataclasses
import socket

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.connections import Connection
from tarragonwind.core.permit_requests import Permit
from tests.test_silent_upstreams import (
    EVENTS,
    HEAD,
    SHORT_PAUSE_S,
    TARGET_S,
    Harness,
    PausingUpstream,
    read_answer,
)

BODY = b"".join(EVENTS)
LONG_PAUSE_S = 2.0


@pytest.fixture
def harness():
    silent = PausingUpstream(HEAD + EVENTS[0], b"".join(EVENTS[1:]), LONG_PAUSE_S)
    other = PausingUpstream(HEAD + EVENTS[1], b"".join(EVENTS[2:]), SHORT_PAUSE_S)
    one = Harness(silent, other)
    yield one
    one.close()


def grant(harness, upstream):
    """Grant the permit that the silent stream waits for, and refuse all later ones."""
    scheduler = harness.scheduler
    wait_until(lambda: scheduler.held, "the stream asks for another upstream", 5.0)

    def decide():
        request, on_granted, _ = scheduler.held.pop()
        scheduler.refuses = True
        on_granted(Permit(len(scheduler.scheduling_requests), request.pool, upstream, "v1", ""))

    harness.runner.call(decide)


def find_closed_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def replace_upstream(harness, name, **fields):
    """Change an upstream in the catalogue of the gateway."""
    context = harness.gateway.context
    catalogue = context.catalogue()
    catalogue.upstreams = [
        dataclasses.replace(one, **fields) if one.name == name else one
        for one in catalogue.upstreams
    ]
    context.catalogue = lambda: catalogue


@pytest.mark.parametrize("upstream", ["up-2", "up-9"], ids=["withheld", "not-in-catalogue"])
def test_a_stream_is_not_given_up_for_an_upstream_that_this_host_may_not_use(harness, upstream):
    harness.scheduler.may_dispatch = lambda permit: permit.permit_id != 2
    conn = harness.send(stream=True)
    grant(harness, upstream)
    assert read_answer(conn) == (200, BODY)


def test_a_stream_is_not_given_up_for_an_upstream_that_has_failed_it_already(harness):
    replace_upstream(harness, "up-2", port=find_closed_port())
    scheduler = harness.scheduler
    scheduler.names = iter(["up-2", "up-1"])
    conn = harness.send(stream=True)
    wait_until(lambda: scheduler.held, "the first upstream could not be reached", 5.0)
    harness.runner.call(scheduler.grant)
    grant(harness, "up-2")
    assert read_answer(conn) == (200, BODY)


def test_a_stream_is_not_given_up_once_a_part_of_its_prompt_is_in_quarantine(harness):
    conn = harness.send(stream=True)
    wait_until(lambda: harness.scheduler.held, "the stream asks for another upstream", 5.0)
    harness.scheduler.quarantine_left_s = lambda _parts: 5.0
    grant(harness, "up-2")
    assert read_answer(conn) == (200, BODY)


def test_a_stream_is_not_given_up_for_an_upstream_that_can_not_be_reached(harness):
    replace_upstream(harness, "up-2", port=find_closed_port())
    conn = harness.send(stream=True)
    grant(harness, "up-2")
    assert read_answer(conn) == (200, BODY)


def test_a_stream_that_moves_is_not_cut_by_the_time_limit_of_its_first_byte():
    silent = PausingUpstream(HEAD + EVENTS[0], b"".join(EVENTS[1:]), LONG_PAUSE_S)
    other = PausingUpstream(b"", HEAD + b"".join(EVENTS[1:]), 4 * TARGET_S)
    with contextlib.closing(Harness(silent, other)) as harness:
        for route in harness.gateway.context.catalogue().routes:
            route.deadline_s = 5 * TARGET_S
        conn = harness.send(stream=True)
        grant(harness, "up-2")
        assert read_answer(conn) == (200, BODY)


def test_a_silent_upstream_is_cut_off_before_another_one_gets_the_request(harness, monkeypatch):
    client = harness.gateway.context.client
    start, close, order, first = client.exchange, Connection.close, [], []

    def exchange(address, req, sink):
        order.append("sent")
        one = start(address, req, sink)
        first.append(one)
        return one

    def record_close(conn):
        if not conn.closed and first and conn is first[0]._conn:
            order.append("closed")
        close(conn)

    client.exchange = exchange
    monkeypatch.setattr(Connection, "close", record_close)
    conn = harness.send(stream=True)
    grant(harness, "up-2")
    assert read_answer(conn) == (200, BODY)
    assert order[:3] == ["sent", "closed", "sent"]
