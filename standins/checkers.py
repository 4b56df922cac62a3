"""Decide from the joined journals of callers and upstreams whether the promises were kept."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.callers import CallRecord

RUN_EVENTS = frozenset(["accepted", "executed"])
"""Events by which an upstream says that a request reached it and may run."""
SHED_KINDS = frozenset(["shed", "deadline_unmeetable"])
SETTLE_S = 1.0
"""Time after its arrival from which a waiting request must come before lower tiers, in seconds."""


@dataclass(frozen=True, slots=True)
class Execution:
    """Hold one execution that an upstream has written down."""

    at: float
    upstream: str
    request: str
    key: str


@dataclass(frozen=True, slots=True)
class Violation:
    """Name a promise that was broken and how."""

    invariant: str
    request: str
    detail: str


def read_executions(paths: Iterable[Path], events: Container[str] = RUN_EVENTS) -> list[Execution]:
    """Read events of upstreams' journals, the executions; a torn last line is passed over."""
    runs = []
    for path in paths:
        for line in path.read_text().splitlines():
            try:
                doc: dict[str, Any] = json.loads(line)
            except ValueError:
                continue
            if doc.get("event") in events:
                runs.append(
                    Execution(doc["at"], doc["source"], doc.get("request", ""), doc.get("key", ""))
                )
    return runs


def check_invariants(records: list[CallRecord], runs: list[Execution]) -> list[Violation]:
    """Return every broken promise that the journals show."""
    return [
        *check_dispatched_once(runs),
        *check_keys_run_once(runs),
        *check_not_run(records, runs),
        *check_answers(records),
        *check_tiers(records, runs),
    ]


def check_dispatched_once(runs: list[Execution]) -> list[Violation]:
    """Find requests that reached upstreams more than once."""
    counts = Counter(run.request for run in runs if run.request)
    return [
        Violation("dispatch at most once", request, f"{count} runs")
        for request, count in counts.items()
        if count > 1
    ]


def check_keys_run_once(runs: list[Execution]) -> list[Violation]:
    """Find idempotency keys under which work ran more than once."""
    counts = Counter(run.key for run in runs if run.key)
    return [
        Violation("non-idempotent work runs at most once", key, f"{count} runs")
        for key, count in counts.items()
        if count > 1
    ]


def check_not_run(records: list[CallRecord], runs: list[Execution]) -> list[Violation]:
    """Find refusals that say "not run" though an upstream has run the request."""
    ran = {run.request for run in runs}
    return [
        Violation('"not run" is true', record.request, f"{record.kind}, but it ran")
        for record in records
        if record.not_run == "true" and record.request in ran
    ]


def check_answers(records: list[CallRecord]) -> list[Violation]:
    """Find answers that were whole in form but not the request's own, or lacked a part."""
    return [
        Violation("each caller gets the whole answer to its own request", record.request, "wrong")
        for record in records
        if record.whole and not record.right
    ]


def check_tiers(records: list[CallRecord], runs: list[Execution]) -> list[Violation]:
    """Find requests that were shed while a lower tier of the same pool was being started."""
    by_request = {record.request: record for record in records}
    violations = []
    for shed in records:
        if shed.kind not in SHED_KINDS:
            continue
        for run in runs:
            other = by_request.get(run.request)
            if other is None or other.pool != shed.pool or other.tier <= shed.tier:
                continue
            if shed.sent_at + SETTLE_S < run.at < shed.ended_at:
                detail = f"tier {shed.tier} shed while {run.request} of tier {other.tier} started"
                violations.append(
                    Violation("a higher tier is never shed before a lower", shed.request, detail)
                )
                break
    return violations
