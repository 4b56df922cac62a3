"""Hold a copy of the keys under one prefix of the store, versioned by store revisions.

Hosts that cannot reach the store fill their copies from other hosts. Each change carries its store
revision, so that the newest state of a key wins regardless of its source.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_REMOVALS = 1_024
"""Maximum number of tombstones kept for hosts that are behind; the oldest is dropped first."""


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """Hold the state of one key at a revision.

    Attributes
    ----------
    key : str
        Full key, including the prefix.
    value : bytes or None
        Value of the key, None if it was removed.
    revision : int
        Store revision at which the key got this state.
    """

    key: str
    value: bytes | None
    revision: int


class MirrorState:
    """Hold the items, recent tombstones and revisions of a copy.

    Attributes
    ----------
    items : dict of str to MirrorItem
        Existing keys and their states.
    revision : int
        Highest store revision among the applied changes, 0 before the first.
    loaded : bool
        Whether a snapshot has ever been applied.
    """

    __slots__ = (
        "_dropped_revision",
        "_removed",
        "_snapshot_revision",
        "items",
        "loaded",
        "revision",
    )

    def __init__(self) -> None:
        self.items: dict[str, MirrorItem] = {}
        self.revision = 0
        self.loaded = False
        self._removed: dict[str, MirrorItem] = {}
        self._dropped_revision = 0
        self._snapshot_revision = 0

    def apply_changes(self, changes: Iterable[MirrorItem]) -> list[MirrorItem]:
        """Apply changes and return those that had an effect, in revision order."""
        applied = []
        for item in sorted(changes, key=lambda one: one.revision):
            if self._apply(item):
                applied.append(item)
        return applied

    def apply_snapshot(self, items: Iterable[MirrorItem], revision: int) -> list[MirrorItem]:
        """Apply a full snapshot taken at a revision and return the resulting changes.

        A key missing from the snapshot is removed unless it changed after that revision.
        """
        snapshot = {item.key: item for item in items}
        changes = list(snapshot.values())
        for key, item in self.items.items():
            if key not in snapshot and item.revision <= revision:
                changes.append(MirrorItem(key, None, revision))
        self.loaded = True
        applied = self.apply_changes(changes)
        self._snapshot_revision = max(self._snapshot_revision, revision)
        return applied

    def changes_since(self, revision: int) -> list[MirrorItem] | None:
        """Return the changes after a revision, or None if their tombstones are incomplete."""
        if revision < self._dropped_revision:
            return None
        states = [*self.items.values(), *self._removed.values()]
        return sorted(
            (item for item in states if item.revision > revision), key=lambda one: one.revision
        )

    def _apply(self, item: MirrorItem) -> bool:
        known = self.items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if known is None and item.revision <= self._snapshot_revision:
            # A newer snapshot did not contain the key.
            return False
        self.revision = max(self.revision, item.revision)
        if item.value is None:
            self._remove(item)
        else:
            self._removed.pop(item.key, None)
            self.items[item.key] = item
        return known is not None or item.value is not None

    def _remove(self, item: MirrorItem) -> None:
        self.items.pop(item.key, None)
        self._removed.pop(item.key, None)
        self._removed[item.key] = item
        while len(self._removed) > MAX_REMOVALS:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._dropped_revision = max(self._dropped_revision, oldest.revision)
