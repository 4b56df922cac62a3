"""Test that the shares of the sides of a network partition add up to the whole fleet."""

from hypothesis import given
from hypothesis import strategies as st

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


class PlainShares:
    """Compute the shares from all that was ever said, with no value kept."""

    def __init__(self):
        self.live, self.leaving, self.leased = {"a"}, set(), set()
        self.unavailable = True
        self.live_at = {}

    def set_live(self, now, live, leaving):
        self.live, self.leaving = set(live) or self.live, set(leaving)
        self.live_at.update(dict.fromkeys(self.live, now))

    def recent(self, now, retention_s):
        return {
            host
            for host, at in self.live_at.items()
            if now - at <= retention_s and host not in self.leaving
        }

    def size(self, now):
        known = self.live | (self.leased - self.leaving)
        return len(known | self.recent(now, LOST_HOST_RETENTION_S) if self.unavailable else known)

    def retained_fraction(self, now, retention_s):
        known = self.live | (self.leased - self.leaving) | self.recent(now, retention_s)
        return min(1.0, len(self.live) / len(known))


some_hosts = st.lists(st.sampled_from(HOSTS), unique=True)


@given(st.lists(st.tuples(some_hosts, some_hosts, some_hosts, st.booleans(), st.floats(0.1, 40.0))))
def test_the_shares_are_those_of_all_that_was_said(steps):
    shares, plain, now = FleetShares("a"), PlainShares(), 0.0
    for live, leaving, leased, unavailable, passed_s in steps:
        now += passed_s
        shares.set_live(now, tuple(live), tuple(leaving))
        plain.set_live(now, live, leaving)
        now += passed_s / 7
        shares.set_leased(frozenset(leased), unavailable)
        plain.leased, plain.unavailable = set(leased), unavailable
        now += passed_s / 3
        assert shares.size(now) == plain.size(now)
        for retention_s in (2.0, LOST_HOST_RETENTION_S):
            expected = plain.retained_fraction(now, retention_s)
            assert shares.retained_fraction(now, retention_s) == expected
