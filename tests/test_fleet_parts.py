"""Test that sides of a fleet that lose each other add up to the whole."""

from tarragonwind.core.fleet_parts import REMEMBERED_S, FleetParts

HOSTS = ["a", "b", "c", "d", "e", "f"]


def create(name, live, leased=HOSTS, store_away=False, now=10.0, leaving=()):
    parts = FleetParts(name)
    parts.set_live(0.0, HOSTS, ())
    parts.set_leased(leased, store_away)
    parts.set_live(now, live, leaving)
    return parts


def test_cut_sides_add_up():
    near = create("a", HOSTS[:4])
    far = create("e", HOSTS[4:])
    assert near.part(10.0) + far.part(10.0) == 1.0
    assert 4 * near.own_share(10.0) + 2 * far.own_share(10.0) == 1.0


def test_a_dead_host_counts_until_its_lease_has_lapsed():
    parts = create("a", HOSTS[:5])
    assert parts.part(10.0) == 5 / 6
    parts.set_leased(HOSTS[:5], store_away=False)
    assert parts.part(10.0) == 1.0


def test_a_host_that_leaves_by_plan_does_not_count():
    assert create("a", HOSTS[:5], leaving=["f"]).part(10.0) == 1.0


def test_without_the_store_a_lost_host_counts_for_a_while():
    parts = create("a", HOSTS[:3], leased=[], store_away=True)
    assert parts.part(10.0) == 0.5
    parts.set_live(REMEMBERED_S + 1.0, HOSTS[:3], ())
    assert parts.part(REMEMBERED_S + 1.0) == 1.0
