"""Test orders: their schedule, claims under pauses and store faults, and load rate limits."""

import json
import math
import subprocess
import sys
import time

import pytest

from bench.virtual_clocks import VirtualTimers
from standins.fleets import free_port
from tarragonwind.adapters.orders import (
    CLAIM_TTL_S,
    ORDER_TIMEOUT_S,
    TICK_PERIOD_S,
    OrderRunner,
    claim_key,
)
from tarragonwind.core.entries import MoveEntry, MoveState, UpstreamEntry, UpstreamState
from tarragonwind.core.orders import (
    LEASE_MARGIN_S,
    REISSUE_PERIOD_S,
    Claim,
    LoadRateLimiter,
    OrderKind,
    OrderPlanner,
    may_issue,
    plan_desired_states,
)
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpError, HttpRequest, HttpResponse, HttpTransport, Put
from tests.store_fakes import BlockingHttp, FaultyStore

WEIGHTS = Address("127.0.0.1", 1)
LIFETIME_S = "30"


def create_upstream(number, version="v1", **fields):
    return UpstreamEntry(
        name=f"engine-{number}",
        owner="tests",
        pool="drafting",
        version=version,
        host="127.0.0.1",
        port=100 + number,
        data_centre="etna",
        **fields,
    )


def create_move(to_version, starts_at, state=MoveState.RUNNING):
    return MoveEntry(
        name=f"to-{to_version}",
        owner="tests",
        pool="drafting",
        from_version="v1",
        to_version=to_version,
        starts_at=starts_at,
        done_by=starts_at + 60.0,
        state=state,
    )


class FakeUpstreams(HttpTransport):
    """Simulate upstreams and the weight store, and record the orders and loads they receive."""

    def __init__(self, timers, count):
        self.timers = timers
        self.versions = {100 + number: "v0" for number in range(count)}
        self.orders = []
        self.loads = []
        self.busy_until = 0.0
        self.lose_answers = 0
        self.ignores_orders = False
        self.answer_delay_s = 0.0

    def fetch(self, address, req, timeout_s):
        fut = Future()
        self.timers.call_later(self.answer_delay_s, lambda: self._answer(fut, address, req))
        return fut

    def stream(self, address, req, on_data, on_end):
        raise NotImplementedError

    def _answer(self, fut, address, req):
        doc = json.loads(req.body or b"{}")
        if address == WEIGHTS:
            fut.set_result(self._load(doc))
            return
        if req.target == "/orders":
            self.orders.append((self.timers.now(), address.port, doc))
            if not self.ignores_orders:
                self.versions[address.port] = doc["version"]
            if self.lose_answers:
                self.lose_answers -= 1
                fut.set_exception(HttpError("lost", sent=True))
                return
        body = json.dumps({"version": self.versions[address.port]}).encode()
        fut.set_result(HttpResponse(200, [], body))

    def _load(self, doc):
        if self.timers.now() < self.busy_until:
            wait = math.ceil(self.busy_until - self.timers.now())
            return HttpResponse(429, [(b"Retry-After", b"%d" % wait)], b"")
        self.loads.append((self.timers.now(), doc["version"]))
        return HttpResponse(200, [], b"{}")


class OrderCluster:
    """Run the order runners of several hosts against one store and one set of upstreams."""

    def __init__(self, count=3, hosts=("host-a",), rate=1.0, **fields):
        self.timers = VirtualTimers()
        self.store = FaultyStore(self.timers)
        self.upstreams = FakeUpstreams(self.timers, count)
        entries = [create_upstream(number, **fields) for number in range(count)]
        addresses = {entry.name: Address(entry.host, entry.port) for entry in entries}
        self.runners = {}
        for host in hosts:
            runner = OrderRunner(
                "drafting", host, self.store, self.upstreams, self.timers, WEIGHTS, rate
            )
            runner.set_desired(plan_desired_states(entries, [], 7), addresses)
            self.runners[host] = runner

    def run_until(self, condition, limit_s=60.0):
        end = self.timers.now() + limit_s
        while not condition():
            assert self.timers.now() < end
            self.timers.advance(0.05)

    def is_settled(self):
        return set(self.upstreams.versions.values()) == {"v1"}


