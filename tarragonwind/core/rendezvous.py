"""Assign keys to members by rendezvous hashing."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

import xxhash

LARGE_SIZE_RATIO = 0.75
"""Fraction of the largest host's size from which a host counts as large."""


def _score(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())


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
