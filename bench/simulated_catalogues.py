"""Create the configuration and the upstreams of a simulated fleet: one pool of engines."""

from __future__ import annotations

from tarragonwind.core.entries import (
    BackEndKind,
    Entry,
    OrganisationEntry,
    PoolEntry,
    RouteEntry,
    UpstreamEntry,
)

POOL = "drafting"
ROUTE = "question"
VERSION = "v1"


def engine_names(count: int) -> list[str]:
    """Return the names of engines."""
    return [f"engine-{number:03}" for number in range(count)]


def create_engine(name: str, slots: int) -> UpstreamEntry:
    """Return the entry of an engine."""
    return UpstreamEntry(
        name=name,
        owner="ops",
        pool=POOL,
        version=VERSION,
        host="10.9.0.1",
        port=9_000,
        data_centre="etna",
        slots=slots,
        tokens_per_s=1_200.0,
    )


def create_entries(organisations: list[str]) -> list[Entry]:
    """Return the entries of a configuration."""
    entries: list[Entry] = [
        PoolEntry(name=POOL, owner="ops", back_end=BackEndKind.ENGINE, version=VERSION),
        RouteEntry(name=ROUTE, owner="ops", pool=POOL, tier=1, model="m"),
    ]
    for name in organisations:
        entries.append(
            OrganisationEntry(
                name=name,
                owner="ops",
                token_sha256=[],
                tokens_per_s=400_000,
                token_burst=400_000,
            )
        )
    return entries
