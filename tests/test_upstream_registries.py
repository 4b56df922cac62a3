"""Test which registered upstreams are kept during store outages."""

from permit_fleets import create_upstream

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
