"""Test that accepted changes come into force on every daemon, and that numbers never decrease."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bench.catalogue_fleets import Fleet
from bench.virtual_clocks import VirtualTimers
from tarragonwind.catalogue_replicators import broadcast_children
from tarragonwind.catalogue_watchers import STORE_WATCHER_COUNT
from tarragonwind.futures import spawn
from tests.catalogue_samples import organisation, pool
from tests.store_fakes import FaultyStore, settle

NORMAL_LIMIT_S = 1.0
FAULTY_LIMIT_S = 4.0


@pytest.fixture
def store():
    return FaultyStore(VirtualTimers())


@pytest.fixture
def fleet(store):
    fleet = Fleet(store, store.timers, 1)
    fleet.add_hosts(12)
    settle(store.timers, fleet.hosts["host-000"].service.writer.put(pool(), "ana"))
    assert fleet.propagation_time(1, 10.0) < 10.0
    store.timers.advance(3.0)
    return fleet


def watchers(fleet):
    return [host for host in fleet.hosts.values() if host.service.watcher.watches]


def put(fleet, host, name):
    """Write an organisation via a daemon; return its number and the time until all have it."""
    fut = fleet.hosts[host].service.writer.put(organisation(name), "ana")
    started_at = fleet.timers.now()
    changes = settle(fleet.timers, fut)
    fleet.propagation_time(changes[-1].number, 30.0)
    return changes[-1].number, fleet.timers.now() - started_at


def test_a_change_is_in_force_everywhere_within_a_second(fleet, store):
    store.calls.clear()
    _, took_s = put(fleet, "host-003", "a")
    assert took_s < NORMAL_LIMIT_S
    assert len(watchers(fleet)) == STORE_WATCHER_COUNT


def test_a_daemon_catches_up_with_the_store_when_it_is_asked_to(fleet, store):
    behind = fleet.hosts["host-005"]
    behind.service.watcher.stop()
    fleet.partitioned_hosts.add(behind.name)
    before = behind.number
    writer = fleet.hosts["host-000"].service.writer
    changes = settle(store.timers, writer.put(organisation("a"), "ana"))
    assert behind.number == before < changes[-1].number
    settle(store.timers, spawn(behind.service.watcher.catch_up()), 0.2)
    assert behind.number == changes[-1].number


def test_the_broadcast_tree_reaches_each_daemon_once():
    live = tuple(f"h{index:03}" for index in range(320))
    for origin in (live[0], live[123], live[-1]):
        reached = [child for host in live for child in broadcast_children(live, origin, host)]
        assert sorted([*reached, origin]) == list(live)
        assert max(len(broadcast_children(live, origin, host)) for host in live) == 8


def test_store_watchers_broadcast_a_write_whose_host_died(fleet, store):
    outsider = Fleet(store, store.timers, 2)
    outsider.add_hosts(1)
    store.timers.advance(1.0)
    took_s = []
    for index in range(10):
        fut = outsider.hosts["host-000"].service.writer.put(organisation(f"o{index}"), "b")
        took_s.append(fleet.propagation_time(settle(store.timers, fut)[0].number, 30.0))
    assert max(took_s) < NORMAL_LIMIT_S / 4


@pytest.mark.parametrize("fault", ["cut_watches", "freeze_watches"])
def test_changes_arrive_in_time_despite_a_cut_or_silent_watch(fleet, store, fault):
    outsider = Fleet(store, store.timers, 2)
    outsider.add_hosts(1)
    store.timers.advance(1.0)
    getattr(store, fault)()
    settle(store.timers, outsider.hosts["host-000"].service.writer.put(organisation("a"), "b"))
    outsider.remove_host("host-000")
    assert fleet.propagation_time(2, 30.0) < FAULTY_LIMIT_S


def test_changes_arrive_in_time_while_store_watchers_cannot_reach_the_store(fleet, store):
    for host in watchers(fleet):
        host.store.away = True
    outsider = Fleet(store, store.timers, 2)
    outsider.add_hosts(1)
    settle(store.timers, outsider.hosts["host-000"].service.writer.put(organisation("a"), "b"))
    outsider.remove_host("host-000")
    assert fleet.propagation_time(2, 30.0) < FAULTY_LIMIT_S


def test_daemons_started_together_poll_at_different_times(store):
    fleet = Fleet(store, store.timers, 1)
    fleet.add_hosts(80)
    outsider = Fleet(store, store.timers, 2)
    outsider.add_hosts(1)
    store.timers.advance(5.0)
    for host in watchers(fleet):
        host.store.away = True
    for index in range(5):
        writer = outsider.hosts["host-000"].service.writer
        settle(store.timers, writer.put(organisation(f"o{index}"), "b"))
        assert fleet.propagation_time(index + 1, 30.0) < FAULTY_LIMIT_S


def test_changes_arrive_in_time_despite_lost_messages(fleet):
    fleet.loss = 0.4
    worst_s = max(put(fleet, f"host-{index:03}", f"o{index}")[1] for index in range(12))
    assert worst_s < FAULTY_LIMIT_S


def test_a_daemon_cut_off_from_its_peers_follows_the_store(fleet):
    fleet.partitioned_hosts.add("host-007")
    number, _ = put(fleet, "host-003", "a")
    assert fleet.hosts["host-007"].number == number


def test_a_daemon_started_without_the_store_loads_a_snapshot_from_peers(fleet, store):
    entries = [organisation(f"org-{index}") for index in range(600)]
    settle(store.timers, fleet.hosts["host-000"].service.writer.put_all(entries, "ana"))
    store.away = True
    (added,) = fleet.add_hosts(1)
    settle(store.timers, added.service.watcher.loaded)
    assert added.number == 601
    assert (
        added.service.state.in_force.digest == fleet.hosts["host-000"].service.state.in_force.digest
    )
    assert fleet.sent_messages["CataloguePart"] > 1


def test_a_daemon_started_with_an_old_store_never_has_the_old_catalogue_in_force(fleet, store):
    old = store.snapshot()
    number, _ = put(fleet, "host-003", "a")
    for host in fleet.hosts.values():
        host.store.away = True
    store.restore(old)
    fleet.peer_latency_s = 0.3
    (added,) = fleet.add_hosts(1)
    seen = []
    added.service.state.subscribe(lambda catalogue: seen.append(catalogue.number))
    settle(store.timers, added.service.watcher.loaded)
    assert seen == [number]


def test_an_old_store_is_healed_and_the_writes_it_accepted_are_kept(fleet, store):
    old = store.snapshot()
    number, _ = put(fleet, "host-003", "a")
    outsider = Fleet(store, store.timers, 2)
    store.restore(old)
    outsider.add_hosts(1)
    settle(store.timers, outsider.hosts["host-000"].service.writer.put(organisation("b"), "b"))
    assert fleet.propagation_time(number + 1, 30.0) < 10.0
    assert outsider.propagation_time(number + 1, 30.0) < 10.0
    digests = set()
    for host in [*fleet.hosts.values(), *outsider.hosts.values()]:
        in_force = host.service.state.in_force
        assert {"organisation/a", "organisation/b"} <= set(in_force.records)
        digests.add(in_force.digest)
    assert len(digests) == 1


def test_operators_see_the_number_in_force_on_each_host(fleet):
    replicator = fleet.hosts["host-003"].service.replicator
    assert settle(fleet.timers, replicator.wait_in_force(1, 4.0)) == []
    fleet.partitioned_hosts.add("host-007")
    fleet.hosts["host-007"].store.away = True
    number = settle(fleet.timers, fleet.hosts["host-003"].service.writer.put(pool("b"), "a"))[0]
    late = settle(fleet.timers, replicator.wait_in_force(number.number, 4.0))
    assert [(item.host, item.number) for item in late] == [("host-007", 1)]
    fleet.partitioned_hosts.clear()
    assert settle(fleet.timers, replicator.wait_in_force(number.number, 4.0)) == []


def test_a_head_read_overtaken_by_a_write_is_not_taken_for_an_old_store(fleet, store):
    slow = fleet.hosts["host-005"]
    slow.store.latency_s = 0.4
    behind = []
    slow.service.writer.on_store_behind = lambda: behind.append(True)
    late = slow.service.writer.put(organisation("late"), "ana")
    store.timers.advance(0.25)
    number, _ = put(fleet, "host-003", "a")
    assert settle(store.timers, late)[-1].number == number + 1
    assert behind == []


def test_an_idle_fleet_stays_within_its_traffic_budget(fleet, store):
    fleet.sent_bytes.clear()
    store.calls.clear()
    fleet.timers.advance(60.0)
    assert max(fleet.sent_bytes.values()) / 60.0 < 300
    assert sum(store.calls.values()) / 60.0 < 6.0


class FleetMachine(RuleBasedStateMachine):
    """Inject faults into a small fleet; numbers never decrease, and all hosts converge."""

    @initialize(seed=st.integers(0, 50))
    def start(self, seed):
        self.store = FaultyStore(VirtualTimers())
        self.fleet = Fleet(self.store, self.store.timers, seed)
        self.fleet.max_latency_factor = 200.0
        self.fleet.add_hosts(4)
        self.accepted = {}
        self.written = 0
        self.floors = {}
        self.store.timers.advance(1.0)

    def _host(self, index):
        return self.fleet.hosts[self.fleet.live[index % len(self.fleet.live)]]

    @rule(index=st.integers(0, 9))
    def put(self, index):
        self.written += 1
        name = f"o{self.written}"
        fut = self._host(index).service.writer.put(organisation(name), "ana")
        fut.add_callback(lambda done: self._record_accepted(name, done))

    def _record_accepted(self, name, done):
        if done._exc is None:
            self.accepted[name] = done.result()[0].write_id

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.5, 3.0]))
    def wait(self, seconds):
        self.fleet.timers.advance(seconds)

    @rule(loss=st.sampled_from([0.0, 0.3, 0.9]))
    def lose(self, loss):
        self.fleet.loss = loss

    @rule(away=st.booleans())
    def store_away(self, away):
        self.store.away = away

    @rule(fault=st.sampled_from(["drop_answers", "late_writes"]))
    def lose_answer(self, fault):
        setattr(self.store, fault, 1)

    @rule(fault=st.sampled_from(["cut_watches", "freeze_watches"]))
    def break_watches(self, fault):
        getattr(self.store, fault)()

    @precondition(lambda self: hasattr(self, "fleet") and len(self.fleet.hosts) < 7)
    @rule()
    def add_host(self):
        self.fleet.add_hosts(1)

    @rule(away=st.booleans())
    def come_back_old(self, away):
        """Restore an older copy of the store, which loses a write that is in force."""
        self.store.away = False
        self.fleet.loss = 0.0
        self.fleet.timers.advance(10.0)
        old = self.store.snapshot()
        self.put(0)
        self.fleet.timers.advance(10.0)
        assert len(self.fleet.numbers()) == 1
        self.store.away = away
        self.store.restore(old)

    @invariant()
    def no_number_falls(self):
        for name, host in self.fleet.hosts.items() if hasattr(self, "fleet") else ():
            assert host.number >= self.floors.get(name, 0)
            self.floors[name] = host.number

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.store.away = False
        self.fleet.loss = 0.0
        self.fleet.timers.advance(40.0)
        host = self._host(0)
        number = settle(self.fleet.timers, host.service.writer.put(organisation("z"), "ana"))
        self.fleet.propagation_time(number[-1].number, FAULTY_LIMIT_S)
        digests = {host.service.state.in_force.digest for host in self.fleet.hosts.values()}
        assert len(digests) == 1
        in_force = next(iter(self.fleet.hosts.values())).service.state.in_force
        missing = [name for name in self.accepted if f"organisation/{name}" not in in_force.records]
        assert missing == []


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=25, deadline=None
)
