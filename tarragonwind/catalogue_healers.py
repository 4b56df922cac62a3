"""Heal a store that lost writes, by writing the catalogue in force back to it."""

from __future__ import annotations

import random

from loguru import logger

from tarragonwind.catalogue_layouts import (
    CatalogueLayout,
    Head,
    pack_change,
    pack_head,
    pack_record,
    unpack_change,
    unpack_head,
)
from tarragonwind.catalogue_readers import CatalogueReader
from tarragonwind.core.catalogue_states import CatalogueState
from tarragonwind.core.catalogues import Catalogue, build_catalogue
from tarragonwind.core.changes import Change
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Compare, Delete, KeyValue, Put, Store
from tarragonwind.records import dataclass

HEAL_OPS_PER_WRITE = 40
HEAL_BYTES_PER_WRITE = 512 * 1024


@dataclass(slots=True)
class HealResult:
    """Describe a completed heal.

    Attributes
    ----------
    number : int
        Change number of the store's head after the heal.
    written : int
        Number of store keys written or deleted.
    foreign : list of Change
        Changes that the store accepted while it was behind, under the numbers of other changes in
        force; the caller is to write them again.
    """

    number: int
    written: int
    foreign: list[Change]


class CatalogueHealer:
    """Heal the store with compare-and-swap on the head, so that hosts may try concurrently.

    Parameters
    ----------
    store : Store
        Store to heal.
    reader : CatalogueReader
        Reader that defines the store keys of the catalogue.
    state : CatalogueState
        Catalogue in force on this daemon.
    rng : random.Random
        Random number generator for write ids.
    """

    def __init__(
        self, store: Store, reader: CatalogueReader, state: CatalogueState, rng: random.Random
    ) -> None:
        self._store = store
        self._reader = reader
        self._state = state
        self._rng = rng

    def heal(self) -> Future[HealResult | None]:
        """Write the catalogue in force back if the store is behind it or differs from it.

        Returns
        -------
        Future of HealResult or None
            None if the store needs no healing, this daemon itself is behind or another host wrote
            to the store first. It may fail with `StoreError`; the next call resumes from what was
            written.
        """
        return spawn(self._heal())

    async def _heal(self) -> HealResult | None:
        state = self._state
        if state.behind:
            return None
        layout = self._reader.layout
        found = await self._store.read_range(layout.prefix)
        kept = await self._store.read_range(layout.changes)
        in_store = {item.key: item for item in found.items}
        head = unpack_head(in_store.pop(layout.head, None), found.revision)
        in_force = state.in_force
        if not needs_heal(head, in_force):
            return None
        logger.warning(
            "event=store_heal_started store_number={} in_force={}", head.number, in_force.number
        )
        target = in_force
        if head.number == in_force.number:
            target = build_catalogue(in_force.number + 1, in_force.records)
        foreign = find_foreign_changes(state, kept.items)
        in_store.update({item.key: item for item in kept.items})
        ops = plan_heal(layout, target, state.recent(), in_store)
        if not await self._write_back(head, ops, target):
            return None
        if target is not in_force:
            state.install_snapshot(target)
        logger.warning(
            "event=store_healed number={} written={} foreign={}",
            target.number,
            len(ops),
            len(foreign),
        )
        return HealResult(target.number, len(ops), foreign)

    async def _write_back(self, head: Head, ops: list[Put | Delete], target: Catalogue) -> bool:
        """Write in transactions that each compare the head; the last one sets its number."""
        head_key = self._reader.layout.head
        revision = head.mod_revision
        groups = split_ops(ops)
        for index, group in enumerate(groups):
            write_id = f"heal-{self._rng.getrandbits(64):016x}"
            number, digest = head.number, head.digest
            if index == len(groups) - 1:
                number, digest = target.number, target.digest
            put = Put(head_key, pack_head(number, digest, write_id))
            result = await self._store.commit([Compare(head_key, revision)], [*group, put])
            if not result.succeeded:
                logger.info("event=store_heal_overtaken number={}", target.number)
                return False
            revision = result.revision
        return True


def needs_heal(head: Head, in_force: Catalogue) -> bool:
    """Return whether the store is behind the catalogue in force or differs from it."""
    if head.number < in_force.number:
        return True
    return head.number == in_force.number and head.digest != in_force.digest


def plan_heal(
    layout: CatalogueLayout,
    target: Catalogue,
    recent: list[Change],
    in_store: dict[str, KeyValue],
) -> list[Put | Delete]:
    """Return the operations that make the store's keys match the target catalogue."""
    wanted = {
        layout.entry(key): pack_record(record.number, record.doc)
        for key, record in target.records.items()
    }
    for change in recent:
        wanted[layout.change(change.number)] = pack_change(change)
    ops: list[Put | Delete] = []
    for key, value in wanted.items():
        item = in_store.get(key)
        if item is None or item.value != value:
            ops.append(Put(key, value))
    ops += [Delete(key) for key in in_store if key not in wanted]
    return ops


def split_ops(ops: list[Put | Delete]) -> list[list[Put | Delete]]:
    """Group operations so that each group fits one transaction; return at least one group."""
    groups: list[list[Put | Delete]] = [[]]
    size = 0
    for op in ops:
        added = len(op.value) if isinstance(op, Put) else 0
        if len(groups[-1]) == HEAL_OPS_PER_WRITE or size + added > HEAL_BYTES_PER_WRITE:
            groups.append([])
            size = 0
        groups[-1].append(op)
        size += added
    return groups


def find_foreign_changes(state: CatalogueState, kept: list[KeyValue]) -> list[Change]:
    """Return the store's changes whose numbers belong to other writes in force here."""
    foreign = []
    for item in kept:
        try:
            change = unpack_change(item.key, item.value)
        except StoreError:
            continue
        known = state.recent_change(change.number)
        if known is not None and known.write_id != change.write_id:
            foreign.append(change)
    return foreign
