"""Test that what a host does for one message or tick does not grow with the fleet."""

import random

import pytest
from work_counters import count_instructions

from tarragonwind.core.allotments import AllotmentLedger, AllotmentSettings, UsageReport
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.core.fleet_shares import FleetShares
from tarragonwind.core.member_views import Health, Member, pack_member
from tarragonwind.core.membership_messages import Ack, Ping, Push, Sync
from tarragonwind.core.memberships import MembershipCore
from tarragonwind.ports import Address

SIZES = [6, 65, 195, 320]
WINDOW_S = 8.0
REPORT_PERIOD_S = 0.2
TICK_S = 0.25
SETTLED_S = 20.0
GROWTH = 1.5
"""Factor by which the work may grow from the smallest fleet to a larger one."""


def names_of(size):
    return tuple(f"h{number:03}" for number in range(size))


def assert_flat(measure, sizes=SIZES):
    work = {size: measure(size) for size in sizes}
    assert all(count <= GROWTH * work[sizes[0]] for count in work.values()), work


class Aggregator:
    """Run the host that sums up one organisation's tokens, with reports from all others."""

    def __init__(self, size, quiet_share):
        self.rng = random.Random(7)
        self.names = names_of(size)
        self.shares = FleetShares("h000")
        self.shares.set_leased(self.names, store_unavailable=False)
        self.ledger = AllotmentLedger(
            "h000",
            AllotmentSettings(WINDOW_S, 0.1, 190_000.0),
            0.0,
            lambda name: "h000",
            self.shares.retained_fraction,
        )
        self.ledger.set_live(0.0, self.names)
        self.organisation = OrganisationEntry(
            name="officina", owner="o", token_sha256=[], tokens_per_s=80_000, token_burst=80_000
        )
        self.totals = {name: [0, 0, 0, 0] for name in self.names}
        others = self.names[1:]
        quiet = set(self.rng.sample(others, int(quiet_share * len(others))))
        self.due = [
            (self.rng.uniform(0.0, self.period_of(name in quiet)), name, name in quiet)
            for name in others
        ]

    def period_of(self, is_quiet):
        return REPORT_PERIOD_S * (self.rng.choice([1, 3, 9, 30]) if is_quiet else 1)

    def run(self, until, limit):
        """Pass on reports, each host's on a clock of its own; return what the last ones cost."""
        costs = []
        while self.due and len(costs) < limit:
            now, name, is_quiet = min(self.due)
            self.due.remove((now, name, is_quiet))
            self.due.append((now + self.period_of(is_quiet), name, is_quiet))
            self.shares.set_live(now, self.names, ())
            msg = self.report(name)
            if now < until:
                self.ledger.on_report(now, name, msg)
                continue
            costs.append(count_instructions(self.ledger.on_report, now, name, msg))
        return costs

    def report(self, name):
        totals = self.totals[name]
        totals[0] += self.rng.randrange(300)
        counts = sorted((self.rng.randrange(1 + totals[0]) for _ in range(3)), reverse=True)
        return UsageReport([["officina", totals[0], *counts]], 1.0)


@pytest.mark.parametrize("quiet_share", [0.0, 0.5])
def test_a_report_of_tokens_costs_its_receiver_the_same_in_every_fleet(quiet_share):
    """Guards against an aggregator that goes through all hosts for the report of each."""

    def measure(size):
        aggregator = Aggregator(size, quiet_share)
        aggregator.ledger.take(0.1, aggregator.organisation, 100)
        costs = aggregator.run(SETTLED_S, 300)
        return sum(costs) / len(costs)

    assert_flat(measure)


def test_a_tick_of_the_fleet_shares_costs_the_same_in_every_fleet():
    """Guards against sets of all hosts that are joined anew several times a second."""

    def measure(size):
        names = names_of(size)
        shares = FleetShares("h000")
        shares.set_leased(names, store_unavailable=True)
        shares.set_live(0.0, names, ())

        def tick():
            for number in range(1, 9):
                now = TICK_S * number
                shares.set_live(now, names, ())
                shares.size(now)
                shares.live_fraction(now)
                shares.retained_fraction(now)
                shares.retained_fraction(now, 5.0)

        return count_instructions(tick)

    assert_flat(measure)


def create_member(name, incarnation=1):
    return Member(name, Address("127.0.0.1", 7_600), "etna", incarnation)


def create_settled_core(size):
    """Return the membership of a host that knows all others, and their records."""
    core = MembershipCore(create_member("h000"), random.Random(1), 0.0)
    records = [pack_member(create_member(name)) for name in names_of(size)[1:]]
    core.on_message(0.0, "h001", Sync(records, [], False, True))
    core.set_listed(0.0, names_of(size), ())
    for number in range(40):
        core.tick(0.1 * number)
        core.on_message(0.1 * number, "h001", ping(core, number))
        core.take_outbox()
    return core, records


def ping(core, seq):
    return Ping(seq, 1, False, core.view.digest(), [], [])


def test_probes_and_known_records_cost_a_host_the_same_in_every_fleet():
    """Guards against a membership that counts or sorts all members for each message."""

    def measure(size):
        core, records = create_settled_core(size)
        count, now = 0, 4.0
        for number in range(16):
            now += 0.05
            messages = [
                ping(core, number),
                Ack(0, 1, False, core.view.digest(), records[:4], []),
                Push(records[:5], []),
            ]
            for msg in messages:
                count += count_instructions(core.on_message, now, "h001", msg)
            count += count_instructions(core.tick, now)
            core.take_outbox()
        return count

    assert_flat(measure)


def test_the_neighbours_after_a_change_cost_the_same_in_every_fleet_that_has_more():
    def measure(size):
        core, _ = create_settled_core(size)
        member = create_member("h003", incarnation=2)
        member.health = Health.DEAD
        core.view.put(member)
        core.invalidate()
        return count_instructions(core.neighbours)

    assert_flat(measure, SIZES[1:])


def test_the_answer_to_a_host_with_the_same_view_has_only_what_it_lacks():
    """Guards against whole views that are sent back to the host that has just sent them."""

    def answered_records(size):
        core = MembershipCore(create_member("h000"), random.Random(1), 0.0)
        records = [pack_member(create_member(name)) for name in names_of(size)[1:]]
        core.on_message(0.0, "h001", Sync(records, [], False, True))
        core.take_outbox()
        core.on_message(0.1, "h002", Sync([*records[1:], pack_member(core.own)], [], True, True))
        answers = [one.msg for one in core.take_outbox() if isinstance(one.msg, Sync)]
        return sorted(record[0] for record in answers[0].records)

    assert [answered_records(size) for size in SIZES] == [["h000", "h001"]] * len(SIZES)
