"""Implement the operator API on the components of a running daemon."""

from __future__ import annotations

import json
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from tarragonwind.adapters.memberships import Membership
from tarragonwind.adapters.peers import TrafficCounters
from tarragonwind.catalogue_errors import (
    CatalogueConflict,
    CatalogueError,
    StoreBehind,
    WriteContended,
    WriteOutcomeUnknown,
)
from tarragonwind.catalogue_services import CatalogueService
from tarragonwind.catalogue_writers import Edit
from tarragonwind.core.catalogues import Record
from tarragonwind.core.changes import Change as AcceptedChange
from tarragonwind.core.changes import pack_entry
from tarragonwind.core.entries import (
    Entry,
    MoveEntry,
    MoveState,
    UpstreamEntry,
    parse_entry,
)
from tarragonwind.core.member_views import Health, Member
from tarragonwind.core.moves import MoveResult, MoveStatus, move_identity
from tarragonwind.core.upstream_statuses import UpstreamReport
from tarragonwind.errors import EntryError, StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.move_runners import MoveRunner
from tarragonwind.operator_services import (
    CatalogueItem,
    CatalogueListing,
    Change,
    ChangePropagation,
    ChangeResult,
    DaemonReport,
    DrainResult,
    EntryDiff,
    HistoryItem,
    HostReport,
    MoveOutcome,
    MoveReport,
    OperatorError,
    OperatorErrorKind,
    OperatorService,
    Readiness,
    WriteOutcome,
)
from tarragonwind.ports import Timers
from tarragonwind.schedulers import PermitScheduler

T = TypeVar("T")

HOST_STATES: dict[Health, str] = {
    Health.ALIVE: "live",
    Health.SUSPECT: "suspect",
    Health.DEAD: "lost",
}


class DaemonState(Protocol):
    """Define the attributes and methods of the daemon that the operator API uses."""

    data_centre: str
    store_calls: int

    @property
    def in_progress(self) -> int:
        """Return the number of requests that have not ended."""

    @property
    def stopping(self) -> bool:
        """Return whether the graceful shutdown has started."""

    def begin_stop(self) -> None:
        """Start the graceful shutdown."""

    def sheds_by_tier(self) -> list[int]:
        """Return the number of requests shed since the start, by tier."""

    def traffic(self) -> list[TrafficCounters]:
        """Return the traffic counters of messages between hosts, one for each message class."""

    def store_away_s(self) -> float:
        """Return the seconds since the store last responded, 0 while it is available."""


