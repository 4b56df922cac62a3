"""Test that the retries of all hosts together stay within the budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.retry_budgets import RetryBudget, RetryBudgetSettings

SETTINGS = RetryBudgetSettings(ratio=0.2, window_s=10.0, allowance=52.0)


@settings(derandomize=True, max_examples=60)
@given(st.integers(1, 8), st.lists(st.tuples(st.integers(0, 7), st.booleans()), max_size=1_500))
def test_sum_over_hosts_stays_within_budget(host_count, steps):
    hosts = [RetryBudget(SETTINGS) for _ in range(host_count)]
    for host in hosts:
        host.host_count = host_count
    requests, retries = [], []
    for number, (index, is_retry) in enumerate(steps):
        now = number * 0.02
        host = hosts[index % host_count]
        if is_retry:
            if host.take(now, "pool"):
                retries.append(now)
        else:
            host.record_request(now, "pool")
            requests.append(now)
    for end in retries:
        retried = [at for at in retries if end - SETTINGS.window_s < at <= end]
        received = [at for at in requests if end - SETTINGS.window_s < at <= end]
        assert len(retried) <= SETTINGS.ratio * len(received) + SETTINGS.allowance


def test_pools_have_separate_budgets_and_windows_expire():
    budget = RetryBudget(RetryBudgetSettings(ratio=0.0, window_s=10.0, allowance=2.5))
    assert budget.take(0.0, "a") and budget.take(0.0, "a") and not budget.take(1.0, "a")
    assert budget.take(1.0, "b")
    assert budget.take(10.5, "a")
