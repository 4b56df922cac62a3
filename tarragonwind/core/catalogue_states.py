"""Track the catalogue in force on a daemon; its number only increases."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Iterable

from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.changes import Change

MAX_RECENT_CHANGES = 2_048
"""Applied changes kept in memory for peers that are behind."""
MAX_PENDING_CHANGES = 1_024
"""Distance ahead of the number in force up to which out-of-order changes are buffered."""


class Divergence(enum.Enum):
    """Classify a conflict between the catalogue in force and a received change."""

    NONE = "none"
    SAME_NUMBER = "same_number"
    """Two different writes have the same change number."""
    DIGEST = "digest"
    """Applying the next change gives a digest other than the one it carries."""


class CatalogueState:
    """Apply changes, which may arrive late, repeatedly or not at all, in order of number.

    Attributes
    ----------
    in_force : Catalogue
        Catalogue that requests are routed by.
    highest_seen : int
        Highest change number seen in any message or read of the store.
    divergence : Divergence
        First conflict detected since the last snapshot was installed.
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
        """Call `callback` with each new catalogue in force."""
        self._listeners.append(callback)

    def _set_in_force(self, catalogue: Catalogue) -> None:
        self.in_force = catalogue
        for listener in self._listeners:
            listener(catalogue)

    @property
    def number(self) -> int:
        """Return the change number of the catalogue in force."""
        return self.in_force.number

    @property
    def behind(self) -> bool:
        """Return whether a higher number than the one in force has been seen."""
        return self.highest_seen > self.number

    def observe_number(self, number: int) -> None:
        """Record that a change number exists."""
        self.highest_seen = max(self.highest_seen, number)

    def apply_changes(self, changes: Iterable[Change]) -> list[Change]:
        """Apply changes given in any order and return those now in force, in order of number."""
        for change in changes:
            self.observe_number(change.number)
            if change.number <= self.number:
                self._check_same_write(change)
            elif change.number <= self.number + MAX_PENDING_CHANGES:
                self._pending.setdefault(change.number, change)
        return self._apply_pending()

    def _check_same_write(self, change: Change) -> None:
        known = self.recent_change(change.number)
        if known is not None and known.write_id != change.write_id:
            self._record_divergence(Divergence.SAME_NUMBER)

    def recent_change(self, number: int) -> Change | None:
        """Return an applied change by number, None if it is no longer kept."""
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
            self._record_divergence(Divergence.DIGEST)
            return []
        self._recent.extend(ready)
        self._set_in_force(after)
        return ready

    def _record_divergence(self, divergence: Divergence) -> None:
        if self.divergence is Divergence.NONE:
            self.divergence = divergence

    def install_snapshot(self, catalogue: Catalogue) -> bool:
        """Replace the catalogue in force if the given one is newer; return whether it was."""
        self.observe_number(catalogue.number)
        if catalogue.number <= self.number:
            return False
        self.divergence = Divergence.NONE
        self._recent.clear()
        self._pending = {
            number: change for number, change in self._pending.items() if number > catalogue.number
        }
        self._set_in_force(catalogue)
        self._apply_pending()
        return True

    def changes_since(self, number: int) -> list[Change] | None:
        """Return the changes after a number, None if they are no longer all kept."""
        if number >= self.number:
            return []
        if self.recent_change(number + 1) is None:
            return None
        return [change for change in self._recent if change.number > number]

    def recent(self) -> list[Change]:
        """Return the applied changes that are still kept, in order of number."""
        return list(self._recent)
