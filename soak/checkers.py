"""Decide from what callers saw and back ends wrote whether the promises were kept."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from soak.callers import CallerRecord

NOT_EXECUTED_STATUSES = frozenset([408, 421, 429, 503])
FIRST_EVENT = 1
MIN_SERVED_SHARE = 0.25
"""Least share of requests that are answered well in the calm end of a run."""


@dataclass(frozen=True, slots=True)
class Violation:
    """Name a promise that was broken and how."""

    invariant: str
    attempt: str
    detail: str


def check_run(
    records: Iterable[CallerRecord], lines: Iterable[dict[str, Any]], event_count: int
) -> list[Violation]:
    """Return every broken promise.

    Parameters
    ----------
    records : iterable of CallerRecord
        What callers saw.
    lines : iterable of dict
        Journals of all back ends.
    event_count : int
        Events of a whole stream.
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
    for attempt, made in runs.items():
        if made and attempt not in known:
            violations.append(Violation("runs only what was asked", attempt, f"{len(made)} runs"))
    return violations


def check_record(
    record: CallerRecord, runs: list[dict[str, Any]], event_count: int
) -> list[Violation]:
    """Return the broken promises of one request."""
    found = []

    def broken(invariant: str, detail: str) -> None:
        found.append(Violation(invariant, record.attempt, detail))

    if record.kind == "unsafe" and len(runs) > 1:
        broken("unsafe work runs once", f"{len(runs)} runs")
    if record.status in NOT_EXECUTED_STATUSES and record.kind == "unsafe" and runs:
        broken("a promise of not run is true", f"status {record.status}, {len(runs)} runs")
    for run in runs:
        if run["tenant"] != "officina" or run["key"] or run["hold"]:
            broken("back ends are sent the organisation and no key", str(run))
    if record.status == 200 and record.answered_id != record.attempt:
        broken("each caller gets its own answer", record.answered_id)
    if record.status == 200 and record.whole and record.kind == "stream":
        ids = [int(number) for number in re.findall(rb"^id: (\d+)$", record.body, re.MULTILINE)]
        if ids != list(range(FIRST_EVENT, event_count + 1)):
            broken("a stream that ends as whole has each event once, in order", str(ids))
    return found


def check_recovery(records: Iterable[CallerRecord]) -> list[Violation]:
    """Return a violation when the calm end of a run is not served."""
    late = list(records)
    good = [record for record in late if record.status == 200 and record.whole]
    if late and len(good) < MIN_SERVED_SHARE * len(late):
        detail = f"{len(good)} of {len(late)} answered well"
        return [Violation("the fleet serves again after its faults", "-", detail)]
    return []
