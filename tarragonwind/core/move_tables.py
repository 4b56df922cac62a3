"""Manage a host's moves: choose versions, count outcomes, report, judge and gossip facts."""

from __future__ import annotations

import random

from tarragonwind.core.entries import MoveEntry
from tarragonwind.core.evidence import CellKey, Side, load_level
from tarragonwind.core.host_moves import HostMove
from tarragonwind.core.move_capacities import VersionCapacity
from tarragonwind.core.move_messages import MoveFacts, MoveReport, MoveShare
from tarragonwind.core.move_steps import COMPLETE_STEP, FIRST_LOADED_STEP
from tarragonwind.core.move_trials import LatencyHistory, Outcome, Trial
from tarragonwind.core.moves import (
    REPORT_MAX_AGE_PERIODS,
    MoveResult,
    MoveStatus,
    VerdictRecorder,
    move_identity,
)
from tarragonwind.core.pool_usages import PoolUsage, UnknownUsage, count_others
from tarragonwind.messages import Message
from tarragonwind.ports import Members
from tarragonwind.records import dataclass

TICK_PERIOD_S = 0.25
"""Time between two calls of `MoveTable.tick`, in seconds."""

URGENT_PERIOD_S = 0.25
"""Report period with urgent outcomes or while a judge requests frequent reports, in seconds."""

REPORT_PERIOD_S = 1.0
"""Minimum report period without urgent outcomes, in seconds."""

REPORT_PERIOD_PER_HOST_S = 0.05
"""Report period per live host, so that a judge's load does not grow with them, in seconds."""

RECORD_RETRY_S = 2.0
"""Time between two attempts to read or write the recorded result, in seconds."""

READ_WAIT_S = 3.0
"""Maximum time that a new judge waits for the recorded result, in seconds."""

DEPUTY_TRIES = 8
"""Maximum number of keys hashed to find a deputy other than the owner."""

MAX_REMOVED = 1_000
"""Maximum number of removed moves whose facts are kept in case the entry comes back."""

MAX_HISTORIES = 64
"""Maximum number of versions whose times are kept; the oldest is dropped first."""

FORWARD_COUNT = 2
"""Number of hosts to which a new fact is forwarded."""

