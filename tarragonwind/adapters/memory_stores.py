"""Implement the store in process memory: the default for a single host."""

from __future__ import annotations

import bisect
from collections import deque
from collections.abc import Callable
from dataclasses import field

from tarragonwind.adapters.store_backends import StoreDependencies, StoreSettings, store_backend
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future
from tarragonwind.ports import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeResult,
    Store,
    Timer,
    Timers,
    TxnResult,
    Watch,
    WatchEvent,
)
from tarragonwind.records import dataclass

EVENT_LOG_LENGTH = 10_000
"""Number of past changes kept for watches that start at an earlier revision."""


@dataclass(slots=True)
class Lease:
    """Represent one lease and the keys that are removed when it ends."""

    ttl_s: int
    expires_at: float
    timer: Timer
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PrefixWatch:
    """Represent one watch on a key prefix."""

    prefix: str
    on_events: Callable[[list[WatchEvent]], None]
    active: bool = True


class MemoryStore(Store):
    """Implement the store port in memory, with revisions, leases and watches as in etcd."""

    def __init__(self, timers: Timers, on_call: Callable[[str], None]) -> None:
        self._timers = timers
        self._on_call = on_call
        self._items: dict[str, KeyValue] = {}
        self._sorted_keys: list[str] = []
        self._leases: dict[int, Lease] = {}
        self._next_lease_id = 1
        self._watches: list[PrefixWatch] = []
        self._events: deque[WatchEvent] = deque(maxlen=EVENT_LOG_LENGTH)
        self.revision = 1

    def get(self, key: str) -> Future[KeyValue | None]:
        """Read one key."""
        self._on_call("range")
        fut: Future[KeyValue | None] = Future()
        fut.set_result(self._items.get(key))
        return fut

    def read_range(self, prefix: str) -> Future[RangeResult]:
        """Read all keys that begin with `prefix`."""
        self._on_call("range")
        fut: Future[RangeResult] = Future()
        items = []
        for key in self._sorted_keys[bisect.bisect_left(self._sorted_keys, prefix) :]:
            if not key.startswith(prefix):
                break
            items.append(self._items[key])
        fut.set_result(RangeResult(items, self.revision))
        return fut

    def commit(self, compares: list[Compare], ops: list[Put | Delete]) -> Future[TxnResult]:
        """Apply `ops` in one transaction if all `compares` hold."""
        self._on_call("txn")
        fut: Future[TxnResult] = Future()
        if not all(self._revision_of(item.key) == item.mod_revision for item in compares):
            fut.set_result(TxnResult(False, self.revision))
            return fut
        for op in ops:
            if isinstance(op, Put) and op.lease_id and op.lease_id not in self._leases:
                fut.set_exception(StoreError("requested lease not found"))
                return fut
        self._apply(ops)
        fut.set_result(TxnResult(True, self.revision))
        return fut

    def _revision_of(self, key: str) -> int:
        item = self._items.get(key)
        return item.mod_revision if item is not None else 0

    def _apply(self, ops: list[Put | Delete]) -> None:
        revision = self.revision + 1
        events = []
        for op in ops:
            if isinstance(op, Put):
                self._put(op, revision)
                events.append(WatchEvent(op.key, op.value, revision))
            elif self._remove(op.key):
                events.append(WatchEvent(op.key, None, revision))
        if events:
            self.revision = revision
            self._events.extend(events)
            self._timers.call_later(0.0, lambda: self._notify(events))

    def _put(self, op: Put, revision: int) -> None:
        old = self._items.get(op.key)
        if old is None:
            bisect.insort(self._sorted_keys, op.key)
        elif old.lease_id in self._leases:
            self._leases[old.lease_id].keys.discard(op.key)
        if op.lease_id:
            self._leases[op.lease_id].keys.add(op.key)
        self._items[op.key] = KeyValue(op.key, op.value, revision, op.lease_id)

    def _remove(self, key: str) -> bool:
        item = self._items.pop(key, None)
        if item is None:
            return False
        del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
        if item.lease_id in self._leases:
            self._leases[item.lease_id].keys.discard(key)
        return True

    def _notify(self, events: list[WatchEvent]) -> None:
        for watch in list(self._watches):
            wanted = [event for event in events if event.key.startswith(watch.prefix)]
            if wanted and watch.active:
                watch.on_events(wanted)

    def grant_lease(self, ttl_s: int) -> Future[int]:
        """Create a lease and return its id."""
        self._on_call("lease_grant")
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        timer = self._timers.call_later(ttl_s, lambda: self._end_lease(lease_id))
        self._leases[lease_id] = Lease(ttl_s, self._timers.now() + ttl_s, timer)
        fut: Future[int] = Future()
        fut.set_result(lease_id)
        return fut

    def renew_lease(self, lease_id: int) -> Future[float]:
        """Renew a lease and return its remaining time in seconds; 0 if it has expired."""
        self._on_call("lease_keepalive")
        fut: Future[float] = Future()
        lease = self._leases.get(lease_id)
        if lease is None:
            fut.set_result(0.0)
            return fut
        lease.timer.cancel()
        lease.timer = self._timers.call_later(lease.ttl_s, lambda: self._end_lease(lease_id))
        lease.expires_at = self._timers.now() + lease.ttl_s
        fut.set_result(float(lease.ttl_s))
        return fut

    def revoke_lease(self, lease_id: int) -> Future[None]:
        """End a lease and remove its keys."""
        self._on_call("lease_revoke")
        self._end_lease(lease_id)
        fut: Future[None] = Future()
        fut.set_result(None)
        return fut

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        lease.timer.cancel()
        self._apply([Delete(key) for key in sorted(lease.keys)])

    def subscribe_era(self, listener: Callable[[int], None]) -> None:
        """Do nothing, since this store has no eras."""

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
        era: int = 0,
    ) -> Watch:
        """Watch changes under `prefix`, starting at a revision."""
        self._on_call("watch")
        watch = PrefixWatch(prefix, on_events)
        missed = [
            event
            for event in self._events
            if event.mod_revision >= from_revision and event.key.startswith(prefix)
        ]
        self._timers.call_later(0.0, lambda: self._start_watch(watch, missed))

        def cancel() -> None:
            watch.active = False
            if watch in self._watches:
                self._watches.remove(watch)

        return Watch(cancel)

    def _start_watch(self, watch: PrefixWatch, missed: list[WatchEvent]) -> None:
        if not watch.active:
            return
        self._watches.append(watch)
        if missed:
            watch.on_events(missed)


@store_backend("memory")
def create_memory_store(cfg: StoreSettings, parts: StoreDependencies) -> MemoryStore:
    """Create an empty store; its content is lost when the process ends."""
    return MemoryStore(parts.timers, parts.on_call)
