"""Read the catalogue from the store: head, changes and snapshots."""

from __future__ import annotations

from tarragonwind.catalogue_layouts import (
    CatalogueLayout,
    Head,
    unpack_change,
    unpack_head,
    unpack_record,
)
from tarragonwind.core.catalogue_states import CatalogueState
from tarragonwind.core.catalogues import Catalogue, Record, build_catalogue
from tarragonwind.core.changes import Change
from tarragonwind.errors import StoreError
from tarragonwind.ports import Store

MAX_SINGLE_READS = 8
"""Largest gap in change numbers that is filled by reading each change by its key."""


class CatalogueReader:
    """Read a catalogue from a store.

    Every coroutine may raise `StoreError`.

    Parameters
    ----------
    store : Store
        Store that holds the catalogue.
    layout : CatalogueLayout
        Store keys of the catalogue.
    """

    def __init__(self, store: Store, layout: CatalogueLayout) -> None:
        self._store = store
        self.layout = layout

    async def read_head(self) -> Head:
        """Read the head with one store call."""
        found = await self._store.read_range(self.layout.head)
        return unpack_head(found.items[0] if found.items else None, found.revision)

    async def read_change(self, number: int) -> Change | None:
        """Read one change with one store call; None if it is no longer retained."""
        key = self.layout.change(number)
        item = await self._store.get(key)
        return None if item is None else unpack_change(key, item.value)

    async def read_changes(self) -> list[Change]:
        """Read all changes that the store retains, in order of number."""
        found = await self._store.read_range(self.layout.changes)
        return [unpack_change(item.key, item.value) for item in found.items]

    async def read_snapshot(self) -> Catalogue:
        """Read all entries at one store revision and verify them against the head's digest."""
        found = await self._store.read_range(self.layout.prefix)
        head = Head(0, 0, 0)
        records: dict[str, Record] = {}
        for item in found.items:
            if item.key == self.layout.head:
                head = unpack_head(item, found.revision)
            else:
                key = item.key.removeprefix(self.layout.entries)
                records[key] = unpack_record(key, item)
        catalogue = build_catalogue(head.number, records)
        if catalogue.digest != head.digest:
            raise StoreError(
                f"the store's entries don't match the head's digest at number {head.number}: "
                f"expected {head.digest:016x}, got {catalogue.digest:016x}"
            )
        return catalogue

    async def catch_up(self, state: CatalogueState, head: Head) -> list[Change]:
        """Bring a state up to the head.

        Reads a small gap change by change, a larger one as the range of retained changes, and falls
        back to a snapshot if changes are missing or `state` is empty.

        Returns
        -------
        list of Change
            Changes that were applied; those that a snapshot covers are not among them.
        """
        state.observe_number(head.number)
        gap = head.number - state.number
        applied: list[Change] = []
        if 0 < gap <= MAX_SINGLE_READS:
            for number in range(state.number + 1, head.number + 1):
                change = await self.read_change(number)
                if change is not None:
                    applied += state.apply_changes([change])
        elif gap > 0 and state.number:
            applied += state.apply_changes(await self.read_changes())
        if state.number < head.number:
            state.install_snapshot(await self.read_snapshot())
        return applied
