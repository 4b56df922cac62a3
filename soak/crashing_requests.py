"""Check that a request which crashes back ends is kept from them, and that others are served."""

from __future__ import annotations

from collections.abc import Mapping

from soak.callers import CallerRecord, RequestShape
from soak.checkers import Violation
from soak.histories import CONTACT_S, History

CRASHING_REQUEST = "crashing-request"
SAME_PATH, SAME_BODY, SAME_CALLER = "same-path", "same-body", "same-caller"
"""Kinds of sound requests that have one thing in common with the one that crashes back ends."""
UNRELATED = "unrelated"
"""Kind of sound requests of its route that have nothing in common with it."""
CRASHING_BODY = "crashing body"
CRASHING_TENANT, OTHER_TENANT = "officina", "cantiere"

CRASHES_ALLOWED = 3
"""Number of back ends that one request may crash before it is kept from the others."""
RETRIES_ALLOWED = 3
SOUND_AFTER_S = 2 * CONTACT_S
"""Time after the last crash that is allowed from which sound requests are served, in seconds."""
MIN_SOUND_SHARE = 0.5
"""Least share of sound requests that must be served, relative to unrelated ones."""
MIN_SOUND_COUNT = 20


def create_crashing_shapes(prefix: str) -> Mapping[str, RequestShape]:
    """Return the request that crashes the back ends of a route, by its kind."""
    return {
        CRASHING_REQUEST: RequestShape(f"{prefix}7", body=CRASHING_BODY, tenant=CRASHING_TENANT)
    }


def create_sound_shapes(prefix: str) -> Mapping[str, RequestShape]:
    """Return the sound requests of that route that are sent beside it, by kind."""
    path, other_path = f"{prefix}7", f"{prefix}8"
    return {
        SAME_PATH: RequestShape(path, tenant=OTHER_TENANT),
        SAME_BODY: RequestShape(other_path, body=CRASHING_BODY, tenant=OTHER_TENANT),
        SAME_CALLER: RequestShape(other_path, tenant=CRASHING_TENANT),
        UNRELATED: RequestShape(other_path, tenant=OTHER_TENANT),
    }


def check_crashing_request(history: History) -> list[Violation]:
    """Check that a request which has crashed back ends reaches next to none after that."""
    crashes = find_crashes(history)
    if len(crashes) < CRASHES_ALLOWED:
        return []
    binds_from = crashes[CRASHES_ALLOWED - 1] + CONTACT_S
    hosts = {
        record.attempt: record.host for record in history.records if record.kind == CRASHING_REQUEST
    }
    late = [
        line
        for line in history.lines
        if line["event"] in ("run", "turned_away")
        and line["attempt-id"] in hosts
        and line["at"] >= binds_from
        and history.is_bound(hosts[line["attempt-id"]], line["at"])
    ]
    if len(late) <= RETRIES_ALLOWED:
        return []
    detail = f"{len(late)} arrivals after {len(crashes)} crashes"
    attempt = late[RETRIES_ALLOWED]["attempt-id"]
    return [Violation("a request that crashes back ends is kept from them", attempt, detail)]


def find_crashes(history: History) -> list[float]:
    """Return when the crashing request crashed back ends, in order."""
    attempts = {record.attempt for record in history.records if record.kind == CRASHING_REQUEST}
    return sorted(
        line["at"]
        for line in history.lines
        if line["event"] == "crashed" and line["attempt-id"] in attempts
    )


def check_sound_requests(history: History) -> list[Violation]:
    """Check that requests which share one thing with the crashing one are served like others."""
    crashes = find_crashes(history)
    if len(crashes) < CRASHES_ALLOWED:
        return []
    begin = crashes[CRASHES_ALLOWED - 1] + SOUND_AFTER_S
    ended = [record for record in history.records if record.ended_at and record.sent_at >= begin]
    unrelated = find_served_share(ended, UNRELATED)
    violations = []
    for kind in (SAME_PATH, SAME_BODY, SAME_CALLER):
        share = find_served_share(ended, kind)
        if share is None or unrelated is None or share >= MIN_SOUND_SHARE * unrelated:
            continue
        detail = f"{share:.2f} of kind {kind} were served, {unrelated:.2f} of unrelated ones"
        violations.append(Violation("sound requests are served beside a crashing one", "-", detail))
    return violations


def find_served_share(records: list[CallerRecord], kind: str) -> float | None:
    """Return the share of requests of a kind that were served, None if there are too few."""
    sent = [record for record in records if record.kind == kind]
    if len(sent) < MIN_SOUND_COUNT:
        return None
    return sum(record.status == 200 and record.whole for record in sent) / len(sent)
