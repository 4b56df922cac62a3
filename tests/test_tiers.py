"""Test the tier experiment: owner faults with simulated engines."""

import pytest

from bench.tiers import FAULTS, run_once

SHARED_POLICIES = ("round robin", "fixed share", "re-divided shares")


@pytest.mark.parametrize("fault_name", sorted(FAULTS))
def test_no_request_is_dispatched_twice_and_overcommit_is_limited_to_two_owners(fault_name):
    result = run_once("one owner", 1.5, 7, fault_name)
    assert result.double_dispatches == 0
    assert result.max_overcommit <= 2.0 + 1 / 16
    assert result.goodput[0] > 0.9


def test_one_owner_separates_tiers_where_fixed_shares_do_not():
    one_owner = run_once("one owner", 2.0, 7)
    assert one_owner.inversions < 0.01
    assert one_owner.shed_inversions < 0.01
    for name in SHARED_POLICIES:
        result = run_once(name, 2.0, 7)
        assert result.inversions > 0.1
        assert result.goodput[0] <= one_owner.goodput[0]


def test_requests_to_both_cells_separate_tiers_where_one_cell_does_not():
    assert run_once("two cells", 2.0, 7).inversions > 0.05
    assert run_once("two cells, both", 2.0, 7).inversions < 0.02


def test_equal_seeds_give_equal_results():
    assert run_once("one owner", 1.5, 7) == run_once("one owner", 1.5, 7)
