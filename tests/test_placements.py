"""Test the selection of upstreams, the load model and the prefix hints."""

import random

import pytest
from permit_fleets import create_upstream

from tarragonwind.core.placements import Placer
from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.queues import QueuedRequest
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad

SETTINGS = LoadSettings()


def create_load(name, **fields):
    fields.setdefault("slots", 8)
    return UpstreamLoad(create_upstream(name, **fields), SETTINGS)


def create_queued_request(**fields):
    values = {
        "host": "h1",
        "permit_id": 1,
        "tier": 0,
        "organisation": "a",
        "route": "chat",
        "cost_tokens": 100,
        "prompt_tokens": 0,
        "deadline": 100.0,
    }
    return QueuedRequest(**{**values, **fields})


def choose(loads, req=None, now=0.0, hints=None, rtt_s=None):
    placer = Placer(SETTINGS, hints or PrefixHints(), rtt_s)
    names = set()
    for seed in range(8):
        placement = placer.choose(now, random.Random(seed), loads, req or create_queued_request())
        names.add(placement.load.entry.name if placement is not None else None)
    assert len(names) == 1, "the choice depends on the seed"
    return names.pop()


def test_faster_upstream_is_chosen_until_it_is_more_loaded():
    fast = create_load("fast", tokens_per_s=200.0)
    slow = create_load("slow", tokens_per_s=110.0)
    assert choose([slow, fast]) == "fast"
    for _ in range(8):
        fast.add(0.0, 100)
    assert choose([slow, fast]) == "slow"


def test_permits_in_flight_count_as_load():
    busy, idle = create_load("busy"), create_load("idle")
    for _ in range(3):
        busy.add(0.0, 100)
    assert choose([busy, idle]) == "idle"


def test_weight_of_a_load_report_decays_with_age():
    reported, busy = create_load("reported"), create_load("busy")
    for _ in range(3):
        busy.add(0.0, 100)
    reported.on_report(0.0, in_flight=6, age_s=0.0)
    assert choose([reported, busy], now=0.0) == "busy"
    assert choose([reported, busy], now=3.0) == "reported"


def test_load_report_is_compared_with_in_flight_count_at_report_time():
    load = create_load("u1")
    for _ in range(5):
        load.add(1.0, 100)
    for _ in range(5):
        load.release(2.0, 100)
    idle_s = load.token_s(2.0)
    load.on_report(2.0, in_flight=5, age_s=0.5)
    assert load.token_s(2.0) == idle_s


def test_measured_slowness_diverts_work_and_decays():
    slowed, normal = create_load("slowed", tokens_per_s=110.0), create_load("normal")
    assert choose([slowed, normal]) == "slowed"
    for _ in range(10):
        slowed.on_tokens(0.0, predicted_s=1.0, observed_s=3.0)
    assert choose([slowed, normal]) == "normal"
    assert choose([slowed, normal], now=120.0) == "slowed"


def test_slow_first_byte_diverts_long_prompts():
    slowed, normal = create_load("slowed", tokens_per_s=110.0), create_load("normal")
    req = create_queued_request(prompt_tokens=4_000, cost_tokens=420)
    assert choose([slowed, normal], req) == "slowed"
    for _ in range(10):
        slowed.on_first_byte(0.0, predicted_s=1.0, observed_s=3.0)
    assert choose([slowed, normal], req) == "normal"


def test_outlier_gets_one_request_at_a_time():
    outlier = create_load("outlier", tokens_per_s=10_000.0)
    for _ in range(40):
        outlier.on_tokens(0.0, predicted_s=1.0, observed_s=20.0)
    full = create_load("full")
    for _ in range(7):
        full.add(0.0, 100)
    assert choose([outlier, full]) == "outlier"
    outlier.add(0.0, 100)
    assert choose([outlier, full]) == "full"


def test_consecutive_failures_eject_upstream_until_a_probe_succeeds():
    load = create_load("u1")
    rng = random.Random(1)
    for _ in range(SETTINGS.failures_to_eject):
        assert choose([load]) == "u1"
        load.on_failed(0.0, rng)
    assert choose([load]) is None
    assert choose([load], now=1.0) == "u1"
    load.add(1.0, 100)
    assert choose([load], now=1.0) is None
    load.on_success(0.0)
    assert choose([load], now=1.0) == "u1"


