"""Share with all hosts which combinations of prompt parts are kept from upstreams."""

from __future__ import annotations

import hashlib
import math

import msgpack
from loguru import logger

from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.quarantines import QUARANTINE_S, Quarantines
from tarragonwind.core.suspicions import CombinationChange
from tarragonwind.errors import StoreError
from tarragonwind.futures import spawn
from tarragonwind.messages import Message, message
from tarragonwind.ports import Delete, Members, Peers, Put, Store, Timers
from tarragonwind.records import dataclass
from tarragonwind.store_mirrors import StoreMirror

DIGEST_BYTES = 8
MAX_PART = (1 << 63) - 1
"""Largest key of a part."""
MAX_LOGGED = 8
"""Maximum number of parts in one log line."""


@message(64, level=3)
@dataclass(slots=True)
class CombinationQuarantined(Message):
    """Tell that prompts with all of some parts are kept from upstreams, or no longer.

    Attributes
    ----------
    parts : list of int
        Keys of the parts, sorted.
    left_ms : int
        Time left of the quarantine in milliseconds, 0 if it has ended.
    """

    parts: list[int]
    left_ms: int


class CombinationReplicator:
    """Keep the quarantined combinations of this host in step with those of the other hosts.

    A host that starts gets them from the store.

    Parameters
    ----------
    prefix : str
        Prefix of their keys in the store.
    quarantines : Quarantines
        Quarantines in force on this host.
    mirror : StoreMirror
        Mirror that contains these keys.
    store : Store
        Store that the keys are written to, each under a lease.
    members, peers
        Membership of the fleet and transport between hosts.
    timers : Timers
        Clock and timers.
    """

    def __init__(
        self,
        prefix: str,
        quarantines: Quarantines,
        mirror: StoreMirror,
        store: Store,
        members: Members,
        peers: Peers,
        timers: Timers,
    ) -> None:
        self._prefix = prefix
        self._quarantines = quarantines
        self._store = store
        self._members = members
        self._peers = peers
        self._timers = timers
        peers.subscribe(CombinationQuarantined, self._on_message)
        mirror.subscribe(self._on_changes)

    def announce(self, change: CombinationChange) -> None:
        """Begin or end the quarantine of a combination on every host."""
        left_s = 0.0 if change.is_cleared else QUARANTINE_S
        if not self._apply(change.parts, left_s, "upstreams_crashed"):
            return
        msg = CombinationQuarantined(sorted(change.parts), round(1_000 * left_s))
        for host in self._members.live():
            if host != self._members.name:
                self._peers.send(host, msg)
        spawn(self._write(change.parts, left_s))

    def _apply(self, parts: frozenset[int], left_s: float, source: str) -> bool:
        """Begin or end a quarantine here; return whether that changed anything."""
        if left_s > 0:
            changed = self._quarantines.add_combination(self._timers.now(), parts, left_s)
        else:
            changed = self._quarantines.end_combination(parts)
        if changed:
            logger.warning(
                "event=combination_quarantined parts={} left_s={:.0f} source={}",
                ",".join(f"{part:x}" for part in sorted(parts)[:MAX_LOGGED]),
                left_s,
                source,
            )
        return changed

    def _on_message(self, sender: str, msg: CombinationQuarantined) -> None:
        self._apply(frozenset(msg.parts), msg.left_ms / 1_000, sender)

    def _on_changes(self, changes: list[MirrorItem]) -> None:
        """Apply new keys. A removed key ends nothing, as the store may have lost it."""
        for item in changes:
            if not item.key.startswith(self._prefix) or item.value is None:
                continue
            try:
                parts = unpack_parts(item.value)
            except ValueError as exc:
                logger.warning("event=combination_unreadable key={!r} why={!r}", item.key, str(exc))
                continue
            self._apply(parts, QUARANTINE_S, "store")

    async def _write(self, parts: frozenset[int], left_s: float) -> None:
        data = pack_parts(parts)
        key = self._prefix + hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
        try:
            if left_s <= 0:
                await self._store.commit([], [Delete(key)])
                return
            lease_id = await self._store.grant_lease(math.ceil(left_s))
            await self._store.commit([], [Put(key, data, lease_id)])
        except StoreError as exc:
            logger.warning("event=combination_not_stored key={!r} reason={!r}", key, str(exc))


def pack_parts(parts: frozenset[int]) -> bytes:
    """Encode the keys of parts for the store."""
    return bytes(msgpack.packb(sorted(parts)))


def unpack_parts(data: bytes) -> frozenset[int]:
    """Decode the keys of parts.

    Raises
    ------
    ValueError
        If the data are no list of at least two keys.
    """
    values = msgpack.unpackb(data)
    if not isinstance(values, list) or len(values) < 2:
        raise ValueError(f"expected a list of at least two keys, got {values!r:.40}")
    if not all(type(value) is int and 0 <= value <= MAX_PART for value in values):
        raise ValueError(f"expected keys from 0 to {MAX_PART}, got {values!r:.40}")
    return frozenset(values)
