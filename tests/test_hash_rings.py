"""Test the successors on hash rings, against rings that are sorted anew each time."""

from hypothesis import given
from hypothesis import strategies as st

from tarragonwind.core.hash_rings import RING_COUNT, HashRings, ring_position

NAMES = [f"host-{number:03d}" for number in range(40)]


def sorted_successors(name, others):
    if len(others) <= RING_COUNT:
        return sorted(others)
    found = []
    for ring in range(RING_COUNT):
        places = sorted((ring_position(one, ring), one) for one in others if one not in found)
        after = [place for place in places if place > (ring_position(name, ring), name)]
        found.append((after or places)[0][1])
    return found


@given(st.lists(st.sampled_from(NAMES[1:]), max_size=120))
def test_successors_are_those_of_rings_that_are_sorted_anew(steps):
    rings, others = HashRings(NAMES[0]), set()
    for name in steps:
        if name in others:
            rings.remove(name)
        else:
            rings.add(name)
        others ^= {name}
        assert rings.successors() == sorted_successors(NAMES[0], others)
