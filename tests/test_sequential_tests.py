"""Test the error rates and power of the sequential tests by seeded simulation."""

import random

import pytest

from tarragonwind.core.evidence import Tally
from tarragonwind.core.sequential_tests import (
    Pair,
    binomial_cdf,
    inferiority_log_evidence,
    log_threshold,
    noninferiority_log_evidence,
    restart_alpha,
)

ALPHA = 0.05
RUNS = 200
LENGTH = 200


def draw(rng, chance, trials):
    return sum(rng.random() < chance for _ in range(trials))


def ever_crosses(seed, evidence, margin, new_rate, old_rates):
    """Return whether the evidence crosses its threshold after any request of the new version.

    The old version gets four requests for each of the new one.
    """
    rng = random.Random(seed)
    pairs = []
    for old_rate in old_rates:
        new, old = Tally(0, 0), Tally(0, 0)
        pairs.append(Pair(new, old))
        for _ in range(LENGTH // len(old_rates)):
            new = new + Tally(1, draw(rng, new_rate(old_rate), 1))
            old = old + Tally(4, draw(rng, old_rate, 4))
            pairs[-1] = Pair(new, old)
            if evidence(pairs, margin) >= log_threshold(ALPHA):
                return True
    return False


@pytest.mark.parametrize("old_rates", [(0.1,), (0.01,), (0.02, 0.3), (0.3, 0.0, 0.3, 0.05)])
def test_equal_versions_are_rarely_found_worse_at_any_evaluation(old_rates):
    crossed = sum(
        ever_crosses(seed, inferiority_log_evidence, 0.0, lambda old: old, old_rates)
        for seed in range(RUNS)
    )
    assert crossed <= ALPHA * RUNS


@pytest.mark.parametrize(("old", "excess"), [(0.1, 0.1), (0.01, 0.05), (0.4, 0.2)])
def test_a_version_at_the_margin_is_rarely_found_good(old, excess):
    crossed = sum(
        ever_crosses(seed, noninferiority_log_evidence, excess, lambda rate: rate + excess, (old,))
        for seed in range(RUNS)
    )
    assert crossed <= ALPHA * RUNS


@pytest.mark.parametrize(("old", "new"), [(0.0, 1.0), (0.01, 0.2), (0.1, 0.4)])
def test_a_clear_difference_is_detected(old, new):
    crossed = sum(
        ever_crosses(seed, inferiority_log_evidence, 0.005, lambda _: new, (old,))
        for seed in range(100)
    )
    assert crossed >= 99


def test_an_equal_version_is_found_good():
    crossed = sum(
        ever_crosses(seed, noninferiority_log_evidence, 0.1, lambda old: old, (0.01,))
        for seed in range(100)
    )
    assert crossed >= 95


def test_more_traffic_during_a_common_outage_is_no_evidence():
    calm = Pair(Tally(50, 0), Tally(950, 10))
    outage = Pair(Tally(900, 450), Tally(100, 50))
    assert inferiority_log_evidence([calm, outage], 0.005) <= 0.0
    merged = Pair(calm.new + outage.new, calm.old + outage.old)
    assert inferiority_log_evidence([merged], 0.005) > 50.0


def test_restarts_together_stay_within_the_error_rate():
    spent = sum(restart_alpha(ALPHA, number, 40) for number in range(1, 10_000))
    assert 0.99 * ALPHA < spent <= ALPHA


def test_the_binomial_cdf_is_accurate_for_large_counts():
    small = [binomial_cdf(Tally(10, hits), 0.5) for hits in range(5)]
    assert small == pytest.approx([1 / 1024, 11 / 1024, 56 / 1024, 176 / 1024, 386 / 1024])
    assert 0.0 < binomial_cdf(Tally(100_000, 49_800), 0.5) < 0.2
    assert binomial_cdf(Tally(100_000, 10_000), 0.5) == pytest.approx(0.0)
