"""Read the catalogue from the store: its head, its changes and the whole."""

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
"""Changes that are read one by one; more are read as a range."""


class CatalogueReader:
    """Read one catalogue of a store.

    Every coroutine may raise `StoreError`.

    Parameters
    ----------
    store : Store
        Store that holds it.
    layout : CatalogueLayout
        Names of its keys.
    """

    def __init__(self, store: Store, layout: CatalogueLayout) -> None:
        self._store = store
        self.layout = layout

    async def read_head(self) -> Head:
        """Read the head; one read."""
        found = await self._store.read_range(self.layout.head)
        return unpack_head(found.items[0] if found.items else None, found.revision)

    async def read_change(self, number: int) -> Change | None:
        """Read one change; one read."""
        key = self.layout.change(number)
        item = await self._store.get(key)
        return None if item is None else unpack_change(key, item.value)

    async def read_changes(self) -> list[Change]:
        """Read all changes that are kept, in order."""
        found = await self._store.read_range(self.layout.changes)
        return [unpack_change(item.key, item.value) for item in found.items]

    async def read_snapshot(self) -> Catalogue:
        """Read all entries at one revision and check them against the head's digest."""
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
            raise StoreError(f"the store's entries don't belong to number {head.number}")
        return catalogue

    async def catch_up(self, state: CatalogueState, head: Head) -> list[Change]:
        """Bring a state up to the head with as few reads as the gap allows.

        Returns
        -------
        list of Change
            Changes that came into force one by one; empty when the whole was taken.
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
