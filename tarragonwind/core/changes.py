"""Define the numbered changes of the catalogue and their encodings."""

from __future__ import annotations

import json
from typing import Any

import xxhash

from tarragonwind.core.entries import Entry, dump_entry
from tarragonwind.records import dataclass

CHANGE_FIELD_COUNT = 7


@dataclass(frozen=True, slots=True)
class Change:
    """Represent one accepted write or deletion of an entry.

    Attributes
    ----------
    number : int
        Position in the total order of changes, from 1.
    key : str
        ``kind/name`` of the entry.
    doc : bytes or None
        Canonical JSON of the entry's fields; None for a deletion.
    write_id : str
        Unique id of the write; the changes of one transaction share it.
    at : float
        Wall-clock time at the writing host, in seconds since the epoch.
    author : str
        Operator or host that requested the write.
    digest : int
        Digest of the whole catalogue after the change, 64 bits.
    """

    number: int
    key: str
    doc: bytes | None
    write_id: str
    at: float
    author: str
    digest: int


def record_digest(number: int, key: str, doc: bytes) -> int:
    """Hash one record to 64 bits; the XOR of these hashes is the catalogue's digest."""
    return xxhash.xxh3_64_intdigest(b"%d\0%s\0%s" % (number, key.encode(), doc))


def canonical_json(doc: Any) -> bytes:
    """Encode as JSON with sorted keys and no padding, so that equal data gives equal bytes."""
    return json.dumps(doc, sort_keys=True, separators=(",", ":")).encode()


def pack_entry(entry: Entry) -> bytes:
    """Encode an entry's fields as canonical JSON."""
    return canonical_json(dump_entry(entry))


def to_wire(change: Change) -> list[Any]:
    """Convert a change to a list for a peer message."""
    return [
        change.number,
        change.key,
        change.doc,
        change.write_id,
        change.at,
        change.author,
        change.digest,
    ]


def from_wire(values: Any) -> Change:
    """Convert a list from a peer message to a change.

    Raises
    ------
    ValueError
        If the list has the wrong length, or a value has the wrong type or is out of range.
    """
    if not isinstance(values, list) or len(values) != CHANGE_FIELD_COUNT:
        raise ValueError(
            f"a change is a list of {CHANGE_FIELD_COUNT} values, "
            f"got {len(values) if isinstance(values, list) else type(values).__name__}"
        )
    number, key, doc, write_id, at, author, digest = values
    texts_right = all(isinstance(item, str) for item in (key, write_id, author))
    numbers_right = all(isinstance(item, int) for item in (number, digest))
    if not texts_right or not numbers_right or not isinstance(at, float | int):
        raise ValueError(
            "a change has a value of the wrong type: got "
            + ", ".join(type(item).__name__ for item in values)
        )
    if number < 1 or "/" not in key or not isinstance(doc, bytes | None):
        raise ValueError(
            "a change has a value out of range: expected number >= 1, key kind/name and doc bytes "
            f"or None, got {number}, {key[:80]!r} and {type(doc).__name__}"
        )
    return Change(number, key, doc, write_id, float(at), author, digest)