class DaemonOperatorService(OperatorService):
    """Serve the operator API of one daemon.

    Parameters
    ----------
    daemon : DaemonState
        Daemon state and shutdown.
    catalogue : CatalogueService
        Applied catalogue, its writer and its replicator.
    membership : Membership
        Membership view of the hosts.
    moves : MoveRunner
        Runner of moves between versions.
    scheduler : PermitScheduler
        Queued and dispatched requests.
    timers : Timers
        Monotonic and wall clock.
    """

    def __init__(
        self,
        daemon: DaemonState,
        catalogue: CatalogueService,
        membership: Membership,
        moves: MoveRunner,
        scheduler: PermitScheduler,
        timers: Timers,
    ) -> None:
        self._daemon = daemon
        self._catalogue = catalogue
        self._membership = membership
        self._moves = moves
        self._scheduler = scheduler
        self._timers = timers

    def readiness(self) -> Readiness:
        """Return whether the load balancer should send requests to this daemon."""
        if self._daemon.stopping:
            return Readiness(False, "stopping")
        if not self._catalogue.state.number:
            return Readiness(False, "no catalogue is in force yet")
        if not self._membership.joined():
            return Readiness(False, "no other host has answered yet")
        return Readiness(True)

    def status(self) -> DaemonReport:
        """Return the state of this daemon."""
        return DaemonReport(
            host=self._membership.name,
            data_centre=self._daemon.data_centre,
            ready=self.readiness().ready,
            stopping=self._daemon.stopping,
            number=self._catalogue.state.number,
            store_away_s=round(self._daemon.store_away_s(), 1),
            live_hosts=len(self._membership.live()),
            in_progress=self._daemon.in_progress,
            waiting=self._scheduler.waiting_by_tier(),
            sheds=self._daemon.sheds_by_tier(),
            owned_pools=sorted(self._scheduler.owners.active_pools()),
            control_sent_bytes=sum(counters.sent_bytes for counters in self._daemon.traffic()),
            control_received_bytes=sum(
                counters.received_bytes for counters in self._daemon.traffic()
            ),
            store_calls=self._daemon.store_calls,
        )

    def hosts(self) -> list[HostReport]:
        """Return the state of each known host."""
        self._catalogue.replicator.request_numbers()
        numbers = {report.host: report.number for report in self._catalogue.replicator.numbers()}
        numbers[self._membership.name] = self._catalogue.state.number
        return [
            self._describe_host(member, numbers.get(member.name, 0))
            for member in sorted(self._membership.members(), key=lambda item: item.name)
        ]

    def _describe_host(self, member: Member, number: int) -> HostReport:
        own = member.name == self._membership.name
        heard_s = 0.0 if own else self._timers.now() - member.heard_at
        state = "leaving" if member.leaving else HOST_STATES.get(member.health, "lost")
        return HostReport(
            name=member.name,
            data_centre=member.data_centre,
            address=str(member.address),
            state=state,
            number=number,
            heard_s=round(heard_s, 1) if heard_s != float("inf") else -1.0,
        )

    def upstreams(self) -> list[UpstreamReport]:
        """Return the state of each upstream."""
        entries = self._catalogue.state.in_force.contents("upstream").values()
        found = [entry for entry in entries if isinstance(entry, UpstreamEntry)]
        return [
            self._scheduler.describe_upstream(entry) for entry in sorted(found, key=lambda e: e.key)
        ]

    def list_entries(self, kind: str) -> CatalogueListing:
        """Return the applied entries of one kind, or of all kinds if `kind` is empty."""
        in_force = self._catalogue.state.in_force
        items = []
        for key in sorted(in_force.records):
            item = to_catalogue_item(in_force.records[key])
            if item is not None and kind in ("", item.entry.kind):
                items.append(item)
        return CatalogueListing(in_force.number, items)

    def find_entry(self, key: str) -> CatalogueItem | None:
        """Return the applied entry with a key, or None."""
        record = self._catalogue.state.in_force.records.get(key)
        return to_catalogue_item(record) if record is not None else None

    def apply_change(self, change: Change) -> Future[ChangeResult]:
        """Write a change unless its write id has already been accepted."""
        return spawn(self._translate_errors(self._apply_change(change)))

    async def _apply_change(self, change: Change) -> ChangeResult:
        earlier = await self._find_write(change.write_id)
        if earlier.accepted:
            return ChangeResult(earlier.number, repeated=True)
        records = self._catalogue.state.in_force.records
        edits = []
        for key, doc in pack_change(change):
            record = records.get(key)
            number = record.number if record is not None else 0
            if number > change.expected:
                raise conflict_error(key, record)
            edits.append(Edit(key, doc, number))
        accepted = await self._catalogue.writer.write(edits, change.who, change.write_id)
        return ChangeResult(accepted[-1].number)

    async def _translate_errors(self, work: Coroutine[Any, Any, T]) -> T:
        """Await a coroutine and map catalogue and store errors to `OperatorError`."""
        try:
            return await work
        except EntryError as exc:
            raise OperatorError(OperatorErrorKind.ENTRY_REFUSED, str(exc)) from exc
        except CatalogueConflict as exc:
            record = self._catalogue.state.in_force.records.get(exc.key)
            raise conflict_error(exc.key, record) from exc
        except WriteOutcomeUnknown as exc:
            raise OperatorError(OperatorErrorKind.OUTCOME_UNKNOWN, str(exc)) from exc
        except WriteContended as exc:
            raise OperatorError(OperatorErrorKind.CONFLICT, str(exc)) from exc
        except (StoreBehind, StoreError) as exc:
            raise OperatorError(OperatorErrorKind.STORE_UNAVAILABLE, str(exc)) from exc
        except CatalogueError as exc:
            raise OperatorError(OperatorErrorKind.INTERNAL, str(exc)) from exc

    def change_propagation(self, number: int) -> ChangePropagation:
        """Return which live hosts have applied a catalogue number."""
        replicator = self._catalogue.replicator
        replicator.request_numbers()
        numbers = {report.host: report.number for report in replicator.numbers()}
        numbers[self._membership.name] = self._catalogue.state.number
        live = self._membership.live()
        in_force = [host for host in live if numbers.get(host, 0) >= number]
        return ChangePropagation(number, in_force, [host for host in live if host not in in_force])

    def find_write(self, write_id: str) -> Future[WriteOutcome]:
        """Look up in the store whether a write id was accepted."""
        return spawn(self._translate_errors(self._find_write(write_id)))

    async def _find_write(self, write_id: str) -> WriteOutcome:
        for change in reversed(await self._catalogue.writer.recent_changes()):
            if change.write_id == write_id:
                return WriteOutcome(True, change.number)
        return WriteOutcome(False)

    def history(self, key: str, limit: int) -> Future[list[HistoryItem]]:
        """Return accepted changes, newest first."""
        return spawn(self._translate_errors(self._history(key, limit)))

    async def _history(self, key: str, limit: int) -> list[HistoryItem]:
        changes = await self._catalogue.writer.recent_changes()
        found = [change for change in changes if key in ("", change.key)]
        return [describe_change(change) for change in reversed(found[-limit:])]

    def diff(self, since: int, until: int) -> Future[list[EntryDiff]]:
        """Return the entries that differ between two catalogue numbers."""
        return spawn(self._translate_errors(self._diff(since, until)))

    async def _diff(self, since: int, until: int) -> list[EntryDiff]:
        changes = await self._catalogue.writer.recent_changes()
        if changes and changes[0].number > since + 1:
            message = f"changes before number {changes[0].number} are no longer kept"
            raise OperatorError(OperatorErrorKind.GONE, message)
        touched = {change.key for change in changes if since < change.number <= until}
        before = replay_changes(changes, since)
        after = replay_changes(changes, until)
        return [
            EntryDiff(key, unpack_entry(key, before.get(key)), unpack_entry(key, after.get(key)))
            for key in sorted(touched)
            if not key.startswith("verdict/")
        ]

    def moves(self) -> list[MoveReport]:
        """Return the state of each move."""
        now = self._timers.wall()
        reports = []
        for entry in self._catalogue.state.in_force.contents("move").values():
            if not isinstance(entry, MoveEntry):
                continue
            for status in self._moves.table.status(now, move_identity(entry)):
                reports.append(describe_move(entry, status))
        return sorted(reports, key=lambda report: report.name)

    def drain(self, who: str) -> DrainResult:
        """Start the graceful shutdown of this daemon."""
        self._daemon.begin_stop()
        return DrainResult(self._membership.name, self._daemon.in_progress)


