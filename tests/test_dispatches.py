"""Test which ends of a dispatch allow another one."""

import pytest

from tarragonwind.core.dispatches import (
    MAX_UNSENT_ATTEMPTS,
    PERMIT_OUTCOMES,
    DispatchOutcome,
    RetryPolicy,
)

MAY_HAVE_RUN = [
    DispatchOutcome.FAILURE_ANSWER,
    DispatchOutcome.FAILED_BEFORE_ANSWER,
    DispatchOutcome.BROKEN,
]


def test_every_end_has_an_outcome_for_the_scheduler():
    assert set(PERMIT_OUTCOMES) == set(DispatchOutcome)


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_work_that_may_have_run_is_repeated_only_where_it_may_be(end):
    for repeatable in (True, False):
        rules = RetryPolicy(max_attempts=3, repeatable=repeatable)
        rules.record(end)
        assert rules.allows_retry(end) is repeatable


def test_a_refusal_proves_that_nothing_ran_but_counts_as_a_send():
    rules = RetryPolicy(max_attempts=2, repeatable=False)
    rules.record(DispatchOutcome.REFUSED)
    assert rules.allows_retry(DispatchOutcome.REFUSED)
    rules.record(DispatchOutcome.REFUSED)
    assert not rules.allows_retry(DispatchOutcome.REFUSED)


@pytest.mark.parametrize("end", [DispatchOutcome.NOT_SENT, DispatchOutcome.MISDIRECTED])
def test_what_reached_no_wanted_upstream_takes_no_attempt(end):
    rules = RetryPolicy(max_attempts=1, repeatable=False)
    for _ in range(MAX_UNSENT_ATTEMPTS - 1):
        rules.record(end)
        assert rules.allows_retry(end)
    rules.record(end)
    assert not rules.allows_retry(end)
    assert rules.sent == 0


@pytest.mark.parametrize("end", [DispatchOutcome.CALLER_LEFT, DispatchOutcome.DEADLINE_PASSED])
def test_nothing_follows_when_nobody_waits(end):
    rules = RetryPolicy(max_attempts=5, repeatable=True)
    rules.record(end)
    assert not rules.allows_retry(end)
