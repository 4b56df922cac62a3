"""Order members on independent hash rings, and find the successors of one member."""

from __future__ import annotations

import bisect
from collections.abc import Collection, Iterable

import xxhash

RING_COUNT = 4
"""Number of hash rings, and so of successors that a daemon probes in turn."""

RingPlace = tuple[int, str]
"""Position on a ring and name."""


def ring_position(name: str, ring: int) -> int:
    """Return the position of a name on a ring."""
    return xxhash.xxh64_intdigest(name.encode(), seed=ring)


class HashRings:
    """Keep members in the order of each ring, so that one that comes or goes moves no other.

    Parameters
    ----------
    name : str
        Member whose successors are asked for; it need not be on the rings.
    ring_count : int
        Number of rings, and so the maximum number of successors.
    """

    __slots__ = ("_own_places", "_rings")

    def __init__(self, name: str, ring_count: int = RING_COUNT) -> None:
        self._own_places = [(ring_position(name, ring), name) for ring in range(ring_count)]
        self._rings: list[list[RingPlace]] = [[] for _ in range(ring_count)]

    def add(self, name: str) -> None:
        """Add a member that is not on the rings."""
        for ring, places in enumerate(self._rings):
            bisect.insort(places, (ring_position(name, ring), name))

    def remove(self, name: str) -> None:
        """Remove a member from the rings."""
        for ring, places in enumerate(self._rings):
            del places[bisect.bisect_left(places, (ring_position(name, ring), name))]

    def successors(self) -> list[str]:
        """Return a different successor on each ring; all members, sorted, if there are no more."""
        if len(self._rings[0]) <= len(self._rings):
            return sorted(name for _, name in self._rings[0])
        found: dict[str, None] = {}
        for places, own_place in zip(self._rings, self._own_places, strict=True):
            found[_next_name(places, own_place, found)] = None
        return list(found)


def choose_neighbours(name: str, names: Iterable[str], ring_count: int) -> list[str]:
    """Return the successors of a member on the rings of some names, without itself."""
    rings = HashRings(name, ring_count)
    for other in names:
        if other != name:
            rings.add(other)
    return rings.successors()


def _next_name(places: list[RingPlace], own_place: RingPlace, taken: Collection[str]) -> str:
    """Return the first name after a place on a ring that is not taken."""
    index = bisect.bisect_right(places, own_place)
    while places[index % len(places)][1] in taken:
        index += 1
    return places[index % len(places)][1]
