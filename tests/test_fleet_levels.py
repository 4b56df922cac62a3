"""Test that hosts learn the protocol levels of all running hosts."""

import pytest

from tarragonwind.fleet_levels import FleetLevels
from tarragonwind.messages import OWN_LEVEL

from .peer_helpers import Bench, exchange_addresses


class Members:
    name = "a"

    def __init__(self, *names):
        self.names = names

    def running(self):
        return self.names


@pytest.fixture
def bench():
    bench = Bench()
    yield bench
    bench.close()


def create_levels(bench, monkeypatch, *transports):
    monkeypatch.setattr("tarragonwind.fleet_levels.LEARN_PERIOD_S", 0.02)
    exchange_addresses(*transports)
    members = Members(*(transport.identity.name for transport in transports))
    return FleetLevels(members, transports[0], bench.loop.timers), members


def test_all_support_a_level_once_each_host_has_shown_it(bench, monkeypatch):
    """Hosts that are not connected for another reason are connected to."""
    transports = [bench.peers(name) for name in ("a", "b", "c", "d")]
    levels, _ = create_levels(bench, monkeypatch, *transports)
    assert not levels.all_support(2)
    bench.wait(lambda: levels.all_support(2), "all levels known")
    assert not levels.all_support(OWN_LEVEL + 1)


def test_one_old_host_ends_it_and_its_replacement_brings_it_back(bench, monkeypatch):
    a, b, c = (bench.peers(name) for name in ("a", "b", "c"))
    levels, _ = create_levels(bench, monkeypatch, a, b, c)
    bench.wait(lambda: levels.all_support(2), "all levels known")
    c.stop()
    bench.wait(lambda: not levels.all_support(2), "the lost host counts as old")
    old = bench.peers("c", start_id=2, level=1)
    exchange_addresses(a, old)
    bench.wait(lambda: a.levels.is_known("c"), "the old host is connected")
    assert not levels.all_support(2) and not levels.supports("c", 2)
    old.stop()
    exchange_addresses(a, bench.peers("c", start_id=3))
    bench.wait(lambda: levels.all_support(2), "the new host is connected")


def test_an_unreachable_host_does_not_keep_others_from_being_learnt(bench, monkeypatch):
    a, b = bench.peers("a"), bench.peers("b")
    levels, members = create_levels(bench, monkeypatch, a, b)
    members.names = ("gone", "a", "b")
    bench.wait(lambda: levels.supports("b", 2), "the reachable host is known")
    assert not levels.all_support(2)
