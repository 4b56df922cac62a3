"""Test that the checker finds each kind of broken promise in journals that must fail."""

import json

import pytest

from standins.callers import CallRecord
from standins.checkers import Execution, check_invariants, read_executions


def record(request: str, **fields) -> CallRecord:
    values = {"key": "", "plan": "p", "tier": 0, "pool": "pool", "sent_at": 10.0, **fields}
    return CallRecord(request, **values)


GOOD = [record("a", status=200, whole=True), record("b", kind="shed", not_run="true")]
GOOD_RUNS = [Execution(10.5, "up", "a", "")]


def test_good_journals_pass():
    assert check_invariants(GOOD, GOOD_RUNS) == []


@pytest.mark.parametrize(
    ("promise", "records", "runs"),
    [
        ("dispatch at most once", GOOD, [*GOOD_RUNS, Execution(11.0, "other", "a", "")]),
        (
            "non-idempotent work runs at most once",
            GOOD,
            [Execution(10.5, "up", "a", "k"), Execution(10.6, "up", "c", "k")],
        ),
        ('"not run" is true', GOOD, [*GOOD_RUNS, Execution(10.6, "up", "b", "")]),
        (
            "each caller gets the whole answer to its own request",
            [record("a", status=200, whole=True, right=False)],
            GOOD_RUNS,
        ),
        (
            "a higher tier is never shed before a lower",
            [record("a", tier=3), record("b", kind="shed", ended_at=15.0)],
            [Execution(13.0, "up", "a", "")],
        ),
    ],
)
def test_each_broken_promise_is_found(invariant, records, runs):
    assert [violation.invariant for violation in check_invariants(records, runs)] == [invariant]


def test_a_lower_tier_started_before_the_shed_request_came_is_no_violation():
    records = [record("a", tier=3), record("b", kind="shed", ended_at=15.0)]
    assert check_invariants(records, [Execution(9.0, "up", "a", "")]) == []


def test_torn_lines_are_passed_over(tmp_path):
    path = tmp_path / "up.journal"
    line = json.dumps({"at": 1.0, "source": "up", "event": "executed", "request": "a"})
    path.write_text(f'{line}\n{{"at": 2')
    assert read_executions([path]) == [Execution(1.0, "up", "a", "")]
