"""Batch conditional single-key writes into transactions, one in flight at a time."""

from __future__ import annotations

from collections import OrderedDict

from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Compare, Put, Store, Timers
from tarragonwind.records import dataclass

MAX_BATCH_WRITES = 60
"""Maximum number of writes in one transaction; each has its own comparison."""
MAX_QUEUED_WRITES = 600
"""Maximum number of queued writes; more are rejected."""
MAX_CREATED_KEYS = 20_000
"""Maximum number of keys cached as existing; creating one of them fails without a store call."""


@dataclass(slots=True)
class QueuedWrite:
    """Represent one write and its result: the revision, 0 if it was not applied."""

    compare: Compare
    put: Put
    result: Future[int]


class WriteBatcher:
    """Commit writes in batches, one transaction at a time.

    A transaction applies completely or not at all. When a comparison of a batch fails, the batch is
    bisected until the failing single writes are found. The result 0 is only a hint: the key may
    have been removed since, so a caller that needs certainty reads it.

    Parameters
    ----------
    store : Store
        Store to write to.
    timers : Timers
        Clock and timers.
    linger_s : float
        Time for which the first write of a batch waits for more writes, in seconds.
    """

    def __init__(self, store: Store, timers: Timers, linger_s: float = 0.0) -> None:
        self._store = store
        self._timers = timers
        self._linger_s = linger_s
        self._queue: list[QueuedWrite] = []
        self._created: OrderedDict[str, None] = OrderedDict()
        self._running = False

    def submit(self, compare: Compare, put: Put) -> Future[int]:
        """Write a key if its comparison holds.

        Returns
        -------
        Future of int
            The revision of the write, 0 if its comparison failed. It may fail with `StoreError`.
        """
        write = QueuedWrite(compare, put, Future())
        if len(self._queue) >= MAX_QUEUED_WRITES:
            write.result.set_exception(
                StoreError(f"{len(self._queue)} writes already wait for the store")
            )
            return write.result
        self._queue.append(write)
        if not self._running:
            spawn(self._run())
        return write.result

    async def _run(self) -> None:
        self._running = True
        while self._queue:
            if self._linger_s:
                await delay(self._timers, self._linger_s)
            batches = [self._take_batch()]
            while batches:
                batch = batches.pop()
                if batch and not await self._commit(batch):
                    middle = len(batch) // 2
                    batches += [batch[middle:], batch[:middle]]
        self._running = False

    async def _commit(self, batch: list[QueuedWrite]) -> bool:
        """Commit a batch; return False if a comparison failed and the batch can be split."""
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
            self._cache_created(write.put.key)
            write.result.set_result(result.revision if result.succeeded else 0)
        return True

    def _cache_created(self, key: str) -> None:
        self._created[key] = None
        while len(self._created) > MAX_CREATED_KEYS:
            self._created.popitem(last=False)

    def _take_batch(self) -> list[QueuedWrite]:
        """Dequeue writes of distinct keys in order; fail those that create an existing key."""
        batch: dict[str, QueuedWrite] = {}
        waiting, self._queue = self._queue, []
        refused = []
        for write in waiting:
            if write.compare.mod_revision == 0 and write.put.key in self._created:
                refused.append(write)
            elif len(batch) < MAX_BATCH_WRITES and write.put.key not in batch:
                batch[write.put.key] = write
            else:
                self._queue.append(write)
        for write in refused:
            write.result.set_result(0)
        return list(batch.values())
