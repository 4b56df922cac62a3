"""Bring accepted changes from the store to this daemon: watch, poll, start and mend."""

from __future__ import annotations

import random
from collections.abc import Callable

import xxhash
from loguru import logger

from tarragonwind.catalogue_errors import CatalogueError
from tarragonwind.catalogue_healers import CatalogueHealer, needs_heal
from tarragonwind.catalogue_layouts import Head, unpack_change
from tarragonwind.catalogue_readers import CatalogueReader
from tarragonwind.catalogue_replicators import CatalogueReplicator
from tarragonwind.catalogue_writers import CatalogueWriter, Edit
from tarragonwind.core.catalogue_states import CatalogueState
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.changes import Change
from tarragonwind.errors import EntryError, StoreError
from tarragonwind.futures import Future, Task, spawn
from tarragonwind.ports import Members, Store, Timer, Timers, Watch, WatchEvent

STORE_WATCHER_COUNT = 2
"""Daemons of a fleet that watch the store."""
WATCHER_POLL_PERIOD_S = 1.0
"""Time between a watcher's reads of the head, in seconds."""
FLEET_POLL_PERIOD_S = 0.4
"""Time between the reads of the head by all daemons together, in seconds."""
PEER_ANSWER_TIMEOUT_S = 3.0
"""Time that a starting daemon waits for an answer of live peers before it trusts the store."""
START_CHECK_PERIOD_S = 0.1
MAX_START_PEERS = 8
"""Peers that a starting daemon asks for their numbers."""
STORE_RETRY_PERIOD_S = 0.5


def watch_rank(live: tuple[str, ...], host: str) -> int:
    """Return a daemon's rank among the live ones for watching the store, from 0."""
    ranked = sorted(
        live, key=lambda name: xxhash.xxh3_64_intdigest(f"catalogue-watch/{name}".encode())
    )
    return ranked.index(host) if host in ranked else len(ranked)


