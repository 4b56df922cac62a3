"""Provide sample entries and a writing host for the catalogue tests."""

from __future__ import annotations

import hashlib
import random

from tarragonwind.catalogue_healers import CatalogueHealer
from tarragonwind.catalogue_layouts import CatalogueLayout
from tarragonwind.catalogue_readers import CatalogueReader
from tarragonwind.catalogue_writers import CatalogueWriter
from tarragonwind.core.catalogue_states import CatalogueState
from tarragonwind.core.changes import Change, pack_entry
from tarragonwind.core.entries import parse_entry
from tarragonwind.futures import spawn


def sha(text):
    return hashlib.sha256(text.encode()).hexdigest()


def organisation(name="officina", **fields):
    fields.setdefault("token_sha256", [sha(name)])
    return parse_entry("organisation", {"name": name, "owner": "ops", **fields})


def pool(name="drafting", **fields):
    doc = {"name": name, "owner": "ops", "back_end": "engine", "version": "v1", **fields}
    return parse_entry("pool", doc)


def route(name="trade", **fields):
    doc = {"name": name, "owner": "ops", "pool": "drafting", "tier": 2, **fields}
    if "path_prefix" not in doc:
        doc.setdefault("model", "draft-small")
    return parse_entry("route", doc)


def upstream(name="engine-1", **fields):
    doc = {"name": name, "owner": "ops", "pool": "drafting", "version": "v1"}
    doc.update(host="127.0.0.1", port=9001, data_centre="etna")
    return parse_entry("upstream", {**doc, **fields})


def move(name="to-v2", **fields):
    doc = {"name": name, "owner": "ops", "pool": "drafting", "starts_at": 100, "done_by": 200}
    return parse_entry("move", {**doc, "from_version": "v1", "to_version": "v2", **fields})


def chain_changes(catalogue, edits, write_id="w"):
    """Return consecutive changes, with digests, on top of a catalogue; edits are (key, doc)."""
    changes = []
    for key, doc in edits:
        number = catalogue.number + 1
        draft = Change(number, key, doc, f"{write_id}{number}", 0.0, "ops", 0)
        catalogue = catalogue.with_changes([draft])
        changes.append(Change(number, key, doc, draft.write_id, 0.0, "ops", catalogue.digest))
    return changes


def put_edits(*entries):
    """Return the edits for `chain_changes` that write the given entries."""
    return [(entry.key, pack_entry(entry)) for entry in entries]


class WriterHost:
    """Group one daemon's catalogue state, reader, writer and healer on a store."""

    def __init__(self, store, timers, name="h1", seed=1):
        self.state = CatalogueState()
        self.reader = CatalogueReader(store, CatalogueLayout("tarragonwind"))
        self.accepted = []
        self.behind = 0
        rng = random.Random(f"{name}{seed}")
        self.writer = CatalogueWriter(
            store,
            self.reader,
            self.state,
            timers,
            name,
            rng,
            self.accepted.extend,
            self._count_behind,
        )
        self.healer = CatalogueHealer(store, self.reader, self.state, rng)

    def _count_behind(self):
        self.behind += 1

    def read_store_snapshot(self):
        """Return a future of the catalogue in the store."""
        return spawn(self.reader.read_snapshot())
