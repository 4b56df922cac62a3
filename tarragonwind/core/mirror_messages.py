"""Define the messages with which hosts replicate their mirrors of the store to each other."""

from __future__ import annotations

from tarragonwind.messages import Message, added_field, message
from tarragonwind.records import dataclass

NO_OUTAGE_MS = -1
"""Value of `MirrorPart.outage_age_ms` without a recent outage."""
MAX_POSITION_PART = (1 << 64) - 1
"""Largest era or revision of a position."""
UNKNOWN_SINCE = -2
"""Value of `MirrorPart.since` from a host that doesn't tell it."""


@message(60)
@dataclass(slots=True)
class MirrorAsk(Message):
    """Request the changes of a mirror.

    Attributes
    ----------
    prefix : str
        Key prefix of the mirror.
    since : int
        Store revision of the requesting host's copy, -1 to request all items.
    era : int
        Era of the store to which that revision belongs.
    """

    prefix: str
    since: int
    era: int = 0


@message(61)
@dataclass(slots=True)
class MirrorPart(Message):
    """Transfer changes of a mirror, or all its items.

    Attributes
    ----------
    prefix : str
        Key prefix of the mirror.
    revision : int
        Highest store revision in the sender's copy.
    whole : bool
        Whether `items` is a full snapshot instead of the changes since the requested revision.
    items : list of list
        Key, value (nil if removed) and store revision of each item.
    era : int
        Era of the store to which all revisions belong.
    outage_age_ms : int
        Time since the end of a recent store outage in milliseconds, `NO_OUTAGE_MS` for none. What
        expired during the outage has a grace period on the receiving host too.
    settled_at : int
        Store revision from which on the sender's copy holds exactly the keys of its position;
        unknown from a host below level 3.
    since : int
        `MirrorAsk.since` of the request; unknown from a host below level 3.
    """

    prefix: str
    revision: int
    whole: bool
    items: list[list]
    era: int = 0
    outage_age_ms: int = added_field(2, NO_OUTAGE_MS)
    settled_at: int = added_field(3, MAX_POSITION_PART)
    since: int = added_field(3, UNKNOWN_SINCE)
