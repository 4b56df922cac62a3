"""Test which limits bind callers while a change of the configuration spreads."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonwind.core.caller_limits import SPREAD_S, SpreadingLimits
from tarragonwind.core.configurations import CallerLimits

LIMITS = st.builds(
    CallerLimits,
    max_header_bytes=st.integers(1, 9),
    max_body_bytes=st.integers(1, 9),
    header_timeout_s=st.floats(0.1, 9.0),
    idle_timeout_s=st.floats(0.1, 9.0),
)
CHANGES = st.lists(st.tuples(st.floats(0.0, 4.0), LIMITS), min_size=1, max_size=8)
FIELDS = ("max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s")


@given(CHANGES, st.floats(0.0, 5.0))
def test_each_limit_is_the_widest_of_those_that_may_be_in_force(changes, later_s):
    spreading = SpreadingLimits()
    now = 0.0
    history = []
    for pause_s, limits in changes:
        now += pause_s
        spreading.replace(now, limits)
        history.append((now, limits))
    now += later_s
    ends = [began for began, _ in history[1:]] + [now + 1.0]
    in_force = [
        limits for (_, limits), end in zip(history, ends, strict=True) if now < end + SPREAD_S
    ]
    widest = spreading.widest(now)
    for name in FIELDS:
        allowed = [getattr(limits, name) for limits in in_force]
        assert getattr(widest, name) == max(allowed)


def test_the_first_limits_bind_at_once():
    spreading = SpreadingLimits()
    with pytest.raises(ValueError):
        spreading.widest(0.0)
    first = CallerLimits(idle_timeout_s=1.0)
    assert spreading.replace(0.0, first)
    assert not spreading.replace(1.0, first)
    assert spreading.widest(0.0) == first
