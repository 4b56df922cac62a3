"""Test how quarantines of prompt parts reach all hosts, also those that start later."""

import random

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.adapters.memory_stores import MemoryStore
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.quarantines import QUARANTINE_S, Quarantines
from tarragonwind.core.store_positions import StorePosition
from tarragonwind.quarantine_replicators import (
    CHECK_PERIOD_S,
    MAX_PER_PAYLOAD,
    QuarantineReplicator,
)
from tests.store_fakes import FaultyStore

PREFIX = "tarragonwind/quarantines/"
PART = 0xBAD


class MirrorCopy:
    """Fake a store mirror that reads the store when it is told to."""

    loaded = True
    unavailable_since = None

    def __init__(self):
        self.items = {}
        self.state = self

    def subscribe(self, listener):
        self.listener = listener

    def read(self, store):
        items = store.inner.read_range(PREFIX).result().items
        self.items = {one.key: one.value for one in items}
        position = StorePosition(1, 1)
        self.listener([MirrorItem(key, value, position) for key, value in self.items.items()])


class Host:
    """Run a replicator with fakes of its dependencies."""

    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.quarantines = Quarantines()
        self.mirror = MirrorCopy()
        self.replicator = QuarantineReplicator(
            PREFIX,
            self.quarantines,
            self.mirror,
            site.store,
            self,
            self,
            self,
            site.timers,
            random.Random(name),
        )

    def live(self):
        return tuple(self.site.hosts)

    def attach(self, name, provider, consumer):
        self.provider, self.consumer = provider, consumer

    def push_payloads(self):
        pass

    def subscribe(self, cls, callback):
        self.receive = callback

    def send(self, host, msg):
        if host in self.site.reached:
            self.site.hosts[host].receive(self.name, msg)

    def holds(self, part=PART):
        return self.quarantines.left_s(self.site.timers.now(), [part]) > 0


class Site:
    """Hold a store, a clock and three hosts."""

    def __init__(self):
        self.timers = VirtualTimers()
        self.store = FaultyStore(self.timers)
        self.hosts = {}
        for name in ("h0", "h1", "h2"):
            self.hosts[name] = Host(self, name)
        self.reached = set(self.hosts)

    def keys(self):
        return [one.key for one in self.store.inner.read_range(PREFIX).result().items]

    def read_all(self):
        for host in self.hosts.values():
            host.mirror.read(self.store)


@pytest.fixture
def site():
    return Site()


def test_every_live_host_learns_a_quarantine_at_once(site):
    site.hosts["h0"].replicator.announce(PART)
    assert all(host.holds() for host in site.hosts.values())


def test_a_host_that_starts_learns_it_from_the_store(site):
    site.hosts["h0"].replicator.announce(PART)
    started = Host(site, "h3")
    started.mirror.read(site.store)
    assert started.holds()


def test_a_host_that_neither_the_store_nor_the_finder_reaches_learns_it_by_gossip(site):
    site.reached = {"h1"}
    site.hosts["h0"].replicator.announce(PART)
    assert not site.hosts["h2"].holds()
    site.hosts["h2"].consumer("h1", site.hosts["h1"].provider())
    assert site.hosts["h2"].holds()


def test_gossip_carries_many_quarantines_by_turns(site):
    finder, other = site.hosts["h0"], site.hosts["h2"]
    site.reached = set()
    for part in range(3 * MAX_PER_PAYLOAD):
        finder.replicator.announce(part)
    for _ in range(3):
        other.consumer("h0", finder.provider())
    assert all(other.holds(part) for part in range(3 * MAX_PER_PAYLOAD))


def test_malformed_gossip_has_no_effect(site):
    site.hosts["h1"].consumer("h0", b"\x00" * 7)
    assert site.hosts["h1"].provider() is None


def test_a_quarantine_found_while_the_store_is_away_is_written_once_it_is_back(site):
    site.store.away = True
    site.hosts["h0"].replicator.announce(PART)
    site.store.away = False
    assert site.keys() == []
    site.timers.advance(3 * CHECK_PERIOD_S)
    assert site.keys() == [f"{PREFIX}{PART:x}"]


def test_a_key_that_the_store_has_lost_ends_nothing_and_is_written_again(site):
    site.hosts["h0"].replicator.announce(PART)
    site.read_all()
    site.store.inner = MemoryStore(site.timers, lambda kind: None)
    site.read_all()
    assert all(host.holds() for host in site.hosts.values())
    site.timers.advance(3 * CHECK_PERIOD_S)
    assert site.keys() == [f"{PREFIX}{PART:x}"]


def test_a_quarantine_ends_on_every_host_although_hosts_tell_each_other(site):
    site.hosts["h0"].replicator.announce(PART)
    site.read_all()
    for _ in range(int(QUARANTINE_S)):
        site.timers.advance(1.0)
        for host in site.hosts.values():
            for other in site.hosts.values():
                payload = host.provider()
                if payload is not None:
                    other.consumer(host.name, payload)
    site.timers.advance(1.0)
    assert not any(host.holds() for host in site.hosts.values())
