"""Check invariants over the records of callers and the journals of upstreams."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.callers import CallRecord

RUN_EVENTS = frozenset(["accepted", "executed"])
"""Journal events of an upstream that accepted a request, which may have run."""
SHED_KINDS = frozenset(["shed", "deadline_unmeetable"])
"""Kinds of error answers to requests that were shed."""
SETTLE_S = 1.0
"""Time after its arrival from which a queued request precedes lower tiers, in seconds."""


@dataclass(frozen=True, slots=True)
class Execution:
    """Hold one execution from an upstream's journal."""

    at: float
    upstream: str
    request: str
    key: str


@dataclass(frozen=True, slots=True)
class Violation:
    """Describe the violation of an invariant by one request."""

    invariant: str
    request: str
    detail: str


def read_executions(paths: Iterable[Path], events: Container[str] = RUN_EVENTS) -> list[Execution]:
    """Read the given events from upstreams' journals, skipping a truncated last line."""
    executions = []
    for path in paths:
        for line in path.read_text().splitlines():
            try:
                doc: dict[str, Any] = json.loads(line)
            except ValueError:
                continue
            if doc.get("event") in events:
                executions.append(
                    Execution(doc["at"], doc["source"], doc.get("request", ""), doc.get("key", ""))
                )
    return executions


def check_invariants(records: list[CallRecord], executions: list[Execution]) -> list[Violation]:
    """Return all violations of the invariants."""
    return [
        *check_dispatched_once(executions),
        *check_keys_run_once(executions),
        *check_not_run(records, executions),
        *check_answers(records),
        *check_tiers(records, executions),
    ]


def check_dispatched_once(executions: list[Execution]) -> list[Violation]:
    """Find requests that upstreams accepted more than once."""
    counts = Counter(execution.request for execution in executions if execution.request)
    return [
        Violation("dispatch at most once", request, f"{count} runs")
        for request, count in counts.items()
        if count > 1
    ]


def check_keys_run_once(executions: list[Execution]) -> list[Violation]:
    """Find idempotency keys that were executed more than once."""
    counts = Counter(execution.key for execution in executions if execution.key)
    return [
        Violation("non-idempotent work runs at most once", key, f"{count} runs")
        for key, count in counts.items()
        if count > 1
    ]


def check_not_run(records: list[CallRecord], executions: list[Execution]) -> list[Violation]:
    """Find error answers with ``not_run`` true for requests that an upstream executed."""
    ran = {execution.request for execution in executions}
    return [
        Violation(
            "not_run is true only for requests that did not run",
            record.request,
            f"{record.kind}, but it ran",
        )
        for record in records
        if record.not_run == "true" and record.request in ran
    ]


def check_answers(records: list[CallRecord]) -> list[Violation]:
    """Find complete answers whose content is wrong or truncated."""
    return [
        Violation("each answer is complete and belongs to its request", record.request, "wrong")
        for record in records
        if record.whole and not record.right
    ]


def check_tiers(records: list[CallRecord], executions: list[Execution]) -> list[Violation]:
    """Find requests that were shed while a lower tier of the same pool was dispatched."""
    by_request = {record.request: record for record in records}
    violations = []
    for shed in records:
        if shed.kind not in SHED_KINDS:
            continue
        for execution in executions:
            other = by_request.get(execution.request)
            if other is None or other.pool != shed.pool or other.tier <= shed.tier:
                continue
            if shed.sent_at + SETTLE_S < execution.at < shed.ended_at:
                detail = (
                    f"tier {shed.tier} shed while {execution.request} of tier {other.tier} started"
                )
                violations.append(
                    Violation("a higher tier is never shed before a lower", shed.request, detail)
                )
                break
    return violations
