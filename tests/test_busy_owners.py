"""Test pools whose owner is short of processor time for a while, by simulation without sockets."""

import pytest
from busy_owners import BusyFleet

USUAL_PER_S = 500
BURST_PER_S = 1_600
ENGINES = 83


@pytest.mark.parametrize("hosts", [24, 195, 320])
def test_service_returns_when_a_burst_that_the_owner_could_not_order_is_over(hosts):
    fleet = BusyFleet(hosts, ENGINES)
    before = fleet.load(2.0, USUAL_PER_S)
    fleet.load(3.0, BURST_PER_S)
    fleet.load(3.0, USUAL_PER_S)
    after = fleet.load(3.0, 0.6 * USUAL_PER_S)
    fleet.run_until(fleet.now + 2.0)
    assert before.goodput() > 0.95
    assert after.goodput() > 0.95
    assert fleet.local_shares_in_use() == 0
