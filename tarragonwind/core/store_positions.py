"""Define the position of a change in the history of the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Locate a change by the store's era and by its revision in that era.

    A store that comes back from an older copy begins a new era, in which revisions after the copy
    are given out again. Positions are ordered by era first, and can't be compared with a revision.

    Attributes
    ----------
    era : int
        Era of the store, 0 for a store that has none.
    revision : int
        Revision of the store within the era.
    """

    era: int
    revision: int


ORIGIN = StorePosition(0, 0)
"""Position before the first change."""
