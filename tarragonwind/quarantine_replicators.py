"""Share quarantines between hosts: directly, by gossip and through the store."""

from __future__ import annotations

import math
import random
import re
import struct

from loguru import logger

from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.quarantines import QUARANTINE_S, Quarantines
from tarragonwind.errors import StoreError
from tarragonwind.futures import spawn
from tarragonwind.messages import Message, message
from tarragonwind.ports import Compare, Gossip, Members, Peers, Put, Store, Timers
from tarragonwind.records import dataclass
from tarragonwind.store_mirrors import StoreMirror

GOSSIP_NAME = "quarantines"
STORED_KEY = re.compile("[0-9a-f]{1,16}")
"""Key of a quarantine in the store, behind the prefix: 64 bits, as in the gossip."""
GOSSIP_FORMAT = struct.Struct(">QI")
"""Key, and the time that is left of its quarantine in milliseconds."""
MAX_PER_PAYLOAD = 4
CHECK_PERIOD_S = 2.0
"""Interval at which quarantines that the store has lost are written again, in seconds."""
MIN_STORED_S = 10.0
"""Time left below which a quarantine is not written again, in seconds."""


@message(63)
@dataclass(frozen=True, slots=True)
class KeyQuarantined(Message):
    """Tell that requests with a key are kept from upstreams.

    Attributes
    ----------
    key : int
        Key of a request or of a part of prompts.
    left_ms : int
        Time left of its quarantine, in milliseconds.
    """

    key: int
    left_ms: int


class QuarantineReplicator:
    """Keep this host's quarantines in step with those of the other hosts.

    A host that starts gets them from the store; one that the store turns away gets them from other
    hosts. A key that the store has lost is written again while the quarantine lasts.

    Parameters
    ----------
    prefix : str
        Prefix of the quarantines' keys in the store.
    quarantines : Quarantines
        Quarantines in force on this host.
    mirror : StoreMirror
        Mirror that contains these keys.
    store : Store
        Store that the keys are written to, each under a lease.
    members, gossip, peers
        Membership of the fleet, gossip and transport between hosts.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random source for the jitter of checks.
    """

    def __init__(
        self,
        prefix: str,
        quarantines: Quarantines,
        mirror: StoreMirror,
        store: Store,
        members: Members,
        gossip: Gossip,
        peers: Peers,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._prefix = prefix
        self._quarantines = quarantines
        self._mirror = mirror
        self._store = store
        self._members = members
        self._gossip = gossip
        self._peers = peers
        self._timers = timers
        self._next_in_gossip = 0
        self._missing: set[int] = set()
        self._writing: set[int] = set()
        gossip.attach(GOSSIP_NAME, self._provide, self._on_payload)
        peers.subscribe(KeyQuarantined, self._on_message)
        mirror.subscribe(self._on_changes)
        timers.call_every(CHECK_PERIOD_S * rng.uniform(0.8, 1.2), self._write_missing)

    def announce(self, key: int) -> None:
        """Quarantine a key on every host."""
        if not self._add(key, QUARANTINE_S, "upstreams_crashed"):
            return
        msg = KeyQuarantined(key, round(1_000 * QUARANTINE_S))
        for host in self._members.live():
            if host != self._members.name:
                self._peers.send(host, msg)
        self._write(key, QUARANTINE_S)

    def _add(self, key: int, left_s: float, source: str) -> bool:
        added = self._quarantines.add(self._timers.now(), key, left_s)
        if added:
            logger.warning(
                "event=key_quarantined key={:x} left_s={:.0f} source={}", key, left_s, source
            )
            self._gossip.push_payloads()
        return added

    # Other hosts

    def _on_message(self, sender: str, msg: KeyQuarantined) -> None:
        self._add(msg.key, msg.left_ms / 1_000, sender)

    def _provide(self) -> bytes | None:
        """Return a few quarantines; successive payloads take turns among all of them."""
        active = sorted(self._quarantines.active(self._timers.now()).items())
        if not active:
            return None
        first = self._next_in_gossip % len(active)
        rows = [*active[first:], *active[:first]][:MAX_PER_PAYLOAD]
        self._next_in_gossip = first + len(rows)
        return b"".join(GOSSIP_FORMAT.pack(key, round(1_000 * left_s)) for key, left_s in rows)

    def _on_payload(self, sender: str, value: bytes) -> None:
        if len(value) % GOSSIP_FORMAT.size:
            logger.warning("event=quarantines_unreadable host={} size={}", sender, len(value))
            return
        for key, left_ms in GOSSIP_FORMAT.iter_unpack(value):
            self._add(key, left_ms / 1_000, sender)

    # The store

    def _on_changes(self, changes: list[MirrorItem]) -> None:
        """Apply new keys. A removed key ends nothing, as the store may have lost it."""
        for item in changes:
            if not item.key.startswith(self._prefix) or item.value is None:
                continue
            digits = item.key.removeprefix(self._prefix)
            if STORED_KEY.fullmatch(digits) is None:
                logger.warning("event=quarantine_key_unreadable key={!r}", item.key)
                continue
            self._add(int(digits, 16), QUARANTINE_S, "store")

    def _write_missing(self) -> None:
        """Write the quarantines whose keys were already missing at the check before."""
        if self._mirror.unavailable_since is not None or not self._mirror.state.loaded:
            return
        missing = set()
        for key, left_s in self._quarantines.active(self._timers.now()).items():
            if left_s < MIN_STORED_S or self._store_key(key) in self._mirror.state.items:
                continue
            missing.add(key)
            if key in self._missing:
                self._write(key, left_s)
        self._missing = missing

    def _store_key(self, key: int) -> str:
        return f"{self._prefix}{key:x}"

    def _write(self, key: int, left_s: float) -> None:
        if key not in self._writing:
            self._writing.add(key)
            spawn(self._write_key(key, left_s))

    async def _write_key(self, key: int, left_s: float) -> None:
        store_key = self._store_key(key)
        try:
            lease_id = await self._store.grant_lease(math.ceil(left_s))
            await self._store.commit([Compare(store_key, 0)], [Put(store_key, b"", lease_id)])
        except StoreError as exc:
            logger.warning("event=quarantine_not_stored key={:x} reason={!r}", key, str(exc))
        finally:
            self._writing.discard(key)
