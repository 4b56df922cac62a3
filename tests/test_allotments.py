"""Test allotments over several hosts with lost and late reports and network partitions."""

import random
from collections import deque

import pytest

from tarragonwind.core.allotments import AllotmentLedger, AllotmentSettings
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.errors import ErrorKind, RequestError

WINDOW_S = 8.0
SETTINGS = AllotmentSettings(WINDOW_S, 0.1, 190_000.0)
RATE = 80_000
ORGANISATION = OrganisationEntry(
    name="officina", owner="o", token_sha256=[], tokens_per_s=RATE, token_burst=RATE
)
BOUND = (RATE * WINDOW_S + RATE) * 1.1 + 190_000
LIMIT = RATE * WINDOW_S + RATE
REPORT_PERIOD_S = 0.2
HOSTS = [f"h{number}" for number in range(6)]


class Fleet:
    """Run one ledger per host; messages within a partition are delivered at report times."""

    def __init__(self, seed=1, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.partitions = [list(HOSTS)]
        self.seen_partitions = None
        self.now = 100.0
        self.ledgers = {name: self.create(name, 0.0) for name in HOSTS}
        self.admitted = []
        self.refused = 0
        self.reported_at = self.now

    def create(self, name, started_at):
        return AllotmentLedger(
            name,
            SETTINGS,
            started_at,
            lambda _: self.live_hosts(name)[0],
            lambda _: self.fleet_share(name),
        )

    def live_hosts(self, name):
        """Return the hosts that a host considers live, which can lag behind its reachable hosts."""
        return next(
            partition for partition in self.seen_partitions or self.partitions if name in partition
        )

    def reaches(self, name, other):
        return any(name in partition and other in partition for partition in self.partitions)

    def fleet_share(self, name):
        return len(self.live_hosts(name)) / len(HOSTS)

    def submit(self, name, tokens):
        try:
            self.ledgers[name].take(self.now, ORGANISATION, tokens)
        except RequestError as exc:
            assert exc.kind is ErrorKind.OVER_ALLOTMENT and exc.retry_after_s > 0
            self.refused += 1
        else:
            self.admitted.append((self.now, tokens))

    def step(self, dt):
        self.now += dt
        if self.now - self.reported_at < REPORT_PERIOD_S:
            return
        self.reported_at = self.now
        for name, ledger in self.ledgers.items():
            ledger.set_live(self.now, self.live_hosts(name))
        for name, ledger in self.ledgers.items():
            for owner, msg in ledger.reports(self.now).items():
                if self.reaches(name, owner) and self.rng.random() >= self.loss:
                    totals = self.ledgers[owner].on_report(self.now, name, msg)
                    if self.rng.random() >= self.loss:
                        ledger.on_totals(self.now, totals)

    def load(self, seconds, tokens_per_s, size=4_000, names=None, weights=None):
        end = self.now + seconds
        names = names or HOSTS
        while self.now < end:
            self.submit(self.rng.choices(names, weights)[0], size)
            self.step(size / tokens_per_s)

    def largest_window(self):
        largest = 0
        for start, _ in self.admitted:
            within = [tokens for at, tokens in self.admitted if start <= at < start + WINDOW_S]
            largest = max(largest, sum(within))
        return largest


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_organisation_at_six_times_its_rate_stays_within_the_bound(loss):
    fleet = Fleet(loss=loss)
    fleet.load(20, 6 * RATE)
    assert fleet.largest_window() <= BOUND
    assert sum(tokens for _, tokens in fleet.admitted) >= 0.95 * 20 * RATE


@pytest.mark.parametrize("weights", [None, [20, 5, 1, 1, 1, 1]])
def test_load_below_the_limit_is_never_refused_for_any_spread_over_hosts(weights):
    fleet = Fleet()
    fleet.load(25, 0.95 * RATE, weights=weights)
    assert fleet.refused == 0


def test_partitions_together_stay_within_the_limit():
    fleet = Fleet()
    fleet.load(9, 6 * RATE)
    fleet.partitions = [HOSTS[:4], HOSTS[4:]]
    fleet.load(12, 6 * RATE)
    fleet.partitions = [list(HOSTS)]
    fleet.load(9, 6 * RATE)
    assert fleet.largest_window() <= BOUND


def test_limit_holds_after_the_failure_of_the_aggregator():
    fleet = Fleet()
    fleet.load(9, 6 * RATE)
    dead, *others = HOSTS
    fleet.partitions = [others, [dead]]
    fleet.load(9, 6 * RATE, names=others)
    assert fleet.largest_window() <= BOUND


def test_restarted_fleet_admits_no_second_burst():
    fleet = Fleet()
    fleet.load(10, 6 * RATE)
    fleet.step(2.0)
    fleet.ledgers = {name: fleet.create(name, fleet.now) for name in HOSTS}
    fleet.load(10, 6 * RATE)
    assert fleet.largest_window() <= BOUND


def test_tokens_of_a_request_that_was_not_dispatched_are_refunded():
    fleet = Fleet()
    ledger = fleet.ledgers["h0"]
    ledger.take(fleet.now, ORGANISATION, LIMIT)
    ledger.refund(ORGANISATION, LIMIT, fleet.now)
    ledger.take(fleet.now, ORGANISATION, LIMIT)


def test_organisation_without_allotment_is_unlimited():
    unlimited = OrganisationEntry(name="free", owner="o", token_sha256=[])
    ledger = Fleet().ledgers["h0"]
    for _ in range(100):
        ledger.take(100.0, unlimited, 10_000_000)


def test_isolated_hosts_stay_within_the_bound_until_the_partition_is_detected():
    for seed in range(6):
        fleet = Fleet(seed)
        fleet.load(2, 0.5 * RATE)
        fleet.load(2.5, 8 * RATE)
        fleet.seen_partitions = fleet.partitions
        fleet.partitions = [HOSTS[:3], *([name] for name in HOSTS[3:])]
        fleet.load(1.4, 8 * RATE)
        fleet.seen_partitions = None
        fleet.load(6, 8 * RATE)
        assert fleet.largest_window() <= BOUND


@pytest.mark.parametrize("pause_s", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("cut", [["h0"], ["h0", "h1"], ["h1", "h2"]], ids="+".join)
def test_hosts_without_fresh_totals_share_what_is_left(cut, pause_s):
    for seed in range(3):
        fleet = Fleet(seed)
        fleet.load(3, 0.5 * RATE)
        fleet.load(4, 8 * RATE)
        fleet.load(pause_s, 0.4 * RATE)
        fleet.seen_partitions = fleet.partitions
        others = [name for name in HOSTS if name not in cut]
        fleet.partitions = [others, *([name] for name in cut)]
        fleet.load(1.3, 8 * RATE)
        fleet.seen_partitions = None
        fleet.load(5, 8 * RATE)
        assert fleet.largest_window() <= BOUND


def test_a_host_without_fresh_totals_uses_its_part_of_what_is_left():
    fleet = Fleet()
    fleet.load(4, 0.5 * RATE)
    fleet.seen_partitions = fleet.partitions
    fleet.partitions = [HOSTS[:-1], HOSTS[-1:]]
    fleet.load(0.9, 0.15 * RATE, names=HOSTS[-1:])
    assert fleet.refused == 0


@pytest.mark.parametrize("wait_s", [0.5, 2.0, 4.0, 6.0])
def test_refunds_of_requests_that_have_waited_admit_no_more_than_the_bound(wait_s):
    fleet = Fleet()
    waiting = deque()
    overloaded_until = fleet.now + 6
    while fleet.now < overloaded_until + 12:
        name = fleet.rng.choice(HOSTS)
        before = len(fleet.admitted)
        fleet.submit(name, 4_000)
        refused_later = fleet.now < overloaded_until and fleet.rng.random() < 0.8
        if len(fleet.admitted) > before and refused_later:
            waiting.append((fleet.now, name))
            fleet.admitted.pop()
        while waiting and waiting[0][0] <= fleet.now - wait_s:
            taken_at, refunded = waiting.popleft()
            fleet.ledgers[refunded].refund(ORGANISATION, 4_000, taken_at)
        fleet.step(4_000 / (6 * RATE))
    assert fleet.largest_window() <= BOUND


def admits(ledger, now, tokens):
    try:
        ledger.take(now, ORGANISATION, tokens)
    except RequestError:
        return False
    return True


@pytest.mark.parametrize("hosts", [6, 65, 195, 320])
def test_hosts_that_are_all_apart_admit_no_request_each_beyond_the_allotment(hosts):
    """Guards against a limit whose excess grows by one request with each host."""
    ledgers = [
        AllotmentLedger(f"h{number}", SETTINGS, 0.0, lambda name: "", lambda now: 1.0 / hosts)
        for number in range(hosts)
    ]
    tokens = BOUND // hosts * 3 // 2
    admitted = sum(tokens for ledger in ledgers if admits(ledger, 20.0, tokens))
    assert admitted <= BOUND


def test_a_request_larger_than_the_whole_allotment_is_admitted_when_nothing_is_used():
    ledger = AllotmentLedger("h0", SETTINGS, 0.0, lambda name: "h0")
    assert admits(ledger, 20.0, 2 * LIMIT)
    assert not admits(ledger, 21.0, 10)
