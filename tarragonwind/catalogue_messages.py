"""Define the messages by which daemons bring the catalogue in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tarragonwind.messages import Message, message

FULL_SNAPSHOT = -1
"""Value of `CatalogueAsk.since` that asks for the whole catalogue."""


@message(20)
@dataclass(slots=True)
class CatalogueNumber(Message):
    """Tell the number in force at the sender and the digest of its content."""

    number: int
    digest: int
    wants_answer: bool


@message(21)
@dataclass(slots=True)
class CatalogueChanges(Message):
    """Pass changes on.

    Attributes
    ----------
    origin : str
        Daemon that the spreading began at; empty for an answer to one daemon.
    hops : int
        Daemons passed since.
    changes : list
        Changes as `tarragonwind.core.changes.to_wire` gives them.
    """

    origin: str
    hops: int
    changes: list[Any]


@message(22)
@dataclass(slots=True)
class CatalogueAsk(Message):
    """Ask for the changes after a number, `FULL_SNAPSHOT` for everything."""

    since: int


@message(23)
@dataclass(slots=True)
class CataloguePartAsk(Message):
    """Ask for one more part of a whole catalogue."""

    number: int
    index: int


@message(24)
@dataclass(slots=True)
class CataloguePart(Message):
    """Hand over one part of a whole catalogue.

    Attributes
    ----------
    number, digest : int
        Number and digest of the whole.
    index, count : int
        Position of the part and number of parts.
    records : list
        Lists of number, key and content.
    """

    number: int
    digest: int
    index: int
    count: int
    records: list[Any]
