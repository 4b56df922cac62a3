"""Test what hosts learn of one another from their leases in the store."""

import random

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.host_leases import (
    MAX_DISCOVERED_PER_BATCH,
    FleetMonitor,
    pack_address,
    unpack_address,
)
from tarragonwind.ports import Address, Members

PREFIX = "hosts/"


class TwoMembers(Members):
    """See one other host."""

    name = "h0"

    def live(self):
        return ("h0", "h1")

    def owner_of(self, key):
        return self.name

    def subscribe(self, callback):
        pass


class Mirror:
    """Pass changes on."""

    unavailable_since = None

    def subscribe(self, listener):
        self.put = listener


def watch():
    mirror = Mirror()
    met = {}
    FleetMonitor(
        PREFIX,
        mirror,
        TwoMembers(),
        VirtualTimers(),
        lambda: None,
        met.__setitem__,
        random.Random(1),
    )
    return mirror, met


def lease(name, value=None):
    address = Address("10.0.0.9", 7600)
    return MirrorItem(PREFIX + name, pack_address(address) if value is None else value, 5)


def test_a_host_that_is_not_known_to_run_is_turned_to():
    mirror, met = watch()
    mirror.put([lease("h0"), lease("h1"), lease("h2"), MirrorItem("other/h3", b"x", 5)])
    assert met == {"h2": Address("10.0.0.9", 7600)}


def test_a_host_whose_lease_has_ended_is_not_turned_to():
    mirror, met = watch()
    mirror.put([MirrorItem(PREFIX + "h2", None, 5)])
    assert met == {}


def test_of_a_large_fleet_few_are_turned_to():
    mirror, met = watch()
    mirror.put([lease(f"h{number}") for number in range(2, 300)])
    assert len(met) == MAX_DISCOVERED_PER_BATCH


@pytest.mark.parametrize(
    "value", [b"", b"\xc1", b"\x01", b"\x92\x01\x02", b"\x91\xa1x", b"\x92\xa1x\x00"]
)
def test_a_value_that_is_no_address_names_no_host(value):
    with pytest.raises(ValueError):
        unpack_address(value)
    mirror, met = watch()
    mirror.put([lease("h2", value)])
    assert met == {}
