"""Test cost estimates of requests."""

import random

from tarragonwind.core.estimates import CostEstimator


def test_estimate_without_observations_is_bounded_by_max_tokens():
    estimate = CostEstimator().estimate("chat", "a", 400, 16)
    assert estimate.prompt_tokens == 100
    assert estimate.cost_tokens == 26


def test_short_and_long_requests_of_one_route_have_separate_estimates():
    rng = random.Random(1)
    estimator = CostEstimator()
    for _ in range(60):
        estimator.observe("chat", "a", 100, rng.randrange(10, 30), 25)
        estimator.observe("chat", "a", 60_000, rng.randrange(1_000, 3_000), 15_000)
    short = estimator.estimate("chat", "a", 110, None)
    long = estimator.estimate("chat", "a", 58_000, None)
    assert 15 <= short.cost_tokens <= 30
    assert 2_500 <= long.cost_tokens <= 5_000
    assert long.cost_tokens > 80 * short.cost_tokens


def test_organisations_have_separate_estimates():
    estimator = CostEstimator()
    for _ in range(30):
        estimator.observe("chat", "brief", 100, 10)
        estimator.observe("chat", "wordy", 100, 1_000)
    assert estimator.estimate("chat", "brief", 100, None).cost_tokens < 20
    assert estimator.estimate("chat", "wordy", 100, None).cost_tokens > 900
    assert 100 < estimator.estimate("chat", "new", 100, None).cost_tokens < 900


def test_estimate_follows_a_change_of_output_length():
    estimator = CostEstimator()
    for _ in range(200):
        estimator.observe("chat", "a", 100, 10)
    for _ in range(100):
        estimator.observe("chat", "a", 100, 500)
    assert estimator.estimate("chat", "a", 100, None).cost_tokens > 450


def test_bytes_per_token_are_learned():
    estimator = CostEstimator()
    for _ in range(20):
        estimator.observe("chat", "a", 1_000, 10, prompt_tokens=500)
    assert estimator.estimate("chat", "a", 1_000, None).prompt_tokens == 500
