"""Collect the messages to the pool owners of one host, and drop those that others supersede.

An event loop reads what has arrived in rounds. A busy owner handles a part of it in each round, so
that rounds stay short, and searches for room once for that part. What it has not handled yet waits
here, where later messages of a host take the place of its earlier ones.
"""

from __future__ import annotations

from tarragonwind.core.permit_messages import PermitAsk, PermitCancel, PermitSync
from tarragonwind.core.permit_states import NO_LIMIT_MS
from tarragonwind.core.queues import priority_of
from tarragonwind.messages import Message
from tarragonwind.records import dataclass

MAX_BATCH = 64
"""Messages handled in one round of the event loop."""

Delivery = tuple[str, Message]
"""Sender and message."""

RequestKey = tuple[str, str, int]
"""Host, pool and permit id of a permit request."""

HostKey = tuple[str, str]
"""Host and pool."""


@dataclass(slots=True)
class Received:
    """Hold a message that no owner has handled yet.

    Attributes
    ----------
    host : str
        Sender.
    msg : Message
        The message.
    at : float
        Time of its arrival, in seconds.
    """

    host: str
    msg: Message
    at: float


class OwnerInbox:
    """Hold the messages that owners have not handled yet."""

    __slots__ = ("_received",)

    def __init__(self) -> None:
        self._received: list[Received] = []

    def __len__(self) -> int:
        return len(self._received)

    def put(self, now: float, host: str, msg: Message) -> None:
        """Add a message that has arrived."""
        self._received.append(Received(host, msg, now))

    def take(self, now: float) -> list[Delivery]:
        """Remove and return the first `MAX_BATCH` messages that still matter.

        If there are more, permit requests come last, those of higher priorities first. The time for
        which one has waited is taken off its deadlines.
        """
        kept = self._received
        if len(kept) > 1:
            kept = drop_superseded(kept)
        if len(kept) > MAX_BATCH:
            kept.sort(key=_urgency)
        self._received = kept[MAX_BATCH:]
        return [(one.host, _aged(now, one)) for one in kept[:MAX_BATCH]]


def drop_superseded(received: list[Received]) -> list[Received]:
    """Return the messages without those that a later one makes useless.

    The full state of a host supersedes its earlier states, requests and cancellations in the pool;
    a cancellation supersedes its request. Releases stay, as they tell how upstreams do.
    """
    synced: set[HostKey] = set()
    cancelled: set[RequestKey] = set()
    kept: list[Received] = []
    for one in reversed(received):
        host, msg = one.host, one.msg
        if isinstance(msg, PermitAsk):
            if (host, msg.pool) in synced or (host, msg.pool, msg.permit_id) in cancelled:
                continue
        elif isinstance(msg, PermitCancel):
            if (host, msg.pool) in synced:
                continue
            cancelled.add((host, msg.pool, msg.permit_id))
        elif isinstance(msg, PermitSync):
            if (host, msg.pool) in synced:
                continue
            synced.add((host, msg.pool))
        kept.append(one)
    kept.reverse()
    return kept


def _urgency(received: Received) -> int:
    """Return the place of a message in the order of handling; equal ones keep their order."""
    msg = received.msg
    return 1 + priority_of(msg.tier, msg.rank) if isinstance(msg, PermitAsk) else 0


def _aged(now: float, received: Received) -> Message:
    """Return the message; the deadlines of a request are reduced by the time that has passed."""
    msg = received.msg
    waited_ms = round(1_000 * (now - received.at))
    if isinstance(msg, PermitAsk) and waited_ms > 0:
        msg.deadline_ms = max(0, msg.deadline_ms - waited_ms)
        if msg.target_ms != NO_LIMIT_MS:
            msg.target_ms = max(0, msg.target_ms - waited_ms)
        if msg.first_byte_deadline_ms != NO_LIMIT_MS:
            msg.first_byte_deadline_ms = max(0, msg.first_byte_deadline_ms - waited_ms)
    return msg
