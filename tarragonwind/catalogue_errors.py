"""Define how a write to the catalogue can fail."""

from __future__ import annotations

from tarragonwind.core.changes import Change


class CatalogueError(Exception):
    """Report a write to the catalogue that was not accepted."""


class CatalogueConflict(CatalogueError):
    """Report that another write changed the entry first.

    Parameters
    ----------
    key : str
        Key of the entry.
    number : int
        Number of the change that stands there now, 0 when there is no entry.
    doc : bytes or None
        Canonical JSON of what is there now.
    """

    def __init__(self, key: str, number: int, doc: bytes | None) -> None:
        super().__init__(f"{key}: was changed by number {number}; look at it and put it again")
        self.key = key
        self.number = number
        self.doc = doc


class StoreBehind(CatalogueError):
    """Report that the store holds an older catalogue than the one in force.

    Parameters
    ----------
    store_number : int
        Number of the store's head.
    in_force : int
        Highest number that is known to be in force.
    """

    def __init__(self, store_number: int, in_force: int) -> None:
        super().__init__(
            f"the store came back with number {store_number} though {in_force} is in force; "
            "it is being mended, try again in some seconds"
        )
        self.store_number = store_number
        self.in_force = in_force


class WriteOutcomeUnknown(CatalogueError):
    """Report a write whose answer was lost and that could not be read back in time.

    Parameters
    ----------
    write_id : str
        Id that the change carries if it was accepted.
    changes : list of Change
        What was to be written.
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
    """Report that other writes came first at each attempt; nothing was written."""
