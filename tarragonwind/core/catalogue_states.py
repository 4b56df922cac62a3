"""Decide which state of the catalogue is in force on a daemon; it only ever goes forward."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Iterable

from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.changes import Change

MAX_RECENT_CHANGES = 2_048
"""Changes kept for peers that are behind."""
MAX_PENDING_CHANGES = 1_024
"""Changes kept beyond a gap."""


class Divergence(enum.Enum):
    """Tell how the content in force contradicts what came in."""

    NONE = "none"
    SAME_NUMBER = "same_number"
    """Two different changes carry one number."""
    DIGEST = "digest"
    """The next change was accepted on top of another content."""


class CatalogueState:
    """Hold the catalogue in force and take in changes that may be lost, late or repeated.

    Attributes
    ----------
    in_force : Catalogue
        State that requests are decided by.
    highest_seen : int
        Highest number that anyone has named.
    divergence : Divergence
        First contradiction seen since the last whole catalogue was taken.
    """

    __slots__ = ("_listeners", "_pending", "_recent", "divergence", "highest_seen", "in_force")

    def __init__(self) -> None:
        self.in_force = Catalogue()
        self.highest_seen = 0
        self.divergence = Divergence.NONE
        self._recent: deque[Change] = deque(maxlen=MAX_RECENT_CHANGES)
        self._pending: dict[int, Change] = {}
        self._listeners: list[Callable[[Catalogue], None]] = []

    def subscribe(self, callback: Callable[[Catalogue], None]) -> None:
        """Call `callback` with each catalogue that comes into force."""
        self._listeners.append(callback)

    def _bring_in_force(self, catalogue: Catalogue) -> None:
        self.in_force = catalogue
        for listener in self._listeners:
            listener(catalogue)

    @property
    def number(self) -> int:
        """Return the number in force."""
        return self.in_force.number

    @property
    def behind(self) -> bool:
        """Tell whether someone has named a higher number than the one in force."""
        return self.highest_seen > self.number

    def observe_number(self, number: int) -> None:
        """Note that a number exists."""
        self.highest_seen = max(self.highest_seen, number)

    def apply_changes(self, changes: Iterable[Change]) -> list[Change]:
        """Take in changes in any order and return those that came into force, in order."""
        for change in changes:
            self.observe_number(change.number)
            if change.number <= self.number:
                self._compare_with_recent(change)
            elif change.number <= self.number + MAX_PENDING_CHANGES:
                self._pending.setdefault(change.number, change)
        return self._apply_pending()

    def _compare_with_recent(self, change: Change) -> None:
        known = self.recent_change(change.number)
        if known is not None and known.write_id != change.write_id:
            self._note(Divergence.SAME_NUMBER)

    def recent_change(self, number: int) -> Change | None:
        """Return a change in force by its number, when it is still kept."""
        if not self._recent:
            return None
        index = number - self._recent[0].number
        return self._recent[index] if 0 <= index < len(self._recent) else None

    def _apply_pending(self) -> list[Change]:
        ready = []
        number = self.number + 1
        while number in self._pending:
            ready.append(self._pending.pop(number))
            number += 1
        if not ready:
            return []
        after = self.in_force.with_changes(ready)
        if after.digest != ready[-1].digest:
            self._note(Divergence.DIGEST)
            return []
        self._recent.extend(ready)
        self._bring_in_force(after)
        return ready

    def _note(self, divergence: Divergence) -> None:
        if self.divergence is Divergence.NONE:
            self.divergence = divergence

    def install_snapshot(self, catalogue: Catalogue) -> bool:
        """Bring a whole catalogue in force if its number is higher; return whether it was."""
        self.observe_number(catalogue.number)
        if catalogue.number <= self.number:
            return False
        self.divergence = Divergence.NONE
        self._recent.clear()
        self._pending = {
            number: change for number, change in self._pending.items() if number > catalogue.number
        }
        self._bring_in_force(catalogue)
        self._apply_pending()
        return True

    def changes_since(self, number: int) -> list[Change] | None:
        """Return the changes after a number; None when they are no longer kept."""
        if number >= self.number:
            return []
        if self.recent_change(number + 1) is None:
            return None
        return [change for change in self._recent if change.number > number]

    def recent(self) -> list[Change]:
        """Return the changes that are still kept, in order."""
        return list(self._recent)
