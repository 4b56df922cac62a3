"""Run the moves of a host: connect them to timers, peers and the store of verdicts."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from tarragonwind.catalogue_errors import CatalogueError
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import MoveEntry, PoolEntry
from tarragonwind.core.move_messages import MoveFacts, MoveReport, MoveShare
from tarragonwind.core.move_tables import TICK_PERIOD_S, MoveTable, Outgoing
from tarragonwind.core.move_trials import Outcome, Trial
from tarragonwind.core.moves import MoveResult, VerdictRecorder, move_identity
from tarragonwind.core.pool_usages import PoolUsage
from tarragonwind.core.verdicts import MoveOutcome, MoveVerdict
from tarragonwind.core.version_selectors import VersionSelector
from tarragonwind.errors import EntryError, StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Members, Peers, Timers
from tarragonwind.records import dataclass

OUTCOMES: dict[MoveResult, MoveOutcome] = {
    MoveResult.DONE: MoveOutcome.DONE,
    MoveResult.TAKEN_BACK: MoveOutcome.TAKEN_BACK,
}
EVIDENCE_LOG_PERIOD_S = 5.0
"""Time between two log lines of the evidence on a move at its judge, in seconds."""
RESULTS = {outcome: result for result, outcome in OUTCOMES.items()}


@dataclass(frozen=True, slots=True)
class ServingState:
    """Describe which versions of a pool serve.

    Attributes
    ----------
    version : str
        Current version.
    is_shared : bool
        Whether a new version gets a share of the requests.
    is_replaced : bool
        Whether the new version gets all of them.
    """

    version: str
    is_shared: bool
    is_replaced: bool


class VerdictWriter(Protocol):
    """Record the verdicts on moves."""

    def record_verdict(self, verdict: MoveVerdict) -> Future[MoveVerdict]:
        """Record a verdict unless the move has one; return the recorded one."""


class MoveRunner(VerdictRecorder, VersionSelector):
    """Send and receive a move table's messages, and record its results in the store.

    Parameters
    ----------
    members : Members
        Live hosts.
    peers : Peers
        Messages between hosts.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator.
    writer : VerdictWriter
        Writer that records verdicts.
    incarnation : int
        Number of this process, larger than that of any earlier one of the host.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        timers: Timers,
        rng: random.Random,
        writer: VerdictWriter,
        incarnation: int,
    ) -> None:
        self.table = MoveTable(members, incarnation, self)
        self._name = members.name
        self._members = members
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._writer = writer
        self._catalogue = Catalogue()
        self._recording: set[str] = set()
        self._version_listeners: list[Callable[[str], None]] = []
        self._serving: dict[str, ServingState] = {}
        self._logged: dict[str, tuple[int, str, int]] = {}
        peers.subscribe(MoveReport, self._on_report)
        peers.subscribe(MoveShare, self._on_share)
        peers.subscribe(MoveFacts, self._on_facts)
        timers.call_every(TICK_PERIOD_S, self._tick)

    def subscribe_version_change(self, listener: Callable[[str], None]) -> None:
        """Register a listener for pools whose queued requests need another version."""
        self._version_listeners.append(listener)

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue and the verdicts in it."""
        self._catalogue = catalogue
        now = self._timers.wall()
        moves = [
            entry for entry in catalogue.contents("move").values() if isinstance(entry, MoveEntry)
        ]
        pools = {
            entry.name: entry.version
            for entry in catalogue.contents("pool").values()
            if isinstance(entry, PoolEntry)
        }
        self.table.set_catalogue(now, moves, pools)
        for entry in moves:
            verdict = catalogue.verdict_of(entry.name)
            if verdict is not None:
                self._apply_verdict(entry, verdict)
        self._notify_version_changes()

    def choose_version(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Choose a request's version; ignore `now`, as moves use the hosts' wall clock."""
        return self.table.choose_version(self._timers.wall(), rng, pool, route)

    def packs_requests(self, pool: str, version: str) -> bool:
        """Return whether a version's requests should fill one upstream before the next.

        With a small share this exposes the new version to high load.
        """
        move = self._catalogue.move_of(pool)
        if move is None or move.to_version != version:
            return False
        return self.table.packs_requests(pool)

    def is_withheld(self, pool: str, version: str) -> bool:
        """Return whether a version gets no requests because it was rolled back."""
        return self.table.is_withheld(pool, version)

    def replacement_of(self, pool: str, version: str) -> str:
        """Return the version that gets all requests in place of another one, empty for none."""
        return self.table.replacement_of(pool, version)

    def start(self, pool: str, route: str, version: str, load: float) -> Trial | None:
        """Start to track a request as evidence; return None if it is not evidence."""
        return self.table.start(self._timers.wall(), pool, route, version, load)

    def first_byte(self, trial: Trial) -> None:
        """Count the first response byte of a tracked request."""
        self.table.first_byte(self._timers.wall(), trial)

    def finish(self, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Count the end of a tracked request."""
        self.table.finish(self._timers.wall(), trial, outcome, tokens)

    def set_usage(self, usage: PoolUsage) -> None:
        """Take what is known about the use of versions from another source."""
        self.table.usage = usage

    def is_ending(self, name: str) -> bool:
        """Return whether the active move with a name has taken its last step, and carries it."""
        moves = [move for move in self.table.active_moves() if move.entry.name == name]
        return any(move.replaces_all and not move.judge.capacity.obstacle for move in moves)

    def take_back(self, name: str, why: str) -> None:
        """Take back the active move with a name."""
        self._send(self.table.take_back(name, why))
        self._notify_version_changes()

    def outcome_of(self, name: str) -> MoveOutcome | None:
        """Return the recorded outcome of the move with a name, None while it has none."""
        for move in self.table.moves():
            if move.entry.name == name and move.result is not None:
                return OUTCOMES[move.result]
        return None

    def count_by_state(self) -> dict[str, int]:
        """Return the number of moves by result, ``not_settled`` for those without one."""
        counts = {"not_settled": 0, "done": 0, "taken_back": 0}
        for status in self.table.statuses(self._timers.wall()):
            counts[status.result.value if status.result else "not_settled"] += 1
        return counts

    def read(self, move_id: str) -> None:
        """Look up the recorded result in the current catalogue."""
        entry = self._find_entry(move_id)
        if entry is None:
            return
        verdict = self._catalogue.verdict_of(entry.name)
        if verdict is not None:
            self._apply_verdict(entry, verdict)
        else:
            self._send(self.table.apply_result(self._timers.wall(), move_id, None, ""))

    def record(self, move_id: str, result: MoveResult, why: str) -> None:
        """Record a result unless one is recorded already; the first writer wins."""
        entry = self._find_entry(move_id)
        if entry is None or move_id in self._recording:
            return
        self._recording.add(move_id)
        spawn(self._record(entry, result, why))

    async def _record(self, entry: MoveEntry, result: MoveResult, why: str) -> None:
        verdict = MoveVerdict(entry.name, OUTCOMES[result], self._name, self._timers.wall(), why)
        try:
            recorded = await self._writer.record_verdict(verdict)
        except (StoreError, CatalogueError, EntryError) as exc:
            logger.warning("event=verdict_not_recorded move={} why={!r}", entry.name, str(exc))
            return
        finally:
            self._recording.discard(move_identity(entry))
        logger.info(
            "event=verdict_recorded move={} outcome={} why={!r}",
            entry.name,
            recorded.outcome.value,
            recorded.why,
        )
        self._apply_verdict(entry, recorded)

    def _apply_verdict(self, entry: MoveEntry, verdict: MoveVerdict) -> None:
        result = RESULTS[verdict.outcome]
        now = self._timers.wall()
        self._send(self.table.apply_result(now, move_identity(entry), result, verdict.why))
        self._notify_version_changes()

    def _find_entry(self, move_id: str) -> MoveEntry | None:
        for entry in self._catalogue.contents("move").values():
            if isinstance(entry, MoveEntry) and move_identity(entry) == move_id:
                return entry
        return None

    def _on_report(self, host: str, msg: MoveReport) -> None:
        self._send(self.table.on_report(self._timers.wall(), host, msg))
        self._notify_version_changes()

    def _on_share(self, host: str, msg: MoveShare) -> None:
        self.table.on_share(self._timers.wall(), host, msg)

    def _on_facts(self, host: str, msg: MoveFacts) -> None:
        self._send(self.table.on_facts(self._rng, msg))
        self._notify_version_changes()

    def _tick(self) -> None:
        self._send(self.table.tick(self._timers.wall(), self._rng))
        self._log_changes()
        self._notify_version_changes()

    def _log_changes(self) -> None:
        """Log the moves whose step or rollback has changed; at the judge, also their evidence."""
        period = int(self._timers.now() / EVIDENCE_LOG_PERIOD_S)
        logged = {}
        for move in self.table.moves():
            is_judged_here = self.table.is_active(move) and self._owns(move.entry.pool)
            state = (move.judge.step, move.judge.taken_back, period if is_judged_here else 0)
            logged[move.move_id] = state
            if state == self._logged.get(move.move_id, (0, "", 0)):
                continue
            logger.info(
                "event=move_step move={} step={} taken_back={} why={!r} {}",
                move.entry.name,
                move.judge.step,
                bool(move.judge.taken_back),
                move.judge.taken_back or (move.judge.why if is_judged_here else move.judge_why),
                move.judge.describe_evidence(),
            )
        self._logged = logged

    def _owns(self, pool: str) -> bool:
        return self._members.owner_of(pool) == self._name

    def _send(self, outgoing: list[Outgoing]) -> None:
        for out in outgoing:
            self._peers.send(out.host, out.msg)

    def _notify_version_changes(self) -> None:
        """Notify listeners of the pools whose set of serving versions has changed."""
        now = self._timers.wall()
        for entry in self._catalogue.contents("pool").values():
            if not isinstance(entry, PoolEntry):
                continue
            share = self.table.share(now, entry.name)
            serving = ServingState(entry.version, share > 0, share >= 1)
            if self._serving.get(entry.name) == serving:
                continue
            self._serving[entry.name] = serving
            for listener in self._version_listeners:
                listener(entry.name)
