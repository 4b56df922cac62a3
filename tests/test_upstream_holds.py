"""Test how long upstreams are held back."""

from tarragonwind.core.upstream_holds import EVICTION_SIZE, UpstreamHolds


def test_a_hold_ends_on_time_and_a_longer_one_stays():
    holds = UpstreamHolds()
    holds.put(10.0, "u1", 2.0)
    holds.put(10.5, "u1", 0.5)
    assert holds.left_s(11.0, "u1") == 1.0
    assert holds.left_s(12.0, "u1") == 0.0
    assert holds.left_s(11.0, "u2") == 0.0
    assert holds.any_left(11.9) and not holds.any_left(12.0)


def test_holds_that_have_ended_are_dropped():
    holds = UpstreamHolds()
    for number in range(2 * EVICTION_SIZE):
        holds.put(float(number), number, 0.5)
    assert len(holds._until) <= EVICTION_SIZE
