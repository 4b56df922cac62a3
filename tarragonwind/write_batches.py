"""Put waiting writes of single keys into one transaction while an earlier one is under way."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Compare, Put, Store

MAX_BATCH_WRITES = 60
"""Writes in one transaction, each with a comparison of its own."""


@dataclass(slots=True)
class WaitingWrite:
    """Hold one write and its result: the revision, 0 when it was not applied."""

    compare: Compare
    put: Put
    result: Future[int]


class WriteBatcher:
    """Commit writes in batches; one transaction is under way at a time.

    A batch applies as a whole or not at all: when one of its comparisons fails, all of its writes
    are told that they were not applied and are to be made singly.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._waiting: list[WaitingWrite] = []
        self._busy = False

    def submit(self, compare: Compare, put: Put) -> Future[int]:
        """Write a key if its comparison holds.

        Returns
        -------
        Future of int
            The revision of the write, 0 when it was not applied. It may fail with `StoreError`.
        """
        write = WaitingWrite(compare, put, Future())
        self._waiting.append(write)
        if not self._busy:
            spawn(self._run())
        return write.result

    async def _run(self) -> None:
        self._busy = True
        while self._waiting:
            batch = self._take_batch()
            try:
                result = await self._store.commit(
                    [write.compare for write in batch], [write.put for write in batch]
                )
            except StoreError as exc:
                for write in batch:
                    write.result.set_exception(StoreError(str(exc), exc.maybe_applied))
                continue
            for write in batch:
                write.result.set_result(result.revision if result.succeeded else 0)
        self._busy = False

    def _take_batch(self) -> list[WaitingWrite]:
        """Take waiting writes of different keys, in order."""
        batch: dict[str, WaitingWrite] = {}
        rest = []
        for write in self._waiting:
            if len(batch) < MAX_BATCH_WRITES and write.put.key not in batch:
                batch[write.put.key] = write
            else:
                rest.append(write)
        self._waiting = rest
        return list(batch.values())
