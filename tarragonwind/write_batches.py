"""Put waiting writes of single keys into one transaction while an earlier one is under way."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Compare, Put, Store, Timers

MAX_BATCH_WRITES = 60
"""Writes in one transaction, each with a comparison of its own."""
MAX_QUEUED_WRITES = 600
"""Writes that wait; more are refused."""
MAX_CREATED_KEYS = 20_000
"""Keys remembered as existing, so that a write that demands their absence costs no call."""


@dataclass(slots=True)
class QueuedWrite:
    """Hold one write and its result: the revision, 0 when it was not applied."""

    compare: Compare
    put: Put
    result: Future[int]


class WriteBatcher:
    """Commit writes in batches; one transaction is under way at a time.

    A transaction applies as a whole or not at all: when a comparison of a batch fails, its halves
    are tried, down to the single write that is refused. "Refused" is a hint: the key may have gone
    since, and whoever needs to know reads it.

    Parameters
    ----------
    store : Store
        Store to write to.
    timers : Timers
        Clock and timer subscriptions.
    linger_s : float
        Time for which the first write of a batch waits for others, in seconds.
    """

    def __init__(self, store: Store, timers: Timers, linger_s: float = 0.0) -> None:
        self._store = store
        self._timers = timers
        self._linger_s = linger_s
        self._waiting: list[QueuedWrite] = []
        self._created: OrderedDict[str, None] = OrderedDict()
        self._busy = False

    def submit(self, compare: Compare, put: Put) -> Future[int]:
        """Write a key if its comparison holds.

        Returns
        -------
        Future of int
            The revision of the write, 0 when it was refused. It may fail with `StoreError`.
        """
        write = QueuedWrite(compare, put, Future())
        if len(self._waiting) >= MAX_QUEUED_WRITES:
            write.result.set_exception(StoreError("too many writes wait for the store"))
            return write.result
        self._waiting.append(write)
        if not self._busy:
            spawn(self._run())
        return write.result

    async def _run(self) -> None:
        self._busy = True
        while self._waiting:
            if self._linger_s:
                await delay(self._timers, self._linger_s)
            parts = [self._take_batch()]
            while parts:
                batch = parts.pop()
                if batch and not await self._commit(batch):
                    middle = len(batch) // 2
                    parts += [batch[middle:], batch[:middle]]
        self._busy = False

    async def _commit(self, batch: list[QueuedWrite]) -> bool:
        """Commit a batch; return false when it was refused and can be split."""
        try:
            result = await self._store.commit(
                [write.compare for write in batch], [write.put for write in batch]
            )
        except StoreError as exc:
            for write in batch:
                write.result.set_exception(StoreError(str(exc), exc.maybe_applied))
            return True
        if not result.succeeded and len(batch) > 1:
            return False
        for write in batch:
            self._note_created(write.put.key)
            write.result.set_result(result.revision if result.succeeded else 0)
        return True

    def _note_created(self, key: str) -> None:
        self._created[key] = None
        while len(self._created) > MAX_CREATED_KEYS:
            self._created.popitem(last=False)

    def _take_batch(self) -> list[QueuedWrite]:
        """Take waiting writes of different keys, in order, and refuse those known to fail."""
        batch: dict[str, QueuedWrite] = {}
        waiting, self._waiting = self._waiting, []
        refused = []
        for write in waiting:
            if write.compare.mod_revision == 0 and write.put.key in self._created:
                refused.append(write)
            elif len(batch) < MAX_BATCH_WRITES and write.put.key not in batch:
                batch[write.put.key] = write
            else:
                self._waiting.append(write)
        for write in refused:
            write.result.set_result(0)
        return list(batch.values())