def test_orders_are_scheduled_by_deadline_under_the_rate_limit():
    upstreams = [create_upstream(0), create_upstream(1, "v3"), create_upstream(2, "v2")]
    moves = [create_move("v2", 10.5), create_move("v3", 20.0)]
    planner = OrderPlanner(LoadRateLimiter(rate_per_s=2.0))
    planner.set_desired(plan_desired_states(upstreams, moves, 7))
    for upstream in upstreams:
        planner.record_report(upstream.name, "")
    planned = planner.plan(10.0)
    assert [one.desired.order.upstream for one in planned] == ["engine-2", "engine-1", "engine-0"]
    assert [one.starts_at for one in planned] == [10.0, 10.5, 11.0]
    assert not any(one.is_late for one in planned)
    assert planner.plan(12.0)[0].is_late


def test_cancelled_moves_set_no_deadline_and_leaving_upstreams_are_drained_once():
    upstreams = [create_upstream(0, "v2"), create_upstream(1, state=UpstreamState.LEAVING)]
    wanted = plan_desired_states(upstreams, [create_move("v2", 5.0, MoveState.CANCELLED)], 7)
    assert {one.deadline for one in wanted} == {math.inf}
    planner = OrderPlanner(LoadRateLimiter(1.0))
    planner.set_desired(wanted)
    planner.record_report("engine-1", "v1")
    drain = planner.next_order(0.0)
    assert drain.order.kind is OrderKind.DRAIN
    planner.record_issued(0.0, drain.order)
    assert planner.next_order(100.0) is None


@pytest.mark.parametrize(
    ("now", "lease_until", "last_tick_at", "checks", "allowed"),
    [
        (20.0, 30.0, 19.8, False, True),
        (20.0, 20.0 + ORDER_TIMEOUT_S + LEASE_MARGIN_S, 19.8, False, False),
        (20.0, 30.0, 18.0, True, False),
        (11.0, 30.0, 10.8, False, False),
        (11.0, 30.0, 10.8, True, True),
    ],
)
def test_when_an_order_may_be_issued(now, lease_until, last_tick_at, checks, allowed):
    claim = Claim(5, 10.0, lease_until)
    assert may_issue(now, claim, last_tick_at, ORDER_TIMEOUT_S, checks) is allowed
    assert not may_issue(now, None, last_tick_at, ORDER_TIMEOUT_S, checks)


def test_upstreams_reach_their_version_within_the_rate_limit_of_the_weight_store():
    cluster = OrderCluster(rate=0.5, checks_fencing=True)
    cluster.upstreams.busy_until = 8.0
    cluster.run_until(cluster.is_settled)
    starts = [at for at, _ in cluster.upstreams.loads]
    assert starts[0] >= 8.0
    assert min(at for at, *_ in cluster.upstreams.orders) >= 8.0
    assert all(later - earlier >= 2.0 for earlier, later in zip(starts, starts[1:], strict=False))
    assert {doc["generation"] for *_, doc in cluster.upstreams.orders} == {7}


def test_an_order_whose_response_was_lost_is_not_repeated_after_a_read():
    cluster = OrderCluster(count=1)
    cluster.upstreams.lose_answers = 1
    cluster.run_until(cluster.is_settled)
    cluster.timers.advance(20.0)
    assert len(cluster.upstreams.orders) == 1


def test_a_claim_whose_response_was_lost_is_confirmed_by_a_read():
    cluster = OrderCluster(count=1)
    cluster.store.drop_answers = 1
    cluster.run_until(cluster.is_settled)
    item = cluster.store.inner.get(claim_key("drafting")).result()
    assert cluster.runners["host-a"].claim.fencing == item.mod_revision


