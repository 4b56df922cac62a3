"""Assign keys to members by rendezvous hashing, and order members on hash rings."""

from __future__ import annotations

import bisect
import heapq
from collections.abc import Collection, Iterable, Mapping

import xxhash

LARGE_SIZE_RATIO = 0.75
"""Fraction of the largest host's size from which a host counts as large."""


def _score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())


def _ring_position(name: str, ring: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=ring)


def choose_owner(key: str, names: Iterable[str]) -> str:
    """Return the owner of a key; removing a name moves only the keys that it owned.

    Raises
    ------
    ValueError
        If there are no names.
    """
    return max(names, key=lambda name: (_score(key, name), name))


def select_large_hosts(sizes: Mapping[str, int]) -> list[str]:
    """Return the hosts whose size is at least `LARGE_SIZE_RATIO` of the largest.

    Only these own keys whose owner serves requests of all hosts, since an owner several times
    smaller than its clients would slow them down.
    """
    threshold = LARGE_SIZE_RATIO * max(sizes.values(), default=0)
    return [name for name, size in sizes.items() if size >= threshold]


def rank_names(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the `count` highest-ranked names for a key, the owner first."""
    return heapq.nlargest(count, names, key=lambda name: (_score(key, name), name))


def choose_neighbours(name: str, names: Collection[str], ring_count: int) -> list[str]:
    """Return the successors of a member on independent hash rings.

    Parameters
    ----------
    name : str
        Member whose successors are returned.
    names : collection of str
        Members on the rings.
    ring_count : int
        Number of rings, and so the maximum number of neighbours.

    Returns
    -------
    list of str
        Distinct names in ring order, without `name`. If there are at most `ring_count` others,
        all of them, sorted.
    """
    others = sorted(other for other in names if other != name)
    if len(others) <= ring_count:
        return others
    neighbours: dict[str, None] = {}
    for ring in range(ring_count):
        neighbours[_successor(name, others, ring, neighbours)] = None
    return list(neighbours)


def _successor(name: str, others: list[str], ring: int, taken: Collection[str]) -> str:
    positions = sorted(
        (_ring_position(other, ring), other) for other in others if other not in taken
    )
    own_position = (_ring_position(name, ring), name)
    index = bisect.bisect_right(positions, own_position)
    return positions[index % len(positions)][1]
