"""Hold a copy of the keys under one prefix of the store, ordered by the store's revisions.

Hosts that the store turns away fill their copies from other hosts: each change carries the store's
revision, so that the newest state of a key wins wherever it came from.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_REMOVALS = 1_024
"""Removals that are remembered for hosts that are behind; the oldest goes first."""


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """Hold the state of one key; a removed key has no value.

    Attributes
    ----------
    key : str
        Full key.
    value : bytes or None
        Content, None once it is removed.
    revision : int
        Revision of the store at which the key got this state.
    """

    key: str
    value: bytes | None
    revision: int


class MirrorState:
    """Hold the items and the revision up to which they are complete.

    Attributes
    ----------
    items : dict of str to MirrorItem
        Keys that exist.
    revision : int
        Highest revision of a change that is held, 0 before the first.
    loaded : bool
        Whether the copy has been complete once.
    """

    __slots__ = ("_complete_to", "_forgotten", "_removed", "items", "loaded", "revision")

    def __init__(self) -> None:
        self.items: dict[str, MirrorItem] = {}
        self.revision = 0
        self.loaded = False
        self._removed: dict[str, MirrorItem] = {}
        self._forgotten = 0
        self._complete_to = 0

    def apply_changes(self, changes: Iterable[MirrorItem]) -> list[MirrorItem]:
        """Take changes in and return those that were new, in order."""
        fresh = []
        for item in sorted(changes, key=lambda one: one.revision):
            if self._take(item):
                fresh.append(item)
        return fresh

    def apply_snapshot(self, items: Iterable[MirrorItem], revision: int) -> list[MirrorItem]:
        """Replace the copy by all items as of a revision and return what that changed.

        A key that is missing from the snapshot was removed by then; one that changed later stays.
        """
        snapshot = {item.key: item for item in items}
        changes = list(snapshot.values())
        for key, item in self.items.items():
            if key not in snapshot and item.revision <= revision:
                changes.append(MirrorItem(key, None, revision))
        self.loaded = True
        taken = self.apply_changes(changes)
        self._complete_to = max(self._complete_to, revision)
        return taken

    def changes_since(self, revision: int) -> list[MirrorItem] | None:
        """Return the changes after a revision; None when removals of then were forgotten."""
        if revision < self._forgotten:
            return None
        held = [*self.items.values(), *self._removed.values()]
        return sorted(
            (item for item in held if item.revision > revision), key=lambda one: one.revision
        )

    def _take(self, item: MirrorItem) -> bool:
        known = self.items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if known is None and item.revision <= self._complete_to:
            # A snapshot without the key is newer than this change.
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
            self._forgotten = max(self._forgotten, oldest.revision)
