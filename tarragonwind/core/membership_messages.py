"""Define the messages of the membership protocol.

A member record is encoded as a list of its fields, see `tarragonwind.core.member_views`.
"""

from __future__ import annotations

from tarragonwind.core.member_views import MAX_INCARNATION, check_list
from tarragonwind.messages import Message, MessageError, message
from tarragonwind.records import dataclass


@message(10)
@dataclass(slots=True)
class Ping(Message):
    """Probe whether a member is running.

    Attributes
    ----------
    seq : int
        Sequence number, repeated in the answer.
    incarnation : int
        Incarnation of the sender.
    leaving : bool
        Whether the sender has announced a graceful shutdown.
    digest : int
        Digest of the sender's view.
    updates : list of list
        Recently changed member records.
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
    """Answer a `Ping`; the fields have the same meaning, for the answering member."""

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
    """Report to the sender of a `PingRequest` that the target has answered."""

    seq: int
    target: str


@message(14)
@dataclass(slots=True)
class Push(Message):
    """Send changed records and payloads without waiting for the next probe."""

    updates: list[list]
    payloads: list[list]


@message(15)
@dataclass(slots=True)
class Sync(Message):
    """Transfer the records of whole buckets of a view.

    Attributes
    ----------
    records : list of list
        All records of the buckets.
    buckets : list of int
        Indices of the transferred buckets, empty for all.
    answer : bool
        Whether the receiver should send the same buckets in return.
    trusted : bool
        Whether the sender reaches a majority of the fleet and has not been paused since its last
        synchronisation.
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
    """Validate the sequence number and incarnation of a probe or its answer.

    Raises
    ------
    MessageError
        If one has the wrong type or is out of range.
    """
    if not isinstance(msg.seq, int) or not isinstance(msg.incarnation, int):
        raise MessageError(
            "probe must have integer seq and incarnation, "
            f"got {type(msg.seq).__name__} and {type(msg.incarnation).__name__}"
        )
    if not 0 <= msg.incarnation <= MAX_INCARNATION:
        raise MessageError(
            f"probe has incarnation {msg.incarnation}, expected 0 to {MAX_INCARNATION}"
        )


def check_buckets(value: list[int]) -> list[int]:
    """Return the buckets of a `Sync`.

    Raises
    ------
    MessageError
        If one is not an integer.
    """
    if not all(isinstance(bucket, int) for bucket in check_list(value)):
        types = ", ".join(sorted({type(bucket).__name__ for bucket in value}))
        raise MessageError(f"buckets must be integers, got {types}")
    return value
