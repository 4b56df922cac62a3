"""Test the soak's checker by records that must fail, and its schedules."""

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


def promises(records, lines):
    return [violation.invariant for violation in check_run(records, lines, 3)]


def test_a_run_that_keeps_every_promise():
    records = [record(), record("stream", body=stream(1, 2, 3)), record(status=503)]
    assert promises(records[:2], [run()]) == []
    assert promises(records[2:], []) == []


@pytest.mark.parametrize(
    ("seen", "lines", "promise"),
    [
        (record(), [run(), run()], "unsafe work runs once"),
        (record(status=429), [run()], "a promise of not run is true"),
        (record(answered_id="b"), [run()], "each caller gets its own answer"),
        (record(), [run(tenant="x")], "back ends are sent the organisation and no key"),
        (record(), [run(key="k")], "back ends are sent the organisation and no key"),
        (record(), [run(hold="9")], "back ends are sent the organisation and no key"),
        (record(), [run(), run("z")], "runs only what was asked"),
        (
            record("stream", body=stream(1, 3)),
            [run()],
            "a stream that ends as whole has each event once, in order",
        ),
        (
            record("stream", body=stream(1, 2, 2, 3)),
            [run()],
            "a stream that ends as whole has each event once, in order",
        ),
        (
            record("stream", body=stream(1, 2)),
            [run()],
            "a stream that ends as whole has each event once, in order",
        ),
    ],
)
def test_each_broken_promise_is_found(seen, lines, invariant):
    assert invariant in promises([seen], lines)


def test_what_is_allowed_is_not_called_broken():
    assert promises([record("safe")], [run(), run()]) == []
    assert promises([record("stream", status=200, whole=False, body=stream(1))], [run()]) == []
    assert promises([record(status=502)], [run()]) == []


def test_a_fleet_that_does_not_serve_again_is_found():
    assert check_recovery([record(status=503)] * 8 + [record()]) != []
    assert check_recovery([record()] * 8 + [record(status=503)]) == []


def test_a_seed_draws_the_same_faults_and_all_kinds_are_drawn():
    assert generate_faults(5, 20, TARGETS) == generate_faults(5, 20, TARGETS)
    drawn = {fault.kind for seed in range(60) for fault in generate_faults(seed, 20, TARGETS)}
    assert drawn == set(FAULT_KINDS)
