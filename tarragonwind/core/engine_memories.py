"""Keep the requests of each engine within its memory, over all hosts.

An engine crashes when the prompt and output tokens of the requests that it holds exceed its memory.
The owner of a pool plans with `OWNER_FRACTION` of it, so that hosts which don't hear of the owner
have a part of their own. Such a host may besides use again what it held when it lost the owner: the
owner counts that as used until it gives the host up.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from tarragonwind.core.entries import PoolEntry, UpstreamEntry

OWNER_FRACTION = 0.75
"""Fraction of an engine's memory that the owner of its pool plans with; the rest is for the local
shares of all hosts."""
INHERITED_S = 4.0
"""Time for which a host without the owner may use again what it held, in seconds. An owner frees
the permits of lost hosts after 5 s."""
MAX_SIZES = 4_000
"""Maximum number of requests whose sizes an owner keeps; the oldest is dropped first."""


class EngineMemories:
    """Hold the memory of the engines of each pool, shared by the components of one host."""

    __slots__ = ("_capacities", "_largest", "_slots")

    def __init__(self) -> None:
        self._capacities: dict[str, int] = {}
        self._largest: dict[str, int] = {}
        self._slots: dict[str, int] = {}

    def configure(self, pools: Iterable[PoolEntry], upstreams: Iterable[UpstreamEntry]) -> None:
        """Apply the pools and upstreams of the catalogue."""
        self._slots = {}
        for entry in upstreams:
            self._slots[entry.pool] = max(entry.slots, self._slots.get(entry.pool, 0))
        self._capacities = {
            pool.name: pool.kv_capacity_tokens for pool in pools if pool.kv_capacity_tokens > 0
        }

    def capacity(self, pool: str) -> int:
        """Return the tokens that an engine of a pool has memory for, 0 if no limit is known."""
        return self._capacities.get(pool, 0)

    def capacities(self) -> dict[str, int]:
        """Return the tokens that an engine has memory for, by pool."""
        return dict(self._capacities)

    def note_request(self, pool: str, tokens: int) -> None:
        """Record the size of a request of a pool."""
        if tokens > self._largest.get(pool, 0):
            self._largest[pool] = tokens

    def most_used(self, pool: str, slots: int) -> int:
        """Return what requests in all slots need if they are of the largest size seen, in tokens.

        0 if no limit of memory is known.
        """
        return slots * self._largest.get(pool, 0) if self.capacity(pool) else 0

    def is_short(self, pool: str) -> bool:
        """Return whether requests in an engine's slots may use all that the owner plans with."""
        most_used = self.most_used(pool, self._slots.get(pool, 0))
        return most_used > OWNER_FRACTION * self.capacity(pool)


class RequestSizes:
    """Hold the sizes that hosts have told of requests whose permit requests follow."""

    __slots__ = ("_sizes",)

    def __init__(self) -> None:
        self._sizes: OrderedDict[tuple[str, int], int] = OrderedDict()

    def put(self, host: str, sizes: Iterable[Iterable[int]]) -> None:
        """Record the permit ids and sizes that a host has sent."""
        for permit_id, tokens in sizes:
            self._sizes[host, permit_id] = tokens
            self._sizes.move_to_end((host, permit_id))
        while len(self._sizes) > MAX_SIZES:
            self._sizes.popitem(last=False)

    def take(self, host: str, permit_id: int, default: int) -> int:
        """Remove and return the size of a request, or a default if its host told none."""
        return self._sizes.pop((host, permit_id), default)


class EngineMemory:
    """Track what one owner has granted of one engine's memory.

    Parameters
    ----------
    pool : str
        Pool of the engine.
    memories : EngineMemories
        Memory of the engines of each pool.
    is_local : bool
        Whether the owner grants the local share of one host.

    Attributes
    ----------
    used : int
        Tokens of the permits in use.
    """

    __slots__ = ("_inherited", "_inherited_until", "_is_local", "_memories", "_pool", "used")

    def __init__(self, pool: str, memories: EngineMemories, is_local: bool) -> None:
        self.used = 0
        self._pool = pool
        self._memories = memories
        self._is_local = is_local
        self._inherited = 0
        self._inherited_until = -math.inf

    def on_adopted(self, now: float, tokens: int) -> None:
        """Record a permit that a host held before this owner."""
        if not self._inherited:
            self._inherited_until = now + INHERITED_S
        self._inherited += tokens

    def on_hosts_joined(self) -> None:
        """Take what is in use now for all that is known: the permits of other hosts aren't."""
        self._inherited = self.used

    def has_room(self, now: float, tokens: int, share: float, slots: int, all_known: bool) -> bool:
        """Return whether a request fits into the memory.

        Parameters
        ----------
        now : float
            Time in seconds.
        tokens : int
            Prompt tokens and maximum of output tokens of the request.
        share : float
            Fraction of the memory that this owner may use, above 0 and at most 1.
        slots : int
            Number of requests that the engine can run at the same time.
        all_known : bool
            Whether what all hosts hold is known. Until then only what those that have reported held
            is used again.
        """
        capacity = self._memories.capacity(self._pool)
        if not capacity or not tokens:
            return True
        if self._is_local:
            return self._has_local_room(now, tokens, share, slots, capacity)
        if not all_known:
            return self.used + tokens <= self._inherited
        if share >= 1.0 and self.used == 0:
            # A request that needs more than the owner's fraction runs alone.
            return tokens <= capacity
        return self.used + tokens <= OWNER_FRACTION * capacity * share

    def _has_local_room(
        self, now: float, tokens: int, share: float, slots: int, capacity: int
    ) -> bool:
        # Each host's local share is at least one request, so that all hosts hold at most this.
        most_requests = slots + round(1.0 / share)
        if self._memories.most_used(self._pool, most_requests) <= capacity:
            return True
        room = (1.0 - OWNER_FRACTION) * capacity * share
        if now < self._inherited_until:
            room += self._inherited
        return self.used + tokens <= room
