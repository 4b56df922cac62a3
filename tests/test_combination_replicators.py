"""Test how quarantined combinations of prompt parts reach all hosts, and end there."""

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.combination_replicators import CombinationReplicator, pack_parts, unpack_parts
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.quarantines import MAX_COMBINATIONS, QUARANTINE_S, Quarantines
from tarragonwind.core.store_positions import StorePosition
from tarragonwind.core.suspicions import CombinationChange
from tests.store_fakes import FaultyStore

PREFIX = "tarragonwind/combinations/"
PARTS = frozenset([7, 13])
SUSPECTED = CombinationChange(PARTS, is_cleared=False)
CLEARED = CombinationChange(PARTS, is_cleared=True)


class Host:
    """Run a replicator with fakes of its dependencies."""

    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.quarantines = Quarantines()
        self.listeners = []
        self.replicator = CombinationReplicator(
            PREFIX, self.quarantines, self, site.store, self, self, site.timers
        )

    def live(self):
        return tuple(self.site.hosts)

    def subscribe(self, *args):
        self.listeners.append(args[-1])

    def send(self, host, msg):
        self.site.hosts[host].listeners[0](self.name, msg)

    def read_store(self):
        items = self.site.store.inner.read_range(PREFIX).result().items
        position = StorePosition(1, 1)
        self.listeners[1]([MirrorItem(one.key, one.value, position) for one in items])

    def keeps_back(self, *keys):
        return self.quarantines.left_s(self.site.timers.now(), keys) > 0


class Site:
    def __init__(self):
        self.timers = VirtualTimers()
        self.store = FaultyStore(self.timers)
        self.hosts = {}
        for name in ("h0", "h1"):
            self.hosts[name] = Host(self, name)


@pytest.fixture
def site():
    return Site()


def test_prompts_with_all_parts_are_kept_back_on_every_host_and_those_with_some_are_not(site):
    site.hosts["h0"].replicator.announce(SUSPECTED)
    for host in site.hosts.values():
        assert host.keeps_back(13, 5, 7)
        assert not host.keeps_back(13, 5) and not host.keeps_back(7)


def test_a_host_that_starts_gets_combinations_from_the_store(site):
    site.hosts["h0"].replicator.announce(SUSPECTED)
    site.timers.advance(1.0)
    started = Host(site, "h2")
    started.read_store()
    assert started.keeps_back(*PARTS)


def test_a_combination_whose_parts_are_cleared_ends_everywhere(site):
    site.hosts["h0"].replicator.announce(SUSPECTED)
    site.timers.advance(1.0)
    site.hosts["h0"].replicator.announce(CLEARED)
    site.timers.advance(1.0)
    assert not any(host.keeps_back(*PARTS) for host in site.hosts.values())
    assert site.store.inner.read_range(PREFIX).result().items == []


def test_an_unreadable_entry_leaves_out_itself_alone(site):
    host = site.hosts["h0"]
    position = StorePosition(1, 1)
    odd = MirrorItem(f"{PREFIX}a", b"\xc1", position)
    host.listeners[1]([odd, MirrorItem(f"{PREFIX}b", pack_parts(PARTS), position)])
    assert host.keeps_back(*PARTS)


@pytest.mark.parametrize("data", [b"", b"\x01", pack_parts(frozenset([1])), b"\x92\x01\xa1x"])
def test_malformed_parts_are_rejected(data):
    with pytest.raises(ValueError, match="expected|Unpack|input"):
        unpack_parts(data)


def test_quarantined_combinations_have_a_bound():
    quarantines = Quarantines()
    for number in range(2 * MAX_COMBINATIONS):
        quarantines.add_combination(float(number), frozenset([number, -1]), QUARANTINE_S)
    assert quarantines.left_s(200.0, [0, -1]) == 0
    assert quarantines.left_s(200.0, [2 * MAX_COMBINATIONS - 1, -1]) > 0
