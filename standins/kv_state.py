"""Store the keys, leases and change log of the key-value stand-in."""

from __future__ import annotations

import bisect
import copy
import time
from dataclasses import dataclass, field

CHANGE_LOG_LENGTH = 50_000
"""Minimum number of changes kept for watches and for reads at older revisions."""
MAX_VALUE_BYTES = 1_000_000
MAX_TXN_OPS = 128


class KvError(Exception):
    """Reject a call with the error message of the real service."""


@dataclass(slots=True)
class Item:
    """Hold one key-value pair with its revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@dataclass(slots=True)
class Change:
    """Hold one change of a key: its state before and after, None when it did not exist."""

    revision: int
    key: bytes
    before: Item | None
    after: Item | None


@dataclass(slots=True)
class Lease:
    """Hold one lease and the keys attached to it."""

    ttl_s: int
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class KvState:
    """Hold the whole state; not thread-safe, callers must hold a lock."""

    revision: int = 1
    items: dict[bytes, Item] = field(default_factory=dict)
    keys: list[bytes] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    next_lease_id: int = 7_000
    compacted: int = 0

    def select(self, key: bytes, end: bytes, revision: int = 0) -> list[Item]:
        """Return the items of a key or range in key order, at a revision (0 for the latest)."""
        if revision and revision < self.compacted:
            raise KvError("etcdserver: mvcc: required revision has been compacted")
        if not end:
            found = [key] if key in self.items else []
        else:
            stop = len(self.keys) if end == b"\0" else bisect.bisect_left(self.keys, end)
            found = self.keys[bisect.bisect_left(self.keys, key) : stop]
        view = {name: self.items[name] for name in found}
        if revision and revision < self.revision:
            self._roll_back(view, key, end, revision)
        return [view[name] for name in sorted(view)]

    def _roll_back(self, view: dict[bytes, Item], key: bytes, end: bytes, revision: int) -> None:
        for change in reversed(self.changes):
            if change.revision <= revision:
                break
            if not in_range(change.key, key, end):
                continue
            if change.before is None:
                view.pop(change.key, None)
            else:
                view[change.key] = change.before

    def mod_revision(self, key: bytes) -> int:
        """Return the revision of the last write to a key, 0 if it does not exist."""
        item = self.items.get(key)
        return item.mod_revision if item else 0

    def put(self, key: bytes, value: bytes, lease_id: int, revision: int) -> None:
        """Write a key at a revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise KvError("etcdserver: request is too large")
        if lease_id and lease_id not in self.leases:
            raise KvError("etcdserver: requested lease not found")
        before = self.items.get(key)
        created = before.create_revision if before else revision
        version = before.version + 1 if before else 1
        after = Item(key, value, created, revision, version, lease_id)
        if before is None:
            bisect.insort(self.keys, key)
        elif before.lease_id in self.leases:
            self.leases[before.lease_id].keys.discard(key)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self.items[key] = after
        self._record(Change(revision, key, before, after))

    def delete(self, key: bytes, revision: int) -> bool:
        """Delete a key at a revision; return whether it existed."""
        before = self.items.pop(key, None)
        if before is None:
            return False
        del self.keys[bisect.bisect_left(self.keys, key)]
        if before.lease_id in self.leases:
            self.leases[before.lease_id].keys.discard(key)
        self._record(Change(revision, key, before, None))
        return True

    def _record(self, change: Change) -> None:
        self.revision = change.revision
        self.changes.append(change)
        if len(self.changes) > 2 * CHANGE_LOG_LENGTH:
            self.compacted = self.changes[-CHANGE_LOG_LENGTH].revision
            del self.changes[:-CHANGE_LOG_LENGTH]

    def grant(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        self.next_lease_id += 1
        self.leases[self.next_lease_id] = Lease(ttl_s, time.monotonic() + ttl_s)
        return self.next_lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 when it has expired."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = time.monotonic() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is None or not lease.keys:
            return
        revision = self.revision + 1
        for key in sorted(lease.keys):
            self.delete(key, revision)

    def expire_leases(self, now: float) -> bool:
        """Expire leases that are due; return whether there were any."""
        due = [lease_id for lease_id, lease in self.leases.items() if lease.expires_at <= now]
        for lease_id in due:
            self.revoke(lease_id)
        return bool(due)

    def changes_from(self, revision: int, key: bytes, end: bytes) -> list[Change]:
        """Return the changes to a key or range since a revision, inclusive."""
        if revision <= self.compacted:
            raise KvError("etcdserver: mvcc: required revision has been compacted")
        start = bisect.bisect_left(self.changes, revision, key=lambda change: change.revision)
        return [change for change in self.changes[start:] if in_range(change.key, key, end)]

    def copy(self) -> KvState:
        """Return a deep copy."""
        return copy.deepcopy(self)


def in_range(name: bytes, key: bytes, end: bytes) -> bool:
    """Return whether a key lies in an etcd range: one key if `end` is empty, else [key, end)."""
    if not end:
        return name == key
    return name >= key and (end == b"\0" or name < end)
