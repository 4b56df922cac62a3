"""Test the sums of what hosts report of an organisation's tokens, and an aggregator's work."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonwind.core.allotments import AllotmentLedger, AllotmentSettings, UsageReport
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.core.reported_usage import REPORT_LATE_S, ReportedUsage
from tarragonwind.core.usage_windows import ZERO_TOTALS, ReceivedTotals, add_totals

WINDOW_S = 8.0
HOSTS = ("h1", "h2", "h3")
LIVE = frozenset(HOSTS[:2])
REPORT_PERIOD_S = 0.2
MAX_SUMMED_PER_REPORT = 5
"""Reports that may be summed up for one that comes, whatever the size of the fleet."""


def nested(rng):
    """Return counts as windows have them: the longer the window, the more."""
    return tuple(sorted((rng.randrange(1_000) for _ in ZERO_TOTALS), reverse=True))


def sum_all(now, reports, live):
    total = ZERO_TOTALS
    for host, received in reports.items():
        if now - received.received_at >= WINDOW_S or (live and host not in LIVE):
            continue
        remaining = received.remaining(now, WINDOW_S)
        if now >= received.received_at + REPORT_LATE_S:
            remaining = (remaining[0] + received.part_left, *remaining[1:])
        total = add_totals(total, remaining)
    return total


@given(st.lists(st.tuples(st.sampled_from([*HOSTS, ""]), st.floats(0.01, 3.0)), max_size=40))
def test_the_sums_are_those_of_all_reports_at_their_age(steps):
    usage, reports, now = ReportedUsage(WINDOW_S), {}, 100.0
    rng = random.Random(1)
    for host, passed_s in steps:
        now += passed_s
        if host:
            earlier = reports.get(host) if rng.random() < 0.2 else None
            received = ReceivedTotals(nested(rng), now, earlier=earlier)
            reports[host] = received
            usage.put(now, host, received)
            received.part_left = rng.randrange(50)
        sums = usage.sums(now, LIVE)
        assert sums.known == sum_all(now, reports, live=False)
        assert sums.live == sum_all(now, reports, live=True)


@pytest.mark.parametrize("size", [6, 195, 320])
def test_the_work_of_an_aggregator_for_a_report_does_not_grow_with_the_fleet(size, monkeypatch):
    """Guards against an aggregator that sums up all hosts again for each report of each of them."""
    hosts = [f"h{number}" for number in range(size)]
    settings = AllotmentSettings(WINDOW_S, 0.1, 190_000.0)
    ledger = AllotmentLedger("h0", settings, 0.0, lambda name: "h0")
    ledger.set_live(0.0, hosts)
    organisation = OrganisationEntry(
        name="officina", owner="o", token_sha256=[], tokens_per_s=80_000, token_burst=80_000
    )
    ledger.take(10.0, organisation, 100)
    summed = []
    remaining = ReceivedTotals.remaining

    def count_remaining(self, now, window_s):
        summed.append(now)
        return remaining(self, now, window_s)

    monkeypatch.setattr(ReceivedTotals, "remaining", count_remaining)
    rounds = 10
    for number in range(rounds * (size - 1)):
        now = 10.0 + REPORT_PERIOD_S * number / (size - 1)
        host = hosts[1 + number % (size - 1)]
        ledger.on_report(now, host, UsageReport([["officina", 3_000, 1_500, 800, 100]], 1.0))
    assert len(summed) <= MAX_SUMMED_PER_REPORT * rounds * (size - 1)
