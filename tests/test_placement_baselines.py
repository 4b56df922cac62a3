"""Test that the baselines of the placement table choose otherwise than the placer."""

import random

import pytest
from test_placements import SETTINGS, create_load, create_queued_request

from bench.placement import LeastInFlightPlacer, RoundRobinPlacer
from tarragonwind.core.placements import Placer
from tarragonwind.core.prefix_hints import PrefixHints


def choices(cls):
    """Return the upstreams chosen for some requests in a row, of which none ends."""
    placer = cls(SETTINGS, PrefixHints())
    loads = [create_load("fast", tokens_per_s=900.0), create_load("slow", tokens_per_s=90.0)]
    names = []
    for _ in range(6):
        placement = placer.choose(0.0, random.Random(1), loads, create_queued_request())
        placement.load.add(0.0, 10)
        names.append(placement.load.entry.name)
    return names


@pytest.mark.parametrize("baseline", [RoundRobinPlacer, LeastInFlightPlacer])
def test_a_baseline_is_not_the_placer(baseline):
    assert choices(Placer) == ["fast"] * 6
    assert choices(baseline).count("slow") == 3