COMPLETE_WHY = "complete, waiting for the store's record"


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Pair a message with its destination host."""

    host: str
    msg: Message


class MoveTable:
    """Hold and drive the moves of one host.

    Parameters
    ----------
    members : Members
        Live hosts; `owner_of(pool)` names the host that judges the pool's moves.
    incarnation : int
        Number of this process, larger than that of any earlier one of the host.
    recorder : VerdictRecorder
        Access to recorded results; it reports no failures, and the table retries.

    Attributes
    ----------
    usage : PoolUsage
        What this host knows about the use of the versions.

    Notes
    -----
    Each `now` is in seconds since the epoch; host clocks must agree within half a second.
    """

    __slots__ = (
        "_histories",
        "_incarnation",
        "_members",
        "_moves",
        "_pools",
        "_recorder",
        "_removed",
        "usage",
    )

    def __init__(self, members: Members, incarnation: int, recorder: VerdictRecorder) -> None:
        self._members = members
        self._incarnation = incarnation
        self._recorder = recorder
        self._moves: dict[str, HostMove] = {}
        self._removed: dict[str, HostMove] = {}
        self._pools: dict[str, str] = {}
        self._histories: dict[tuple[str, str], LatencyHistory] = {}
        self.usage: PoolUsage = UnknownUsage()

    @property
    def report_period_s(self) -> float:
        """Return the time between two reports without urgent outcomes, in seconds."""
        return max(REPORT_PERIOD_S, REPORT_PERIOD_PER_HOST_S * len(self._members.live()))

    def set_catalogue(self, now: float, moves: list[MoveEntry], pools: dict[str, str]) -> None:
        """Apply a new catalogue.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        moves : list of MoveEntry
            All moves.
        pools : dict
            Current version of each pool, by pool name.
        """
        self._pools = dict(pools)
        known = self._removed | self._moves
        self._moves = {}
        for entry in sorted(moves, key=lambda move: (move.starts_at, move.name)):
            move_id = move_identity(entry)
            move = known.get(move_id) or HostMove(
                entry, now, self._history(entry.pool, entry.from_version)
            )
            move.set_entry(entry)
            self._moves[move_id] = move
        gone = [move_id for move_id in known if move_id not in self._moves]
        self._removed = {move_id: known[move_id] for move_id in gone[-MAX_REMOVED:]}

    def choose_version(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Return the version that should serve a pool's next request."""
        version, move = self._serving(pool)
        if move is None or now < move.entry.starts_at:
            return version
        chosen = move.draw(now, rng, route, self.report_period_s)
        return move.entry.to_version if chosen else version

    def share(self, now: float, pool: str) -> float:
        """Return the fraction of a pool's requests routed to the new version of its move."""
        _, move = self._serving(pool)
        return move.share(now, self.report_period_s) if move else 0.0

    def is_withheld(self, pool: str, version: str) -> bool:
        """Return whether a version gets no requests because a move to it was taken back."""
        serving, active = self._serving(pool)
        if version == serving or (active is not None and version == active.entry.to_version):
            return False
        return any(
            move.entry.pool == pool and move.entry.to_version == version and move.judge.taken_back
            for move in self._moves.values()
        )

    def replacement_of(self, pool: str, version: str) -> str:
        """Return the version that gets all requests in place of another one, empty for none.

        A host that has reported to use no other version keeps to that, whatever a pool's owner
        grants that knows less.
        """
        serving, active = self._serving(pool)
        if active is not None:
            replacing = active.entry.to_version if active.replaces_all else ""
        else:
            replacing = serving if any(one.moved for one in self._moves_of(pool)) else ""
        return replacing if version != replacing else ""

    def _moves_of(self, pool: str) -> list[HostMove]:
        return [move for move in self._moves.values() if move.entry.pool == pool]

    def packs_requests(self, pool: str) -> bool:
        """Return whether new-version requests should fill one upstream before using the next.

        With a small share this exposes the new version to high load.
        """
        _, move = self._serving(pool)
        return move is not None and move.judge.step == FIRST_LOADED_STEP

    def start(
        self, now: float, pool: str, route: str, version: str, in_flight_fraction: float
    ) -> Trial | None:
        """Track a dispatched request; return None if its outcome is not evidence.

        Without a move, only its times are added to the history of its version.
        """
        level = load_level(in_flight_fraction)
        _, move = self._serving(pool)
        if move is not None:
            return move.start(now, route, version, level)
        key = CellKey(0, Side.OLD, route, level)
        return Trial("", key, now, history=self._history(pool, version))

    def _history(self, pool: str, version: str) -> LatencyHistory:
        """Return the times of a version on this host."""
        history = self._histories.get((pool, version))
        if history is None:
            while len(self._histories) >= MAX_HISTORIES:
                del self._histories[next(iter(self._histories))]
            history = self._histories[pool, version] = LatencyHistory()
        return history

    def first_byte(self, now: float, trial: Trial) -> None:
        """Count the first response byte of a tracked request."""
        if trial.history is not None:
            trial.add_first_byte(now)
            return
        move = self._moves.get(trial.move_id)
        if move is not None:
            move.counter.first_byte(now, trial)

    def finish(self, now: float, trial: Trial, outcome: Outcome, tokens: int = 0) -> None:
        """Count the end of a tracked request, with the number of tokens in its response."""
        if trial.history is not None:
            trial.add_end(now, outcome, tokens)
            return
        move = self._moves.get(trial.move_id)
        if move is not None:
            move.counter.finish(now, trial, outcome, tokens)

    def status(self, now: float, name: str) -> list[MoveStatus]:
        """Return the status of the moves with a name or identity, the latest last."""
        found = []
        for move in self._moves.values():
            if name in (move.move_id, move.entry.name):
                found.append(
                    move.status(now, self.report_period_s, self._waiting_reason(now, move))
                )
        return found

    def statuses(self, now: float) -> list[MoveStatus]:
        """Return the status of all moves."""
        return [status for move_id in self._moves for status in self.status(now, move_id)]

    def apply_result(
        self, now: float, move_id: str, result: MoveResult | None, why: str
    ) -> list[Outgoing]:
        """Apply the recorded result (None if there is none); return the messages to broadcast."""
        move = self._moves.get(move_id)
        if move is None:
            return []
        move.record_read = True
        if result is None or not move.merge_facts("", result, why):
            return []
        return self._broadcast_facts(move)

    def moves(self) -> list[HostMove]:
        """Return all moves of the catalogue."""
        return list(self._moves.values())

    def active_moves(self) -> list[HostMove]:
        """Return the moves in progress."""
        return [move for move in self._moves.values() if self.is_active(move)]

    def tick(self, now: float, rng: random.Random) -> list[Outgoing]:
        """Return the due reports, shares and facts; call this every `TICK_PERIOD_S`."""
        outgoing: list[Outgoing] = []
        for move in list(self._moves.values()):
            move.detect_pause(now)
            if self.is_active(move):
                outgoing += self._tick_move(now, move)
            elif move.judge.taken_back and move.result is None:
                self._record(now, move)
        outgoing += self._gossip(rng)
        return outgoing

    def take_back(self, name: str, why: str) -> list[Outgoing]:
        """Take back the active move with a name; return the messages to broadcast.

        The reason that is recorded also tells what the move was waiting for.
        """
        outgoing: list[Outgoing] = []
        for move in self.active_moves():
            if move.entry.name == name:
                move.judge.take_back(f"{why}: {move.judge.why}")
                outgoing += self._broadcast_facts(move)
        return outgoing

    def on_report(self, now: float, sender: str, msg: MoveReport) -> list[Outgoing]:
        """Merge a host's report and return the replies to it."""
        move = self._moves.get(msg.move_id)
        if move is None:
            return []
        was_taken_back = bool(move.judge.taken_back)
        move.judge.receive(sender, msg)
        move.judging_until = now + REPORT_MAX_AGE_PERIODS * self.report_period_s
        outgoing: list[Outgoing] = []
        if move.judge.taken_back and not was_taken_back:
            outgoing += self._broadcast_facts(move)
        if move.result is not None or (move.judge.taken_back and not msg.taken_back):
            outgoing.append(Outgoing(sender, self._facts_of(move)))
        outgoing.append(Outgoing(sender, self._create_share(move, sender, msg.incarnation)))
        return outgoing

    def on_share(self, now: float, sender: str, msg: MoveShare) -> None:
        """Apply the share that a judge has sent."""
        move = self._moves.get(msg.move_id)
        if move is None:
            return
        move.acknowledge(sender, msg.incarnation, msg.acknowledged)
        owner, deputy = self._judges(move.entry.pool)
        if sender in (owner, deputy):
            move.apply_share(now, msg, sender == owner)

    def on_facts(self, rng: random.Random, msg: MoveFacts) -> list[Outgoing]:
        """Merge facts and return the messages that forward the new ones."""
        outgoing: list[Outgoing] = []
        for move_id, taken_back, result, why in msg.facts:
            move = self._moves.get(move_id)
            if move is None:
                continue
            if move.merge_facts(taken_back, MoveResult(result) if result else None, why):
                outgoing += self._forward_facts(rng, move, FORWARD_COUNT)
        return outgoing

    def _serving(self, pool: str) -> tuple[str, HostMove | None]:
        """Return the version that serves a pool, and the move in progress, if any."""
        version = self._pools.get(pool, "")
        for move in self._moves.values():
            if move.entry.pool != pool or move.entry.from_version != version:
                continue
            if move.moved:
                version = move.entry.to_version
            elif move.result is None and not move.judge.taken_back:
                return version, move
        return version, None

    def is_active(self, move: HostMove) -> bool:
        """Return whether a move is the one in progress in its pool."""
        return self._serving(move.entry.pool)[1] is move

    def _waiting_reason(self, now: float, move: HostMove) -> str:
        if move.result is not None or move.judge.taken_back:
            return ""
        version, active = self._serving(move.entry.pool)
        if active is None:
            return f"the pool's version is {version}, not {move.entry.from_version}"
        if active is not move:
            return f"waits for move {active.entry.name}"
        return "not started" if now < move.entry.starts_at else ""

    def _judges(self, pool: str) -> tuple[str, str]:
        """Return the owner of a pool and its deputy, which may be the same host."""
        owner = self._members.owner_of(pool)
        for number in range(DEPUTY_TRIES):
            deputy = self._members.owner_of(f"{pool}/deputy-{number}")
            if deputy != owner:
                return owner, deputy
        return owner, owner

    def _tick_move(self, now: float, move: HostMove) -> list[Outgoing]:
        owner, deputy = self._judges(move.entry.pool)
        name = self._members.name
        move.counter.count_overdue(now)
        pool, to_version = move.entry.pool, move.entry.to_version
        move.count_others(count_others(self.usage.held(pool), to_version))
        granted = count_others(self.usage.granted(pool), to_version)
        members = self._members
        move.judge.old_use.observe(now, members.running(), granted, members.isolated)
        outgoing = self._report(now, move, {owner, deputy})
        is_judge = name in (owner, deputy) or now < move.judging_until
        if is_judge or move.lacks_judge(now, self.report_period_s):
            move.judge.evaluate(now)
        if move.judge.taken_back:
            outgoing += self._broadcast_facts(move)
            self._record(now, move)
        elif name == owner:
            outgoing += self._advance_as_owner(now, move)
        if name in (owner, deputy):
            self._apply_own_share(now, move, name == owner)
        return outgoing

    def _apply_own_share(self, now: float, move: HostMove, is_owner: bool) -> None:
        """Apply the share of this host's own judge while enough hosts report to it."""
        if move.judge.has_enough_reports(now, self._members.live(), self.report_period_s, 0):
            own = self._create_share(move, self._members.name, self._incarnation)
            move.apply_share(now, own, is_owner)

    def _report(self, now: float, move: HostMove, judges: set[str]) -> list[Outgoing]:
        period_s = URGENT_PERIOD_S if move.counter.urgent else self.report_period_s
        if move.report_often or move.must_report:
            period_s = URGENT_PERIOD_S
        if now - move.reported_at < period_s - TICK_PERIOD_S / 2 or now < move.entry.starts_at:
            return []
        move.reported_at = now
        move.must_report = False
        move.counter.urgent = False
        move.counter.evidence.begin_report()
        own = self._members.name
        move.judge.receive(own, move.report_for(now, own, self._incarnation))
        move.acknowledge(own, move.judge.incarnation, move.counter.evidence.sequence)
        reports = []
        for host in sorted(judges - {own}):
            reports.append(Outgoing(host, move.report_for(now, host, self._incarnation)))
        return reports

    def _advance_as_owner(self, now: float, move: HostMove) -> list[Outgoing]:
        """Advance the share as the pool's owner, and record "done" once it may be."""
        judge = move.judge
        self._observe_capacity(now, move)
        if not self._has_read_record(now, move):
            return []
        step = judge.step
        live = self._members.live()
        judge.advance_step(now, live, self.report_period_s)
        if judge.step == COMPLETE_STEP:
            judge.why = judge.capacity.obstacle or COMPLETE_WHY
            if judge.can_complete(now, live, self.report_period_s):
                self._record_completion(now, move)
        if judge.step == step and bool(judge.doubt) == move.in_doubt:
            return []
        others = [host for host in live if host != self._members.name]
        return [Outgoing(host, self._create_share(move, host, 0)) for host in others]

    def _observe_capacity(self, now: float, move: HostMove) -> None:
        """Note whether the new version can carry its requests, as the pool's owner knows it."""
        pool, to_version = move.entry.pool, move.entry.to_version
        capacity = None
        slots = self.usage.live_slots(pool)
        if slots is not None:
            new_slots = slots.get(to_version, 0)
            needed = sum(self.usage.granted(pool).values())
            capacity = VersionCapacity(new_slots, sum(slots.values()) - new_slots, needed)
        judge = move.judge
        totals = judge.evidence.totals
        judge.capacity.observe(now, judge.step, capacity, totals, self.report_period_s)

    def _record_completion(self, now: float, move: HostMove) -> None:
        """Record "done" unless requests may depend on the old version."""
        judge = move.judge
        time_limit_s = self.usage.time_limit_s(move.entry.pool)
        running = self._members.running()
        obstacle = judge.old_use.obstacle(now, running, judge.step_since, time_limit_s)
        judge.why = obstacle or COMPLETE_WHY
        if not obstacle:
            self._record(now, move)

    def _has_read_record(self, now: float, move: HostMove) -> bool:
        """Return whether the recorded result was read or the wait for it has ended."""
        if not move.record_read and now - move.requested_at >= RECORD_RETRY_S:
            if move.requested_at == float("-inf"):
                move.read_deadline = now + READ_WAIT_S
            move.requested_at = now
            self._recorder.read(move.move_id)
        return move.record_read or now >= move.read_deadline

    def _record(self, now: float, move: HostMove) -> None:
        if self._members.owner_of(move.entry.pool) != self._members.name:
            return
        if move.result is not None or now - move.requested_at < RECORD_RETRY_S:
            return
        move.requested_at = now
        if move.judge.taken_back:
            self._recorder.record(move.move_id, MoveResult.TAKEN_BACK, move.judge.taken_back)
        else:
            self._recorder.record(move.move_id, MoveResult.DONE, "all traffic on the new version")

    def _create_share(self, move: HostMove, host: str, incarnation: int) -> MoveShare:
        judge = move.judge
        acknowledged = judge.evidence.sequence_of(host, incarnation) if incarnation else 0
        return MoveShare(
            move_id=move.move_id,
            incarnation=judge.incarnation,
            step=judge.step,
            step_since=judge.step_since,
            acknowledged=acknowledged,
            why=judge.why,
            report_often=judge.is_suspect() or bool(judge.doubt),
            in_doubt=bool(judge.doubt),
        )

    def _facts_of(self, move: HostMove) -> MoveFacts:
        fact = move.fact()
        return MoveFacts([fact] if fact else [])

    def _others(self) -> list[str]:
        return [host for host in self._members.live() if host != self._members.name]

    def _broadcast_facts(self, move: HostMove) -> list[Outgoing]:
        return [Outgoing(host, self._facts_of(move)) for host in self._others()]

    def _forward_facts(self, rng: random.Random, move: HostMove, count: int) -> list[Outgoing]:
        others = self._others()
        chosen = rng.sample(others, min(count, len(others)))
        return [Outgoing(host, self._facts_of(move)) for host in chosen]

    def _gossip(self, rng: random.Random) -> list[Outgoing]:
        """Send all facts to one random host occasionally, to repair lost messages."""
        facts = [fact for fact in (move.fact() for move in self._moves.values()) if fact]
        others = self._others() if facts else []
        if not others or rng.random() > TICK_PERIOD_S / self.report_period_s:
            return []
        return [Outgoing(rng.choice(others), MoveFacts(facts))]
