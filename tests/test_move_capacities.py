"""Test that a move neither advances nor ends while its new version can't carry the requests."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.evidence import Cell, CellKey, LoadLevel, Side
from tarragonwind.core.move_capacities import CapacityWatch, VersionCapacity, describe_shortage
from tarragonwind.core.move_steps import COMPLETE_STEP, LAST_CONTROLLED_STEP, MIN_DWELL_FRACTION
from tests.test_move_completions import DURATION_S, PermitTraffic

OLD_SLOTS = 20
NEW_SLOTS = 16
NOTICE_S = 0.25
"""Time after which the owner's judge has seen that upstreams are gone, in seconds."""


class LeavingUpstreams(PermitTraffic):
    """Take the upstreams of the new version away at random times, and bring them back."""

    def __init__(self, seed, hosts):
        super().__init__(seed, hosts)
        self.slots = {"v1": OLD_SLOTS, "v2": NEW_SLOTS}
        self.changed_at = 0.0

    def choose_version(self, table):
        version = super().choose_version(table)
        return version if self.slots[version] else "v1"

    def is_replaced(self, req):
        return self.slots["v2"] > 0 and super().is_replaced(req)

    def disturb(self):
        if self.rng.random() < 0.15:
            self.slots = {"v1": OLD_SLOTS, "v2": 0 if self.slots["v2"] else NEW_SLOTS}
            self.changed_at = self.fleet.now

    def steps(self):
        return [move.judge.step for move in self.host_moves()]

    def on_done(self):
        super().on_done()
        assert self.slots["v2"] > 0
        assert self.fleet.now - self.changed_at >= MIN_DWELL_FRACTION * DURATION_S - NOTICE_S


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(2, 4))
def test_no_step_is_taken_and_no_end_recorded_without_upstreams_of_the_new_version(seed, hosts):
    """A roll-out was completed although the new version's upstreams were gone (issue 49, LOST)."""
    sim = LeavingUpstreams(seed, hosts)
    while sim.fleet.now < 3 * DURATION_S and sim.done_at is None:
        # Steps reach the other hosts by messages, so they are compared once these have arrived.
        is_known = not sim.slots["v2"] and sim.fleet.now - sim.changed_at >= 0.5
        before = max(sim.steps())
        sim.fleet.run_until(sim.fleet.now + 0.5)
        assert not is_known or max(sim.steps()) == before
        sim.disturb()


def capacity(new_slots=8, other_slots=40, needed=12):
    return VersionCapacity(new_slots, other_slots, needed)


@pytest.mark.parametrize(
    ("known", "enough"),
    [
        (None, True),
        (capacity(), True),
        (capacity(new_slots=0), False),
        (capacity(new_slots=0, needed=0), False),
        (capacity(needed=17), False),
        (capacity(other_slots=8, needed=100), True),
        (capacity(other_slots=0, needed=100), True),
    ],
)
def test_the_new_version_needs_slots_for_its_requests_or_as_many_as_the_others(known, enough):
    assert (describe_shortage(COMPLETE_STEP, known) == "") == enough


def test_an_early_step_needs_slots_for_its_share_alone():
    assert describe_shortage(1, capacity(needed=100)) == ""


def totals(new=0, old=0, lost=0, failed=0):
    """Return evidence: answers of both versions, and requests that the new one didn't answer."""
    found = {}
    for side, count, unanswered in ((Side.NEW, new, lost), (Side.OLD, old, 0)):
        key = CellKey(LAST_CONTROLLED_STEP, side, "chat", LoadLevel.LOW)
        trials = count + unanswered
        found[key] = Cell(count, failed, answer_trials=trials, unanswered=unanswered)
    return found


def watch_after(*steps):
    """Return a watch after evidence that came a second apart, at the last controlled step."""
    watch = CapacityWatch(0.0)
    for second, found in enumerate(steps):
        watch.observe(float(second), LAST_CONTROLLED_STEP, capacity(), found, 1.0)
    return watch


def test_a_route_on_which_only_the_old_version_answers_stops_the_move():
    watch = watch_after(totals(5, 5), *[totals(5, 6 + second) for second in range(6)])
    assert "route chat" in watch.obstacle and watch.steady_since == 6.0


def test_a_route_on_which_the_new_version_answers_nothing_stops_the_move():
    rounds = [totals(5, 5, lost=second) for second in range(7)]
    assert "route chat" in watch_after(*rounds).obstacle


def test_failures_that_the_new_version_answers_are_left_to_the_comparison_of_the_versions():
    """A good roll-out was taken back for a route on which both versions fail at times."""
    rounds = [totals(5 + second, 5, failed=second) for second in range(20)]
    assert watch_after(*rounds).obstacle == ""


def test_a_route_with_few_requests_stops_nothing():
    """A good roll-out was taken back for a route that the new version had hardly been sent."""
    early = CapacityWatch(0.0)
    for second in range(20):
        early.observe(float(second), 4, capacity(), totals(0, second), 1.0)
    assert early.obstacle == ""
    early.observe(21.0, LAST_CONTROLLED_STEP, capacity(), totals(0, 21), 1.0)
    assert early.obstacle == ""
    early.observe(22.0, LAST_CONTROLLED_STEP, capacity(), totals(1, 21), 1.0)
    assert early.obstacle == ""


def test_answers_of_the_new_version_and_silent_routes_stop_nothing():
    assert watch_after(*[totals(5 + second, 5) for second in range(7)]).obstacle == ""
    assert watch_after(*[totals(5, 5)] * 20).obstacle == ""


def test_the_dwell_counts_anew_once_the_upstreams_are_back():
    watch = CapacityWatch(0.0)
    watch.observe(5.0, 3, capacity(new_slots=0), {}, 1.0)
    watch.observe(6.0, 3, capacity(), {}, 1.0)
    assert watch.obstacle == "" and watch.steady_since == 5.0
