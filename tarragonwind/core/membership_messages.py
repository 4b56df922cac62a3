"""Define the messages of the membership protocol.

A record of a member travels as a list of its fields, see `tarragonwind.core.member_views`.
"""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.core.member_views import MAX_INCARNATION, check_list
from tarragonwind.messages import Message, MessageError, message


@message(10)
@dataclass(slots=True)
class Ping(Message):
    """Ask a member whether it runs.

    Attributes
    ----------
    seq : int
        Number that the answer repeats.
    incarnation : int
        Incarnation of the sender.
    leaving : bool
        Whether the sender is leaving.
    digest : int
        Digest of the sender's view.
    updates : list of list
        Records that changed lately.
    payloads : list of list
        Slot name and value of each attached payload.
    """

    seq: int
    incarnation: int
    leaving: bool
    digest: int
    updates: list[list]
    payloads: list[list]


@message(11)
@dataclass(slots=True)
class Ack(Message):
    """Answer a `Ping`; the fields are those of the ping, seen from the answering member."""

    seq: int
    incarnation: int
    leaving: bool
    digest: int
    updates: list[list]
    payloads: list[list]


@message(12)
@dataclass(slots=True)
class PingRequest(Message):
    """Ask a member to probe another one on the sender's behalf."""

    seq: int
    target: str


@message(13)
@dataclass(slots=True)
class RelayedAck(Message):
    """Tell the sender of a `PingRequest` that the target has answered."""

    seq: int
    target: str


@message(14)
@dataclass(slots=True)
class Push(Message):
    """Spread new records and payloads without waiting for the next probe."""

    updates: list[list]
    payloads: list[list]


@message(15)
@dataclass(slots=True)
class Sync(Message):
    """Hand over records of a view.

    Attributes
    ----------
    records : list of list
        All records of the buckets.
    buckets : list of int
        Buckets that are handed over, empty for all.
    answer : bool
        Whether the receiver should hand over the same buckets in return.
    trusted : bool
        Whether the sender reaches the larger part of the fleet and was not paused.
    """

    records: list[list]
    buckets: list[int]
    answer: bool
    trusted: bool


@message(16)
@dataclass(slots=True)
class Compare(Message):
    """Ask a member to exchange the buckets whose digests differ from its own."""

    digests: list[int]


def check_probe(msg: Ping | Ack) -> None:
    """Check the numbers of a probe or its answer.

    Raises
    ------
    MessageError
        When one has the wrong type or is out of range.
    """
    if not isinstance(msg.seq, int) or not isinstance(msg.incarnation, int):
        raise MessageError("a probe's numbers have the wrong type")
    if not 0 <= msg.incarnation <= MAX_INCARNATION:
        raise MessageError("a probe's incarnation is out of range")


def check_buckets(value: list[int]) -> list[int]:
    """Return the buckets of a `Sync`.

    Raises
    ------
    MessageError
        When they are no numbers.
    """
    if not all(isinstance(bucket, int) for bucket in check_list(value)):
        raise MessageError("a bucket is a number")
    return value
