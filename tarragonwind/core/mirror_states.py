"""Hold a copy of the keys under one prefix of the store, versioned by positions in its history.

Hosts that cannot reach the store fill their copies from other hosts. Each change carries its
position, so that the newest state of a key wins regardless of its source.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonwind.core.store_positions import ORIGIN, StorePosition

MAX_REMOVALS = 1_024
"""Maximum number of tombstones kept for hosts that are behind; the oldest is dropped first."""


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """Hold the state of one key at a position.

    Attributes
    ----------
    key : str
        Full key, including the prefix.
    value : bytes or None
        Value of the key, None if it was removed.
    position : StorePosition
        Position at which the key got this state.
    """

    key: str
    value: bytes | None
    position: StorePosition


class MirrorState:
    """Hold the items, recent tombstones and positions of a copy; all are of one era.

    Attributes
    ----------
    items : dict of str to MirrorItem
        Existing keys and their states.
    position : StorePosition
        Highest position among the applied changes and the first snapshot of an era.
    loaded : bool
        Whether a snapshot has ever been applied.
    """

    __slots__ = ("_dropped", "_removed", "_snapshot", "items", "loaded", "position")

    def __init__(self) -> None:
        self.items: dict[str, MirrorItem] = {}
        self.position = ORIGIN
        self.loaded = False
        self._removed: dict[str, MirrorItem] = {}
        self._dropped = ORIGIN
        self._snapshot = ORIGIN

    def apply_changes(self, changes: Iterable[MirrorItem]) -> list[MirrorItem]:
        """Apply the changes of the copy's era; return those that had an effect, in order."""
        applied = []
        for item in sorted(changes, key=lambda one: one.position):
            if item.position.era == self.position.era and self._apply(item):
                applied.append(item)
        return applied

    def apply_snapshot(
        self, items: Iterable[MirrorItem], position: StorePosition
    ) -> list[MirrorItem]:
        """Apply a full snapshot taken at a position and return the resulting changes.

        A key missing from the snapshot is removed unless it changed after that position. A snapshot
        of an older era has no effect; the first one of a newer era replaces the copy.
        """
        snapshot = {item.key: item for item in items}
        if position.era < self.position.era:
            return []
        self.loaded = True
        if position.era > self.position.era:
            return self._enter_era(snapshot, position)
        changes = list(snapshot.values())
        for key, item in self.items.items():
            if key not in snapshot and item.position <= position:
                changes.append(MirrorItem(key, None, position))
        applied = self.apply_changes(changes)
        self._snapshot = max(self._snapshot, position)
        return applied

    def changes_since(self, position: StorePosition) -> list[MirrorItem] | None:
        """Return the changes after a position, or None if the copy does not have them all."""
        if position < self._dropped or position.era != self.position.era:
            return None
        states = [*self.items.values(), *self._removed.values()]
        return sorted(
            (item for item in states if item.position > position), key=lambda one: one.position
        )

    def _enter_era(
        self, snapshot: dict[str, MirrorItem], position: StorePosition
    ) -> list[MirrorItem]:
        """Replace the copy and return the keys whose values differ."""
        removed = [MirrorItem(key, None, position) for key in self.items if key not in snapshot]
        changed = [
            item
            for item in snapshot.values()
            if item.key not in self.items or self.items[item.key].value != item.value
        ]
        self.items = snapshot
        self.position = self._dropped = self._snapshot = position
        self._removed = {}
        return [*removed, *sorted(changed, key=lambda one: one.position)]

    def _apply(self, item: MirrorItem) -> bool:
        known = self.items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.position >= item.position:
            return False
        if known is None and item.position <= self._snapshot:
            # A newer snapshot did not contain the key.
            return False
        self.position = max(self.position, item.position)
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
            self._dropped = max(self._dropped, oldest.position)
