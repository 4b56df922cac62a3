"""Keep copies of the store's prefixes on this host: from the store, or from other hosts."""

from __future__ import annotations

import random
from collections.abc import Callable

from loguru import logger

from tarragonwind.core.mirror_messages import MirrorAsk, MirrorPart
from tarragonwind.core.mirror_states import MirrorItem, MirrorState
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.messages import MessageError
from tarragonwind.ports import (
    Gossip,
    Members,
    Peers,
    Store,
    Timer,
    Timers,
    Watch,
    WatchEvent,
)

RETRY_S = 0.4
"""Time between two tries to reach a store that is away, in seconds."""
WATCH_PAUSE_S = 0.05
"""Time between the end of a watch and the read that follows it, in seconds."""
ASK_PERIOD_S = 0.25
"""Least time between two questions for the same mirror, in seconds."""
REVISION_BYTES = 8
"""Bytes of the revision that rides on probes."""

OnItems = Callable[[list[MirrorItem]], None]


class StoreMirror:
    """Follow one prefix of the store.

    Parameters
    ----------
    prefix : str
        Prefix that is copied.
    store : Store
        The store.
    timers : Timers
        Clock and timer subscriptions.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    state : MirrorState
        The copy.
    unavailable_since : float or None
        Time since which the store has not answered, None while it does.
    recovered_at : float
        Time at which it last came back, in seconds.
    """

    def __init__(
        self,
        prefix: str,
        store: Store,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self.prefix = prefix
        self.state = MirrorState()
        self.unavailable_since: float | None = timers.now()
        self.recovered_at = timers.now()
        self._store = store
        self._timers = timers
        self._rng = rng
        self._listeners: list[OnItems] = []
        self._watch: Watch | None = None
        self._stopped = False

    def subscribe(self, listener: OnItems) -> None:
        """Call `listener` with the changes each time that the copy changes."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begin to follow the store."""
        spawn(self._follow())

    def stop(self) -> None:
        """End the watch."""
        self._stopped = True
        if self._watch is not None:
            self._watch.cancel()

    def notify_listeners(self, changes: list[MirrorItem], source: str) -> None:
        """Tell the listeners of changes that came into the copy."""
        if not changes:
            return
        logger.info(
            "event=mirror_changed prefix={} source={} changes={} revision={}",
            self.prefix,
            source,
            len(changes),
            self.state.revision,
        )
        for listener in self._listeners:
            listener(changes)

    async def _follow(self) -> None:
        while not self._stopped:
            try:
                result = await self._store.read_range(self.prefix)
            except StoreError as exc:
                self._note_away(str(exc))
                await delay(self._timers, RETRY_S * self._jitter())
                continue
            self._note_back()
            items = [MirrorItem(one.key, one.value, one.mod_revision) for one in result.items]
            self.notify_listeners(self.state.apply_snapshot(items, result.revision), "store")
            reason = await self._watch_from(result.revision + 1)
            logger.info("event=watch_ended prefix={} reason={!r}", self.prefix, reason)
            await delay(self._timers, WATCH_PAUSE_S * self._jitter())

    async def _watch_from(self, revision: int) -> str:
        ended: Future[str] = Future()

        def end(reason: str) -> None:
            ended.set_result(reason)

        self._watch = self._store.watch(self.prefix, revision, self._on_events, end)
        return await ended

    def _on_events(self, events: list[WatchEvent]) -> None:
        changes = [MirrorItem(one.key, one.value, one.mod_revision) for one in events]
        self.notify_listeners(self.state.apply_changes(changes), "watch")

    def _jitter(self) -> float:
        return self._rng.uniform(0.75, 1.25)

    def _note_away(self, reason: str) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = self._timers.now()
            logger.warning("event=store_lost prefix={} reason={!r}", self.prefix, reason)

    def _note_back(self) -> None:
        if self.unavailable_since is None:
            return
        away_s = self._timers.now() - self.unavailable_since
        self.unavailable_since = None
        self.recovered_at = self._timers.now()
        logger.info("event=store_back prefix={} away_s={:.2f}", self.prefix, away_s)


class MirrorReplicator:
    """Let hosts fill one mirror from one another.

    Parameters
    ----------
    mirror : StoreMirror
        The mirror.
    members : Members
        Live hosts.
    gossip : Gossip
        Facts on the probes between them.
    peers : Peers
        Messages between hosts.
    timers : Timers
        Clock.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        members: Members,
        gossip: Gossip,
        peers: Peers,
        timers: Timers,
    ) -> None:
        self._mirror = mirror
        self._members = members
        self._gossip = gossip
        self._peers = peers
        self._timers = timers
        self._asked_at = float("-inf")
        self._told = 0
        self._asks_again: Timer | None = None
        gossip.attach(mirror.prefix, self._provide, self._on_payload)
        peers.subscribe(MirrorAsk, self._on_ask)
        peers.subscribe(MirrorPart, self._on_part)
        members.subscribe(self._on_members)
        mirror.subscribe(self._on_changed)

    def _provide(self) -> bytes | None:
        return self._mirror.state.revision.to_bytes(REVISION_BYTES, "big")

    def _on_payload(self, sender: str, value: bytes) -> None:
        if int.from_bytes(value, "big") > self._mirror.state.revision:
            self._ask(sender)

    def _on_members(self) -> None:
        """Ask the others at the start, as the store may turn this host away."""
        others = [name for name in self._members.live() if name != self._members.name]
        if not self._mirror.state.loaded and others:
            self._ask(others[0])

    def _on_changed(self, changes: list[MirrorItem]) -> None:
        if self._mirror.state.revision > self._told:
            self._told = self._mirror.state.revision
            self._gossip.push_payloads()

    def _ask(self, host: str) -> None:
        """Ask a host for what it holds; one question at a time, the last one asked again later."""
        now = self._timers.now()
        wait_s = self._asked_at + ASK_PERIOD_S - now
        if wait_s > 0:
            if self._asks_again is None:
                self._asks_again = self._timers.call_later(wait_s, lambda: self._ask_again(host))
            return
        self._asked_at = now
        state = self._mirror.state
        self._peers.send(
            host, MirrorAsk(self._mirror.prefix, state.revision if state.loaded else -1)
        )

    def _ask_again(self, host: str) -> None:
        self._asks_again = None
        self._ask(host)

    def _on_ask(self, sender: str, msg: MirrorAsk) -> None:
        state = self._mirror.state
        if msg.prefix != self._mirror.prefix or not state.loaded:
            return
        changes = state.changes_since(msg.since) if msg.since >= 0 else None
        whole = changes is None
        items = list(state.items.values()) if changes is None else changes
        rows: list[list] = [[one.key, one.value, one.revision] for one in items]
        self._peers.send(sender, MirrorPart(self._mirror.prefix, state.revision, whole, rows))

    def _on_part(self, sender: str, msg: MirrorPart) -> None:
        if msg.prefix != self._mirror.prefix:
            return
        items = [unpack_item(row) for row in msg.items]
        state = self._mirror.state
        changes = (
            state.apply_snapshot(items, msg.revision) if msg.whole else state.apply_changes(items)
        )
        self._mirror.notify_listeners(changes, sender)


def unpack_item(row: list) -> MirrorItem:
    """Return the item that a row of a message holds.

    Raises
    ------
    MessageError
        When it holds none.
    """
    if not isinstance(row, list) or len(row) != 3:
        raise MessageError("a mirror's item has three fields")
    key, value, revision = row
    valid = isinstance(key, str) and isinstance(revision, int)
    if not valid or not (value is None or isinstance(value, bytes)):
        raise MessageError("a mirror's item has a field of the wrong type")
    return MirrorItem(key, value, revision)
