"""Test how hosts discover each other through their leases in the store."""

import random

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.store_positions import StorePosition
from tarragonwind.host_leases import (
    MAX_DISCOVERED_PER_BATCH,
    FleetMonitor,
    pack_address,
    unpack_address,
)
from tarragonwind.ports import Address, Members

PREFIX = "hosts/"


class TwoMembers(Members):
    """Represent the membership of a host that knows one other host."""

    name = "h0"

    def live(self):
        return ("h0", "h1")

    def owner_of(self, key):
        return self.name

    def subscribe(self, callback):
        pass


class Mirror:
    """Fake a store mirror; `put` delivers changes to the subscriber."""

    unavailable_since = None
    recovered_at = 0.0

    def subscribe(self, listener):
        self.put = listener


def create_monitor():
    mirror = Mirror()
    discovered = {}
    FleetMonitor(
        PREFIX,
        mirror,
        TwoMembers(),
        VirtualTimers(),
        lambda: None,
        discovered.__setitem__,
        random.Random(1),
    )
    return mirror, discovered


POSITION = StorePosition(0, 5)


def lease(name, value=None):
    address = Address("10.0.0.9", 7600)
    return MirrorItem(PREFIX + name, pack_address(address) if value is None else value, POSITION)


def test_a_host_that_is_not_known_to_run_is_reported():
    mirror, discovered = create_monitor()
    mirror.put([lease("h0"), lease("h1"), lease("h2"), MirrorItem("other/h3", b"x", POSITION)])
    assert discovered == {"h2": Address("10.0.0.9", 7600)}


def test_a_host_whose_lease_has_expired_is_not_reported():
    mirror, discovered = create_monitor()
    mirror.put([MirrorItem(PREFIX + "h2", None, POSITION)])
    assert discovered == {}


def test_the_number_of_reported_hosts_per_batch_is_limited():
    mirror, discovered = create_monitor()
    mirror.put([lease(f"h{number}") for number in range(2, 300)])
    assert len(discovered) == MAX_DISCOVERED_PER_BATCH


@pytest.mark.parametrize(
    "value", [b"", b"\xc1", b"\x01", b"\x92\x01\x02", b"\x91\xa1x", b"\x92\xa1x\x00"]
)
def test_a_value_that_is_not_an_address_is_rejected(value):
    with pytest.raises(ValueError):
        unpack_address(value)
    mirror, discovered = create_monitor()
    mirror.put([lease("h2", value)])
    assert discovered == {}
