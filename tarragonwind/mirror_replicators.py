"""Replicate the mirror of a store prefix between hosts."""

from __future__ import annotations

import struct

from loguru import logger

from tarragonwind.core.mirror_messages import (
    MAX_POSITION_PART,
    NO_OUTAGE_MS,
    UNKNOWN_SINCE,
    MirrorAsk,
    MirrorPart,
)
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.store_positions import ORIGIN, StorePosition
from tarragonwind.messages import MessageError
from tarragonwind.ports import Gossip, Members, Peers, Timer, Timers
from tarragonwind.store_mirrors import StoreMirror

REQUEST_PERIOD_S = 0.25
"""Minimum interval between two requests of one mirror to other hosts, in seconds."""
PAGED_READ_LEVEL = 2
"""Protocol level from which on a host's position doesn't exceed what it has read in pages."""
MAX_OUTAGE_AGE_S = 10.0
"""Time after a store outage for which hosts tell each other of it, in seconds; longer than any
period of grace that it begins."""
POSITION_FORMAT = struct.Struct(">QQ")
"""Era and revision of the copy's position, as piggybacked on probes."""


class MirrorReplicator:
    """Replicate one mirror between hosts, so that it stays current where the store is unreachable.

    Hosts gossip the revision of their copies; a host that is behind requests the changes.

    Parameters
    ----------
    mirror : StoreMirror
        Mirror to replicate.
    members : Members
        Membership of the fleet.
    gossip : Gossip
        Carrier of the revisions.
    peers : Peers
        Transport between hosts.
    timers : Timers
        Clock and timers.
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
        self._requested_at = float("-inf")
        self._gossiped_position = ORIGIN
        self._deferred_request: Timer | None = None
        gossip.attach(mirror.prefix, self._provide, self._on_payload)
        peers.subscribe(MirrorAsk, self._on_request)
        peers.subscribe(MirrorPart, self._on_part)
        members.subscribe(self._on_members)
        mirror.subscribe(self._on_changed)

    def _provide(self) -> bytes | None:
        position = self._mirror.shared_position
        return POSITION_FORMAT.pack(position.era, position.revision)

    def _on_payload(self, sender: str, value: bytes) -> None:
        if len(value) != POSITION_FORMAT.size:
            logger.warning("event=mirror_position_unreadable host={} size={}", sender, len(value))
            return
        if StorePosition(*POSITION_FORMAT.unpack(value)) > self._mirror.state.position:
            self._request(sender)

    def _on_members(self) -> None:
        """Request a snapshot from another host at start, as the store may be unreachable."""
        others = [name for name in self._members.live() if name != self._members.name]
        if not self._mirror.state.loaded and others:
            self._request(others[0])

    def _on_changed(self, changes: list[MirrorItem]) -> None:
        if self._mirror.shared_position > self._gossiped_position:
            self._gossiped_position = self._mirror.shared_position
            self._gossip.push_payloads()

    def _request(self, host: str) -> None:
        """Request changes from a host; within `REQUEST_PERIOD_S`, defer the request instead."""
        now = self._timers.now()
        wait_s = self._requested_at + REQUEST_PERIOD_S - now
        if wait_s > 0:
            if self._deferred_request is None:
                self._deferred_request = self._timers.call_later(
                    wait_s, lambda: self._retry_request(host)
                )
            return
        self._requested_at = now
        state = self._mirror.state
        since = state.position.revision if state.loaded and not state.needs_snapshot else -1
        self._peers.send(host, MirrorAsk(self._mirror.prefix, since, state.position.era))

    def _retry_request(self, host: str) -> None:
        self._deferred_request = None
        self._request(host)

    def _on_request(self, sender: str, msg: MirrorAsk) -> None:
        state = self._mirror.state
        if msg.prefix != self._mirror.prefix or not state.loaded:
            return
        since = StorePosition(msg.era, msg.since)
        position = self._mirror.shared_position
        changes = state.changes_since(since, position) if msg.since >= 0 else None
        whole = changes is None
        if changes is not None:
            items = changes
        elif self._peers.supports(sender, PAGED_READ_LEVEL):
            items = list(state.items.values())
        else:
            items = state.capped_items()
        rows: list[list] = [[one.key, one.value, one.position.revision] for one in items]
        outage_age_ms = pack_age_ms(self._mirror.outage_age_s())
        part = MirrorPart(msg.prefix, position.revision, whole, rows, position.era, outage_age_ms)
        part.settled_at = state.settled_at.revision
        part.since = msg.since
        self._peers.send(sender, part)

    def _on_part(self, sender: str, msg: MirrorPart) -> None:
        if msg.prefix != self._mirror.prefix:
            return
        items = [unpack_item(row, msg.era) for row in msg.items]
        position = unpack_position(msg)
        doubtful = not self._peers.supports(sender, PAGED_READ_LEVEL)
        if msg.outage_age_ms != NO_OUTAGE_MS:
            self._mirror.note_outage_end(unpack_age_s(msg.outage_age_ms))
        settled_at = StorePosition(msg.era, msg.settled_at)
        if msg.whole:
            self._mirror.apply_snapshot(items, position, sender, doubtful, settled_at)
        else:
            begin = None if msg.since == UNKNOWN_SINCE else StorePosition(msg.era, msg.since)
            self._mirror.apply_changes(items, sender, position, doubtful, settled_at, begin)


def pack_age_ms(age_s: float) -> int:
    """Return the time since a store outage in milliseconds, `NO_OUTAGE_MS` for one long ago."""
    return round(age_s * 1_000) if age_s < MAX_OUTAGE_AGE_S else NO_OUTAGE_MS


def unpack_age_s(age_ms: int) -> float:
    """Return the time since a store outage that another host has sent, in seconds.

    Raises
    ------
    MessageError
        If it is not a number of milliseconds up to `MAX_OUTAGE_AGE_S`.
    """
    if not isinstance(age_ms, int) or not 0 <= age_ms <= MAX_OUTAGE_AGE_S * 1_000:
        raise MessageError(f"time since a store outage must be in milliseconds, got {age_ms!r:.40}")
    return age_ms / 1_000


def is_position_part(value: object) -> bool:
    """Return whether a value is an era or a revision that can be gossiped."""
    return type(value) is int and 0 <= value <= MAX_POSITION_PART


def unpack_position(msg: MirrorPart) -> StorePosition:
    """Return the position of the copy from which a part was sent.

    Raises
    ------
    MessageError
        If era or a revision is no integer that fits into `POSITION_FORMAT`.
    """
    parts = (msg.era, msg.revision, msg.settled_at)
    if not all(is_position_part(one) for one in parts) or type(msg.since) is not int:
        raise MessageError(
            "era and revisions of a mirror part must be integers of 64 bits, got "
            f"{msg.era!r:.40}, {msg.revision!r:.40}, {msg.settled_at!r:.40} and {msg.since!r:.40}"
        )
    return StorePosition(msg.era, msg.revision)


def unpack_item(row: list, era: int) -> MirrorItem:
    """Return the item encoded as a row of a `MirrorPart` of an era.

    Raises
    ------
    MessageError
        If the row is malformed.
    """
    if not isinstance(row, list) or len(row) != 3:
        raise MessageError("mirror item must be an array of key, value and revision")
    key, value, revision = row
    valid = isinstance(key, str) and is_position_part(revision)
    if not valid or not (value is None or isinstance(value, bytes)):
        raise MessageError(
            "mirror item must have a string key, binary or nil value and integer revision, got "
            f"{type(key).__name__}, {type(value).__name__} and {revision!r:.40}"
        )
    return MirrorItem(key, value, StorePosition(era, revision))
