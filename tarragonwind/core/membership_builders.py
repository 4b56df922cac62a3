"""Build the messages of the membership protocol from a view, its broadcasts and attached payloads."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from tarragonwind.core.broadcast_queues import BroadcastQueue
from tarragonwind.core.member_views import BUCKET_COUNT, Health, MemberView, pack_member
from tarragonwind.core.membership_messages import Ack, Compare, Ping, Push, Sync

MAX_PROBE_RECORDS = 6
MAX_PUSH_RECORDS = 40


class PayloadSource:
    """Provide the payloads that ride on probes; an adapter fills it."""

    def collect(self) -> list[list]:
        """Return the payloads for one message."""
        return []

    def consume(self, sender: str, payloads: Any) -> None:
        """Take the payloads of a message."""


class MessageBuilder:
    """Build messages of one daemon.

    Parameters
    ----------
    view : MemberView
        View of the daemon.
    broadcasts : BroadcastQueue
        Records to spread.
    payloads : PayloadSource
        Facts to attach.
    """

    __slots__ = ("_payloads", "_broadcasts", "_view")

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
        """Return the broadcasts and payloads."""
        return Push(self._take_records(MAX_PUSH_RECORDS, ""), self._payloads.collect())

    def final_push(self) -> Push:
        """Return the daemon's own record alone."""
        return Push([pack_member(self._view.own)], [])

    def sync(self, trusted: bool, answer: bool, buckets: Collection[int] = ()) -> Sync:
        """Return the records of some buckets, or of all; an untrusted daemon omits the dead."""
        records = []
        for member in self._view.in_buckets(buckets or range(BUCKET_COUNT)):
            if member.health is not Health.DEAD or trusted:
                records.append(pack_member(member))
        return Sync(records, list(buckets), answer, trusted)

    def compare(self) -> Compare:
        """Return the digests of the buckets."""
        return Compare(self._view.bucket_digests())

    def _take_records(self, count: int, target: str) -> list[list]:
        """Return records to spread; what is said against the target comes first."""
        member = self._view.get(target)
        refutable = member is not None and member.health is not Health.ALIVE
        own = self._view.own
        records = []
        for name in self._broadcasts.take(count, target if refutable else ""):
            record = own if name == own.name else self._view.get(name)
            if record is not None:
                records.append(pack_member(record))
        return records
