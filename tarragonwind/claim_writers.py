"""Route the claim writes of a large fleet through a few daemons that batch them."""

from __future__ import annotations

import itertools

import xxhash

from tarragonwind.errors import StoreError
from tarragonwind.futures import Future
from tarragonwind.messages import Message, message
from tarragonwind.ports import Compare, Members, Peers, Put, Store, Timers
from tarragonwind.records import dataclass
from tarragonwind.write_batches import WriteBatcher

MAX_DIRECT_WRITERS = 32
"""Largest fleet in which each daemon writes its own claims."""
WRITER_COUNT = 16
"""Number of writer slots in a larger fleet; the owner of a slot writes its claims."""
LINGER_S = 0.08
"""Time for which a writer waits for more claims before a commit, in seconds."""
ANSWER_TIMEOUT_S = 1.0


@message(25)
@dataclass(slots=True)
class ClaimWrite(Message):
    """Request that a daemon write one key if it was last written at `mod_revision`."""

    number: int
    key: str
    mod_revision: int
    value: bytes
    lease_id: int


@message(26)
@dataclass(slots=True)
class ClaimWritten(Message):
    """Answer `ClaimWrite`.

    Attributes
    ----------
    number : int
        Number of the answered `ClaimWrite`.
    revision : int
        Revision of the write, 0 if its comparison failed.
    failure : str
        Error of the store call; empty if there was none.
    maybe_applied : bool
        Whether a failed write may have taken effect.
    """

    number: int
    revision: int
    failure: str
    maybe_applied: bool


class ClaimWriteRouter:
    """Write claims directly or through the daemon that owns their key slot.

    Two daemons may both act as the owner of a slot during a membership change. That is safe, since
    the store checks the comparison of each write.

    Parameters
    ----------
    store : Store
        Store of the claims.
    members : Members
        Live daemons.
    peers : Peers
        Messages to other daemons.
    timers : Timers
        Clock and timers.
    """

    def __init__(self, store: Store, members: Members, peers: Peers, timers: Timers) -> None:
        self._members = members
        self._peers = peers
        self._timers = timers
        self._direct_batcher = WriteBatcher(store, timers)
        self._slot_batcher = WriteBatcher(store, timers, LINGER_S)
        self._pending: dict[int, Future[int]] = {}
        self._numbers = itertools.count(1)
        peers.subscribe(ClaimWrite, self._on_claim_write)
        peers.subscribe(ClaimWritten, self._on_claim_written)

    def submit(self, compare: Compare, put: Put) -> Future[int]:
        """Write a key if its comparison holds.

        Returns
        -------
        Future of int
            The revision of the write, 0 if its comparison failed. It may fail with `StoreError`.
        """
        if len(self._members.live()) <= MAX_DIRECT_WRITERS:
            return self._direct_batcher.submit(compare, put)
        slot = xxhash.xxh64_intdigest(put.key.encode()) % WRITER_COUNT
        writer = self._members.owner_of(f"claim-writer/{slot}")
        if writer == self._members.name:
            return self._slot_batcher.submit(compare, put)
        return self._forward(writer, compare, put)

    def _forward(self, writer: str, compare: Compare, put: Put) -> Future[int]:
        number = next(self._numbers)
        msg = ClaimWrite(number, put.key, compare.mod_revision, put.value, put.lease_id)
        if not self._peers.send(writer, msg):
            return self._direct_batcher.submit(compare, put)
        fut: Future[int] = Future()
        self._pending[number] = fut
        self._timers.call_later(ANSWER_TIMEOUT_S, lambda: self._time_out(number, writer))
        return fut

    def _time_out(self, number: int, writer: str) -> None:
        fut = self._pending.pop(number, None)
        if fut is not None:
            fut.set_exception(
                StoreError(
                    f"{writer} did not answer within {ANSWER_TIMEOUT_S} s", maybe_applied=True
                )
            )

    def _on_claim_write(self, host: str, msg: ClaimWrite) -> None:
        compare = Compare(msg.key, msg.mod_revision)
        fut = self._slot_batcher.submit(compare, Put(msg.key, msg.value, msg.lease_id))
        fut.add_callback(lambda done: self._answer(host, msg.number, done))

    def _answer(self, host: str, number: int, done: Future[int]) -> None:
        try:
            answer = ClaimWritten(number, done.result(), "", False)
        except StoreError as exc:
            answer = ClaimWritten(number, 0, str(exc) or "no answer", exc.maybe_applied)
        self._peers.send(host, answer)

    def _on_claim_written(self, host: str, msg: ClaimWritten) -> None:
        fut = self._pending.pop(msg.number, None)
        if fut is None:
            return
        if msg.failure:
            fut.set_exception(StoreError(f"{host}: {msg.failure}", msg.maybe_applied))
        else:
            fut.set_result(msg.revision)
