"""Put the parts that keep the catalogue on one daemon together."""

from __future__ import annotations

import random
from dataclasses import dataclass

from tarragonwind.catalogue_healers import CatalogueHealer
from tarragonwind.catalogue_layouts import CatalogueLayout
from tarragonwind.catalogue_readers import CatalogueReader
from tarragonwind.catalogue_replicators import CatalogueReplicator
from tarragonwind.catalogue_watchers import CatalogueWatcher
from tarragonwind.catalogue_writers import CatalogueWriter
from tarragonwind.core.catalogue_states import CatalogueState
from tarragonwind.ports import Members, Peers, Store, Timers

DEFAULT_ROOT = "tarragonwind"
"""What all of the product's keys in the store begin with."""


@dataclass(slots=True)
class CatalogueService:
    """Hold the parts of one daemon.

    Attributes
    ----------
    state : CatalogueState
        Catalogue in force; subscribe to it for changes.
    writer : CatalogueWriter
        Accepted writes, verdicts and histories.
    replicator : CatalogueFollower
        Numbers of the other daemons, and the wait until all have one.
    watcher : CatalogueWatcher
        Start, stop and the future that a catalogue is there.
    """

    state: CatalogueState
    writer: CatalogueWriter
    replicator: CatalogueReplicator
    watcher: CatalogueWatcher


def create_catalogue_service(
    store: Store,
    members: Members,
    peers: Peers,
    timers: Timers,
    rng: random.Random,
    root: str = DEFAULT_ROOT,
) -> CatalogueService:
    """Return the parts of one daemon, not yet started.

    Parameters
    ----------
    store : Store
        Store that holds the catalogue.
    members : Members
        Live daemons and this one's name.
    peers : Peers
        Messages to them.
    timers : Timers
        Clock and timer subscriptions.
    rng : random.Random
        Source of write ids, jitter and the choice of peers.
    root : str
        What the catalogue's keys begin with.
    """
    state = CatalogueState()
    reader = CatalogueReader(store, CatalogueLayout(root))
    writer = CatalogueWriter(store, reader, state, timers, members.name, rng)
    healer = CatalogueHealer(store, reader, state, rng)
    replicator = CatalogueReplicator(state, members, peers, timers, rng)
    watcher = CatalogueWatcher(
        store, reader, state, replicator, writer, healer, members, timers, rng
    )
    return CatalogueService(state, writer, replicator, watcher)
