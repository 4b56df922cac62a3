"""Test which ends of a dispatch allow another one."""

import pytest

from tarragonwind.core.dispatches import (
    MAX_UNSENT_TRIES,
    PERMIT_OUTCOMES,
    AttemptRules,
    DispatchEnd,
)

MAY_HAVE_RUN = [
    DispatchEnd.FAILURE_ANSWER,
    DispatchEnd.FAILED_BEFORE_ANSWER,
    DispatchEnd.BROKEN,
]


def test_every_end_has_an_outcome_for_the_scheduler():
    assert set(PERMIT_OUTCOMES) == set(DispatchEnd)


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_work_that_may_have_run_is_repeated_only_where_it_may_be(end):
    for repeatable in (True, False):
        rules = AttemptRules(max_attempts=3, repeatable=repeatable)
        rules.note(end)
        assert rules.allows_another(end) is repeatable


def test_a_refusal_proves_that_nothing_ran_but_counts_as_a_send():
    rules = AttemptRules(max_attempts=2, repeatable=False)
    rules.note(DispatchEnd.REFUSED)
    assert rules.allows_another(DispatchEnd.REFUSED)
    rules.note(DispatchEnd.REFUSED)
    assert not rules.allows_another(DispatchEnd.REFUSED)


@pytest.mark.parametrize("end", [DispatchEnd.NOT_SENT, DispatchEnd.MISDIRECTED])
def test_what_reached_no_wanted_upstream_takes_no_attempt(end):
    rules = AttemptRules(max_attempts=1, repeatable=False)
    for _ in range(MAX_UNSENT_TRIES - 1):
        rules.note(end)
        assert rules.allows_another(end)
    rules.note(end)
    assert not rules.allows_another(end)
    assert rules.sent == 0


@pytest.mark.parametrize("end", [DispatchEnd.CALLER_LEFT, DispatchEnd.DEADLINE_PASSED])
def test_nothing_follows_when_nobody_waits(end):
    rules = AttemptRules(max_attempts=5, repeatable=True)
    rules.note(end)
    assert not rules.allows_another(end)
