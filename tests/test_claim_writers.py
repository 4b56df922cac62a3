"""Test that a few daemons write the claims of a large fleet, and that their loss is harmless."""

import random

import pytest

from bench.catalogue_fleets import DelayedStore, Fleet
from bench.virtual_clocks import VirtualTimers
from tarragonwind.claim_writers import WRITER_COUNT
from tarragonwind.claims import create_claims
from tarragonwind.errors import ErrorKind
from tarragonwind.ports import Compare, Put
from tarragonwind.write_batches import MAX_QUEUED_WRITES, WriteBatcher
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

    def claim(self, index, key):
        return self.claims[index].claim("cantiere", "redeem", key, TTL_S)


@pytest.fixture
def claim_fleet():
    return ClaimFleet()


def test_claims_of_many_hosts_are_batched_in_few_transactions(claim_fleet):
    for index in range(HOSTS):
        claim_fleet.claim(index, f"first-{index}")
    claim_fleet.timers.advance(1.0)
    claim_fleet.store.calls.clear()
    waiting = [claim_fleet.claim(number % HOSTS, f"k{number}") for number in range(400)]
    claim_fleet.timers.advance(1.0)
    assert all(fut.result() for fut in waiting)
    assert claim_fleet.store.calls["txn"] <= 2 * WRITER_COUNT


def test_a_repeated_key_costs_a_read_and_no_transaction(claim_fleet):
    claim_fleet.claim(0, "k")
    claim_fleet.timers.advance(1.0)
    claim_fleet.store.calls.clear()
    waiting = [claim_fleet.claim(index, "k") for index in range(1, HOSTS)]
    claim_fleet.timers.advance(1.0)
    assert {fut._exc.kind for fut in waiting} == {ErrorKind.KEY_IN_USE}
    assert claim_fleet.store.calls["txn"] == 0


def test_a_callback_of_a_failed_write_may_submit_again_immediately(claim_fleet):
    store, timers = claim_fleet.store, claim_fleet.timers
    batcher = WriteBatcher(DelayedStore(store, claim_fleet.fleet), timers)
    again = []
    first = batcher.submit(Compare("k", 0), Put("k", b"1"))
    second = batcher.submit(Compare("k", 0), Put("k", b"2"))
    second.add_callback(lambda _: again.append(batcher.submit(Compare("l", 0), Put("l", b"3"))))
    timers.advance(1.0)
    assert first.result() and not second.result() and again[0].result()


def test_writes_over_the_queue_limit_are_rejected_as_not_applied(claim_fleet):
    batcher = WriteBatcher(DelayedStore(claim_fleet.store, claim_fleet.fleet), claim_fleet.timers)
    futs = [batcher.submit(Compare(f"k{n}", 0), Put(f"k{n}", b"")) for n in range(1_000)]
    failed = [fut for fut in futs if fut.done()]
    assert len(failed) == 1_000 - MAX_QUEUED_WRITES - 1
    assert not any(fut._exc.maybe_applied for fut in failed)
    claim_fleet.timers.advance(1.0)
    assert all(fut.done() for fut in futs)


@pytest.mark.parametrize("fault", ["none", "writers cut off", "answers lost", "store slow"])
def test_a_key_claimed_through_many_hosts_is_claimed_once(claim_fleet, fault):
    if fault == "writers cut off":
        for slot in range(WRITER_COUNT):
            owner = claim_fleet.fleet.hosts["host-000"].members.owner_of(f"claim-writer/{slot}")
            claim_fleet.fleet.partitioned_hosts.add(owner)
    claim_fleet.fleet.loss = 0.3 if fault == "answers lost" else 0.0
    claim_fleet.store.drop_answers = 3 if fault == "answers lost" else 0
    for host in claim_fleet.fleet.hosts.values():
        host.store.latency_s = 0.6 if fault == "store slow" else 0.005
    waiting = [(key, claim_fleet.claim(index, key)) for index in range(HOSTS) for key in ("a", "b")]
    claim_fleet.timers.advance(20.0)
    for wanted in ("a", "b"):
        answers = [fut for key, fut in waiting if key == wanted]
        assert sum(fut._exc is None for fut in answers) == 1
        kinds = {fut._exc.kind for fut in answers if fut._exc is not None}
        assert kinds <= {ErrorKind.KEY_IN_USE, ErrorKind.STORE_UNAVAILABLE}
