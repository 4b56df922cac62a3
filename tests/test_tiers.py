"""Test the experiment on tiers: faults of the owner over fake engines."""

import pytest

from bench.tiers import FAULTS, run_once

SHARED_WAYS = ("round robin", "fixed share", "re-divided shares")


@pytest.mark.parametrize("fault_name", sorted(FAULTS))
def test_no_request_is_dispatched_twice_and_engines_get_no_more_than_two_owners_give(fault_name):
    result = run_once("one owner", 1.5, 7, fault_name)
    assert result.double_dispatches == 0
    assert result.max_overcommit <= 2.0 + 1 / 16
    assert result.goodput[0] > 0.9


def test_one_owner_keeps_tiers_apart_where_shares_do_not():
    one_owner = run_once("one owner", 2.0, 7)
    assert one_owner.inversions < 0.01
    assert one_owner.shed_inversions < 0.01
    for name in SHARED_WAYS:
        result = run_once(name, 2.0, 7)
        assert result.inversions > 0.1
        assert result.goodput[0] <= one_owner.goodput[0]


def test_asking_both_cells_keeps_tiers_apart_where_one_cell_does_not():
    assert run_once("two cells", 2.0, 7).inversions > 0.05
    assert run_once("two cells, both", 2.0, 7).inversions < 0.02


def test_a_seed_gives_the_same_figures_each_time():
    assert run_once("one owner", 1.5, 7) == run_once("one owner", 1.5, 7)
