"""Transfer catalogue snapshots between daemons in parts of bounded size."""

from __future__ import annotations

from typing import Any

from tarragonwind.catalogue_messages import CataloguePart, CataloguePartAsk
from tarragonwind.core.catalogues import Catalogue, Record, build_catalogue, parse_record

PART_BYTES = 64 * 1024
"""Target size of a part in bytes; the last record of a part may exceed it."""
MAX_CACHED_SNAPSHOTS = 2
"""Snapshots whose parts are cached for transfers in progress."""
PART_TIMEOUT_S = 1.5
"""Time without a part after which a transfer counts as stalled, in seconds."""


class SnapshotServer:
    """Serve snapshots in parts and cache the latest snapshots."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: dict[int, tuple[CataloguePart, ...]] = {}

    def first_part(self, catalogue: Catalogue) -> CataloguePart:
        """Return the first part of a catalogue, splitting and caching it if needed."""
        if catalogue.number not in self._kept:
            self._kept[catalogue.number] = split_snapshot(catalogue)
            while len(self._kept) > MAX_CACHED_SNAPSHOTS:
                del self._kept[min(self._kept)]
        return self._kept[catalogue.number][0]

    def answer(self, ask: CataloguePartAsk, catalogue: Catalogue) -> CataloguePart:
        """Return the requested part, or the first part of `catalogue` if it isn't cached."""
        parts = self._kept.get(ask.number, ())
        if 0 <= ask.index < len(parts):
            return parts[ask.index]
        return self.first_part(catalogue)


def split_snapshot(catalogue: Catalogue) -> tuple[CataloguePart, ...]:
    """Split a catalogue into at least one part of about `PART_BYTES`."""
    groups: list[list[Any]] = [[]]
    size = 0
    for key, record in catalogue.records.items():
        if size >= PART_BYTES:
            groups.append([])
            size = 0
        groups[-1].append([record.number, key, record.doc])
        size += len(key) + len(record.doc)
    return tuple(
        CataloguePart(catalogue.number, catalogue.digest, index, len(groups), records)
        for index, records in enumerate(groups)
    )


class SnapshotReceiver:
    """Assemble a snapshot from the parts that one daemon sends."""

    __slots__ = ("_count", "_digest", "_next_index", "_records", "host", "number", "progress_at")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Discard the received parts."""
        self.host = ""
        self.number = 0
        self.progress_at = float("-inf")
        self._digest = 0
        self._count = 0
        self._next_index = 0
        self._records: dict[str, Record] = {}

    def busy(self, now: float) -> bool:
        """Return whether a transfer is in progress and not stalled."""
        return bool(self.host) and now - self.progress_at < PART_TIMEOUT_S

    def add_part(self, host: str, part: CataloguePart, now: float) -> CataloguePartAsk | None:
        """Add a part; a first part starts a transfer unless one from another daemon is in progress.

        Returns
        -------
        CataloguePartAsk or None
            Request for the next part; None if all parts were received or this part doesn't belong
            to the transfer in progress.
        """
        if part.index == 0 and not (self.busy(now) and host != self.host):
            self.reset()
            self.host, self.number = host, part.number
            self._digest, self._count = part.digest, part.count
        expected = (self.host, self.number, self._next_index)
        if (host, part.number, part.index) != expected:
            return None
        for values in part.records:
            number, key, doc = values
            self._records[key] = parse_record(number, key, doc)
        self._next_index += 1
        self.progress_at = now
        if self._next_index >= self._count:
            return None
        return CataloguePartAsk(self.number, self._next_index)

    def finish(self) -> Catalogue | None:
        """Return the catalogue if all parts were received and its digest matches, else None.

        A snapshot whose digest doesn't match is discarded.
        """
        if not self.host or self._next_index < self._count:
            return None
        catalogue = build_catalogue(self.number, self._records)
        matches = catalogue.digest == self._digest
        self.reset()
        return catalogue if matches else None
