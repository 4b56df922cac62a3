"""Lay the catalogue out over keys of the store and pack their values.

``<root>/catalogue/head`` holds the number, ``<root>/catalogue/entries/<kind>/<name>`` the entries
and ``<root>/changes/<number>`` the latest changes.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from tarragonwind.core.catalogues import Record, parse_record
from tarragonwind.core.changes import Change, canonical_json
from tarragonwind.errors import StoreError
from tarragonwind.ports import KeyValue

NUMBER_DIGITS = 12
DECODE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
"""Errors that reading a value of the wrong form raises."""


@dataclass(frozen=True, slots=True)
class CatalogueLayout:
    """Name the keys under one root."""

    root: str

    @property
    def prefix(self) -> str:
        """Return what the head and all entries begin with."""
        return f"{self.root}/catalogue/"

    @property
    def head(self) -> str:
        """Return the key of the head."""
        return f"{self.prefix}head"

    @property
    def entries(self) -> str:
        """Return what all entries begin with."""
        return f"{self.prefix}entries/"

    @property
    def changes(self) -> str:
        """Return what all changes begin with."""
        return f"{self.root}/changes/"

    def entry(self, key: str) -> str:
        """Return the store's key of a catalogue key."""
        return self.entries + key

    def change(self, number: int) -> str:
        """Return the key of a change."""
        return f"{self.changes}{number:0{NUMBER_DIGITS}}"


@dataclass(frozen=True, slots=True)
class Head:
    """Hold the head of the catalogue.

    Attributes
    ----------
    number : int
        Number of the last accepted change.
    digest : int
        Digest of the catalogue.
    mod_revision : int
        Store revision of the head's last write, 0 when there is none.
    revision : int
        Store revision at the read.
    """

    number: int
    digest: int
    mod_revision: int
    revision: int = 0


def pack_head(number: int, digest: int, write_id: str) -> bytes:
    """Return the head's value."""
    return canonical_json({"digest": f"{digest:016x}", "number": number, "write_id": write_id})


def unpack_head(item: KeyValue | None, revision: int) -> Head:
    """Return the head of its key; raise StoreError for a value of another form."""
    if item is None:
        return Head(0, 0, 0, revision)
    try:
        doc = json.loads(item.value)
        return Head(int(doc["number"]), int(doc["digest"], 16), item.mod_revision, revision)
    except DECODE_ERRORS as exc:
        raise StoreError(f"the value at {item.key} is no head of a catalogue") from exc


def pack_record(number: int, doc: bytes) -> bytes:
    """Return the value of an entry's key."""
    return canonical_json({"doc": json.loads(doc), "number": number})


def unpack_record(key: str, item: KeyValue) -> Record:
    """Return the record of its key; raise StoreError for a value of another form."""
    try:
        value = json.loads(item.value)
        return parse_record(int(value["number"]), key, canonical_json(value["doc"]))
    except DECODE_ERRORS as exc:
        raise StoreError(f"the value at {item.key} is no entry") from exc


def pack_change(change: Change) -> bytes:
    """Return the value of a change's key."""
    doc: dict[str, Any] = {
        "at": change.at,
        "author": change.author,
        "digest": f"{change.digest:016x}",
        "doc": None if change.doc is None else json.loads(change.doc),
        "key": change.key,
        "number": change.number,
        "write_id": change.write_id,
    }
    return canonical_json(doc)


def unpack_change(key: str, value: bytes) -> Change:
    """Return the change of its key; raise StoreError for a value of another form."""
    try:
        doc = json.loads(value)
        content = None if doc["doc"] is None else canonical_json(doc["doc"])
        return Change(
            int(doc["number"]),
            str(doc["key"]),
            content,
            str(doc["write_id"]),
            float(doc["at"]),
            str(doc["author"]),
            int(doc["digest"], 16),
        )
    except DECODE_ERRORS as exc:
        raise StoreError(f"the value at {key} is no change") from exc