def pack_change(change: Change) -> list[tuple[str, bytes | None]]:
    """Return key and packed fields of each changed entry; None for removed entries."""
    docs: list[tuple[str, bytes | None]] = []
    for entry in change.puts:
        docs.append((entry.key, pack_entry(entry)))
    for key in change.deletes:
        docs.append((key, None))
    return docs


def to_catalogue_item(record: Record) -> CatalogueItem | None:
    """Convert a record to a catalogue item; None for verdicts and entries that failed to parse."""
    if not isinstance(record.content, Entry):
        return None
    return CatalogueItem(record.content, record.number)


def conflict_error(key: str, record: Record | None) -> OperatorError:
    """Return the error for a change whose entry was written after the expected number."""
    item = to_catalogue_item(record) if record is not None else None
    number = record.number if record is not None else 0
    message = f"{key} was changed by number {number} since; look at it and put it again"
    return OperatorError(OperatorErrorKind.CONFLICT, message, [item] if item else [])


def describe_change(change: AcceptedChange) -> HistoryItem:
    """Convert an accepted change to a history item."""
    removed = change.doc is None
    return HistoryItem(
        number=change.number,
        at=change.at,
        who=change.author,
        write_id=change.write_id,
        puts=[] if removed else [change.key],
        deletes=[change.key] if removed else [],
    )


def replay_changes(changes: list[AcceptedChange], until: int) -> dict[str, bytes | None]:
    """Return the packed fields of each changed key as of a catalogue number."""
    docs: dict[str, bytes | None] = {}
    for change in changes:
        if change.number <= until:
            docs[change.key] = change.doc
    return docs


def unpack_entry(key: str, doc: bytes | None) -> Entry | None:
    """Parse packed fields into an entry; None if the entry does not exist."""
    if doc is None:
        return None
    return parse_entry(key.partition("/")[0], json.loads(doc))


def describe_move(entry: MoveEntry, status: MoveStatus) -> MoveReport:
    """Combine a move entry and its status into a report."""
    outcome = MoveOutcome.NOT_SETTLED
    if status.result is MoveResult.DONE:
        outcome = MoveOutcome.DONE
    elif status.result is MoveResult.TAKEN_BACK:
        cancelled = entry.state is MoveState.CANCELLED
        outcome = MoveOutcome.CANCELLED if cancelled else MoveOutcome.TAKEN_BACK
    return MoveReport(
        name=entry.name,
        pool=entry.pool,
        from_version=entry.from_version,
        to_version=entry.to_version,
        outcome=outcome,
        share=status.share,
        why=status.why,
        done_by=entry.done_by,
        recorded=status.result is not None,
    )
