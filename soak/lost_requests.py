"""Check that each request which a back end runs ends with a complete answer at its caller."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import Any

from soak.callers import DEADLINE_S, CallerRecord
from soak.checkers import Violation
from soak.histories import CONTACT_S, History
from standins.platform_fleets import GRACE_S

LATEST_S = 3.0
"""Time after a stop signal until which a request may be sent that outlasts the stop, in seconds."""
GRACE_SHARE = 5 / 6
"""Share of the grace after which a stopping host may give up requests still at work."""
STOP_SLACK_S = 1.0
BROKEN_OFF = frozenset(["cut", "endless"])
"""Events of the journal after which a back end does not complete its answer."""


def check_lost_requests(history: History) -> list[Violation]:
    """Check that requests which back ends run are answered, unless something excuses it."""
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in history.runs():
        runs[run["attempt-id"]].append(run)
    return [
        Violation("a request that was read is answered", record.attempt, describe(record, last))
        for record in history.records
        if record.ended_at and not record.whole and record.attempt in runs
        for last in runs[record.attempt][-1:]
        if not (
            has_reached_limit(history, record)
            or is_host_disturbed(history, record)
            or has_outlasted_stop(history, record)
            or has_broken_off(history, record, last)
        )
    ]


def describe(record: CallerRecord, run: dict[str, Any]) -> str:
    """Return what a caller saw of a request without a complete answer."""
    return (
        f"{record.kind} at {record.host}, run by {run['source']} at {run['at']:.3f}: "
        f"status {record.status}, {len(record.body)} bytes, ended "
        f"{record.ended_at - record.sent_at:.3f} s after it was sent at {record.sent_at:.3f}"
    )


def has_reached_limit(history: History, record: CallerRecord) -> bool:
    """Return whether the caller's deadline or a timeout of its route had passed at the end."""
    versions = history.versions_in_force(record.sent_at, record.ended_at)
    timeout_s = min((version.timeout_s for version in versions), default=math.inf)
    return record.ended_at - record.sent_at >= min(timeout_s, DEADLINE_S)


def is_host_disturbed(history: History, record: CallerRecord) -> bool:
    """Return whether a host was disturbed, other than by a graceful stop."""
    begin = record.sent_at - CONTACT_S
    return any(
        one.host == record.host and not one.planned and one.touches(begin, record.ended_at)
        for one in history.disturbances
    )


def has_outlasted_stop(history: History, record: CallerRecord) -> bool:
    """Return whether a back end was still at work when the last sixth of a host's stop began."""
    for one in history.disturbances:
        if one.host != record.host or not one.planned or record.sent_at > one.begin + LATEST_S:
            continue
        over = one.begin + GRACE_S * GRACE_SHARE
        if over <= record.ended_at <= one.begin + GRACE_S + STOP_SLACK_S:
            return not any(
                line["event"] == "ended"
                and line["attempt-id"] == record.attempt
                and line["at"] < over
                for line in history.lines
            )
    return False


def has_broken_off(history: History, record: CallerRecord, run: dict[str, Any]) -> bool:
    """Return whether a back end broke off a request or crashed, or its link was disturbed."""
    source, begin, end = run["source"], run["at"], record.ended_at
    disturbances = [*history.disturbances, *history.resets]
    if any(one.host == source and one.touches(begin, end) for one in disturbances):
        return True
    for line in history.lines:
        if line["source"] != source:
            continue
        if line["event"] in BROKEN_OFF and line["attempt-id"] == record.attempt:
            return True
        if line["event"] == "crashed" and begin <= line["at"] <= end:
            return True
    return False
