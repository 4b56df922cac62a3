"""Build membership messages from a view, its queued broadcasts and piggybacked payloads."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from tarragonwind.core.broadcast_queues import BroadcastQueue
from tarragonwind.core.member_views import BUCKET_COUNT, Health, MemberView, pack_member
from tarragonwind.core.membership_messages import Ack, Compare, Ping, Push, Sync

MAX_PROBE_RECORDS = 6
MAX_PUSH_RECORDS = 40


class PayloadSource:
    """Define the source and consumer of piggybacked payloads; the base class has none."""

    def collect(self) -> list[list]:
        """Return the payloads for one message."""
        return []

    def consume(self, sender: str, payloads: Any) -> None:
        """Process the payloads of a received message."""


class MessageBuilder:
    """Build the membership messages that one daemon sends.

    Parameters
    ----------
    view : MemberView
        View of the daemon.
    broadcasts : BroadcastQueue
        Queue of the records to broadcast.
    payloads : PayloadSource
        Source of the payloads to attach.
    """

    __slots__ = ("_broadcasts", "_payloads", "_view")

    def __init__(
        self, view: MemberView, broadcasts: BroadcastQueue, payloads: PayloadSource
    ) -> None:
        self._view = view
        self._broadcasts = broadcasts
        self._payloads = payloads

    def ping(self, seq: int, target: str) -> Ping:
        """Return a probe of `target`."""
        own = self._view.own
        updates = self._take_records(MAX_PROBE_RECORDS, target)
        digest = self._view.digest()
        return Ping(seq, own.incarnation, own.leaving, digest, updates, self._payloads.collect())

    def ack(self, seq: int, target: str) -> Ack:
        """Return the answer to a probe of `target`."""
        own = self._view.own
        updates = self._take_records(MAX_PROBE_RECORDS, target)
        digest = self._view.digest()
        return Ack(seq, own.incarnation, own.leaving, digest, updates, self._payloads.collect())

    def push(self) -> Push:
        """Return a message with the queued records and payloads."""
        return Push(self._take_records(MAX_PUSH_RECORDS, ""), self._payloads.collect())

    def final_push(self) -> Push:
        """Return a push of the daemon's own record only, sent before the process exits."""
        return Push([pack_member(self._view.own)], [])

    def sync(
        self,
        trusted: bool,
        answer: bool,
        buckets: Collection[int] = (),
        known: Collection[str] = (),
    ) -> Sync:
        """Return the records of the given buckets, or of all if there are none.

        An untrusted daemon, which may be isolated, omits dead members. Those whose records the
        receiver is known to have are left out too.
        """
        records = []
        for member in self._view.in_buckets(buckets or range(BUCKET_COUNT)):
            if member.name in known:
                continue
            if member.health is not Health.DEAD or trusted:
                records.append(self._view.record(member.name))
        return Sync(records, list(buckets), answer, trusted)

    def compare(self) -> Compare:
        """Return a message with the digests of all buckets."""
        return Compare(self._view.bucket_digests())

    def _take_records(self, count: int, target: str) -> list[list]:
        """Return up to `count` records to broadcast.

        A suspicion or death of the target is always included, so that the target can refute it.
        """
        member = self._view.get(target)
        refutable = member is not None and member.health is not Health.ALIVE
        own = self._view.own
        records = []
        for name in self._broadcasts.take(count, target if refutable else ""):
            if name == own.name or self._view.get(name) is not None:
                records.append(self._view.record(name))
        return records
