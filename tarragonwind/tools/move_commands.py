"""Implement the ``move`` commands: start, status, cancel and list."""

from __future__ import annotations

import time
from datetime import datetime

from fire.decorators import SetParseFn

from tarragonwind.core.entries import MoveEntry, MoveState, PoolEntry, dump_entry, parse_entry
from tarragonwind.errors import EntryError
from tarragonwind.operator_services import CatalogueItem, MoveOutcome, MoveReport
from tarragonwind.tools.catalogue_commands import IN_FORCE_TIMEOUT_S
from tarragonwind.tools.change_writers import split_into_batches
from tarragonwind.tools.exit_codes import CommandError, ExitCode
from tarragonwind.tools.outputs import Column, format_time
from tarragonwind.tools.sessions import Session, require_number

STATUS_POLL_PERIOD_S = 0.2

_OUTCOME_CODES = {
    MoveOutcome.DONE: ExitCode.OK,
    MoveOutcome.NOT_SETTLED: ExitCode.NOT_SETTLED,
    MoveOutcome.TAKEN_BACK: ExitCode.TAKEN_BACK,
    MoveOutcome.CANCELLED: ExitCode.TAKEN_BACK,
}

_COLUMNS = [
    Column("MOVE", lambda item: item.name),
    Column("POOL", lambda item: item.pool),
    Column("FROM", lambda item: item.from_version),
    Column("TO", lambda item: item.to_version),
    Column("OUTCOME", lambda item: item.outcome.value),
    Column("SHARE", lambda item: f"{item.share:.1%}"),
    Column("DONE BY", lambda item: format_time(item.done_by)),
    Column("WHY", lambda item: item.why),
]


class MoveCommands:
    """Start, monitor and cancel moves of a pool between versions."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def start(
        self,
        name: str,
        pool: str,
        to_version: str,
        owner: str,
        done_by: str = "",
        within_s: float = 0,
        wait_s: float = IN_FORCE_TIMEOUT_S,
    ) -> None:
        """Start to move a pool to a version, with a deadline.

        Give the deadline either as --done-by, such as 2026-05-01T18:00:00+00:00, or as --within-s
        in seconds from now.
        """
        wait_s = require_number(wait_s, "wait-s")
        now = time.time()
        doc = {
            "name": str(name),
            "owner": str(owner),
            "pool": str(pool),
            "from_version": self._read_pool(str(pool)).version,
            "to_version": str(to_version),
            "starts_at": round(now, 3),
            "done_by": _read_deadline(done_by, within_s, now),
        }
        try:
            entry = parse_entry(MoveEntry.kind, doc)
        except EntryError as exc:
            raise CommandError(ExitCode.USAGE, str(exc)) from exc
        self._session.write(split_into_batches([entry], []), 0, wait_s)

    @SetParseFn(float, "wait_s")
    def status(self, name: str, wait_s: float = 0.0) -> None:
        """Show whether a move is done, taken back or not settled, and why.

        With --wait-s, wait until the move is settled, for at most that many seconds.
        """
        deadline = time.monotonic() + require_number(wait_s, "wait-s")
        path = f"/v1/moves/{name}"
        report = self._session.client.get(path, MoveReport)
        while report.outcome is MoveOutcome.NOT_SETTLED and time.monotonic() < deadline:
            time.sleep(STATUS_POLL_PERIOD_S)
            report = self._session.client.get(path, MoveReport)
        self._session.output.show(report, lambda: describe_move(report))
        code = _OUTCOME_CODES[report.outcome]
        if code is not ExitCode.OK:
            raise CommandError(code, "")

    def cancel(self, name: str, wait_s: float = IN_FORCE_TIMEOUT_S) -> None:
        """Cancel a move and return its traffic to the old version."""
        wait_s = require_number(wait_s, "wait-s")
        item = self._session.client.get(f"/v1/catalogue/move/{name}", CatalogueItem)
        doc = {**dump_entry(item.entry), "state": MoveState.CANCELLED.value}
        entry = parse_entry(MoveEntry.kind, doc)
        self._session.write(split_into_batches([entry], []), item.number, wait_s)

    def list(self) -> None:
        """List all moves."""
        reports = self._session.client.get("/v1/moves", list[MoveReport])
        self._session.output.show_table(reports, _COLUMNS, "no moves")

    def _read_pool(self, pool: str) -> PoolEntry:
        item = self._session.client.get(f"/v1/catalogue/pool/{pool}", CatalogueItem)
        if not isinstance(item.entry, PoolEntry):
            raise CommandError(
                ExitCode.REFUSED, f"{pool}: expected a pool, got an entry of kind {item.entry.kind}"
            )
        return item.entry


def describe_move(report: MoveReport) -> str:
    """Format the state of a move as text."""
    recorded = "" if report.recorded else " (not yet recorded in the store)"
    return (
        f"{report.name}: {report.outcome.value}{recorded}\n"
        f"{report.pool} {report.from_version} -> {report.to_version}, "
        f"share {report.share:.1%}, to be done by {format_time(report.done_by)}\n"
        f"why: {report.why or '-'}"
    )


def _read_deadline(done_by: str, within_s: float, now: float) -> float:
    if bool(done_by) == bool(within_s):
        raise CommandError(ExitCode.USAGE, "give exactly one of --done-by and --within-s")
    if within_s:
        return round(now + require_number(within_s, "within-s"), 3)
    try:
        at = datetime.fromisoformat(str(done_by))
    except ValueError as exc:
        raise CommandError(ExitCode.USAGE, f"--done-by: {exc}") from exc
    if at.tzinfo is None:
        raise CommandError(
            ExitCode.USAGE, f"--done-by: {done_by} has no UTC offset; add one, such as +00:00"
        )
    return at.timestamp()