class CatalogueWatcher:
    """Follow the store for this daemon, as closely as its rank asks for.

    Parameters
    ----------
    store : Store
        Store that holds the catalogue.
    reader : CatalogueReader
        Reader of it.
    state : CatalogueState
        Catalogue in force on this daemon.
    replicator : CatalogueFollower
        Way to the other daemons.
    writer : CatalogueWriter
        Writer, for changes that an old store accepted.
    healer : CatalogueHealer
        Mends a store that is behind.
    members : Members
        Live daemons.
    timers : Timers
        Clock and timer subscriptions.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        store: Store,
        reader: CatalogueReader,
        state: CatalogueState,
        replicator: CatalogueReplicator,
        writer: CatalogueWriter,
        healer: CatalogueHealer,
        members: Members,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._reader = reader
        self._state = state
        self._replicator = replicator
        self._writer = writer
        self._healer = healer
        self._members = members
        self._timers = timers
        self._rng = rng
        self._watch: Watch | None = None
        self._poll_timer: Timer | None = None
        self._polling: Task[None] | None = None
        self._polled = False
        self._store_away_since: float | None = None
        self._stopped = False
        self.loaded: Future[None] = Future()
        """Done once a catalogue is in force, be it the empty one of a new store."""
        state.subscribe(self._on_in_force)
        writer.on_accepted = replicator.broadcast
        writer.on_store_behind = self.poll_now
        members.subscribe(self._review_watch)

    def start(self) -> None:
        """Get the catalogue from peers or the store and follow it from then on."""
        self._replicator.start()
        self._start_step(self._timers.now(), set())

    def stop(self) -> None:
        """End the watch and the polls."""
        self._stopped = True
        self._replicator.stop()
        self._cancel_watch()
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    def _start_step(self, began_at: float, asked: set[str]) -> None:
        """Wait for a peer's number; the store alone may hold an older state than is in force."""
        if self._stopped:
            return
        waited_s = self._timers.now() - began_at
        if self._peers_have_answered(asked) or waited_s >= PEER_ANSWER_TIMEOUT_S:
            self.poll_now()
            return
        self._timers.call_later(START_CHECK_PERIOD_S, lambda: self._start_step(began_at, asked))

    def _peers_have_answered(self, asked: set[str]) -> bool:
        """Tell whether a peer has named a number, or all that are asked have none either.

        Asks some more peers when it isn't so.
        """
        live_peers = self._replicator.live_peers()
        if not live_peers or self._state.highest_seen:
            return True
        heard = {item.host for item in self._replicator.numbers() if item.age_s < float("inf")}
        asked &= set(live_peers)
        if asked and asked <= heard:
            return True
        if len(asked) < MAX_START_PEERS:
            asked.update(self._replicator.neighbours())
            asked.update(self._rng.sample(live_peers, min(MAX_START_PEERS, len(live_peers))))
        self._replicator.request_numbers(sorted(asked - heard))
        return False

    @property
    def is_store_watcher(self) -> bool:
        """Tell whether this daemon is to watch the store."""
        return watch_rank(self._members.live(), self._members.name) < STORE_WATCHER_COUNT

    def poll_now(self) -> None:
        """Read the head and bring what it names in force."""
        if self._stopped or (self._polling is not None and not self._polling.done()):
            return
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._polling = spawn(self._poll())
        self._polling.add_callback(self._after_poll)

    def _after_poll(self, task: Future[None]) -> None:
        if self._stopped:
            return
        period_s = max(WATCHER_POLL_PERIOD_S, FLEET_POLL_PERIOD_S * len(self._members.live()))
        if self.is_store_watcher:
            period_s = WATCHER_POLL_PERIOD_S
        if self._store_away_since is not None and self.is_store_watcher:
            period_s = STORE_RETRY_PERIOD_S
        try:
            task.result()
        except Exception:
            logger.exception("event=catalogue_poll_failed")
        # The first pause is any part of the period: daemons that start together part.
        pause_s = period_s * self._rng.uniform(0.75 if self._polled else 0.0, 1.25)
        self._polled = True
        self._poll_timer = self._timers.call_later(pause_s, self.poll_now)

    async def _poll(self) -> None:
        try:
            in_force = self._state.in_force
            head = await self._reader.read_head()
            self._note_store(away=False, why="")
            if needs_heal(head, in_force):
                await self._heal()
                return
            missed = head.number > self._state.number
            await self._catch_up(head)
            if missed and self._watch is not None:
                self._cancel_watch()
            self._start_watch(head)
            if not self._state.behind:
                self._note_loaded()
        except StoreError as exc:
            self._note_store(away=True, why=str(exc))

    def _on_in_force(self, catalogue: Catalogue) -> None:
        unread = catalogue.unparsed_keys()
        if unread:
            logger.warning(
                "event=entries_unreadable count={} first={} hint=update_this_daemon",
                len(unread),
                unread[0],
            )
        self._note_loaded()

    def _note_loaded(self) -> None:
        self.loaded.set_result(None)

    async def _catch_up(self, head: Head) -> None:
        if head.number < self._state.highest_seen:
            # A peer has a newer state than the store: it comes from there.
            return
        applied = await self._reader.catch_up(self._state, head)
        if applied:
            self._take_over(applied, "poll")

    def _take_over(self, applied: list[Change], how: str) -> None:
        logger.info("event=catalogue_in_force number={} how={}", self._state.number, how)
        self._replicator.broadcast(applied)

    def _note_store(self, away: bool, why: str) -> None:
        if away and self._store_away_since is None:
            self._store_away_since = self._timers.now()
            logger.warning("event=store_away why={!r} hint=requests_go_on_without_it", why)
        if not away and self._store_away_since is not None:
            self._store_away_since = None
            logger.info("event=store_back")

    def store_away_s(self) -> float:
        """Return the seconds since a read first failed, 0 when the last one was answered."""
        if self._store_away_since is None:
            return 0.0
        return self._timers.now() - self._store_away_since

    def _review_watch(self) -> None:
        if not self.is_store_watcher:
            self._cancel_watch()
        elif self._watch is None and self.loaded.done():
            self.poll_now()

    def _start_watch(self, head: Head) -> None:
        if self._watch is not None or self._stopped or not self.is_store_watcher:
            return
        prefix = self._reader.layout.changes
        watch = WatchGuard(self._on_events, self._on_watch_end)
        self._watch = Watch(watch.close)
        watch.port_watch = self._store.watch(
            prefix, head.revision + 1, watch.on_events, watch.on_end
        )

    def _cancel_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _on_events(self, events: list[WatchEvent]) -> None:
        changes = []
        for event in events:
            if event.value is None:
                continue
            try:
                changes.append(unpack_change(event.key, event.value))
            except StoreError as exc:
                logger.warning("event=change_unreadable why={!r}", str(exc))
        applied = self._state.apply_changes(changes)
        if applied:
            self._take_over(applied, "watch")
        if self._state.behind:
            self.poll_now()

    def _on_watch_end(self, reason: str) -> None:
        logger.warning("event=watch_ended why={!r}", reason)
        self._watch = None
        if not self._stopped:
            pause_s = STORE_RETRY_PERIOD_S * self._rng.uniform(0.5, 1.0)
            self._timers.call_later(pause_s, self.poll_now)

    async def _heal(self) -> None:
        self._cancel_watch()
        try:
            result = await self._healer.heal()
            for change in result.conflicting if result else ():
                await self._writer.write([Edit(change.key, change.doc)], change.author)
        except (CatalogueError, EntryError) as exc:
            logger.error("event=foreign_change_lost why={!r} hint=put_it_again", str(exc))


class WatchGuard:
    """Drop the reports of a watch that has been cancelled."""

    __slots__ = ("_closed", "_on_end", "_on_events", "port_watch")

    def __init__(
        self, on_events: Callable[[list[WatchEvent]], None], on_end: Callable[[str], None]
    ) -> None:
        self._on_events = on_events
        self._on_end = on_end
        self._closed = False
        self.port_watch = Watch()

    def close(self) -> None:
        """End the watch."""
        self._closed = True
        self.port_watch.cancel()

    def on_events(self, events: list[WatchEvent]) -> None:
        """Pass changes on while the watch is open."""
        if not self._closed:
            self._on_events(events)

    def on_end(self, reason: str) -> None:
        """Pass the end on while the watch is open."""
        if not self._closed:
            self._closed = True
            self._on_end(reason)
