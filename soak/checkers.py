"""Check invariants over the records of callers and the journals of back ends."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from soak.callers import CallerRecord

NOT_EXECUTED_STATUSES = frozenset([408, 421, 429, 503])
"""Statuses that guarantee that the request was not executed."""
FIRST_EVENT = 1
"""Id of the first event of a stream."""
MIN_SERVED_SHARE = 0.25
"""Least share of requests that must succeed in the recovery phase of a run."""


@dataclass(frozen=True, slots=True)
class Violation:
    """Describe the violation of an invariant by one request."""

    invariant: str
    attempt: str
    detail: str


def check_run(
    records: Iterable[CallerRecord], lines: Iterable[dict[str, Any]], event_count: int
) -> list[Violation]:
    """Return all violations of the invariants.

    Parameters
    ----------
    records : iterable of CallerRecord
        Requests that callers sent, with their outcomes.
    lines : iterable of dict
        Events of the journals of all back ends.
    event_count : int
        Number of events of a complete stream.
    """
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in lines:
        if line["event"] == "run":
            runs[line["attempt-id"]].append(line)
    known = {}
    violations = []
    for record in records:
        known[record.attempt] = record
        violations += check_record(record, runs[record.attempt], event_count)
    for attempt, executions in runs.items():
        if executions and attempt not in known:
            violations.append(
                Violation(
                    "back ends run only requests that were sent", attempt, f"{len(executions)} runs"
                )
            )
    return violations


def check_record(
    record: CallerRecord, runs: list[dict[str, Any]], event_count: int
) -> list[Violation]:
    """Return the violations of the invariants by one request."""
    found = []

    def add_violation(invariant: str, detail: str) -> None:
        found.append(Violation(invariant, record.attempt, detail))

    if record.unsafe and len(runs) > 1:
        add_violation("an unsafe request runs at most once", f"{len(runs)} runs")
    if record.status in NOT_EXECUTED_STATUSES and record.unsafe and runs:
        add_violation(
            "a refused unsafe request has not run", f"status {record.status}, {len(runs)} runs"
        )
    for run in runs:
        if run["tenant"] != record.tenant or run["key"] or run["hold"]:
            add_violation("back ends receive the organisation and no API key", str(run))
    if record.status == 200 and record.answered_id != record.attempt:
        add_violation("each answer belongs to its request", record.answered_id)
    if record.status == 200 and record.whole and record.kind == "stream":
        ids = [int(number) for number in re.findall(rb"^id: (\d+)$", record.body, re.MULTILINE)]
        if ids != list(range(FIRST_EVENT, event_count + 1)):
            add_violation("a complete stream has each event once, in order", str(ids))
    return found


def check_recovery(records: Iterable[CallerRecord]) -> list[Violation]:
    """Return a violation if too few requests succeed in the recovery phase."""
    recovery_records = list(records)
    good = [record for record in recovery_records if record.status == 200 and record.whole]
    if recovery_records and len(good) < MIN_SERVED_SHARE * len(recovery_records):
        detail = f"{len(good)} of {len(recovery_records)} requests succeeded"
        return [Violation("the fleet recovers after the faults", "-", detail)]
    return []
