"""Test that the request of a key runs at most once, despite host failures and lost responses."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bench.catalogue_fleets import DelayedStore, Fleet
from bench.virtual_clocks import VirtualTimers
from tarragonwind.claims import LEASE_SAFETY_MARGIN_S, create_claims
from tarragonwind.core.claim_records import digest_key
from tarragonwind.errors import ERROR_RESPONSES, ErrorKind, NotRun, RequestError
from tarragonwind.ports import Members, Peers
from tarragonwind.shared_leases import LEASE_REUSE_PERIOD_S
from tests.store_fakes import FaultyStore, settle

TTL_S = 3_600
KINDS = ErrorKind


class FixedMembers(Members):
    """Provide a fixed set of live daemons."""

    def __init__(self, name):
        self.name = name

    def live(self):
        return ("h1", "h2")

    def owner_of(self, key):
        return "h1"

    def subscribe(self, callback):
        pass


class UnreachablePeers(Peers):
    """Reach no other daemon."""

    def send(self, host, msg):
        return False

    def subscribe(self, cls, callback):
        pass


def new_claims(store, name, seed=0):
    timers = store.timers if isinstance(store, FaultyStore) else store._fleet.timers
    rng = random.Random(f"{name}{seed}")
    return create_claims(store, FixedMembers(name), UnreachablePeers(), timers, rng, "t")


@pytest.fixture
def store():
    return FaultyStore(VirtualTimers())


@pytest.fixture
def hosts(store):
    return [new_claims(store, name) for name in ("h1", "h2")]


def submit_claim(claims, key="k"):
    return claims.claim("cantiere", "redeem", key, TTL_S)


def expect_rejection(store, claims, key="k"):
    """Return the kind of error with which a claim is rejected."""
    with pytest.raises(RequestError) as caught:
        settle(store.timers, submit_claim(claims, key))
    return caught.value.kind


def test_one_host_gets_the_key_and_the_other_sees_its_outcome(store, hosts):
    first, second = hosts
    both = [submit_claim(first), submit_claim(second)]
    claim = settle(store.timers, both[0])
    with pytest.raises(RequestError) as caught:
        settle(store.timers, both[1])
    assert caught.value.kind is KINDS.KEY_IN_USE
    assert first.is_valid(claim)
    assert expect_rejection(store, first) is KINDS.KEY_IN_USE
    first.finish(claim)
    store.timers.advance(3.0)
    assert expect_rejection(store, second) is KINDS.KEY_ALREADY_RUN
    assert expect_rejection(store, first) is KINDS.KEY_ALREADY_RUN
    assert settle(store.timers, submit_claim(second, "other")) is not None


def test_the_key_of_a_crashed_host_stays_claimed_with_unknown_outcome(store, hosts):
    settle(store.timers, submit_claim(hosts[0]))
    again = new_claims(store, "h1", seed=1)
    for claims in (hosts[1], again):
        kind = expect_rejection(store, claims)
        assert kind is KINDS.KEY_IN_USE
        assert ERROR_RESPONSES[kind].not_run is NotRun.UNKNOWN


def test_a_key_released_before_dispatch_is_free_on_every_host(store, hosts):
    first, second = hosts
    claim = settle(store.timers, submit_claim(first))
    first.release(claim)
    store.timers.advance(1.0)
    assert not first.is_valid(claim)
    assert second.is_valid(settle(store.timers, submit_claim(second)))
    assert expect_rejection(store, first) is KINDS.KEY_IN_USE


@pytest.mark.parametrize("fault", ["drop_answers", "late_writes"])
def test_a_lost_response_is_resolved_by_reading_the_claim(store, hosts, fault):
    settle(store.timers, submit_claim(hosts[0], "first"))
    setattr(store, fault, 1)
    claim = settle(store.timers, submit_claim(hosts[0]))
    store.timers.advance(5.0)
    assert hosts[0].is_valid(claim)
    assert expect_rejection(store, hosts[1]) is KINDS.KEY_IN_USE


def test_a_delayed_write_does_not_give_the_key_to_two_hosts(store, hosts):
    for claims in hosts:
        settle(store.timers, submit_claim(claims, repr(claims)))
    store.late_writes = 1
    both = [submit_claim(claims) for claims in hosts]
    store.timers.advance(5.0)
    assert sorted(fut._exc is None for fut in both) == [False, True]


def test_a_claim_reported_as_not_run_frees_its_key(store, hosts):
    first, second = hosts
    settle(store.timers, submit_claim(first, "first"))
    store.late_writes = 1
    store.before_commit.append(lambda: setattr(store, "away", True))
    assert expect_rejection(store, first) is KINDS.STORE_UNAVAILABLE
    store.away = False
    store.timers.advance(5.0)
    assert second.is_valid(settle(store.timers, submit_claim(second)))


def test_an_unavailable_store_gives_a_retryable_not_run_error(store, hosts):
    store.away = True
    with pytest.raises(RequestError) as caught:
        settle(store.timers, submit_claim(hosts[0]))
    assert caught.value.kind is KINDS.STORE_UNAVAILABLE
    assert caught.value.retry_after_s > 0
    store.away = False
    assert settle(store.timers, submit_claim(hosts[0])) is not None


def test_a_claim_that_may_have_expired_allows_no_dispatch(store, hosts):
    claim = settle(store.timers, submit_claim(hosts[0]))
    store.timers.advance(TTL_S + LEASE_REUSE_PERIOD_S - LEASE_SAFETY_MARGIN_S - 1)
    assert hosts[0].is_valid(claim)
    assert expect_rejection(store, hosts[1]) is KINDS.KEY_IN_USE
    store.timers.advance(2)
    assert not hosts[0].is_valid(claim)


def test_claims_share_leases_and_transactions(store, hosts):
    taken = settle(store.timers, submit_claim(hosts[1], "k50"))
    store.calls.clear()
    claims = new_claims(DelayedStore(store, Fleet(store, store.timers, 1)), "h3")
    waiting = [submit_claim(claims, f"k{index}") for index in range(100)]
    store.timers.advance(1.0)
    kinds = [fut._exc.kind for fut in waiting if fut._exc is not None]
    assert kinds == [KINDS.KEY_IN_USE]
    assert store.calls["lease_grant"] == 1
    assert store.calls["txn"] <= 3 + 2 * 7
    store.calls.clear()
    assert expect_rejection(store, claims, "k1") is KINDS.KEY_IN_USE
    assert sum(store.calls.values()) == 0
    assert hosts[1].is_valid(taken)


def test_queued_claims_are_batched_in_few_transactions(store):
    claims = new_claims(DelayedStore(store, Fleet(store, store.timers, 1)), "h3")
    waiting = [submit_claim(claims, f"k{index}") for index in range(100)]
    store.timers.advance(1.0)
    assert all(claims.is_valid(fut.result()) for fut in waiting)
    assert store.calls == {"lease_grant": 1, "txn": 3}
    settle(store.timers, submit_claim(claims, "later"))
    assert store.calls["lease_grant"] == 1
    store.timers.advance(LEASE_REUSE_PERIOD_S)
    settle(store.timers, submit_claim(claims, "latest"))
    assert store.calls["lease_grant"] == 2


def test_claims_lost_by_a_store_restore_are_rewritten(store, hosts):
    first, second = hosts
    settle(store.timers, submit_claim(first, "before"))
    settle(store.timers, submit_claim(second, "seen"))
    old, revision = store.snapshot(), store.inner.revision
    for index in range(9):
        settle(store.timers, submit_claim(first, f"k{index}"))
    store.restore(old, revision)
    settle(store.timers, submit_claim(first, "after"))
    store.timers.advance(1.0)
    for index in range(9):
        assert expect_rejection(store, second, f"k{index}") is KINDS.KEY_IN_USE


def test_a_malformed_stored_claim_is_reported_as_store_unavailable(store, hosts):
    name = "t/claims/" + digest_key("cantiere", "redeem", "k")
    settle(store.timers, submit_claim(hosts[0]))
    item = store.inner._items[name]
    store.inner._items[name] = type(item)(name, b"[]", item.mod_revision)
    assert expect_rejection(store, hosts[1]) is KINDS.STORE_UNAVAILABLE


class ClaimMachine(RuleBasedStateMachine):
    """Claim two keys on two hosts under faults, and count the dispatches of each key."""

    @initialize(seed=st.integers(0, 99))
    def start(self, seed):
        self.store = FaultyStore(VirtualTimers())
        self.generation = seed * 1_000
        self.fleet = Fleet(self.store, self.store.timers, seed)
        self.hosts = [self._start_host(index) for index in range(2)]
        self.held = []
        self.runs = {}
        self.finished = set()

    def _start_host(self, index):
        self.generation += 1
        return new_claims(DelayedStore(self.store, self.fleet), f"h{index}", self.generation)

    @rule(index=st.integers(0, 1), key=st.sampled_from("ab"))
    def claim(self, index, key):
        claims = self.hosts[index]
        fut = submit_claim(claims, key)
        fut.add_callback(lambda done: self._on_claim_done(claims, key, done))

    def _on_claim_done(self, claims, key, done):
        if done._exc is None:
            self.held.append((claims, key, done.result()))
            return
        assert isinstance(done._exc, RequestError)
        if done._exc.kind is KINDS.KEY_ALREADY_RUN:
            assert key in self.finished

    @rule(key=st.sampled_from("ab"), late=st.integers(0, 2), lost=st.integers(0, 2))
    def race(self, key, late, lost):
        """Claim one key on both hosts while responses are lost, and dispatch each valid claim."""
        self.store.late_writes, self.store.drop_answers = late, lost
        for index in range(2):
            self.claim(index, key)
        self.store.timers.advance(0.2)
        while self.held:
            self.dispatch(0, False)

    @rule(pick=st.integers(0, 9), ends=st.booleans())
    def dispatch(self, pick, ends):
        if not self.held:
            return
        claims, key, claim = self.held.pop(pick % len(self.held))
        if claims not in self.hosts or not claims.is_valid(claim):
            return
        self.runs[key] = self.runs.get(key, 0) + 1
        if ends:
            self.finished.add(key)
            claims.finish(claim)

    @rule(pick=st.integers(0, 9))
    def release(self, pick):
        if self.held:
            claims, _, claim = self.held.pop(pick % len(self.held))
            claims.release(claim)

    @rule(index=st.integers(0, 1))
    def kill(self, index):
        """Replace a host by a restarted one without state."""
        dead = self.hosts[index]
        self.held = [entry for entry in self.held if entry[0] is not dead]
        dead._store.away = True
        self.hosts[index] = self._start_host(index)

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0, 5.0]))
    def wait(self, seconds):
        self.store.timers.advance(seconds)

    @rule(fault=st.sampled_from(["drop_answers", "late_writes"]), count=st.integers(1, 3))
    def lose_answers(self, fault, count):
        setattr(self.store, fault, count)

    @rule(away=st.booleans())
    def store_away(self, away):
        self.store.away = away

    @rule()
    def go_away_at_the_next_write(self):
        self.store.before_commit.append(lambda: setattr(self.store, "away", True))

    @invariant()
    def no_key_is_dispatched_twice(self):
        assert all(count == 1 for count in getattr(self, "runs", {}).values())

    def teardown(self):
        if not hasattr(self, "store"):
            return
        self.store.away = False
        self.store.drop_answers = self.store.late_writes = 0
        self.store.before_commit.clear()
        self.store.timers.advance(10.0)
        self.no_key_is_dispatched_twice()


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
