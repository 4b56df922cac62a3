"""Test the decoding of routes from the operator's configuration."""

import pytest

from tarragonwind.platform.configurations import decode_route


def decode(**fields):
    doc = {
        "name": "r-1",
        "host": "a.example",
        "pathPrefix": "/x/",
        "kind": "stream",
        "service": "s",
        **fields,
    }
    return decode_route(doc)


@pytest.mark.parametrize(
    ("target_ms", "gap_ms", "patience_s"), [(100, 100, 2.0), (600, 100, 2.4), (600, 400, 3.2)]
)
def test_stream_patience_is_derived_from_latency_and_gap_targets(target_ms, gap_ms, patience_s):
    decoded = decode(targetLatencyMs=target_ms, gapTargetMs=gap_ms)
    assert decoded.patience_s == pytest.approx(patience_s)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_other_kinds_of_route_have_no_patience(kind):
    assert decode(kind=kind, targetLatencyMs=600).patience_s == 0.0
