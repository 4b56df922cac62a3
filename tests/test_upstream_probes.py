"""Test that a probe whose permit comes back unused doesn't keep an upstream from further probes."""

import random

from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad
from tests.permit_fleets import create_upstream

LATER_S = 100.0


def test_an_ejected_upstream_that_runs_a_request_is_probed_again_after_an_unused_probe():
    load = UpstreamLoad(create_upstream("u1", slots=4), LoadSettings())
    load.add(0.0, 1)
    load.on_connect_failed(1.0, random.Random(1))
    assert load.has_room(LATER_S)
    load.add(LATER_S, 1)
    load.release(LATER_S, 1)
    assert load.has_room(2 * LATER_S)
