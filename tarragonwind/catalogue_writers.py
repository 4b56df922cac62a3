"""Write to the catalogue: each write is one transaction that raises the head's number."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from tarragonwind.catalogue_edits import Edit, check_sizes, split_edits, verdict_edits
from tarragonwind.catalogue_errors import (
    CatalogueConflict,
    StoreBehind,
    WriteContended,
    WriteOutcomeUnknown,
)
from tarragonwind.catalogue_layouts import Head, pack_change, pack_head, pack_record
from tarragonwind.catalogue_readers import CatalogueReader
from tarragonwind.core.catalogue_checks import check_write
from tarragonwind.core.catalogue_states import MAX_RECENT_CHANGES, CatalogueState
from tarragonwind.core.changes import Change, pack_entry
from tarragonwind.core.entries import Entry
from tarragonwind.core.verdicts import MoveVerdict
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Compare, Delete, Put, Store, Timers

MAX_ATTEMPTS = 8
"""Tries of one write that loses the head to other writes."""
SETTLE_LIMIT_S = 10.0
"""Time to find out what became of a write whose answer was lost, in seconds."""
SETTLE_PAUSE_S = 0.2


@dataclass(slots=True)
class PreparedWrite:
    """Hold one transaction, so that it can be sent again unchanged."""

    write_id: str
    compares: list[Compare]
    ops: list[Put | Delete]
    changes: list[Change]


class CatalogueWriter:
    """Make accepted changes and settle lost answers.

    Parameters
    ----------
    store : Store
        Store that holds the catalogue.
    reader : CatalogueReader
        Reader of the same catalogue.
    state : CatalogueState
        Catalogue in force on this daemon; accepted changes come into force there at once.
    timers : Timers
        Clock and timer subscriptions.
    host : str
        Name of this daemon.
    rng : random.Random
        Source of write ids.
    on_accepted : callable
        Called with changes that came into force here, to spread them.
    on_store_behind : callable
        Called when the store turns out to be older than what is in force.
    """

    def __init__(
        self,
        store: Store,
        reader: CatalogueReader,
        state: CatalogueState,
        timers: Timers,
        host: str,
        rng: random.Random,
        on_accepted: Callable[[list[Change]], None] = lambda changes: None,
        on_store_behind: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._reader = reader
        self._state = state
        self._timers = timers
        self._host = host
        self._rng = rng
        self.on_accepted = on_accepted
        self.on_store_behind = on_store_behind

    def put(
        self, entry: Entry, author: str, expected_number: int | None = None
    ) -> Future[list[Change]]:
        """Write one entry; see `put_all` for the errors."""
        return self.write([Edit(entry.key, pack_entry(entry), expected_number)], author)

    def delete(
        self, key: str, author: str, expected_number: int | None = None
    ) -> Future[list[Change]]:
        """Remove one entry; see `put_all` for the errors."""
        return self.write([Edit(key, None, expected_number)], author)

    def put_all(self, entries: list[Entry], author: str) -> Future[list[Change]]:
        """Write entries, as many in one transaction as it holds.

        The future may fail with `EntryError` (nothing of that transaction was written),
        `CatalogueConflict`, `StoreBehind`, `WriteContended`, `WriteOutcomeUnknown` or `StoreError`
        (not written).
        """
        return spawn(self._put_all(entries, author))

    async def _put_all(self, entries: list[Entry], author: str) -> list[Change]:
        accepted: list[Change] = []
        for edits in split_edits([Edit(entry.key, pack_entry(entry)) for entry in entries]):
            accepted += await self.write(edits, author)
        return accepted

    def write(self, edits: list[Edit], author: str, write_id: str = "") -> Future[list[Change]]:
        """Make edits in one transaction; see `put_all` for the errors.

        Parameters
        ----------
        edits : list of Edit
            Entries to write or remove.
        author : str
            Who asks for it.
        write_id : str, optional
            Unique id that the changes carry; one is made when there is none.
        """
        if not write_id:
            write_id = f"{self._host}-{self._rng.getrandbits(64):016x}"
        return spawn(self._write(edits, author, write_id))

    async def _write(self, edits: list[Edit], author: str, write_id: str) -> list[Change]:
        check_sizes(edits)
        head = await self._synchronise()
        expected = {edit.key: self._expected(edit) for edit in edits}
        for _ in range(MAX_ATTEMPTS):
            for key, number in expected.items():
                self._require_number(key, number)
            changes = self._build_changes(edits, author, write_id)
            if await self._submit(self._prepare(head, changes)):
                self._bring_in_force(changes)
                return changes
            head = await self._synchronise()
        raise WriteContended("other writes came first; nothing was written, try again")

    def _expected(self, edit: Edit) -> int:
        if edit.expected_number is not None:
            return edit.expected_number
        record = self._state.in_force.records.get(edit.key)
        return record.number if record else 0

    def _require_number(self, key: str, expected: int) -> None:
        record = self._state.in_force.records.get(key)
        number = record.number if record else 0
        if number != expected:
            raise CatalogueConflict(key, number, record.doc if record else None)

    async def _synchronise(self) -> Head:
        """Bring the newest accepted state in force here and return its head."""
        for _ in range(MAX_ATTEMPTS):
            known = max(self._state.highest_seen, self._state.number)
            head = await self._reader.read_head()
            self._require_current(head, known)
            applied = await self._reader.catch_up(self._state, head)
            if applied:
                self.on_accepted(applied)
            if self._state.number == head.number:
                self._require_same_content(head)
                return head
        raise WriteContended("the catalogue changes too fast; nothing was written, try again")

    def _require_current(self, head: Head, known: int) -> None:
        """Refuse a head below a number that was known before it was read."""
        if head.number < known:
            logger.error(
                "event=store_behind store_number={} in_force={} hint=the_store_lost_writes",
                head.number,
                known,
            )
            self.on_store_behind()
            raise StoreBehind(head.number, known)

    def _require_same_content(self, head: Head) -> None:
        if head.digest != self._state.in_force.digest:
            logger.error("event=store_diverged number={} hint=the_store_lost_writes", head.number)
            self.on_store_behind()
            raise StoreBehind(head.number, self._state.number)

    def _build_changes(self, edits: list[Edit], author: str, write_id: str) -> list[Change]:
        """Give the edits their numbers and check them against the catalogue in force."""
        before = self._state.in_force
        at = self._timers.wall()
        after = before
        changes = []
        for edit in edits:
            draft = Change(after.number + 1, edit.key, edit.doc, write_id, at, author, 0)
            after = after.with_changes([draft])
            changes.append(
                Change(draft.number, edit.key, edit.doc, write_id, at, author, after.digest)
            )
        check_write(before, after, [edit.key for edit in edits])
        return changes

    def _prepare(self, head: Head, changes: list[Change]) -> PreparedWrite:
        layout = self._reader.layout
        last = changes[-1]
        ops: list[Put | Delete] = []
        for change in changes:
            entry_key = layout.entry(change.key)
            if change.doc is None:
                ops.append(Delete(entry_key))
            else:
                ops.append(Put(entry_key, pack_record(change.number, change.doc)))
            ops.append(Put(layout.change(change.number), pack_change(change)))
            if change.number > MAX_RECENT_CHANGES:
                ops.append(Delete(layout.change(change.number - MAX_RECENT_CHANGES)))
        ops.append(Put(layout.head, pack_head(last.number, last.digest, last.write_id)))
        compares = [Compare(layout.head, head.mod_revision)]
        compares += self._absent_verdicts(changes)
        return PreparedWrite(last.write_id, compares, ops, changes)

    def _absent_verdicts(self, changes: list[Change]) -> list[Compare]:
        layout = self._reader.layout
        keys = [change.key for change in changes if change.key.startswith("verdict/")]
        return [Compare(layout.entry(key), 0) for key in keys]

    async def _submit(self, prepared: PreparedWrite) -> bool:
        """Commit and tell whether the write was accepted, by reading back when need be."""
        try:
            result = await self._store.commit(prepared.compares, prepared.ops)
        except StoreError as exc:
            if not exc.maybe_applied:
                raise
            logger.warning("event=write_answer_lost write_id={} why={}", prepared.write_id, exc)
            return await self._settle(prepared)
        return result.succeeded

    async def _settle(self, prepared: PreparedWrite) -> bool:
        """Find out what became of a write whose answer was lost.

        The change's key tells who got the number. While nobody has it, the first copy may still be
        under way; the same transaction is sent again, and its comparison lets only one take effect.
        """
        give_up_at = self._timers.now() + SETTLE_LIMIT_S
        number = prepared.changes[0].number
        while self._timers.now() < give_up_at:
            try:
                found = await self._reader.read_change(number)
                if found is not None:
                    return found.write_id == prepared.write_id
                result = await self._store.commit(prepared.compares, prepared.ops)
                if result.succeeded:
                    return True
                if await self._lost_for_good(prepared):
                    return False
            except StoreError as exc:
                logger.warning("event=write_unsettled write_id={} why={}", prepared.write_id, exc)
            await delay(self._timers, SETTLE_PAUSE_S)
        raise WriteOutcomeUnknown(prepared.write_id, prepared.changes)

    async def _lost_for_good(self, prepared: PreparedWrite) -> bool:
        """Tell whether another write took the head without leaving our change."""
        found = await self._reader.read_change(prepared.changes[0].number)
        return found is None or found.write_id != prepared.write_id

    def _bring_in_force(self, changes: list[Change]) -> None:
        applied = self._state.apply_changes(changes)
        logger.info(
            "event=catalogue_accepted number={} changed={} author={}",
            changes[-1].number,
            len(changes),
            changes[-1].author,
        )
        if applied:
            self.on_accepted(applied)

    def record_verdict(self, verdict: MoveVerdict) -> Future[MoveVerdict]:
        """Record the answer for a move; the first one recorded stands.

        Returns
        -------
        Future of MoveVerdict
            The verdict that stands, this one or an earlier one. It may fail as `put_all` does.
        """
        return spawn(self._record_verdict(verdict))

    async def _record_verdict(self, verdict: MoveVerdict) -> MoveVerdict:
        for _ in range(MAX_ATTEMPTS):
            await self._synchronise()
            standing = self._state.in_force.verdict_of(verdict.move)
            if standing is not None:
                return standing
            edits = verdict_edits(self._state.in_force, verdict)
            try:
                await self.write(edits, verdict.host)
            except CatalogueConflict:
                continue
            return verdict
        raise WriteContended("other writes came first; the verdict was not recorded")

    def recent_changes(self) -> Future[list[Change]]:
        """Return all kept changes, oldest first; may fail with StoreError."""
        return spawn(self._reader.read_changes())

    def history(self, key: str) -> Future[list[Change]]:
        """Return the kept changes of an entry, oldest first; may fail with StoreError."""
        return spawn(self._history(key))

    async def _history(self, key: str) -> list[Change]:
        return [change for change in await self._reader.read_changes() if change.key == key]
