"""Define the numbered changes that a catalogue is made of."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import xxhash

from tarragonwind.core.entries import Entry, dump_entry

CHANGE_FIELD_COUNT = 7


@dataclass(frozen=True, slots=True)
class Change:
    """Hold one accepted change.

    Attributes
    ----------
    number : int
        Position in the one order of all changes, from 1.
    key : str
        ``kind/name`` of the entry.
    doc : bytes or None
        Canonical JSON of the entry's fields; None removes it.
    write_id : str
        Unique id of the write that made it.
    at : float
        Time in seconds since the epoch, by the writing host.
    author : str
        Who asked for it.
    digest : int
        Digest of the whole catalogue after the change.
    """

    number: int
    key: str
    doc: bytes | None
    write_id: str
    at: float
    author: str
    digest: int


def record_digest(number: int, key: str, doc: bytes) -> int:
    """Return what one entry adds to the digest of a catalogue, 64 bits."""
    return xxhash.xxh3_64_intdigest(b"%d\0%s\0%s" % (number, key.encode(), doc))


def canonical_json(doc: Any) -> bytes:
    """Return JSON that is the same for equal data on every host."""
    return json.dumps(doc, sort_keys=True, separators=(",", ":")).encode()


def pack_entry(entry: Entry) -> bytes:
    """Return the canonical JSON of an entry's fields."""
    return canonical_json(dump_entry(entry))


def to_wire(change: Change) -> list[Any]:
    """Return a change as a list for a message."""
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
    """Return the change of a list.

    Raises
    ------
    ValueError
        When the list has another form.
    """
    if not isinstance(values, list) or len(values) != CHANGE_FIELD_COUNT:
        raise ValueError(f"a change is a list of {CHANGE_FIELD_COUNT} values")
    number, key, doc, write_id, at, author, digest = values
    texts_right = all(isinstance(item, str) for item in (key, write_id, author))
    numbers_right = all(isinstance(item, int) for item in (number, digest))
    if not texts_right or not numbers_right or not isinstance(at, float | int):
        raise ValueError("a change has a value of the wrong type")
    if number < 1 or "/" not in key or not isinstance(doc, bytes | None):
        raise ValueError("a change has a value out of range")
    return Change(number, key, doc, write_id, float(at), author, digest)
