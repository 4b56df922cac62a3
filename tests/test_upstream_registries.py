"""Test which registered upstreams hold while the store fails."""

from permit_fleets import create_upstream

from tarragonwind.core.upstream_registries import REREGISTRATION_GRACE_S, UpstreamRegistry

LONG_AGO = -100.0


def names(register):
    return sorted(entry.name for entry in register.entries())


def test_an_entry_that_is_removed_while_the_store_serves_ends_at_once():
    register = UpstreamRegistry()
    register.put(create_upstream("a"))
    register.remove(50.0, "a", store_recovered_at=LONG_AGO)
    assert names(register) == []


def test_an_entry_that_lapsed_while_the_store_was_away_is_kept_for_the_grace():
    register = UpstreamRegistry()
    register.put(create_upstream("a"))
    register.put(create_upstream("b"))
    register.remove(50.1, "a", store_recovered_at=50.0)
    register.remove(50.1, "b", store_recovered_at=50.0)
    register.put(create_upstream("a"))
    assert names(register) == ["a", "b"]
    assert register.next_expiry() == 50.0 + REREGISTRATION_GRACE_S
    assert register.expire(50.0 + REREGISTRATION_GRACE_S) == ["b"]
    assert names(register) == ["a"]
    assert register.next_expiry() is None


def test_an_unknown_name_is_no_fault():
    register = UpstreamRegistry()
    register.remove(1.0, "a", LONG_AGO)
    assert register.expire(2.0) == []
