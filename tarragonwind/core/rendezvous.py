"""Place keys on members by rendezvous hashing, and order members on hash rings."""

from __future__ import annotations

import bisect
import heapq
from collections.abc import Collection, Iterable, Mapping

import xxhash

LARGE_SIZE_RATIO = 0.75
"""Part of the largest host's size from which a host counts as large."""


def _score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())


def _place(name: str, ring: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=ring)


def choose_owner(key: str, names: Iterable[str]) -> str:
    """Return the name that a key belongs to; removing a name moves only its own keys.

    Raises
    ------
    ValueError
        When there are no names.
    """
    return max(names, key=lambda name: (_score(key, name), name))


def select_large_hosts(sizes: Mapping[str, int]) -> list[str]:
    """Return the names of the hosts that are about as large as the largest.

    What all hosts ask of one belongs there: a host several times smaller would hold up the others.
    """
    least = LARGE_SIZE_RATIO * max(sizes.values(), default=0)
    return [name for name, size in sizes.items() if size >= least]


def rank_names(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the `count` first names for a key, the owner first."""
    return heapq.nlargest(count, names, key=lambda name: (_score(key, name), name))


def choose_neighbours(name: str, names: Collection[str], ring_count: int) -> list[str]:
    """Return the successors of a member on independent hash rings.

    Parameters
    ----------
    name : str
        The member that asks.
    names : collection of str
        Members on the rings.
    ring_count : int
        Number of rings, and so the most neighbours returned.

    Returns
    -------
    list of str
        Distinct names in order of the rings, without `name`. All the others when there are no
        more than `ring_count`.
    """
    others = sorted(other for other in names if other != name)
    if len(others) <= ring_count:
        return others
    neighbours: dict[str, None] = {}
    for ring in range(ring_count):
        neighbours[_successor(name, others, ring, neighbours)] = None
    return list(neighbours)


def _successor(name: str, others: list[str], ring: int, taken: Collection[str]) -> str:
    places = sorted((_place(other, ring), other) for other in others if other not in taken)
    own_place = (_place(name, ring), name)
    index = bisect.bisect_right(places, own_place)
    return places[index % len(places)][1]
