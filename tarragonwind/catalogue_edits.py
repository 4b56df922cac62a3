"""Define catalogue edits and group them into writes that fit one transaction."""

from __future__ import annotations

from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.changes import canonical_json
from tarragonwind.core.entries import MoveEntry, dump_entry
from tarragonwind.core.verdicts import MoveOutcome, MoveVerdict, pack_verdict
from tarragonwind.errors import EntryError
from tarragonwind.records import dataclass

MAX_ENTRY_BYTES = 256 * 1024
MAX_EDITS_PER_WRITE = 40
"""Entries in one transaction; each takes up to three of the store's 128 operations."""
MAX_WRITE_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class Edit:
    """Represent the write or deletion of one entry.

    Attributes
    ----------
    key : str
        Key of the entry.
    doc : bytes or None
        Canonical JSON of the entry's fields, None to delete the entry.
    expected_number : int or None
        Number of the entry's last change for the write to succeed, 0 for no entry. None expects the
        number in force when the write begins.
    """

    key: str
    doc: bytes | None
    expected_number: int | None = None


def verdict_edits(catalogue: Catalogue, verdict: MoveVerdict) -> list[Edit]:
    """Return the edits that record a verdict and, for a completed move, its pool's new version."""
    edits = [Edit(verdict.key, pack_verdict(verdict), 0)]
    move = catalogue.entry(f"move/{verdict.move}")
    if verdict.outcome is not MoveOutcome.DONE or not isinstance(move, MoveEntry):
        return edits
    pool = catalogue.pool(move.pool)
    if pool is not None and pool.version == move.from_version:
        doc = dump_entry(pool)
        doc["version"] = move.to_version
        edits.append(Edit(pool.key, canonical_json(doc)))
    return edits


def check_sizes(edits: list[Edit]) -> None:
    """Raise EntryError for edits that don't fit one transaction."""
    if not 1 <= len(edits) <= MAX_EDITS_PER_WRITE:
        raise EntryError(f"entries: {len(edits)} in one write; allowed: 1 to {MAX_EDITS_PER_WRITE}")
    for edit in edits:
        if len(edit.doc or b"") > MAX_ENTRY_BYTES:
            raise EntryError(
                f"{edit.key}: {len(edit.doc or b'')} bytes; allowed: to {MAX_ENTRY_BYTES}"
            )


def split_edits(edits: list[Edit]) -> list[list[Edit]]:
    """Group edits, in order, so that each group fits one transaction."""
    groups: list[list[Edit]] = []
    size = 0
    for edit in edits:
        added = len(edit.doc or b"")
        full = groups and (len(groups[-1]) == MAX_EDITS_PER_WRITE or size + added > MAX_WRITE_BYTES)
        if not groups or full:
            groups.append([])
            size = 0
        groups[-1].append(edit)
        size += added
    return groups
