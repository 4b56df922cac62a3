"""Test which dispatch outcomes allow a retry."""

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


def test_every_dispatch_outcome_has_a_permit_outcome():
    assert set(PERMIT_OUTCOMES) == set(DispatchOutcome)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_request_that_may_have_run_is_retried_only_if_repeatable(outcome):
    for repeatable in (True, False):
        policy = RetryPolicy(max_attempts=3, repeatable=repeatable)
        policy.record(outcome)
        assert policy.allows_retry(outcome) is repeatable


def test_refused_request_is_retried_but_counts_as_attempt():
    policy = RetryPolicy(max_attempts=2, repeatable=False)
    policy.record(DispatchOutcome.REFUSED)
    assert policy.allows_retry(DispatchOutcome.REFUSED)
    policy.record(DispatchOutcome.REFUSED)
    assert not policy.allows_retry(DispatchOutcome.REFUSED)


@pytest.mark.parametrize("outcome", [DispatchOutcome.NOT_SENT, DispatchOutcome.MISDIRECTED])
def test_dispatch_that_missed_the_upstream_does_not_count_as_attempt(outcome):
    policy = RetryPolicy(max_attempts=1, repeatable=False)
    for _ in range(MAX_UNSENT_ATTEMPTS - 1):
        policy.record(outcome)
        assert policy.allows_retry(outcome)
    policy.record(outcome)
    assert not policy.allows_retry(outcome)
    assert policy.sent == 0


@pytest.mark.parametrize("outcome", [DispatchOutcome.CALLER_LEFT, DispatchOutcome.DEADLINE_PASSED])
def test_no_retry_after_caller_left_or_deadline_passed(outcome):
    policy = RetryPolicy(max_attempts=5, repeatable=True)
    policy.record(outcome)
    assert not policy.allows_retry(outcome)
