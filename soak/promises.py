"""Check promises that bind some time after a fault began, and not for disturbed hosts."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from typing import Any

from soak.callers import CRASHING, CallerRecord
from soak.checkers import Violation
from soak.crashing_requests import (
    CRASHING_REQUEST,
    check_crashing_request,
    check_sound_requests,
)
from soak.evacuations import check_evacuations
from soak.histories import CONTACT_S, History
from soak.kept_connections import check_kept_connections
from soak.lost_requests import check_lost_requests

CRASHES_ALLOWED = 5
"""Number of back ends that one part may crash before it is kept from the others."""
LATE_RUNS_ALLOWED = 3
TOLD_S = 0.5
"""Time after which a host that passed on a named limit is bound by it, in seconds."""
DRAIN_S = 2.0
"""Time after which a host that passed on a leaving must send nothing there, in seconds."""
HOLD_MARGIN_S = 0.5
"""Time after a back end's wish for a pause from which it binds, in seconds."""
HELD_RUNS_ALLOWED = 2
WINDOW_S = 4.0
TOLERANCE, SLACK = 1.5, 5
"""Multiple of a named limit that is allowed in a window, and requests beyond it."""
MIN_SOUND_SHARE = 0.5
"""Least share of sound streams that must be whole beside a crashing part."""
MIN_SOUND_COUNT = 20
MAX_HOST_KB = 300 * 1024
"""Memory of a host, as in the settings of the fleet."""


def check_promises(history: History) -> list[Violation]:
    """Return all violations of the promises."""
    checks = (
        check_crashing_part,
        check_limits,
        check_leaving,
        check_holds,
        check_lost_requests,
        check_kept_connections,
        check_crashing_request,
        check_sound_requests,
        check_evacuations,
    )
    return [violation for check in checks for violation in check(history)]


def check_leaving(history: History) -> list[Violation]:
    """Check that a host sends nothing to a back end whose leaving it has passed on."""
    hosts = history.hosts()
    violations = []
    for source, runs in group_by_source(history.runs()).items():
        for period in split_periods(runs, "leaving"):
            told = find_told_hosts(history.records, source, period, "leaving_at")
            for run in period:
                host = hosts.get(run["attempt-id"], "")
                since = told.get(host, math.inf)
                late = run["at"] > since + DRAIN_S
                if late and not history.is_disturbed(host, since, run["at"]):
                    detail = f"{run['at'] - since:.1f} s after {host} had passed it on"
                    violations.append(
                        Violation("a leaving back end gets nothing new", run["attempt-id"], detail)
                    )
    return violations


def check_holds(history: History) -> list[Violation]:
    """Check that a back end which wants a pause gets next to nothing from that host."""
    hosts = history.hosts()
    arrivals = [line for line in history.lines if line["event"] in ("run", "turned_away")]
    violations = []
    for line in arrivals:
        host = hosts.get(line["attempt-id"], "")
        begin, end = line["at"] + HOLD_MARGIN_S, line["at"] + line.get("hold_s", 0.0)
        disturbed = [name for name in (host, line["source"]) if name]
        if end <= begin or any(history.is_disturbed(one, line["at"], end) for one in disturbed):
            continue
        held = [
            other
            for other in arrivals
            if begin < other["at"] < end
            and other["source"] == line["source"]
            and hosts.get(other["attempt-id"], "") == host
        ]
        if len(held) > HELD_RUNS_ALLOWED:
            detail = f"{len(held)} requests of {host} at {line['source']}"
            violations.append(
                Violation("a back end that wants a pause gets one", line["attempt-id"], detail)
            )
    return violations


def check_versions(host: str, log: str) -> list[Violation]:
    """Check in a host's log that its configurations never get older within one start."""
    newest = 0
    for line in log.splitlines():
        if "event=started" in line:
            newest = 0
        found = re.search(r"event=configuration_in_force version=(\d+)", line)
        if found is None:
            continue
        if int(found[1]) < newest:
            detail = f"version {found[1]} after {newest} on {host}"
            return [Violation("configurations never get older", "-", detail)]
        newest = int(found[1])
    return []


