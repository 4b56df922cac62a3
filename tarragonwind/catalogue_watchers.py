"""Follow the catalogue in the store: initial load, watch, polling and healing of the store."""

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
"""Number of live daemons that watch the store; the others poll it."""
WATCHER_POLL_PERIOD_S = 1.0
"""Time between reads of the head by a daemon that watches the store, in seconds."""
FLEET_POLL_PERIOD_S = 0.4
"""Mean time between reads of the head by all other daemons together, in seconds."""
PEER_ANSWER_TIMEOUT_S = 3.0
"""Time for which a starting daemon waits for the peers' numbers before it reads the store."""
START_CHECK_PERIOD_S = 0.1
START_PEER_COUNT = 8
"""Number of peers that a starting daemon aims to ask for their numbers."""
STORE_RETRY_PERIOD_S = 0.5


def watch_rank(live: tuple[str, ...], host: str) -> int:
    """Return a daemon's rank by rendezvous hash among the live ones, from 0."""
    ranked = sorted(
        live, key=lambda name: xxhash.xxh3_64_intdigest(f"catalogue-watch/{name}".encode())
    )
    return ranked.index(host) if host in ranked else len(ranked)


class CatalogueWatcher:
    """Follow the store by polling and, on the daemons of lowest rank, by a watch.

    Parameters
    ----------
    store : Store
        Store that holds the catalogue.
    reader : CatalogueReader
        Reader of the catalogue.
    state : CatalogueState
        Catalogue in force on this daemon.
    replicator : CatalogueReplicator
        Replication to the other daemons.
    writer : CatalogueWriter
        Writer that resubmits changes which a store that was behind had accepted.
    healer : CatalogueHealer
        Heals a store that is behind.
    members : Members
        Membership of the fleet.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator for jitter and the choice of peers.
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
        """Completes once a catalogue is in force; that of a new store is empty."""
        state.subscribe(self._on_in_force)
        writer.on_accepted = replicator.broadcast
        writer.on_store_behind = self.poll_now
        members.subscribe(self._update_watch)

    def start(self) -> None:
        """Load the catalogue from peers or the store, then follow it."""
        self._replicator.start()
        self._wait_for_peers(self._timers.now(), set())

    def stop(self) -> None:
        """Stop the replicator, the watch and the polling."""
        self._stopped = True
        self._replicator.stop()
        self._cancel_watch()
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    def _wait_for_peers(self, started_at: float, asked: set[str]) -> None:
        """Poll the store once the peers' numbers are known or `PEER_ANSWER_TIMEOUT_S` has passed.

        The peers are asked first, since a store that lost writes has an older catalogue.
        """
        if self._stopped:
            return
        waited_s = self._timers.now() - started_at
        if self._peers_have_answered(asked) or waited_s >= PEER_ANSWER_TIMEOUT_S:
            self.poll_now()
            return
        self._timers.call_later(
            START_CHECK_PERIOD_S, lambda: self._wait_for_peers(started_at, asked)
        )

    def _peers_have_answered(self, asked: set[str]) -> bool:
        """Return whether a number above 0 was seen, all asked peers responded or no peer is live.

        Otherwise ask those that have not responded, and more peers up to `START_PEER_COUNT`.
        """
        live_peers = self._replicator.live_peers()
        if not live_peers or self._state.highest_seen:
            return True
        answered = {item.host for item in self._replicator.numbers() if item.age_s < float("inf")}
        asked &= set(live_peers)
        if asked and asked <= answered:
            return True
        if len(asked) < START_PEER_COUNT:
            asked.update(self._replicator.neighbours())
            asked.update(self._rng.sample(live_peers, min(START_PEER_COUNT, len(live_peers))))
        self._replicator.request_numbers(sorted(asked - answered))
        return False

    @property
    def watches(self) -> bool:
        """Return whether this daemon is one of those that watch the store."""
        return watch_rank(self._members.live(), self._members.name) < STORE_WATCHER_COUNT

    def poll_now(self) -> None:
        """Read the head now, unless a poll is running, and apply the changes up to it."""
        if self._stopped or (self._polling is not None and not self._polling.done()):
            return
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._polling = spawn(self._poll())
        self._polling.add_callback(self._after_poll)

    async def catch_up(self) -> None:
        """Return when all changes that the store had accepted before the call are applied.

        Raises
        ------
        StoreError
            If the store can't be read.
        """
        await self._catch_up(await self._reader.read_head())

    def _after_poll(self, task: Future[None]) -> None:
        if self._stopped:
            return
        period_s = max(WATCHER_POLL_PERIOD_S, FLEET_POLL_PERIOD_S * len(self._members.live()))
        if self.watches:
            period_s = WATCHER_POLL_PERIOD_S
        if self._store_away_since is not None and self.watches:
            period_s = STORE_RETRY_PERIOD_S
        try:
            task.result()
        except Exception:
            logger.exception("event=catalogue_poll_failed")
        # The first pause is uniform over the period so that daemons started together spread out.
        pause_s = period_s * self._rng.uniform(0.75 if self._polled else 0.0, 1.25)
        self._polled = True
        self._poll_timer = self._timers.call_later(pause_s, self.poll_now)

    async def _poll(self) -> None:
        try:
            in_force = self._state.in_force
            head = await self._reader.read_head()
            self._record_store_access(away=False, why="")
            if needs_heal(head, in_force):
                await self._heal()
                return
            missed = head.number > self._state.number
            await self._catch_up(head)
            if missed and self._watch is not None:
                self._cancel_watch()
            self._start_watch(head)
            if not self._state.behind:
                self._set_loaded()
        except StoreError as exc:
            self._record_store_access(away=True, why=str(exc))

    def _on_in_force(self, catalogue: Catalogue) -> None:
        unparsed = catalogue.unparsed_keys()
        if unparsed:
            logger.warning(
                "event=entries_unreadable count={} first={} hint=update_this_daemon",
                len(unparsed),
                unparsed[0],
            )
        self._set_loaded()

    def _set_loaded(self) -> None:
        self.loaded.set_result(None)

    async def _catch_up(self, head: Head) -> None:
        if head.number < self._state.highest_seen:
            # A peer has a newer catalogue than the store; the replicator requests it there.
            return
        applied = await self._reader.catch_up(self._state, head)
        if applied:
            self._on_applied(applied, "poll")

    def _on_applied(self, applied: list[Change], how: str) -> None:
        logger.info("event=catalogue_in_force number={} how={}", self._state.number, how)
        self._replicator.broadcast(applied)

    def _record_store_access(self, away: bool, why: str) -> None:
        if away and self._store_away_since is None:
            self._store_away_since = self._timers.now()
            logger.warning("event=store_away why={!r} hint=requests_go_on_without_it", why)
        if not away and self._store_away_since is not None:
            self._store_away_since = None
            logger.info("event=store_back")

    def store_away_s(self) -> float:
        """Return the time since reads of the store began to fail, 0 if the last one succeeded."""
        if self._store_away_since is None:
            return 0.0
        return self._timers.now() - self._store_away_since

    def _update_watch(self) -> None:
        if not self.watches:
            self._cancel_watch()
        elif self._watch is None and self.loaded.done():
            self.poll_now()

    def _start_watch(self, head: Head) -> None:
        if self._watch is not None or self._stopped or not self.watches:
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
            self._on_applied(applied, "watch")
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
            for change in result.foreign if result else ():
                await self._writer.write([Edit(change.key, change.doc)], change.author)
        except (CatalogueError, EntryError) as exc:
            logger.error("event=foreign_change_lost why={!r} hint=put_it_again", str(exc))


class WatchGuard:
    """Suppress events of a watch after it was cancelled."""

    __slots__ = ("_closed", "_on_end", "_on_events", "port_watch")

    def __init__(
        self, on_events: Callable[[list[WatchEvent]], None], on_end: Callable[[str], None]
    ) -> None:
        self._on_events = on_events
        self._on_end = on_end
        self._closed = False
        self.port_watch = Watch()

    def close(self) -> None:
        """Cancel the watch."""
        self._closed = True
        self.port_watch.cancel()

    def on_events(self, events: list[WatchEvent]) -> None:
        """Forward events while the watch is open."""
        if not self._closed:
            self._on_events(events)

    def on_end(self, reason: str) -> None:
        """Forward the end of the watch while it is open, and mark it closed."""
        if not self._closed:
            self._closed = True
            self._on_end(reason)
