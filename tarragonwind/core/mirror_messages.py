"""Define the messages by which hosts pass on what they hold of the store."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.messages import Message, message


@message(60)
@dataclass(slots=True)
class MirrorAsk(Message):
    """Ask for the changes of a mirror.

    Attributes
    ----------
    prefix : str
        Prefix that the mirror copies.
    since : int
        Revision that the asking host holds, -1 for everything.
    """

    prefix: str
    since: int


@message(61)
@dataclass(slots=True)
class MirrorPart(Message):
    """Hand over changes of a mirror.

    Attributes
    ----------
    prefix : str
        Prefix that the mirror copies.
    revision : int
        Revision up to which the sender's copy is complete.
    whole : bool
        Whether these are all items instead of the changes since the asked revision.
    items : list of list
        Key, value (nil once removed) and revision of each.
    """

    prefix: str
    revision: int
    whole: bool
    items: list[list]