def check_crashing_part(history: History) -> list[Violation]:
    """Check that a part which has crashed back ends is kept from the others."""
    others = {record.attempt for record in history.records if record.kind == CRASHING_REQUEST}
    crashes = sorted(
        line["at"]
        for line in history.lines
        if line["event"] == "crashed" and line["attempt-id"] not in others
    )
    if len(crashes) < CRASHES_ALLOWED:
        return []
    hosts = history.hosts()
    crashing = {record.attempt for record in history.records if record.kind == CRASHING}
    late = [
        run["attempt-id"]
        for run in history.runs()
        if run["attempt-id"] in crashing
        and run["at"] > crashes[CRASHES_ALLOWED - 1] + CONTACT_S
        and history.is_bound(hosts[run["attempt-id"]], run["at"])
    ]
    if len(late) <= LATE_RUNS_ALLOWED:
        return []
    detail = f"{len(late)} requests after {CRASHES_ALLOWED} crashes, {len(crashes)} in all"
    return [Violation("a part that crashes back ends is kept from them", late[-1], detail)]


def check_limits(history: History) -> list[Violation]:
    """Check that each back end that names a limit gets no more than that from all hosts."""
    violations = []
    for source, runs in group_by_source(history.runs()).items():
        for period in split_periods(runs, "limit_per_s"):
            violations += check_limited_period(history, source, period)
    return violations


def check_limited_period(
    history: History, source: str, period: list[dict[str, Any]]
) -> list[Violation]:
    """Check one period in which a back end named a limit."""
    hosts = history.hosts()
    told = find_told_hosts(history.records, source, period, "limited_at")
    binds_from = min(told.values(), default=math.inf) + CONTACT_S
    bound = [
        run["at"]
        for run in period
        if (host := hosts.get(run["attempt-id"], "")) in told
        and run["at"] >= max(binds_from, told[host] + TOLD_S)
        and history.is_bound(host, run["at"])
    ]
    allowed = TOLERANCE * max(run["limit_per_s"] for run in period) * WINDOW_S + SLACK
    most = max((sum(at <= one < at + WINDOW_S for one in bound) for at in bound), default=0)
    if most <= allowed:
        return []
    detail = f"{most} requests in {WINDOW_S:g} s at {source}, {allowed:g} allowed"
    return [Violation("a named limit holds over all hosts", period[-1]["attempt-id"], detail)]


def find_told_hosts(
    records: Iterable[CallerRecord], source: str, period: list[dict[str, Any]], field_name: str
) -> dict[str, float]:
    """Return when each host first passed on what a back end said of itself in a period.

    Parameters
    ----------
    records : iterable of CallerRecord
        Requests of all callers.
    source : str
        Name of the back end.
    period : list of dict
        Executions in the period.
    field_name : str
        Field of the records with the time, 0 where the back end did not say it.
    """
    attempts = {run["attempt-id"] for run in period}
    told: dict[str, float] = {}
    for record in records:
        at = getattr(record, field_name)
        if at and record.seal == f"seal-{source}" and record.attempt in attempts:
            told[record.host] = min(at, told.get(record.host, math.inf))
    return told


def group_by_source(runs: Iterable[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return the executions of each back end, in order."""
    groups: dict[str, list[dict[str, Any]]] = {}
    for run in runs:
        groups.setdefault(run["source"], []).append(run)
    return groups


def split_periods(runs: list[dict[str, Any]], field_name: str) -> list[list[dict[str, Any]]]:
    """Return the executions of one back end in each period in which a field is set."""
    periods: list[list[dict[str, Any]]] = [[]]
    for run in runs:
        if run.get(field_name):
            periods[-1].append(run)
        elif periods[-1]:
            periods.append([])
    return [period for period in periods if period]


def check_sound_streams(records: Iterable[CallerRecord]) -> list[Violation]:
    """Check that streams which share a part with crashing prompts are served in the recovery."""
    streams = [record for record in records if record.kind == "stream"]
    whole = sum(record.status == 200 and record.whole for record in streams)
    if len(streams) < MIN_SOUND_COUNT or whole >= MIN_SOUND_SHARE * len(streams):
        return []
    detail = f"{whole} of {len(streams)} streams were whole"
    return [Violation("sound streams are served beside a crashing part", "-", detail)]


def check_memory(host: str, status: str) -> list[Violation]:
    """Check the largest memory of a host in the text of its ``/proc`` status."""
    found = re.search(r"^VmHWM:\s+(\d+) kB$", status, re.MULTILINE)
    if found is None or int(found[1]) <= MAX_HOST_KB:
        return []
    return [Violation("a host's memory is bounded", "-", f"{host} has used {found[1]} kB")]
