"""Test that the soak checker finds each violation, and the generated fault schedules."""

import pytest

from soak.callers import CallerRecord
from soak.checkers import check_recovery, check_run
from soak.schedules import FAULT_KINDS, Targets, generate_faults

TARGETS = Targets(("h1", "h2"), ("b1", "b2"), ("b1", "b2"))


def stream(*ids):
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in ids)


def record(kind="unsafe", status=200, **more):
    fields = {"whole": True, "answered_id": "a"} | more
    return CallerRecord("a", kind, "h1", status, **fields)


def run(attempt="a", **more):
    line = {"event": "run", "attempt-id": attempt, "tenant": "officina", "key": "", "hold": ""}
    return {**line, **more}


def violated_invariants(records, lines):
    return [violation.invariant for violation in check_run(records, lines, 3)]


def test_a_run_without_violations():
    records = [record(), record("stream", body=stream(1, 2, 3)), record(status=503)]
    assert violated_invariants(records[:2], [run()]) == []
    assert violated_invariants(records[2:], []) == []


@pytest.mark.parametrize(
    ("seen", "lines", "invariant"),
    [
        (record(), [run(), run()], "an unsafe request runs at most once"),
        (record(status=429), [run()], "a refused unsafe request has not run"),
        (record(answered_id="b"), [run()], "each answer belongs to its request"),
        (record(), [run(tenant="x")], "back ends receive the organisation and no API key"),
        (record(), [run(key="k")], "back ends receive the organisation and no API key"),
        (record(), [run(hold="9")], "back ends receive the organisation and no API key"),
        (record(), [run(), run("z")], "back ends run only requests that were sent"),
        (
            record("stream", body=stream(1, 3)),
            [run()],
            "a complete stream has each event once, in order",
        ),
        (
            record("stream", body=stream(1, 2, 2, 3)),
            [run()],
            "a complete stream has each event once, in order",
        ),
        (
            record("stream", body=stream(1, 2)),
            [run()],
            "a complete stream has each event once, in order",
        ),
    ],
)
def test_each_violation_is_found(seen, lines, invariant):
    assert invariant in violated_invariants([seen], lines)


def test_allowed_outcomes_are_no_violations():
    assert violated_invariants([record("safe")], [run(), run()]) == []
    assert (
        violated_invariants([record("stream", status=200, whole=False, body=stream(1))], [run()])
        == []
    )
    assert violated_invariants([record(status=502)], [run()]) == []


def test_a_fleet_that_does_not_recover_is_found():
    assert check_recovery([record(status=503)] * 8 + [record()]) != []
    assert check_recovery([record()] * 8 + [record(status=503)]) == []


def test_faults_are_deterministic_by_seed_and_cover_all_kinds():
    assert generate_faults(5, 20, TARGETS) == generate_faults(5, 20, TARGETS)
    kinds = {fault.kind for seed in range(60) for fault in generate_faults(seed, 20, TARGETS)}
    assert kinds == set(FAULT_KINDS)
