"""Check that hosts leave the connections of callers open for as long as the idle limit allows."""

from __future__ import annotations

from soak.callers import IDLE_SHARE, NO_ANSWER, CallerRecord
from soak.checkers import Violation
from soak.histories import CONTACT_S, History
from soak.lost_requests import has_reached_limit


def check_kept_connections(history: History) -> list[Violation]:
    """Check that a request on a connection which was idle for a short time gets an answer."""
    ran = {run["attempt-id"] for run in history.runs()}
    return [
        Violation(
            "a connection is open within its idle limit",
            record.attempt,
            f"idle for at most {record.idle_s:.3f} s at {record.host}, sent {record.sent_at:.3f}",
        )
        for record in history.records
        if record.idle_s and record.ended_at and record.status == NO_ANSWER
        if record.attempt not in ran
        if not (has_reached_limit(history, record) or may_be_closed(history, record))
    ]


def may_be_closed(history: History, record: CallerRecord) -> bool:
    """Return whether a host was disturbed or stopped, or an idle limit may have been near."""
    begin = record.sent_at - record.idle_s
    if history.is_disturbed(record.host, begin - CONTACT_S, record.ended_at):
        return True
    return any(
        min(until, record.ended_at) - begin > IDLE_SHARE * version.idle_s
        for version, until in history.version_spans()
        if version.at <= record.ended_at and until >= begin
    )
