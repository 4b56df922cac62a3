"""Test which registered upstreams are kept during store outages."""

import dataclasses

import pytest
from permit_fleets import create_upstream

from tarragonwind.core.entries import UpstreamState
from tarragonwind.core.store_positions import StorePosition
from tarragonwind.core.upstream_registries import REREGISTRATION_GRACE_S, UpstreamRegistry

LONG_AGO = -100.0


def names(registry):
    return sorted(entry.name for entry in registry.entries())


def test_entry_removed_without_an_outage_is_dropped_immediately():
    registry = UpstreamRegistry()
    registry.put(create_upstream("a"))
    registry.remove(50.0, "a", store_recovered_at=LONG_AGO)
    assert names(registry) == []


def test_entry_that_expired_during_an_outage_is_kept_for_the_grace_period():
    registry = UpstreamRegistry()
    registry.put(create_upstream("a"))
    registry.put(create_upstream("b"))
    registry.remove(50.1, "a", store_recovered_at=50.0)
    registry.remove(50.1, "b", store_recovered_at=50.0)
    registry.put(create_upstream("a"))
    assert names(registry) == ["a", "b"]
    assert registry.next_expiry() == 50.0 + REREGISTRATION_GRACE_S
    assert registry.expire(50.0 + REREGISTRATION_GRACE_S) == ["b"]
    assert names(registry) == ["a"]
    assert registry.next_expiry() is None


def test_removal_of_an_unknown_name_is_ignored():
    registry = UpstreamRegistry()
    registry.remove(1.0, "a", LONG_AGO)
    assert registry.expire(2.0) == []


def at(revision, era=0):
    return StorePosition(era, revision)


def leaving(name="a", **fields):
    return create_upstream(name, state=UpstreamState.LEAVING, **fields)


def states(registry):
    return [entry.state for entry in registry.entries()]


def test_an_upstream_stays_leaving_when_an_older_copy_shows_it_live():
    registry = UpstreamRegistry()
    registry.put(create_upstream("a", incarnation=7), at(5))
    registry.put(leaving(incarnation=7), at(9))
    registry.put(create_upstream("a", incarnation=7), at(5, 1))
    assert states(registry) == [UpstreamState.LEAVING]
    registry.remove(50.0, "a", LONG_AGO)
    registry.put(create_upstream("a", incarnation=7), at(5, 2))
    assert states(registry) == [UpstreamState.LEAVING]


@pytest.mark.parametrize("fields", [{"incarnation": 8}, {"incarnation": 7, "port": 9_001}])
def test_an_upstream_that_starts_again_after_leaving_is_live(fields):
    registry = UpstreamRegistry()
    registry.put(leaving(incarnation=7), at(9))
    entry = dataclasses.replace(create_upstream("a"), **fields)
    assert registry.put(entry, at(10))
    assert states(registry) == [UpstreamState.LIVE]


def test_an_older_copy_does_not_bring_back_an_earlier_start():
    registry = UpstreamRegistry()
    registry.put(create_upstream("a", incarnation=8), at(9))
    assert not registry.put(create_upstream("a", incarnation=7), at(5, 1))
    assert [entry.incarnation for entry in registry.entries()] == [8]
    assert registry.put(create_upstream("a", incarnation=9), at(6, 1))


def test_an_upstream_that_is_gone_does_not_return_with_an_older_copy():
    registry = UpstreamRegistry()
    registry.put(create_upstream("a", incarnation=7), at(5))
    registry.remove(50.0, "a", LONG_AGO)
    assert not registry.put(create_upstream("a", incarnation=7), at(5, 1))
    assert names(registry) == []
    assert registry.put(create_upstream("a", incarnation=7), at(12, 1))
    assert names(registry) == ["a"]