def test_upstream_with_cached_prefix_is_preferred_unless_full():
    cached, other = create_load("cached"), create_load("other", tokens_per_s=130.0)
    hints = PrefixHints()
    hints.add("cached", [1, 2, 3])
    req = create_queued_request(prompt_tokens=4_000, prefixes=(1, 2, 3), cost_tokens=420)
    assert (
        choose([cached, other], create_queued_request(prompt_tokens=4_000, cost_tokens=420))
        == "other"
    )
    assert choose([cached, other], req, hints=hints) == "cached"
    for _ in range(8):
        cached.add(0.0, 100)
    assert choose([cached, other], req, hints=hints) == "other"


def test_nearest_of_equal_upstreams_is_chosen():
    near = create_load("near", data_centre="etna")
    far = create_load("far", data_centre="ortigia")
    rtt_s = {"etna": 0.0, "ortigia": 0.001}
    assert choose([far, near], rtt_s=rtt_s) == "near"


def test_upstream_that_failed_the_request_is_the_last_choice():
    fast, slow = create_load("fast", tokens_per_s=500.0), create_load("slow")
    req = create_queued_request(avoid=frozenset(["fast"]))
    assert choose([fast, slow], req) == "slow"
    assert choose([fast], req) == "fast"


@pytest.mark.parametrize(
    ("held", "share"), [([], 0.0), ([1], 1 / 4), ([1, 2], 2 / 4), ([3], 3 / 4), ([9], 0.0)]
)
def test_cached_share_follows_longest_known_prefix(held, share):
    hints = PrefixHints()
    hints.add("u1", held)
    assert hints.cached_share("u1", (1, 2, 3)) == pytest.approx(share)


def test_hints_are_bounded_with_lru_eviction():
    hints = PrefixHints(max_prefixes=2)
    hints.add("u1", [1, 2])
    hints.add("u1", [1])
    hints.add("u1", [3])
    assert [hints.cached_share("u1", (number,)) for number in (1, 2, 3)] == [0.5, 0.0, 0.5]
    hints.remove("u1", [1])
    assert hints.cached_share("u1", (1,)) == 0.0
    hints.invalidate("u1")
    assert hints.cached_share("u1", (3,)) == 0.0


def test_number_of_compared_upstreams_is_bounded_in_a_large_pool():
    loads = [create_load(f"u{number}") for number in range(70)]
    compared = []
    placer = Placer(SETTINGS, PrefixHints(), None)
    estimate = placer.estimate

    class CountingPlacer(Placer):
        def estimate(self, now, load, req):
            compared.append(load.entry.name)
            return estimate(now, load, req)

    counting_placer = CountingPlacer(SETTINGS, PrefixHints(), None)
    req = create_queued_request(deadline_is_total=True, output_tokens=10)
    assert counting_placer.choose(0.0, random.Random(1), loads, req) is not None
    assert len(compared) <= 12


def test_number_of_compared_upstreams_is_small_for_a_waiting_request():
    loads = [create_load(f"u{number}", slots=1) for number in range(70)]
    for load in loads:
        load.add(0.0, 10)
    slow = create_load("slow", tokens_per_s=1.0)
    compared = []

    class CountingPlacer(Placer):
        def estimate(self, now, load, req):
            compared.append(load.entry.name)
            return super().estimate(now, load, req)

    counting_placer = CountingPlacer(SETTINGS, PrefixHints(), None)
    req = create_queued_request(deadline_is_total=True, output_tokens=10, deadline=8.0)
    assert not counting_placer.should_place_now(0.0, [slow], loads[0], req)
    assert len(compared) <= 2


def test_request_waits_for_a_full_upstream_that_alone_meets_its_deadline():
    fast = create_load("fast", slots=1, tokens_per_s=1_000.0)
    slow = create_load("slow", slots=8, tokens_per_s=10.0)
    placer = Placer(SETTINGS, PrefixHints(), None)
    req = create_queued_request(deadline_is_total=True, output_tokens=100, deadline=8.0)
    assert placer.should_place_now(0.0, [slow, fast], fast, req)
    fast.add(0.0, 10)
    assert not placer.should_place_now(0.0, [slow], fast, req)
    assert placer.should_place_now(0.0, [slow], slow, req)