def test_a_claim_that_another_host_acquires_first_is_not_overwritten():
    cluster = OrderCluster(count=1)
    key = claim_key("drafting")
    claim = Put(key, b"host-z")
    cluster.store.before_commit.append(lambda: cluster.store.inner.commit([], [claim]))
    cluster.timers.advance(10.0)
    assert cluster.runners["host-a"].claim is None
    assert cluster.store.inner.get(key).result().value == b"host-z"


def test_an_order_without_effect_is_reissued_periodically():
    cluster = OrderCluster(count=1, rate=10.0)
    cluster.upstreams.ignores_orders = True
    cluster.timers.advance(4 * REISSUE_PERIOD_S)
    times = [at for at, *_ in cluster.upstreams.orders]
    assert len(times) >= 3
    assert all(b - a >= REISSUE_PERIOD_S for a, b in zip(times, times[1:], strict=False))


def test_one_of_two_hosts_holds_the_claim_and_the_next_gets_a_larger_fencing_token():
    cluster = OrderCluster(count=1, hosts=("host-a", "host-b"))
    cluster.run_until(cluster.is_settled)
    holders = [host for host, runner in cluster.runners.items() if runner.claim]
    assert len(holders) == 1
    first = cluster.runners[holders[0]].claim.fencing
    other = next(runner for host, runner in cluster.runners.items() if host != holders[0])
    cluster.runners[holders[0]].stop()
    cluster.run_until(lambda: other.claim is not None, CLAIM_TTL_S + 10.0)
    assert other.claim.fencing > first


def test_no_order_is_sent_near_lease_expiry_while_the_store_is_unavailable():
    cluster = OrderCluster(count=1)
    cluster.run_until(cluster.is_settled)
    cluster.store.away = True
    until = cluster.runners["host-a"].claim.lease_until
    cluster.timers.advance(CLAIM_TTL_S - 2.0)
    cluster.upstreams.versions[100] = "v0"
    cluster.timers.advance(30.0)
    assert all(at <= until - ORDER_TIMEOUT_S for at, *_ in cluster.upstreams.orders)
    assert cluster.upstreams.versions[100] == "v0"


@pytest.mark.parametrize("checks", [False, True])
def test_a_resumed_holder_renews_its_claim_and_reads_before_it_issues_orders(checks):
    cluster = OrderCluster(count=1, checks_fencing=checks)
    cluster.run_until(cluster.is_settled)
    runner = cluster.runners["host-a"]
    fencing = runner.claim.fencing
    cluster.timers.advance(REISSUE_PERIOD_S)
    cluster.run_until(lambda: cluster.timers.now() - runner._renewed_at < TICK_PERIOD_S)
    cluster.upstreams.versions[100] = "v0"
    runner.planner.record_report("engine-0", "v0")
    lease_id = cluster.store.inner.get(claim_key("drafting")).result().lease_id
    cluster.store.inner.revoke_lease(lease_id)
    before = len(cluster.upstreams.orders)
    runner._last_tick_at -= 60.0
    runner.tick()
    cluster.timers.advance(0.1)
    assert len(cluster.upstreams.orders) == before
    cluster.run_until(cluster.is_settled)
    assert all(doc["fencing"] > fencing for *_, doc in cluster.upstreams.orders[before:])


def test_the_weight_store_stand_in_limits_loads():
    port = free_port()
    command = [sys.executable, "-m", "standins.weight_store", "--port", str(port)]
    process = subprocess.Popen([*command, "--rate", "0.1", "--lifetime", LIFETIME_S])
    try:
        req = HttpRequest("POST", "/loads", [], b'{"version": "v1"}')
        statuses = []
        end = time.monotonic() + 20.0
        while len(statuses) < 2 and time.monotonic() < end:
            fut = BlockingHttp().fetch(Address("127.0.0.1", port), req, 2.0)
            try:
                statuses.append(fut.result().status)
            except HttpError:
                time.sleep(0.05)
        assert statuses == [200, 429]
    finally:
        process.kill()
        process.wait()
