"""Test that the checker finds the violation of each invariant."""

import json

import pytest

from standins.callers import CallRecord
from standins.checkers import Execution, check_invariants, read_executions


def record(request: str, **fields) -> CallRecord:
    values = {"key": "", "plan": "p", "tier": 0, "pool": "pool", "sent_at": 10.0, **fields}
    return CallRecord(request, **values)


GOOD_RECORDS = [record("a", status=200, whole=True), record("b", kind="shed", not_run="true")]
GOOD_EXECUTIONS = [Execution(10.5, "up", "a", "")]


def test_valid_journals_have_no_violations():
    assert check_invariants(GOOD_RECORDS, GOOD_EXECUTIONS) == []


@pytest.mark.parametrize(
    ("invariant", "records", "executions"),
    [
        (
            "dispatch at most once",
            GOOD_RECORDS,
            [*GOOD_EXECUTIONS, Execution(11.0, "other", "a", "")],
        ),
        (
            "non-idempotent work runs at most once",
            GOOD_RECORDS,
            [Execution(10.5, "up", "a", "k"), Execution(10.6, "up", "c", "k")],
        ),
        (
            "not_run is true only for requests that did not run",
            GOOD_RECORDS,
            [*GOOD_EXECUTIONS, Execution(10.6, "up", "b", "")],
        ),
        (
            "each answer is complete and belongs to its request",
            [record("a", status=200, whole=True, right=False)],
            GOOD_EXECUTIONS,
        ),
        (
            "a higher tier is never shed before a lower",
            [record("a", tier=3), record("b", kind="shed", ended_at=15.0)],
            [Execution(13.0, "up", "a", "")],
        ),
    ],
)
def test_each_violation_is_found(invariant, records, executions):
    assert [violation.invariant for violation in check_invariants(records, executions)] == [
        invariant
    ]


def test_a_lower_tier_dispatched_before_the_shed_request_arrived_is_no_violation():
    records = [record("a", tier=3), record("b", kind="shed", ended_at=15.0)]
    assert check_invariants(records, [Execution(9.0, "up", "a", "")]) == []


def test_truncated_lines_are_skipped(tmp_path):
    path = tmp_path / "up.journal"
    line = json.dumps({"at": 1.0, "source": "up", "event": "executed", "request": "a"})
    path.write_text(f'{line}\n{{"at": 2')
    assert read_executions([path]) == [Execution(1.0, "up", "a", "")]
