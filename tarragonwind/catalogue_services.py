"""Assemble the catalogue components of one daemon."""

from __future__ import annotations

import random

from tarragonwind.catalogue_healers import CatalogueHealer
from tarragonwind.catalogue_layouts import CatalogueLayout
from tarragonwind.catalogue_readers import CatalogueReader
from tarragonwind.catalogue_replicators import CatalogueReplicator
from tarragonwind.catalogue_watchers import CatalogueWatcher
from tarragonwind.catalogue_writers import CatalogueWriter
from tarragonwind.core.catalogue_states import CatalogueState
from tarragonwind.ports import Members, Peers, Store, Timers
from tarragonwind.records import dataclass

DEFAULT_ROOT = "tarragonwind"
"""Prefix of all the program's keys in the store."""


@dataclass(slots=True)
class CatalogueService:
    """Group the catalogue components of one daemon.

    Attributes
    ----------
    state : CatalogueState
        Catalogue in force and subscriptions to it.
    writer : CatalogueWriter
        Writes, verdicts and the history of entries.
    replicator : CatalogueReplicator
        Replication between daemons, and the change numbers in force on them.
    watcher : CatalogueWatcher
        Follows the store; also starts and stops the replicator.
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
    """Create the catalogue components of one daemon without starting them.

    Parameters
    ----------
    store : Store
        Store that holds the catalogue.
    members : Members
        Membership: the live daemons and this daemon's name.
    peers : Peers
        Message transport to the other daemons.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator for write ids, jitter and the choice of peers.
    root : str
        Prefix of the catalogue's keys in the store.
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
