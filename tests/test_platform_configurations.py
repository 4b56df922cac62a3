"""Test what the operator's documents are decoded into."""

import pytest

from tarragonwind.platform.configurations import decode_route


def route(**fields):
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
def test_callers_of_a_stream_leave_after_a_silence(target_ms, gap_ms, patience_s):
    decoded = route(targetLatencyMs=target_ms, gapTargetMs=gap_ms)
    assert decoded.patience_s == pytest.approx(patience_s)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_callers_of_other_kinds_wait_to_their_deadline(kind):
    assert route(kind=kind, targetLatencyMs=600).patience_s == 0.0
