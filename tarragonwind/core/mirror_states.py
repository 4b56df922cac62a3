"""Hold a copy of the keys under one prefix of the store, versioned by positions in its history.

Hosts that cannot reach the store fill their copies from other hosts. Each change carries its
position, so that the newest state of a key wins regardless of its source.

A snapshot that was read in pages counts at the position of its first page. Later pages may show
newer states; these are kept with their own positions, but the copy's position stays behind them,
since a change of a key of an earlier page may be missing.

The invariant: each key whose state differs from that of the store has a change after the copy's
position, so that a copy that goes on from its position misses nothing. A snapshot read in pages is
unsettled until the copy has passed the position of its last page: it lacks keys that were removed
meanwhile, and holds newer ones. A removal that only such a snapshot shows can't be passed on as a
change, so a snapshot that follows an unsettled one leaves a gap from that one's position on. What
another host takes over from an unsettled copy is as unsettled.
"""

from __future__ import annotations

from collections.abc import Iterable

from tarragonwind.core.store_positions import ORIGIN, StorePosition
from tarragonwind.records import dataclass

MAX_GAPS = 16
"""Maximum number of gaps kept apart; further ones are merged into one that covers all."""
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
        Position up to which the copy has all changes; single items may be newer.
    loaded : bool
        Whether a snapshot has ever been applied.
    needs_snapshot : bool
        Whether another host's changes left an item unexplained, so that only a snapshot helps.
    """

    __slots__ = (
        "_dropped",
        "_gaps",
        "_removed",
        "_snapshot",
        "_unsettled",
        "items",
        "loaded",
        "needs_snapshot",
        "position",
    )

    def __init__(self) -> None:
        self.items: dict[str, MirrorItem] = {}
        self.position = ORIGIN
        self.loaded = False
        self.needs_snapshot = False
        self._unsettled: tuple[StorePosition, StorePosition] | None = None
        self._removed: dict[str, MirrorItem] = {}
        self._dropped = ORIGIN
        self._snapshot = ORIGIN
        self._gaps: list[tuple[StorePosition, StorePosition]] = []

    @property
    def settled_at(self) -> StorePosition:
        """Return the position from which on the copy holds exactly the keys of its position."""
        return self.position if self._unsettled is None else self._unsettled[1]

    def apply_changes(
        self,
        changes: Iterable[MirrorItem],
        end: StorePosition = ORIGIN,
        settled_at: StorePosition = ORIGIN,
        begin: StorePosition | None = None,
    ) -> list[MirrorItem]:
        """Apply the changes of the copy's era; return those that had an effect, in order.

        Parameters
        ----------
        changes : iterable of MirrorItem
            All changes between the copy's position and the last of them.
        end : StorePosition
            Position up to which another host's copy has no further changes. An item of this copy
            up to there that they don't explain was removed before a snapshot of that host: the
            copy then keeps its position and needs a snapshot itself.
        settled_at : StorePosition
            The other copy's `settled_at`, `ORIGIN` for changes of the store itself, as for `end`.
        begin : StorePosition, optional
            Position that this copy had when it asked, its present one by default: it may have got
            items since, and their removals may be in a gap of the other copy.
        """
        current = [item for item in changes if item.position.era == self.position.era]
        last = max((item.position for item in current), default=self.position)
        if end == ORIGIN:
            # The store's own changes go on from the copy's position, and explain all its items.
            self.needs_snapshot = False
        elif self.loaded and end.era == self.position.era:
            last = max(last, end)
            first = self.position if begin is None else min(begin, self.position)
            self.needs_snapshot = self._has_unexplained(current, first, end)
        applied = self._apply_all(current)
        before = self.position
        if not self.needs_snapshot:
            self._advance(last)
        self._unsettle(before, settled_at)
        return applied

    def apply_snapshot(
        self, items: Iterable[MirrorItem], position: StorePosition, last: StorePosition = ORIGIN
    ) -> list[MirrorItem]:
        """Apply a full snapshot taken at a position and return the resulting changes.

        A key missing from the snapshot is removed unless it changed after that position. Items may
        be newer than the position. A snapshot of an older era has no effect; the first one of a
        newer era replaces the copy.

        Parameters
        ----------
        items : iterable of MirrorItem
            Items of all existing keys.
        position : StorePosition
            Position of the first page.
        last : StorePosition
            Position of the last page, where there are several, or the other copy's `settled_at`.
        """
        snapshot = {item.key: item for item in items}
        if position.era < self.position.era:
            return []
        self.loaded = True
        if position.era > self.position.era:
            removed = self._enter_era(snapshot, position)
            self._unsettle(position, last)
            return removed
        changes = list(snapshot.values())
        removed_at = max(position, self.position)
        for key, item in self.items.items():
            if key not in snapshot and item.position <= position:
                changes.append(MirrorItem(key, None, removed_at))
        applied = self._apply_all(changes)
        self._snapshot = max(self._snapshot, position)
        self._advance_by_snapshot(position, last)
        return applied

    def changes_since(
        self, position: StorePosition, end: StorePosition | None = None
    ) -> list[MirrorItem] | None:
        """Return the changes between two positions, or None if some are missing.

        Newer items are left out: with them the receiver would take its copy for complete up to
        their positions. `end` is the copy's position by default.
        """
        if position < self._dropped or position.era != self.position.era:
            return None
        if any(begin < position < end for begin, end in self._gaps):
            return None
        upto = self.position if end is None else end
        states = [*self.items.values(), *self._removed.values()]
        changes = (item for item in states if position < item.position <= upto)
        return sorted(changes, key=lambda one: one.position)

    def capped_items(self) -> list[MirrorItem]:
        """Return all items, newer ones with the copy's position instead of their own.

        A receiver that takes its copy for complete up to the newest item needs this. It replaces
        the position by the true one when it gets the change itself.
        """
        return [
            (
                item
                if item.position <= self.position
                else MirrorItem(item.key, item.value, self.position)
            )
            for item in self.items.values()
        ]

    def _has_unexplained(
        self, changes: list[MirrorItem], begin: StorePosition, end: StorePosition
    ) -> bool:
        """Return whether an item between two positions is not among changes."""
        explained = {item.key for item in changes}
        return any(
            begin < item.position <= end and item.key not in explained
            for item in self.items.values()
        )

    def _advance(self, position: StorePosition) -> None:
        """Take the copy for complete up to a position, all changes before which were applied."""
        self.position = max(self.position, position)
        if self._unsettled is not None and self.position >= self._unsettled[1]:
            self._unsettled = None

    def _advance_by_snapshot(self, position: StorePosition, last: StorePosition) -> None:
        """Move to the position of a snapshot, and remember what it doesn't tell."""
        self.needs_snapshot = False
        begin = self.position
        if self._unsettled is not None:
            first = self._unsettled[0]
            begin = StorePosition(first.era, first.revision - 1)
        if position > self.position:
            self._add_gap(begin, position)
            self.position = position
            self._unsettled = None
        self._unsettle(self.position, last)

    def _unsettle(self, first: StorePosition, last: StorePosition) -> None:
        """Take the copy for unsettled from `first` until it has passed `last`."""
        if last.era == self.position.era and last > self.position:
            known = self._unsettled or (first, last)
            self._unsettled = (min(known[0], first), max(known[1], last))

    def _add_gap(self, begin: StorePosition, end: StorePosition) -> None:
        """Remember that keys that were written and removed between two positions are unknown.

        A copy whose position is between them may have such a key and needs a whole snapshot.
        """
        self._gaps.append((begin, end))
        if len(self._gaps) > MAX_GAPS:
            self._gaps = [(self._gaps[0][0], end)]

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
        self._gaps = []
        self._unsettled = None
        self.needs_snapshot = False
        return [*removed, *sorted(changed, key=lambda one: one.position)]

    def _apply_all(self, changes: Iterable[MirrorItem]) -> list[MirrorItem]:
        """Apply changes in order and return those that had an effect."""
        ordered = sorted(changes, key=lambda one: one.position)
        return [
            item for item in ordered if item.position.era == self.position.era and self._apply(item)
        ]

    def _apply(self, item: MirrorItem) -> bool:
        known = self.items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.position >= item.position:
            return False
        forgotten = max(self._snapshot, min(self._dropped, self.position))
        if item.key not in self.items and item.position <= forgotten:
            # A newer snapshot did not contain the key, or its tombstone was dropped.
            return False
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
