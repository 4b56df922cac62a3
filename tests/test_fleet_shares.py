"""Test that the shares of the sides of a network partition add up to the whole fleet."""

from tarragonwind.core.fleet_shares import LOST_HOST_RETENTION_S, FleetShares

HOSTS = ["a", "b", "c", "d", "e", "f"]


def create(name, live, leased=HOSTS, store_unavailable=False, now=10.0, leaving=()):
    shares = FleetShares(name)
    shares.set_live(0.0, HOSTS, ())
    shares.set_leased(leased, store_unavailable)
    shares.set_live(now, live, leaving)
    return shares


def test_the_shares_of_both_sides_of_a_partition_add_up():
    near = create("a", HOSTS[:4])
    far = create("e", HOSTS[4:])
    assert near.live_fraction(10.0) + far.live_fraction(10.0) == 1.0
    assert 4 * near.own_share(10.0) + 2 * far.own_share(10.0) == 1.0


def test_a_dead_host_counts_until_its_lease_expires():
    shares = create("a", HOSTS[:5])
    assert shares.live_fraction(10.0) == 5 / 6
    shares.set_leased(HOSTS[:5], store_unavailable=False)
    assert shares.live_fraction(10.0) == 1.0


def test_a_host_in_a_planned_stop_does_not_count():
    assert create("a", HOSTS[:5], leaving=["f"]).live_fraction(10.0) == 1.0


def test_while_the_store_is_unavailable_a_lost_host_counts_for_the_retention_time():
    shares = create("a", HOSTS[:3], leased=[], store_unavailable=True)
    assert shares.live_fraction(10.0) == 0.5
    shares.set_live(LOST_HOST_RETENTION_S + 1.0, HOSTS[:3], ())
    assert shares.live_fraction(LOST_HOST_RETENTION_S + 1.0) == 1.0


def test_the_share_of_a_host_that_lost_its_lease_while_cut_off_is_not_used_twice():
    near = create("a", HOSTS[:4], leased=HOSTS[:4])
    far = create("e", HOSTS[4:], store_unavailable=True)
    assert near.retained_fraction(10.0) + far.retained_fraction(10.0) == 1.0
    near.set_live(LOST_HOST_RETENTION_S + 1.0, HOSTS[:4], ())
    assert near.retained_fraction(LOST_HOST_RETENTION_S + 1.0) == 1.0


def test_a_host_in_a_planned_stop_keeps_no_share():
    assert create("a", HOSTS[:5], leased=HOSTS[:5], leaving=["f"]).retained_fraction(10.0) == 1.0
