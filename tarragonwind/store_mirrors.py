"""Mirror key prefixes of the store on this host, from the store or from other hosts."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from loguru import logger

from tarragonwind.core.mirror_states import MirrorItem, MirrorState
from tarragonwind.core.store_positions import ORIGIN, StorePosition
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import (
    DEFAULT_POLL_S,
    Store,
    Timers,
    Watch,
    WatchEvent,
)

RETRY_DELAY_S = 0.4
"""Mean delay before the second attempt to read from an unavailable store, in seconds."""
MAX_RETRY_DELAY_S = 1.2
"""Mean delay that doubles up to this between later attempts, in seconds: hosts that the store
rejects get its changes from other hosts meanwhile."""
REWATCH_DELAY_S = 0.05
"""Mean delay between the end of a watch and the read that follows it, in seconds."""
MIN_BATCH_DELAY_S = 0.2
"""Time for which a watch lets changes gather in a small fleet, in seconds."""
MAX_BATCH_DELAY_S = 1.2
"""Time for which a watch lets changes gather in the largest fleets, in seconds."""
BATCH_DELAY_PER_HOST_S = 0.01
"""Part of this time for each host above `SMALL_FLEET_HOSTS`, in seconds: the more hosts watch, the
sooner one of them passes a change on to the others."""
BATCH_DELAY_FRACTION = 0.25
"""Largest part of the time by which a change must be in force that a watch may let pass; the rest
is left for a slow store and for the requests that are being sent."""
SMALL_FLEET_HOSTS = 30
"""Fleet size up to which changes gather for `MIN_BATCH_DELAY_S`."""
WATCH_SOURCE = "watch"
"""Source of the changes that the watch returns."""
LONG_POLL_S = 10.0
"""Longest wait of one watch call where other hosts show that a watch has stalled, in seconds."""
LONG_POLL_HOSTS = 16
"""Live hosts from which on `LONG_POLL_S` is used: so many watches don't stall together unless the
store is unavailable, which the renewals of the leases show."""
STALL_AFTER_S = 1.0
"""Time after which a waiting watch call that has not returned a change known from another host
counts as stalled, in seconds."""


def batch_delay_s(fleet_size: int, bound_s: float = math.inf) -> float:
    """Return the time for which a watch lets changes gather, in seconds.

    Parameters
    ----------
    fleet_size : int
        Hosts of the fleet.
    bound_s : float
        Time by which a change must be in force on all hosts, in seconds.
    """
    hosts = max(0, fleet_size - SMALL_FLEET_HOSTS)
    by_size = min(MAX_BATCH_DELAY_S, MIN_BATCH_DELAY_S + BATCH_DELAY_PER_HOST_S * hosts)
    return min(by_size, BATCH_DELAY_FRACTION * bound_s)


def poll_s(live_hosts: int) -> float:
    """Return the longest wait of one watch call beside a number of live hosts, in seconds."""
    return LONG_POLL_S if live_hosts >= LONG_POLL_HOSTS else DEFAULT_POLL_S


ChangeListener = Callable[[list[MirrorItem]], None]


class StoreMirror:
    """Mirror one key prefix of the store by a range read followed by a watch.

    Parameters
    ----------
    prefix : str
        Key prefix to mirror.
    store : Store
        Store to read from.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator for the jitter of delays.
    bound_s : float, optional
        Time by which a change must be in force on all hosts, in seconds.

    Attributes
    ----------
    state : MirrorState
        Local copy of the keys.
    unavailable_since : float or None
        Monotonic time since which reads have failed, in seconds; the creation time before the
        first read, None after a successful one.
    recovered_at : float
        Monotonic time of the last recovery or new era of the store, in seconds.
    """

    def __init__(
        self,
        prefix: str,
        store: Store,
        timers: Timers,
        rng: random.Random,
        bound_s: float = math.inf,
    ) -> None:
        self.prefix = prefix
        self.state = MirrorState()
        self.unavailable_since: float | None = timers.now()
        self.recovered_at = timers.now()
        self._store = store
        self._timers = timers
        self._rng = rng
        self._listeners: list[ChangeListener] = []
        self._watch: Watch | None = None
        self._watch_era = 0
        self._watch_ended: Future[str] | None = None
        self._poll_s = DEFAULT_POLL_S
        self._retry_delay_s = RETRY_DELAY_S
        self._bound_s = bound_s
        self._batch_delay_s = batch_delay_s(0, bound_s)
        self._stopped = False
        self._doubtful = ORIGIN
        self._undoubted = ORIGIN
        self._outage_ended_at = float("-inf")

    @property
    def shared_position(self) -> StorePosition:
        """Return the position up to which other hosts may take this copy for complete.

        While changes up to the copy's own position may be missing, it is the one before them.
        """
        return self.state.position if self._doubtful == ORIGIN else self._undoubted

    def subscribe(self, listener: ChangeListener) -> None:
        """Register a listener that receives each batch of changes to the copy."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start reading and watching the store."""
        spawn(self._run())

    def stop(self) -> None:
        """Cancel the watch and stop."""
        self._stopped = True
        if self._watch is not None:
            self._watch.cancel()

    def set_fleet_size(self, size: int) -> None:
        """Let changes gather for a time that suits a fleet of `size` hosts."""
        self._batch_delay_s = batch_delay_s(size, self._bound_s)
        if self._watch is not None:
            self._watch.batch_delay_s = self._batch_delay_s

    def set_live_hosts(self, count: int) -> None:
        """Choose the wait of watch calls; a long one is ended when too few hosts are left."""
        wait_s = poll_s(count)
        if wait_s == self._poll_s:
            return
        self._poll_s = wait_s
        if self._watch is None:
            return
        self._watch.poll_s = wait_s
        if wait_s < LONG_POLL_S:
            self.restart_watch("few live hosts are left to show a stalled watch")

    def restart_watch(self, reason: str) -> None:
        """End the watch, so that the store is read again."""
        if self._watch is not None and self._watch_ended is not None:
            self._watch.cancel()
            self._watch_ended.set_result(reason)

    def on_store_failed(self, reason: str) -> None:
        """Read the store again after a failed call of another part, unless a read soon shows it."""
        if self._poll_s > DEFAULT_POLL_S:
            self.restart_watch(f"another call to the store failed: {reason}")

    def _expect_return(self) -> None:
        """End the watch if a call that waits does not return what another host has passed on."""
        watch = self._watch
        if watch is None or not watch.pending_call or watch.poll_s == DEFAULT_POLL_S:
            return
        call = watch.pending_call

        def check() -> None:
            if self._watch is watch and watch.pending_call == call:
                self.restart_watch("it has not returned a change that another host passed on")

        self._timers.call_later(STALL_AFTER_S, check)

    def outage_age_s(self) -> float:
        """Return the time since the end of the last known store outage, infinity for none."""
        return self._timers.now() - self._outage_ended_at

    def note_outage_end(self, age_s: float) -> None:
        """Take over the end of a store outage that another host has seen, some seconds ago.

        A host that reads the store itself knows better: the other one alone may have been refused.
        """
        if self.unavailable_since is not None:
            self._set_recovered(self._timers.now() - age_s)

    def _set_recovered(self, at: float) -> None:
        self._outage_ended_at = max(self._outage_ended_at, at)
        self.recovered_at = max(self.recovered_at, at)

    def notify_listeners(self, changes: list[MirrorItem], source: str) -> None:
        """Log changes of the copy and pass them to the listeners."""
        if not changes:
            return
        logger.info(
            "event=mirror_changed prefix={} source={} changes={} revision={} era={}",
            self.prefix,
            source,
            len(changes),
            self.state.position.revision,
            self.state.position.era,
        )
        self._call_listeners(changes)

    def _call_listeners(self, changes: list[MirrorItem]) -> None:
        """Call each listener; one that fails stops neither the others nor the watch."""
        for listener in self._listeners:
            try:
                listener(changes)
            except Exception:
                logger.exception("event=mirror_listener_failed prefix={}", self.prefix)

    def apply_snapshot(
        self,
        items: list[MirrorItem],
        position: StorePosition,
        source: str,
        doubtful: bool = False,
        last: StorePosition = ORIGIN,
    ) -> None:
        """Apply a full snapshot of the store, which may be the first of a new era.

        `doubtful` has the same meaning as for `apply_changes`; `last` is the position of the last
        page that was read, or that at which another host's copy is settled.
        """
        enters_era = self.state.loaded and position.era > self.state.position.era
        if enters_era:
            # Upstreams and hosts need time to write again what the older copy lacks.
            self._set_recovered(self._timers.now())
        shared = self.shared_position
        applied = self.state.apply_snapshot(items, position, last)
        if doubtful:
            self._begin_doubt(shared)
        if enters_era and not applied:
            # Listeners tell a loss from a removal by the era in which they know the key.
            self._call_listeners([])
        self.notify_listeners(applied, source)

    def apply_changes(
        self,
        changes: list[MirrorItem],
        source: str,
        end: StorePosition = ORIGIN,
        doubtful: bool = False,
        settled_at: StorePosition = ORIGIN,
        begin: StorePosition | None = None,
    ) -> None:
        """Apply changes of the store.

        Parameters
        ----------
        changes : list of MirrorItem
            All changes between the copy's position and the last of them.
        source : str
            Name of the host that passed them on, or `WATCH_SOURCE`.
        end : StorePosition
            Position up to which there are no further changes.
        doubtful : bool
            Whether some may be missing: hosts of the first protocol level take a copy that was
            read in pages for complete up to its newest item.
        settled_at : StorePosition
            Position at which the other host's copy is settled.
        begin : StorePosition, optional
            Position that this copy had when it asked.
        """
        shared = self.shared_position
        applied = self.state.apply_changes(changes, end, settled_at, begin)
        if doubtful:
            self._begin_doubt(shared)
        elif source == WATCH_SOURCE:
            self._end_doubt(max((item.position for item in changes), default=ORIGIN))
        watch = self._watch
        current = self._watch_era == self.state.position.era and self._doubtful == ORIGIN
        if watch is not None and current:
            watch.known_revision = self.state.position.revision
        if applied and source != WATCH_SOURCE:
            self._expect_return()
        self.notify_listeners(applied, source)

    def _begin_doubt(self, shared: StorePosition) -> None:
        """Doubt the copy up to its position; before, it was complete up to `shared`."""
        self._doubtful = position = self.state.position
        self._undoubted = shared if shared.era == position.era else StorePosition(position.era, 0)

    def _end_doubt(self, position: StorePosition) -> None:
        """Trust the copy again if the store itself has shown the changes up to a position."""
        if position >= self._doubtful:
            self._doubtful = ORIGIN

    async def catch_up(self, key: str) -> None:
        """Return when the copy has all that the store had accepted before the call.

        A copy that has not been loaded yet is left to the first read.

        Parameters
        ----------
        key : str
            Key with a short value, whose read tells the revision of the store.

        Raises
        ------
        StoreError
            If the store can't be read.
        """
        if not self.state.loaded:
            return
        head = await self._store.read_range(key)
        position = StorePosition(head.era, head.revision)
        if position > self.state.position or self._doubtful != ORIGIN:
            await self._read_all()

    async def _run(self) -> None:
        while not self._stopped:
            try:
                position = await self._read_all()
            except StoreError as exc:
                self._mark_unavailable(str(exc))
                await delay(self._timers, self._retry_delay_s * self._jitter())
                self._retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * self._retry_delay_s)
                continue
            self._retry_delay_s = RETRY_DELAY_S
            reason = await self._watch_from(position)
            logger.info("event=watch_ended prefix={} reason={!r}", self.prefix, reason)
            await delay(self._timers, REWATCH_DELAY_S * self._jitter())

    async def _read_all(self) -> StorePosition:
        """Read and apply all keys; return the position of the store at that time."""
        result = await self._store.read_range(self.prefix)
        # Before the changes are applied: what expired during the outage has a grace period.
        self._mark_available()
        position = StorePosition(result.era, result.revision)
        items = [
            MirrorItem(one.key, one.value, StorePosition(result.era, one.mod_revision))
            for one in result.items
        ]
        last = StorePosition(result.era, max(result.revision, result.last_revision))
        self.apply_snapshot(items, position, "store", last=last)
        self._end_doubt(position)
        return position

    async def _watch_from(self, position: StorePosition) -> str:
        ended: Future[str] = Future()
        era = position.era

        def apply_events(events: list[WatchEvent]) -> None:
            changes = [
                MirrorItem(one.key, one.value, StorePosition(era, one.mod_revision))
                for one in events
            ]
            self.apply_changes(changes, WATCH_SOURCE)

        def end(reason: str) -> None:
            ended.set_result(reason)

        watch = self._store.watch(self.prefix, position.revision + 1, apply_events, end, era)
        watch.batch_delay_s = self._batch_delay_s
        watch.poll_s = self._poll_s
        self._watch = watch
        self._watch_ended = ended
        self._watch_era = era
        reason = await ended
        self._watch = None
        return reason

    def _jitter(self) -> float:
        return self._rng.uniform(0.75, 1.25)

    def _mark_unavailable(self, reason: str) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = self._timers.now()
            logger.warning("event=store_lost prefix={} reason={!r}", self.prefix, reason)

    def _mark_available(self) -> None:
        if self.unavailable_since is None:
            return
        away_s = self._timers.now() - self.unavailable_since
        self.unavailable_since = None
        self.recovered_at = self._timers.now()
        if self.state.loaded:
            self._outage_ended_at = self.recovered_at
        logger.info("event=store_back prefix={} away_s={:.2f}", self.prefix, away_s)
