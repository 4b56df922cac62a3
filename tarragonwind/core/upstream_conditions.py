"""Hold what one host knows of the condition of upstreams, shared by its owners and its client."""

from __future__ import annotations

from collections.abc import Iterable

from tarragonwind.core.brittle_pools import BrittlePools
from tarragonwind.core.cold_upstreams import ColdBounds, ColdState, ColdUpstreams
from tarragonwind.core.engine_memories import EngineMemories
from tarragonwind.core.entries import PoolEntry, UpstreamEntry


class UpstreamConditions:
    """Hold which upstreams are cold or brittle, and the memory of engines.

    Parameters
    ----------
    bounds : ColdBounds, optional
        What cold upstreams may get beyond their rate.

    Attributes
    ----------
    cold : ColdUpstreams
        How long upstreams are cold.
    brittle : BrittlePools
        Pools whose upstreams fall over when they have to reject requests.
    memories : EngineMemories
        Memory of the engines of each pool.
    """

    __slots__ = ("brittle", "cold", "memories")

    def __init__(self, bounds: ColdBounds | None = None) -> None:
        self.cold = ColdUpstreams(bounds)
        self.brittle = BrittlePools()
        self.memories = EngineMemories()

    def configure(
        self, now: float, pools: Iterable[PoolEntry], upstreams: Iterable[UpstreamEntry]
    ) -> list[ColdState]:
        """Apply the catalogue; return the upstreams that have become cold."""
        pool_entries, upstream_entries = list(pools), list(upstreams)
        self.memories.configure(pool_entries, upstream_entries)
        return self.cold.configure(now, pool_entries, upstream_entries)

    def needs_all_reports(self, now: float, pool: str) -> bool:
        """Return whether an owner must know the permits of all hosts before it grants."""
        return self.brittle.is_brittle(now, pool) or self.memories.is_short(pool)
