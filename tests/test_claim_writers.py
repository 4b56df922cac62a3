"""Test that few daemons write the claims of a large fleet, and that a lost one changes nothing."""

import random

import pytest

from bench.catalogue_fleets import DelayedStore, Fleet
from bench.virtual_clocks import VirtualTimers
from tarragonwind.claim_writers import WRITER_COUNT
from tarragonwind.claims import create_claims
from tarragonwind.errors import ErrorKind
from tarragonwind.ports import Compare, Put
from tarragonwind.write_batches import MAX_WAITING_WRITES, WriteBatcher
from tests.store_fakes import FaultyStore

HOSTS = 40
TTL_S = 3_600


class ClaimFleet:
    """Hold the claims of each daemon of a fleet."""

    def __init__(self):
        self.store = FaultyStore(VirtualTimers())
        self.timers = self.store.timers
        self.fleet = Fleet(self.store, self.timers, 1)
        self.fleet.add_hosts(HOSTS)
        self.claims = [
            create_claims(
                host.store, host.members, host.peers, self.timers, random.Random(host.name), "t"
            )
            for host in self.fleet.hosts.values()
        ]
        self.timers.advance(5.0)

    def take(self, index, key):
        return self.claims[index].claim("cantiere", "redeem", key, TTL_S)


@pytest.fixture
def many():
    return ClaimFleet()


def test_claims_of_many_hosts_go_in_few_transactions(many):
    for index in range(HOSTS):
        many.take(index, f"first-{index}")
    many.timers.advance(1.0)
    many.store.calls.clear()
    waiting = [many.take(number % HOSTS, f"k{number}") for number in range(400)]
    many.timers.advance(1.0)
    assert all(fut.result() for fut in waiting)
    assert many.store.calls["txn"] <= 2 * WRITER_COUNT


def test_a_repeated_key_costs_a_read_and_no_transaction(many):
    many.take(0, "k")
    many.timers.advance(1.0)
    many.store.calls.clear()
    waiting = [many.take(index, "k") for index in range(1, HOSTS)]
    many.timers.advance(1.0)
    assert {fut._exc.kind for fut in waiting} == {ErrorKind.KEY_IN_USE}
    assert many.store.calls["txn"] == 0


def test_a_write_that_is_refused_may_ask_again_at_once(many):
    store, timers = many.store, many.timers
    batcher = WriteBatcher(DelayedStore(store, many.fleet), timers)
    again = []
    first = batcher.submit(Compare("k", 0), Put("k", b"1"))
    second = batcher.submit(Compare("k", 0), Put("k", b"2"))
    second.add_callback(lambda _: again.append(batcher.submit(Compare("l", 0), Put("l", b"3"))))
    timers.advance(1.0)
    assert first.result() and not second.result() and again[0].result()


def test_more_writes_than_may_wait_are_refused_as_not_applied(many):
    batcher = WriteBatcher(DelayedStore(many.store, many.fleet), many.timers)
    futs = [batcher.submit(Compare(f"k{n}", 0), Put(f"k{n}", b"")) for n in range(1_000)]
    failed = [fut for fut in futs if fut.done()]
    assert len(failed) == 1_000 - MAX_WAITING_WRITES - 1
    assert not any(fut._exc.maybe_applied for fut in failed)
    many.timers.advance(1.0)
    assert all(fut.done() for fut in futs)


@pytest.mark.parametrize("fault", ["none", "writers cut off", "answers lost", "store slow"])
def test_a_key_through_many_hosts_is_taken_once(many, fault):
    if fault == "writers cut off":
        for slot in range(WRITER_COUNT):
            owner = many.fleet.hosts["host-000"].members.owner_of(f"claim-writer/{slot}")
            many.fleet.partitioned_hosts.add(owner)
    many.fleet.loss = 0.3 if fault == "answers lost" else 0.0
    many.store.drop_answers = 3 if fault == "answers lost" else 0
    for host in many.fleet.hosts.values():
        host.store.latency_s = 0.6 if fault == "store slow" else 0.005
    waiting = [(key, many.take(index, key)) for index in range(HOSTS) for key in ("a", "b")]
    many.timers.advance(20.0)
    for wanted in ("a", "b"):
        answers = [fut for key, fut in waiting if key == wanted]
        assert sum(fut._exc is None for fut in answers) == 1
        kinds = {fut._exc.kind for fut in answers if fut._exc is not None}
        assert kinds <= {ErrorKind.KEY_IN_USE, ErrorKind.STORE_UNAVAILABLE}
