"""Test that a fleet whose hosts are all back serves again, in whatever order they came."""

import random

import pytest
from returning_fleets import ReturningFleet, draw_order

RETURN_S = 4.0
"""Time in which all of a fleet's hosts join and serve once they and the store are back."""
SERVED_SHARE = 0.9


@pytest.mark.parametrize(
    "size, seed",
    [(6, seed) for seed in range(12)] + [(65, seed) for seed in range(5)] + [(195, 0), (195, 1)],
)
def test_a_fleet_serves_again_within_seconds_after_all_its_hosts_were_lost(size, seed):
    """Guards against a state that outlasts the return of all hosts and keeps service away."""
    fleet = ReturningFleet(size, seed)
    assert fleet.load(1.0).share() >= SERVED_SHARE
    order = draw_order(random.Random(seed))
    back_at = fleet.play(order)
    fleet.load_until(back_at + RETURN_S)
    after = fleet.load(2.0)
    assert after.share() >= SERVED_SHARE, (order, after)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("share", [0.12, 0.05])
def test_hosts_with_little_of_a_processor_serve_again_soon_after_their_starts(seed, share):
    """Guards against hosts that take the work of their return for pauses, again and again."""
    fleet = ReturningFleet(18, seed, share)
    start_s = fleet.fleet.costs.start_s / share
    fleet.fleet.advance(start_s)
    assert fleet.load(1.0).share() >= SERVED_SHARE
    order = draw_order(random.Random(seed))
    back_at = fleet.play(order)
    fleet.load_until(back_at + start_s + RETURN_S)
    after = fleet.load(2.0)
    assert after.share() >= SERVED_SHARE, (order, after)
