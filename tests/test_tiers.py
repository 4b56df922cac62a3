"""Test the experiment on tiers: faults of the owner over fake engines."""

import pytest

from bench.tiers import FAULTS, POLICIES, run_once


@pytest.mark.parametrize("fault_name", sorted(FAULTS))
def test_no_request_is_dispatched_twice_and_engines_get_no_more_than_two_owners_give(fault_name):
    result = run_once("one owner", 1.5, 7, fault_name)
    assert result.double_dispatches == 0
    assert result.max_overcommit <= 2.0 + 1 / 16
    assert result.goodput[0] > 0.9


def test_one_owner_keeps_tiers_apart_where_shares_do_not():
    results = {name: run_once(name, 2.0, 7) for name in POLICIES}
    assert results["one owner"].inversions < 0.01
    assert results["one owner"].shed_inversions < 0.01
    assert results["fixed share"].inversions > 0.1
    assert results["one owner"].goodput[0] >= max(r.goodput[0] for r in results.values())


def test_a_seed_gives_the_same_figures_each_time():
    assert run_once("one owner", 1.5, 7) == run_once("one owner", 1.5, 7)
