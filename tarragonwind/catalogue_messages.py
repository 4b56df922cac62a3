"""Define the peer messages that replicate the catalogue."""

from __future__ import annotations

from typing import Any

from tarragonwind.messages import Message, message
from tarragonwind.records import dataclass

FULL_SNAPSHOT = -1
"""Value of `CatalogueAsk.since` that requests a snapshot instead of changes."""


@message(20)
@dataclass(slots=True)
class CatalogueNumber(Message):
    """Announce the change number and the digest of the catalogue in force at the sender."""

    number: int
    digest: int
    wants_answer: bool


@message(21)
@dataclass(slots=True)
class CatalogueChanges(Message):
    """Broadcast changes, or answer a `CatalogueAsk`.

    Attributes
    ----------
    origin : str
        Daemon at the root of the broadcast tree; empty for an answer, which isn't forwarded.
    hops : int
        Number of times the message was sent since the origin, 0 for an answer.
    changes : list
        Changes as encoded by `tarragonwind.core.changes.to_wire`.
    """

    origin: str
    hops: int
    changes: list[Any]


@message(22)
@dataclass(slots=True)
class CatalogueAsk(Message):
    """Request the changes after a number, or a snapshot with `FULL_SNAPSHOT`."""

    since: int


@message(23)
@dataclass(slots=True)
class CataloguePartAsk(Message):
    """Request the next part of a snapshot."""

    number: int
    index: int


@message(24)
@dataclass(slots=True)
class CataloguePart(Message):
    """Transfer one part of a snapshot.

    Attributes
    ----------
    number, digest : int
        Change number and digest of the whole catalogue.
    index, count : int
        Position of the part, from 0, and number of parts.
    records : list
        Records as lists of change number, key and canonical JSON.
    """

    number: int
    digest: int
    index: int
    count: int
    records: list[Any]
