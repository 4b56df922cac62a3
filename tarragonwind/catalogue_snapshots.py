"""Hand a whole catalogue over in bounded parts, and put received parts together."""

from __future__ import annotations

from typing import Any

from tarragonwind.catalogue_messages import CataloguePart, CataloguePartAsk
from tarragonwind.core.catalogues import Catalogue, Record, build_catalogue, parse_record

PART_BYTES = 64 * 1024
"""Content that one part holds, in bytes; one record more may go over it."""
MAX_CACHED_SNAPSHOTS = 2
"""Catalogues whose parts are kept for daemons that are still asking."""
PART_TIMEOUT_S = 1.5
"""Time without a part after which another daemon is asked, in seconds."""


class SnapshotServer:
    """Cut catalogues into parts and keep the latest for daemons that ask on."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: dict[int, tuple[CataloguePart, ...]] = {}

    def first_part(self, catalogue: Catalogue) -> CataloguePart:
        """Return the first part of the catalogue in force."""
        if catalogue.number not in self._kept:
            self._kept[catalogue.number] = split_snapshot(catalogue)
            while len(self._kept) > MAX_CACHED_SNAPSHOTS:
                del self._kept[min(self._kept)]
        return self._kept[catalogue.number][0]

    def answer(self, ask: CataloguePartAsk, catalogue: Catalogue) -> CataloguePart:
        """Return the part asked for, or the first of a newer catalogue."""
        parts = self._kept.get(ask.number, ())
        if 0 <= ask.index < len(parts):
            return parts[ask.index]
        return self.first_part(catalogue)


def split_snapshot(catalogue: Catalogue) -> tuple[CataloguePart, ...]:
    """Return a catalogue as parts of about `PART_BYTES`; at least one."""
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
    """Put the parts of one catalogue from one daemon together."""

    __slots__ = ("_count", "_digest", "_next_index", "_records", "host", "number", "progress_at")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Drop what has arrived."""
        self.host = ""
        self.number = 0
        self.progress_at = float("-inf")
        self._digest = 0
        self._count = 0
        self._next_index = 0
        self._records: dict[str, Record] = {}

    def busy(self, now: float) -> bool:
        """Tell whether parts are arriving."""
        return bool(self.host) and now - self.progress_at < PART_TIMEOUT_S

    def add_part(self, host: str, part: CataloguePart, now: float) -> CataloguePartAsk | None:
        """Take in a part.

        Returns
        -------
        CataloguePartAsk or None
            What to ask the daemon for next; None when all parts are there or this one is not of
            the catalogue that is being received.
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
        """Return the catalogue when all parts are there and its digest is right."""
        if not self.host or self._next_index < self._count:
            return None
        catalogue = build_catalogue(self.number, self._records)
        right = catalogue.digest == self._digest
        self.reset()
        return catalogue if right else None
