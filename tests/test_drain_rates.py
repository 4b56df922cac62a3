"""Test the measurement of a pool's drain rate."""

import pytest

from tarragonwind.core.drain_rates import DrainRate


def drain(rate, tokens, is_busy=True, begin=0, count=200):
    for step in range(begin, begin + count):
        rate.add(tokens)
        rate.observe(step * 0.1, is_busy)


def test_nominal_rate_is_used_until_a_rate_is_measured():
    rate = DrainRate()
    rate.set_nominal(500.0)
    assert rate.tokens_per_s == 500.0
    drain(rate, 10, count=400)
    assert rate.measured
    assert rate.tokens_per_s == pytest.approx(100.0, rel=0.05)


def test_periods_without_queued_requests_are_ignored():
    rate = DrainRate()
    rate.set_nominal(500.0)
    drain(rate, 50, count=400)
    drain(rate, 1, is_busy=False, begin=400, count=400)
    assert rate.tokens_per_s == pytest.approx(500.0, rel=0.05)


def test_rate_follows_a_slower_pool():
    rate = DrainRate()
    rate.set_nominal(500.0)
    drain(rate, 50, count=300)
    drain(rate, 5, begin=300, count=300)
    assert rate.tokens_per_s == pytest.approx(50.0, rel=0.1)
