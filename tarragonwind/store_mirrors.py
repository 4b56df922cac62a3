"""Keep copies of the store's prefixes on this host: from the store, or from other hosts."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable

from loguru import logger

from tarragonwind.core.mirror_messages import MirrorAsk, MirrorPart
from tarragonwind.core.mirror_states import MirrorItem, MirrorState
from tarragonwind.core.rendezvous import rank_names
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.messages import MessageError
from tarragonwind.ports import (
    CLOSE_WATCH_S,
    Gossip,
    Members,
    Peers,
    Store,
    Timers,
    Watch,
    WatchEvent,
)

RETRY_S = 0.4
"""Time between two tries to reach a store that is away, in seconds."""
WATCH_PAUSE_S = 0.05
"""Time between the end of a watch and the read that follows it, in seconds."""
FAR_WATCH_S = 10.0
"""Time after which a host notices the store's silence that hears of changes from others, in
seconds."""
POLL_S = 10.0
"""Time between two reads of a host that hears of changes from others only, in seconds."""
CLOSE_WATCHERS = 3
"""Hosts of a fleet that watch the store closely."""
FAR_WATCHERS = 9
"""Hosts of a fleet that watch it with long waits; the store's calls don't grow with the others."""
ASK_PERIOD_S = 0.25
"""Least time between two questions for the same mirror, in seconds."""
FACT_BYTES = 8
"""Bytes of the revision that rides on probes."""

OnItems = Callable[[list[MirrorItem]], None]


class WatchMode(enum.Enum):
    """Tell how a host follows the store; each sign of life and each change of a watch is a call."""

    CLOSE = "close"
    """A watch that notices a silent store soon."""
    FAR = "far"
    """A watch with long waits; changes come from other hosts, too."""
    POLL = "poll"
    """No watch: changes come from other hosts, and a read now and then finds what they missed."""


def follow_closely() -> WatchMode:
    """Follow closely, as a host without others does."""
    return WatchMode.CLOSE


class WatchRanks:
    """Choose this host's mode by its rank among the live ones; a host that is alone is close.

    Parameters
    ----------
    members : Members
        Live hosts.
    key : str
        What ranks are drawn for.
    """

    def __init__(self, members: Members, key: str) -> None:
        self._members = members
        self._key = key

    def __call__(self) -> WatchMode:
        """Return the mode by the hosts that live now."""
        if self._members.isolated:
            return WatchMode.CLOSE
        ranked = rank_names(self._key, self._members.live(), CLOSE_WATCHERS + FAR_WATCHERS)
        if self._members.name in ranked[:CLOSE_WATCHERS]:
            return WatchMode.CLOSE
        return WatchMode.FAR if self._members.name in ranked else WatchMode.POLL


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
    choose_mode : callable
        Tells how this host follows the store.

    Attributes
    ----------
    state : MirrorState
        The copy.
    away_since : float or None
        Time since which the store has not answered, None while it does.
    back_at : float
        Time at which it last came back, in seconds.
    """

    def __init__(
        self,
        prefix: str,
        store: Store,
        timers: Timers,
        rng: random.Random,
        choose_mode: Callable[[], WatchMode] = follow_closely,
    ) -> None:
        self.prefix = prefix
        self.state = MirrorState()
        self.away_since: float | None = timers.now()
        self.back_at = timers.now()
        self._store = store
        self._timers = timers
        self._rng = rng
        self._choose_mode = choose_mode
        self._listeners: list[OnItems] = []
        self._watch: Watch | None = None
        self._end_watch: Callable[[str], None] | None = None
        self._mode = WatchMode.CLOSE
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

    def review(self) -> None:
        """Follow the store in another way when other hosts live and this host's part is another."""
        if self._end_watch is None or self._mode is self._choose_mode():
            return
        if self._watch is not None:
            self._watch.cancel()
        self._end_watch("this host's part in following the store has changed")

    def take(self, changes: list[MirrorItem], source: str) -> None:
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
            self.take(self.state.take_snapshot(items, result.revision), "store")
            reason = await self._watch_from(result.revision + 1)
            logger.info("event=watch_ended prefix={} reason={!r}", self.prefix, reason)
            await delay(self._timers, WATCH_PAUSE_S * self._jitter())

    async def _watch_from(self, revision: int) -> str:
        ended: Future[str] = Future()

        def end(reason: str) -> None:
            ended.set_result(reason)

        self._mode = self._choose_mode()
        self._end_watch = end
        if self._mode is WatchMode.POLL:
            timer = self._timers.call_later(POLL_S, lambda: end("it is time to read again"))
        else:
            quiet_s = CLOSE_WATCH_S if self._mode is WatchMode.CLOSE else FAR_WATCH_S
            self._watch = self._store.watch(self.prefix, revision, self._on_events, end, quiet_s)
        reason = await ended
        if self._mode is WatchMode.POLL:
            timer.cancel()
        self._watch = None
        self._end_watch = None
        return reason

    def _on_events(self, events: list[WatchEvent]) -> None:
        changes = [MirrorItem(one.key, one.value, one.mod_revision) for one in events]
        self.take(self.state.take_changes(changes), "watch")

    def _jitter(self) -> float:
        return self._rng.uniform(0.75, 1.25)

    def _note_away(self, reason: str) -> None:
        if self.away_since is None:
            self.away_since = self._timers.now()
            logger.warning("event=store_lost prefix={} reason={!r}", self.prefix, reason)

    def _note_back(self) -> None:
        if self.away_since is None:
            return
        away_s = self._timers.now() - self.away_since
        self.away_since = None
        self.back_at = self._timers.now()
        logger.info("event=store_back prefix={} away_s={:.2f}", self.prefix, away_s)


class MirrorSharing:
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
        gossip.attach(mirror.prefix, self._provide, self._on_fact)
        peers.subscribe(MirrorAsk, self._on_ask)
        peers.subscribe(MirrorPart, self._on_part)
        members.subscribe(self._on_members)
        mirror.subscribe(self._on_changed)

    def _provide(self) -> bytes | None:
        return self._mirror.state.revision.to_bytes(FACT_BYTES, "big")

    def _on_fact(self, sender: str, value: bytes) -> None:
        if int.from_bytes(value, "big") > self._mirror.state.revision:
            self._ask(sender)

    def _on_members(self) -> None:
        """Review the watch, and ask the others at the start, as the store may refuse this host."""
        self._mirror.review()
        others = [name for name in self._members.live() if name != self._members.name]
        if not self._mirror.state.loaded and others:
            self._ask(others[0])

    def _on_changed(self, changes: list[MirrorItem]) -> None:
        if self._mirror.state.revision > self._told:
            self._told = self._mirror.state.revision
            self._gossip.spread()

    def _ask(self, host: str) -> None:
        now = self._timers.now()
        if now - self._asked_at < ASK_PERIOD_S:
            return
        self._asked_at = now
        state = self._mirror.state
        self._peers.send(
            host, MirrorAsk(self._mirror.prefix, state.revision if state.loaded else -1)
        )

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
        items = [read_row(row) for row in msg.items]
        state = self._mirror.state
        changes = (
            state.take_snapshot(items, msg.revision) if msg.whole else state.take_changes(items)
        )
        self._mirror.take(changes, sender)


def read_row(row: list) -> MirrorItem:
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
