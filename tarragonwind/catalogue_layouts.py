"""Define the store keys of the catalogue and the encoding of their values.

``<root>/catalogue/head`` holds the change number and the digest,
``<root>/catalogue/entries/<kind>/<name>`` the entries and ``<root>/changes/<number>`` the latest
changes.
"""

from __future__ import annotations

import json
from typing import Any

from tarragonwind.core.catalogues import Record, parse_record
from tarragonwind.core.changes import Change, canonical_json
from tarragonwind.errors import StoreError
from tarragonwind.ports import KeyValue
from tarragonwind.records import dataclass

NUMBER_DIGITS = 12
DECODE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
"""Exceptions that decoding a malformed value raises."""


@dataclass(frozen=True, slots=True)
class CatalogueLayout:
    """Build the store keys under one root."""

    root: str

    @property
    def prefix(self) -> str:
        """Return the common prefix of the head and the entries."""
        return f"{self.root}/catalogue/"

    @property
    def head(self) -> str:
        """Return the store key of the head."""
        return f"{self.prefix}head"

    @property
    def entries(self) -> str:
        """Return the prefix of the entries."""
        return f"{self.prefix}entries/"

    @property
    def changes(self) -> str:
        """Return the prefix of the changes."""
        return f"{self.root}/changes/"

    def entry(self, key: str) -> str:
        """Return the store key of an entry, given its catalogue key ``kind/name``."""
        return self.entries + key

    def change(self, number: int) -> str:
        """Return the store key of a change, zero-padded so that keys sort by number."""
        return f"{self.changes}{number:0{NUMBER_DIGITS}}"


@dataclass(frozen=True, slots=True)
class Head:
    """Represent the head of the catalogue, which every write compares and replaces.

    Attributes
    ----------
    number : int
        Number of the last accepted change.
    digest : int
        Digest of the catalogue.
    mod_revision : int
        Store revision of the head's last write, 0 if there is no head.
    revision : int
        Store revision at which the head was read.
    """

    number: int
    digest: int
    mod_revision: int
    revision: int = 0


def pack_head(number: int, digest: int, write_id: str) -> bytes:
    """Encode the value of the head."""
    return canonical_json({"digest": f"{digest:016x}", "number": number, "write_id": write_id})


def unpack_head(item: KeyValue | None, revision: int) -> Head:
    """Decode the head; raise StoreError if it is malformed."""
    if item is None:
        return Head(0, 0, 0, revision)
    try:
        doc = json.loads(item.value)
        return Head(int(doc["number"]), int(doc["digest"], 16), item.mod_revision, revision)
    except DECODE_ERRORS as exc:
        raise StoreError(f"malformed catalogue head at {item.key}: {exc!r:.80}") from exc


def pack_record(number: int, doc: bytes) -> bytes:
    """Encode the value of an entry."""
    return canonical_json({"doc": json.loads(doc), "number": number})


def unpack_record(key: str, item: KeyValue) -> Record:
    """Decode an entry; raise StoreError if it is malformed."""
    try:
        value = json.loads(item.value)
        return parse_record(int(value["number"]), key, canonical_json(value["doc"]))
    except DECODE_ERRORS as exc:
        raise StoreError(f"malformed catalogue entry at {item.key}: {exc!r:.80}") from exc


def pack_change(change: Change) -> bytes:
    """Encode the value of a change."""
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
    """Decode a change; raise StoreError if it is malformed."""
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
        raise StoreError(f"malformed catalogue change at {key}: {exc!r:.80}") from exc
