"""Define the errors of catalogue writes."""

from __future__ import annotations

from tarragonwind.core.changes import Change


class CatalogueError(Exception):
    """Base of the errors of catalogue writes."""


class CatalogueConflict(CatalogueError):
    """Report that an entry's current number isn't the number that the write expects.

    Parameters
    ----------
    key : str
        Key of the entry.
    number : int
        Number of the last change of the entry, 0 if there is no entry.
    doc : bytes or None
        Canonical JSON of the current entry, None if there is none.
    """

    def __init__(self, key: str, number: int, doc: bytes | None) -> None:
        super().__init__(f"{key}: was changed by number {number}; look at it and put it again")
        self.key = key
        self.number = number
        self.doc = doc


class StoreBehind(CatalogueError):
    """Report that the store holds an older or a different catalogue than the one in force.

    Parameters
    ----------
    store_number : int
        Change number of the head in the store.
    in_force : int
        Highest change number that is known to be in force on any daemon.
    """

    def __init__(self, store_number: int, in_force: int) -> None:
        super().__init__(
            f"the store came back with number {store_number} though {in_force} is in force; "
            "it is being mended, try again in some seconds"
        )
        self.store_number = store_number
        self.in_force = in_force


class WriteOutcomeUnknown(CatalogueError):
    """Report a write whose response was lost and whose outcome could not be read back in time.

    Parameters
    ----------
    write_id : str
        Id that the changes carry if they were accepted.
    changes : list of Change
        Changes of the write.
    """

    def __init__(self, write_id: str, changes: list[Change]) -> None:
        keys = ", ".join(change.key for change in changes)
        super().__init__(
            f"{keys}: the store's answer was lost and could not be read back; it may be accepted. "
            f"Look at the entry's history for write {write_id} before you put it again"
        )
        self.write_id = write_id
        self.changes = changes


class WriteContended(CatalogueError):
    """Report that concurrent writes won at each attempt; nothing was written."""
