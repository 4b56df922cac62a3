"""Carry out the rollouts that an operator orders, by moves between versions."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from math import inf

from loguru import logger

from tarragonwind.core.catalogues import Record, build_catalogue
from tarragonwind.core.entries import Entry, UpstreamEntry
from tarragonwind.core.move_completions import SETTLE_S
from tarragonwind.core.move_trials import Outcome, Trial
from tarragonwind.core.pool_usages import PoolUsage, UnknownUsage
from tarragonwind.core.rollouts import (
    GIVE_UP_WHY,
    RolloutRecord,
    RolloutState,
    RolloutStatus,
    create_move,
    create_pool,
    create_record,
    create_verdict,
    end_version,
    give_up_at,
    live_versions,
    pack_record,
    serving_version,
    state_of,
)
from tarragonwind.core.verdicts import MoveOutcome, MoveVerdict
from tarragonwind.core.version_selectors import ANY_VERSION, VersionSelector
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.move_runners import MoveRunner, VerdictWriter
from tarragonwind.ports import Compare, Members, Peers, Put, Store, Timers
from tarragonwind.rollout_states import RECORD_PREFIX, PoolRollout, RolloutCodec, RolloutStates
from tarragonwind.store_mirrors import StoreMirror

TICK_PERIOD_S = 0.25
"""Interval of the checks of rollouts that are pending or overdue, in seconds."""
RECORD_RETRY_S = 1.0
"""Time between two attempts to record how an order is carried out, in seconds."""
REPUBLISH_DELAY_S = 2.0
"""Time for which the store shows an ended rollout as running until its state is written again, in
seconds: longer than a watch takes to return the state that has just been written."""
REPUBLISH_WHY = "the store had lost the recorded state"


class RolloutRunner(VersionSelector, VerdictWriter):
    """Select versions by the rollouts in a mirror of the store, and publish their states.

    The owner of a pool records the start of its rollout and the result; the first writer wins.

    Parameters
    ----------
    mirror : StoreMirror
        Mirror of the store.
    codec : RolloutCodec
        Keys and documents of the operator.
    store : Store
        Store to which records and states are written.
    members : Members
        Live hosts.
    peers : Peers
        Messages between hosts.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator.
    upstreams_of : callable
        Returns the upstreams of a pool.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        codec: RolloutCodec,
        store: Store,
        members: Members,
        peers: Peers,
        timers: Timers,
        rng: random.Random,
        upstreams_of: Callable[[str], Sequence[UpstreamEntry]],
    ) -> None:
        self._codec = codec
        self._store = store
        self._members = members
        self._timers = timers
        self._upstreams_of = upstreams_of
        self._recorded_at: dict[str, float] = {}
        self._republish_at: dict[str, float] = {}
        self._listeners: list[Callable[[str], None]] = []
        self._number = 0
        self._usage: PoolUsage = UnknownUsage()
        incarnation = int(timers.wall() * 1_000)
        self.moves = MoveRunner(members, peers, timers, rng, self, incarnation)
        self._states = RolloutStates(mirror, codec, self._on_changed)
        timers.call_every(TICK_PERIOD_S, self._tick)

    def choose_version(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Return a version, or `ANY_VERSION` for a pool without a rollout."""
        rollout = self._states.pools.get(pool)
        if rollout is None:
            return ANY_VERSION
        if rollout.is_pending:
            return self._old_version(pool, rollout)
        if rollout.record is None:
            return ANY_VERSION
        version = self.moves.choose_version(now, rng, pool, route)
        return self._servable_version(pool, rollout, rollout.record, version)

    def _servable_version(
        self, pool: str, rollout: PoolRollout, record: RolloutRecord, version: str
    ) -> str:
        """Return a chosen version, or another one if none of its upstreams is live."""
        live = live_versions(self._upstreams_of(pool))
        if version in live:
            return version
        if rollout.state is RolloutState.RUNNING:
            other = record.to_version if version == record.from_version else record.from_version
            return other if other in live else version
        # Upstreams may have been replaced by ones of another version without a rollout.
        withheld = {record.to_version} if rollout.state is RolloutState.ROLLED_BACK else set()
        return min(live - withheld, default=version)

    def packs_requests(self, pool: str, version: str) -> bool:
        """Return whether a version's requests should fill one upstream before the next."""
        return self.moves.packs_requests(pool, version)

    def is_withheld(self, pool: str, version: str) -> bool:
        """Return whether a version's rollout has not begun yet or was taken back."""
        rollout = self._states.pools.get(pool)
        if rollout is None:
            return False
        if rollout.is_pending and rollout.order is not None:
            return version == rollout.order.to_version and bool(self._old_version(pool, rollout))
        return self.moves.is_withheld(pool, version)

    def replacement_of(self, pool: str, version: str) -> str:
        """Return the version that gets all requests in place of another one, empty for none."""
        rollout = self._states.pools.get(pool)
        if rollout is None or rollout.is_pending:
            return ""
        return self.moves.replacement_of(pool, version)

    def subscribe_version_change(self, listener: Callable[[str], None]) -> None:
        """Register a listener for pools whose queued requests need another version."""
        self._listeners.append(listener)
        self.moves.subscribe_version_change(listener)

    def set_usage(self, usage: PoolUsage) -> None:
        """Take what is known about the use of versions from another source."""
        self._usage = usage
        self.moves.set_usage(usage)

    def start(self, pool: str, route: str, version: str, load: float) -> Trial | None:
        """Start to track a request as evidence; return None if it is not evidence."""
        return self.moves.start(pool, route, version, load)

    def first_byte(self, trial: Trial) -> None:
        """Count the first response byte of a tracked request."""
        self.moves.first_byte(trial)

    def finish(self, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Count the end of a tracked request."""
        self.moves.finish(trial, outcome, tokens)

    def record_verdict(self, verdict: MoveVerdict) -> Future[MoveVerdict]:
        """Publish the result of a rollout unless one is published, and return the one in force."""
        return spawn(self._record_verdict(verdict))

    async def _record_verdict(self, verdict: MoveVerdict) -> MoveVerdict:
        pool = verdict.move
        rollout = self._states.pools.get(pool)
        if rollout is None or rollout.record is None or rollout.is_pending:
            raise StoreError(f"pool {pool} has no recorded rollout")
        recorded = create_verdict(pool, rollout.record, rollout.state)
        if recorded is not None:
            return recorded
        status = RolloutStatus(state_of(verdict.outcome), rollout.record.to_version)
        key = self._codec.status_prefix + pool
        compares = [
            Compare(RECORD_PREFIX + pool, rollout.record_revision),
            Compare(key, rollout.status_revision),
        ]
        result = await self._store.commit(compares, [Put(key, self._codec.encode_status(status))])
        if not result.succeeded:
            raise StoreError(f"the rollout of pool {pool} has changed meanwhile")
        return verdict

    def _on_changed(self, pools: set[str]) -> None:
        for pool in pools:
            rollout = self._states.pools[pool]
            logger.info(
                "event=rollout pool={} to={} state={} pending={}",
                pool,
                rollout.order.to_version if rollout.order else "-",
                rollout.state.value,
                rollout.is_pending,
            )
        self._apply_records()
        for pool in pools:
            for listener in self._listeners:
                listener(pool)
        self._record_pending()

    def _apply_records(self) -> None:
        """Derive the moves and verdicts from the records and published states."""
        self._number += 1
        records = {}
        for pool, rollout in self._states.pools.items():
            for entry in create_entries(pool, rollout):
                records[entry.key] = Record(self._number, b"", entry)
        self.moves.set_catalogue(build_catalogue(self._number, records))

    def _old_version(self, pool: str, rollout: PoolRollout) -> str:
        """Return the version that serves while an order is pending, or `ANY_VERSION`."""
        if rollout.order is None:
            return ANY_VERSION
        previous = end_version(rollout.record, rollout.state) if rollout.record else ""
        return serving_version(self._upstreams_of(pool), rollout.order.to_version, previous)

    def _tick(self) -> None:
        if self._states.pools:
            self._record_pending()
            self._take_back_overdue()
            self._republish_lost()

    def _record_pending(self) -> None:
        now = self._timers.now()
        for pool, rollout in self._states.pools.items():
            if not rollout.is_pending or self._members.owner_of(pool) != self._members.name:
                continue
            if now - self._recorded_at.get(pool, -inf) >= RECORD_RETRY_S:
                self._recorded_at[pool] = now
                spawn(self._record_start(pool, rollout))

    def _take_back_overdue(self) -> None:
        """Take back the rollouts of this host's pools that have not completed in time.

        One that only waits for the last requests of the old version gets the time that these may
        take: to complete late costs less than to move all requests back.
        """
        now = self._timers.wall()
        for pool, rollout in self._states.pools.items():
            record = rollout.record
            if record is None or rollout.is_pending or rollout.state is not RolloutState.RUNNING:
                continue
            due_at = give_up_at(record)
            if self.moves.is_ending(pool):
                due_at += self._usage.time_limit_s(pool) + SETTLE_S
            if now >= due_at and self._members.owner_of(pool) == self._members.name:
                self.moves.take_back(pool, GIVE_UP_WHY)

    def _republish_lost(self) -> None:
        """Write the states of ended rollouts again that the store has lost.

        A store that comes back from an older copy may show them as running; a host that starts
        then would carry them out once more.
        """
        now = self._timers.now()
        for pool, rollout in self._states.pools.items():
            outcome = self._lost_outcome(pool, rollout)
            if outcome is None:
                self._republish_at.pop(pool, None)
            elif now >= self._republish_at.setdefault(pool, now + REPUBLISH_DELAY_S):
                self._republish_at[pool] = now + REPUBLISH_DELAY_S
                spawn(self._republish(pool, outcome))

    def _lost_outcome(self, pool: str, rollout: PoolRollout) -> MoveOutcome | None:
        """Return how a rollout of one of this host's pools ended if the store doesn't show it."""
        running = rollout.record is not None and rollout.state is RolloutState.RUNNING
        if not running or rollout.is_pending or self._members.owner_of(pool) != self._members.name:
            return None
        return self.moves.outcome_of(pool)

    async def _republish(self, pool: str, outcome: MoveOutcome) -> None:
        verdict = MoveVerdict(pool, outcome, self._members.name, self._timers.wall(), REPUBLISH_WHY)
        try:
            await self._record_verdict(verdict)
        except StoreError as exc:
            logger.warning("event=rollout_not_republished pool={} why={!r}", pool, str(exc))
            return
        logger.info("event=rollout_republished pool={} outcome={}", pool, outcome.value)

    async def _record_start(self, pool: str, rollout: PoolRollout) -> None:
        try:
            await self._write_start(pool, rollout)
        except StoreError as exc:
            logger.warning("event=rollout_not_recorded pool={} why={!r}", pool, str(exc))

    async def _write_start(self, pool: str, rollout: PoolRollout) -> None:
        from_version = self._old_version(pool, rollout)
        if not from_version or rollout.order is None:
            return
        record = create_record(
            rollout.order, rollout.order_revision, from_version, self._timers.wall()
        )
        status = RolloutStatus(RolloutState.RUNNING, record.to_version)
        keys = (RECORD_PREFIX + pool, self._codec.status_prefix + pool)
        compares = [
            Compare(keys[0], rollout.record_revision),
            Compare(keys[1], rollout.status_revision),
        ]
        result = await self._store.commit(
            compares,
            [Put(keys[0], pack_record(record)), Put(keys[1], self._codec.encode_status(status))],
        )
        if result.succeeded:
            logger.info("event=rollout_started pool={} record={}", pool, record)


def create_entries(pool: str, rollout: PoolRollout) -> list[Entry | MoveVerdict]:
    """Return the pool, the move and the verdict of a recorded rollout."""
    if rollout.record is None or rollout.is_pending:
        return []
    entries: list[Entry | MoveVerdict] = [
        create_pool(pool, rollout.record),
        create_move(pool, rollout.record, cancelled=rollout.order is None),
    ]
    verdict = create_verdict(pool, rollout.record, rollout.state)
    return entries if verdict is None else [*entries, verdict]
