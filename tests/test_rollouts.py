"""Test rollouts that an operator orders: who serves, what is published, and what ends them."""

import dataclasses
import json
import random
from collections import Counter

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.adapters.memory_stores import MemoryStore
from tarragonwind.core.entries import UpstreamEntry, UpstreamState
from tarragonwind.core.evidence import Side
from tarragonwind.core.move_trials import Outcome
from tarragonwind.core.permit_messages import Outcome as PermitOutcome
from tarragonwind.core.pool_usages import UnknownUsage
from tarragonwind.core.rollouts import RolloutRecord, pack_record, unpack_record
from tarragonwind.futures import Future
from tarragonwind.platform import rollouts as platform_rollouts
from tarragonwind.platform.fields import DecodeError
from tarragonwind.platform_daemons import ROLLOUT_CODEC
from tarragonwind.ports import Delete, Put
from tarragonwind.rollouts import RolloutRunner
from tarragonwind.schedulers import trial_outcome
from tarragonwind.store_mirrors import StoreMirror
from tests.test_schedulers import LoopbackPeers, OneMember

POOL = "drafting"
DURATION_S = 20.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
"""Requests that a bad version may get, as a share of all and beside it."""
ANSWER_S = 0.2
SLOWDOWN = 6.0
LONG_S = 7.0
LONG_SHARE = 0.4
LONG_LIMIT_S = 10.0


class RolloutSite:
    """Run the rollouts of one host under a steady load, over a store in memory."""

    def __init__(self, **versions):
        self.timers = VirtualTimers()
        self.rng = random.Random(3)
        self.store = self.create_store()
        self.upstreams = ()
        self.set_upstreams(**versions)
        self.sent = []
        self.start_host()

    def create_store(self):
        """Return an empty store."""
        return MemoryStore(self.timers, lambda kind: None)

    def start_host(self):
        """Start the host, or start it again without memory."""
        mirror = StoreMirror("", self.store, self.timers, self.rng)
        self.runner = RolloutRunner(
            mirror,
            ROLLOUT_CODEC,
            self.store,
            OneMember(),
            LoopbackPeers(self.timers),
            self.timers,
            self.rng,
            lambda pool: self.upstreams,
        )
        mirror.start()
        self.timers.advance(0.5)

    def set_upstreams(self, **counts):
        self.upstreams = tuple(
            UpstreamEntry(
                name=f"{version}-{number}",
                owner="o",
                pool=POOL,
                version=version,
                host="10.0.0.1",
                port=80,
                data_centre="a",
                slots=4,
                tokens_per_s=100.0,
                state=UpstreamState.LIVE,
            )
            for version, count in counts.items()
            for number in range(count)
        )

    def order(self, target, duration_s=DURATION_S):
        doc = {"service": POOL, "target": target, "durationS": duration_s}
        self.store.commit([], [Put(f"op/rollout/{POOL}", json.dumps(doc).encode())])
        self.timers.advance(0.05)

    def status(self):
        fut = self.store.get(f"status/rollout/{POOL}")
        self.timers.advance(0.01)
        item = fut.result()
        return None if item is None else json.loads(item.value)

    def load(self, seconds, rate=40.0, bad=None, slow=None):
        """Serve requests; a part of the answers of a version fails or is slow."""
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            self.serve(bad=bad, slow=slow)
            self.timers.advance(1.0 / rate)

    def serve(self, **faults):
        """Serve one request."""
        version = self.runner.choose_version(self.timers.now(), self.rng, POOL, "trade")
        self.serve_version(version, **faults)

    def serve_version(self, version, bad=None, slow=None):
        """Serve one request by a version, two fifths of whose answers fail or are slow."""
        runner = self.runner
        spoiled = self.rng.random() < 0.4
        answer_s = ANSWER_S * self.rng.uniform(0.5, 1.5)
        if spoiled and version == slow:
            answer_s *= SLOWDOWN
        self.sent.append((self.timers.now(), version))
        trial = runner.start(POOL, "trade", version or "v1", 0.3)
        if trial is None:
            return
        outcome = Outcome.FAILED if spoiled and version == bad else Outcome.OK
        self.timers.call_later(answer_s / 2, lambda: runner.first_byte(trial))
        self.timers.call_later(answer_s, lambda: runner.finish(trial, outcome, 10))

    def share(self, version, since=0.0):
        """Return the fraction of the requests since a time that a version got."""
        versions = [each for at, each in self.sent if at >= since]
        return versions.count(version) / max(1, len(versions))


class FleetMember(OneMember):
    """Membership of one of several hosts that are all live; the first one owns every pool."""

    def __init__(self, name, names):
        self.name = name
        self.names = names

    def live(self):
        return self.names

    def owner_of(self, key):
        return self.names[0] if "deputy" not in key else self.names[1]


class FleetPeers(LoopbackPeers):
    """Deliver messages to the other hosts of a fleet in the next timer run."""

    def __init__(self, timers, name, fleet):
        super().__init__(timers)
        self.name = name
        self.fleet = fleet

    def send(self, host, msg):
        receiver = self.fleet[host]
        self.timers.call_later(0.001, lambda: receiver.receive(self.name, msg))
        return True


class RolloutFleetSite(RolloutSite):
    """Run the rollouts of several hosts, each of which serves a part of a low load."""

    names = tuple(f"entry-{number}" for number in range(1, 7))

    def start_host(self):
        self.runners = []
        peers = {}
        for name in self.names:
            peers[name] = FleetPeers(self.timers, name, peers)
        for name in self.names:
            mirror = StoreMirror("", self.store, self.timers, self.rng)
            runner = RolloutRunner(
                mirror,
                ROLLOUT_CODEC,
                self.store,
                FleetMember(name, self.names),
                peers[name],
                self.timers,
                self.rng,
                lambda pool: self.upstreams,
            )
            mirror.start()
            self.runners.append(runner)
        self.timers.advance(0.5)

    def serve(self, **faults):
        """Serve one request on a random host; the owner of the pool chooses its version."""
        owner = self.runners[0]
        self.runner = self.rng.choice(self.runners)
        version = owner.choose_version(self.timers.now(), self.rng, POOL, "trade") or "v1"
        self.serve_version(version, **faults)


class BusyFleetSite(RolloutFleetSite):
    """Run rollouts where answers of the old version fail or are slow too, beside other faults."""

    usual_share = 0.15
    late_s = 5.0
    limit = 50

    def __init__(self, **versions):
        super().__init__(**versions)
        self.spoiled_at = []

    def is_spoiled(self, version, faulty):
        spoiled = self.rng.random() < (0.5 if version == faulty else self.usual_share)
        if spoiled and version == faulty:
            self.spoiled_at.append(self.timers.now())
        return spoiled

    def serve_version(self, version, bad=None, slow=None):
        """Serve one request; half of the answers of a faulty version are spoiled."""
        runner = self.runner
        spoiled = self.is_spoiled(version, bad or slow)
        answer_s = ANSWER_S * self.rng.uniform(0.5, 1.5) * (SLOWDOWN if spoiled and slow else 1.0)
        self.sent.append((self.timers.now(), version))
        trial = runner.start(POOL, "trade", version, 0.3)
        if trial is not None:
            outcome = Outcome.FAILED if spoiled and bad else Outcome.OK
            self.timers.call_later(answer_s / 2, lambda: runner.first_byte(trial))
            self.timers.call_later(answer_s, lambda: runner.finish(trial, outcome, 10))

    def count_late(self, version):
        """Return the requests to a version long after its answers were known to be bad."""
        if len(self.spoiled_at) < self.limit:
            return 0
        known_at = self.spoiled_at[self.limit - 1] + self.late_s
        return sum(at > known_at for at, each in self.sent if each == version)


class CutFleetSite(RolloutFleetSite):
    """Run rollouts beside hosts that are cut off from all upstreams from time to time."""

    cut_s = 6.0
    period_s = 9.0
    deadline_s = 1.0

    def serve(self, **faults):
        is_cut_time = self.timers.now() % self.period_s < self.cut_s
        owner = self.runners[0]
        number = self.rng.randrange(len(self.runners))
        version = owner.choose_version(self.timers.now(), self.rng, POOL, "trade") or "v1"
        self.runner = self.runners[number]
        if is_cut_time and number in self.cut_hosts:
            self.serve_nothing(version)
        else:
            self.serve_version(version, **faults)

    def serve_nothing(self, version):
        """Send a request that gets no answer by its deadline."""
        runner = self.runner
        self.sent.append((self.timers.now(), version))
        trial = runner.start(POOL, "trade", version, 0.3)
        if trial is not None:
            outcome = trial_outcome(PermitOutcome.TIMED_OUT, is_complete=False)
            self.timers.call_later(self.deadline_s, lambda: runner.finish(trial, outcome, 0))


class HeldVersions(UnknownUsage):
    """Count the requests of one host by version."""

    def __init__(self):
        self.counts = Counter()

    def held(self, pool):
        return self.counts

    def time_limit_s(self, pool):
        return LONG_LIMIT_S


class LongStreamSite(RolloutFleetSite):
    """Run rollouts where many answers are long streams, whose failures show at their end."""

    def start_host(self):
        super().start_host()
        self.usages = {runner: HeldVersions() for runner in self.runners}
        for runner, usage in self.usages.items():
            runner.set_usage(usage)

    def serve_version(self, version, bad=None, slow=None):
        runner = self.runner
        spoiled = self.rng.random() < 0.4
        first_byte_s = ANSWER_S * self.rng.uniform(0.25, 0.75)
        if spoiled and version == slow:
            first_byte_s *= SLOWDOWN
        answer_s = first_byte_s + (LONG_S if self.rng.random() < LONG_SHARE else ANSWER_S)
        self.sent.append((self.timers.now(), version))
        counts = self.usages[runner].counts
        counts[version] += 1
        trial = runner.start(POOL, "trade", version, 0.3)
        outcome = Outcome.FAILED if spoiled and version == bad else Outcome.OK
        self.timers.call_later(first_byte_s, lambda: trial and runner.first_byte(trial))
        self.timers.call_later(answer_s, lambda: self.end(runner, version, trial, outcome))

    def end(self, runner, version, trial, outcome):
        self.usages[runner].counts[version] -= 1
        if trial is not None:
            runner.finish(trial, outcome, 10)

    def count_held(self, version):
        return sum(usage.counts[version] for usage in self.usages.values())


@pytest.mark.parametrize("fault", ["bad", "slow"])
@pytest.mark.parametrize("rate", [10.0, 40.0])
def test_a_bad_version_gets_few_requests_beside_long_streams(fault, rate):
    """The steps come earlier by the time that streams of the old version take to end."""
    for seed in range(1, 6):
        site = LongStreamSite(v1=8, v2=8)
        site.rng.seed(seed)
        site.load(12.0, rate=rate, **{fault: "v2"})
        before = len(site.sent)
        site.order("v2")
        site.load(DURATION_S, rate=rate, **{fault: "v2"})
        sent = len(site.sent) - before
        exposed = sum(version == "v2" for _, version in site.sent)
        assert exposed <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK


def test_a_good_version_completes_in_time_beside_long_streams_and_cuts_none():
    for seed in range(1, 6):
        site = LongStreamSite(v1=8, v2=8)
        site.rng.seed(seed)
        site.load(12.0)
        site.order("v2")
        end = site.timers.now() + DURATION_S
        while site.timers.now() < end and site.status()["state"] != "completed":
            site.load(0.1)
        assert site.status() == {"state": "completed", "target": "v2"}
        assert site.count_held("v1") == 0


def test_without_an_order_any_version_serves():
    site = RolloutSite(v1=3, v2=1)
    site.load(1.0)
    assert site.share("") == 1.0
    assert site.status() is None


def test_a_good_version_gets_all_requests_and_completes_in_time():
    site = RolloutSite(v1=4, v2=4)
    site.order("v2")
    site.load(1.0)
    assert site.status() == {"state": "running", "target": "v2"}
    site.load(DURATION_S - 2.0)
    assert site.status() == {"state": "completed", "target": "v2"}
    since = site.timers.now()
    site.load(1.0)
    assert site.share("v2", since) == 1.0


@pytest.mark.parametrize("fault", ["bad", "slow"])
def test_a_bad_version_is_rolled_back_before_it_gets_a_tenth(fault):
    site = RolloutSite(v1=4, v2=4)
    site.order("v2")
    site.load(DURATION_S, **{fault: "v2"})
    assert site.status() == {"state": "rolled_back", "target": "v2"}
    assert site.share("v2") <= 0.1
    since = site.timers.now()
    site.load(3.0)
    assert site.share("v1", since) == 1.0
    assert site.runner.is_withheld(POOL, "v2")


@pytest.mark.parametrize("fault", ["bad", "slow"])
@pytest.mark.parametrize("rate", [8.0, 20.0])
def test_a_bad_version_gets_few_requests_of_a_small_load_on_several_hosts(fault, rate):
    for seed in range(1, 6):
        site = RolloutFleetSite(v1=4, v2=4)
        site.rng.seed(seed)
        site.order("v2")
        site.load(DURATION_S, rate=rate, **{fault: "v2"})
        sent = len(site.sent)
        assert site.share("v2") * sent <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK


@pytest.mark.parametrize("cut_hosts", [(0, 1, 2), (3, 4, 5), (1, 2, 3, 4, 5)])
@pytest.mark.parametrize("fault", ["bad", "slow"])
def test_requests_without_an_answer_at_cut_off_hosts_hide_no_bad_version(fault, cut_hosts):
    for seed in range(1, 6):
        site = CutFleetSite(v1=4, v2=4)
        site.cut_hosts = cut_hosts
        site.rng.seed(seed)
        site.order("v2", 30.0)
        site.load(30.0, rate=20.0, **{fault: "v2"})
        sent = len(site.sent)
        assert site.share("v2") * sent <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK


@pytest.mark.parametrize("rate", [15.0, 40.0])
@pytest.mark.parametrize("fault", ["bad", "slow"])
def test_a_version_in_doubt_gets_few_requests_while_the_old_one_has_troubles_too(fault, rate):
    for seed in range(1, 11):
        site = BusyFleetSite(v1=4, v2=4)
        site.rng.seed(seed)
        site.load(4.0, rate=rate, **{fault: "v2"})
        site.order("v2", 32.0)
        site.load(32.0, rate=rate, **{fault: "v2"})
        sent = sum(at >= 4.0 for at, _ in site.sent)
        exposed = sum(version == "v2" for _, version in site.sent)
        assert exposed <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK
        assert site.count_late("v2") == 0


@pytest.mark.parametrize("rate", [20.0, 60.0])
def test_a_good_version_completes_in_time_on_several_hosts(rate):
    for seed in range(1, 6):
        site = RolloutFleetSite(v1=4, v2=4)
        site.rng.seed(seed)
        site.order("v2")
        site.load(DURATION_S, rate=rate)
        assert site.status() == {"state": "completed", "target": "v2"}


def test_a_version_that_is_not_shown_to_be_good_in_time_is_rolled_back_in_time():
    site = RolloutSite(v1=4)
    site.order("v2")
    site.load(DURATION_S - 0.1, rate=10.0)
    assert site.status() == {"state": "rolled_back", "target": "v2"}
    (move,) = site.runner.moves.table.statuses(site.timers.wall())
    assert "too little traffic" in move.why
    assert site.share("v1") == 1.0


def count_judged_times(site):
    """Return the requests of the new version whose time to first byte was judged."""
    (move,) = site.runner.moves.table.active_moves()
    cells = move.judge.evidence.totals
    return sum(cell.first_byte_trials for key, cell in cells.items() if key.side is Side.NEW)


def test_the_first_times_of_a_version_are_compared_with_those_from_before_the_order():
    site = RolloutSite(v1=4, v2=4)
    site.load(10.0, rate=5.0)
    site.order("v2")
    site.load(1.9, rate=5.0)
    sent = sum(version == "v2" for _, version in site.sent)
    assert sent > 0
    assert count_judged_times(site) == sent


def test_a_version_gets_nothing_before_the_start_is_recorded():
    site = RolloutSite(v1=4, v2=4)
    site.runner._members.owner_of = lambda key: "entry-2"
    site.order("v2")
    site.load(3.0)
    assert site.share("v1") == 1.0
    assert site.runner.is_withheld(POOL, "v2")
    assert site.status() is None


def test_the_old_version_serves_all_while_the_new_one_has_no_upstreams():
    site = RolloutSite(v1=4)
    site.order("v2")
    site.load(3.0)
    assert site.share("v1") == 1.0
    assert site.status() == {"state": "running", "target": "v2"}


@pytest.mark.parametrize("fault", ["bad", None])
def test_a_result_stands_after_a_restart(fault):
    site = RolloutSite(v1=4, v2=4)
    site.order("v2")
    site.load(DURATION_S, bad="v2" if fault else None)
    site.start_host()
    since = site.timers.now()
    site.load(3.0)
    assert site.share("v1" if fault else "v2", since) == 1.0
    assert site.status()["state"] == ("rolled_back" if fault else "completed")


def test_a_new_order_after_a_rollback_is_carried_out():
    site = RolloutSite(v1=4, v2=4)
    site.order("v2")
    site.load(DURATION_S, bad="v2")
    site.set_upstreams(v1=4, v3=4)
    site.order("v3")
    site.load(DURATION_S)
    assert site.status() == {"state": "completed", "target": "v3"}


def test_the_same_version_may_be_ordered_again():
    site = RolloutSite(v1=4, v2=4)
    site.order("v2")
    site.load(DURATION_S, bad="v2")
    site.order("v2")
    site.load(1.0)
    assert site.status() == {"state": "running", "target": "v2"}
    site.load(DURATION_S - 2.0)
    assert site.status() == {"state": "completed", "target": "v2"}


def test_an_order_that_is_taken_back_is_rolled_back():
    site = RolloutSite(v1=4, v2=4)
    site.order("v2")
    site.load(2.0)
    site.store.commit([], [Delete(f"op/rollout/{POOL}")])
    site.load(3.0)
    since = site.timers.now()
    site.load(2.0)
    assert site.status() == {"state": "rolled_back", "target": "v2"}
    assert site.share("v1", since) == 1.0


def test_upstreams_that_were_replaced_without_an_order_serve_after_a_completed_rollout():
    site = RolloutSite(v1=4, v2=4)
    site.order("v2")
    site.load(DURATION_S)
    site.set_upstreams(v4=4)
    since = site.timers.now()
    site.load(1.0)
    assert site.share("v4", since) == 1.0


def test_a_record_is_read_as_it_was_written():
    record = RolloutRecord(7, "v1", "v2", 10.0, 28.0)
    assert unpack_record(pack_record(record)) == record
    with pytest.raises(ValueError):
        unpack_record(b"\x93\x01\x02\x03")


@pytest.mark.parametrize("doc", [b"[]", b"{}", b'{"state": "odd", "target": "v2"}'])
def test_malformed_states_are_rejected(doc):
    with pytest.raises(DecodeError):
        platform_rollouts.decode_status(doc)


class EraStore(MemoryStore):
    """Keep a copy of the contents, and return to it in a new era as the platform's store does."""

    def __init__(self, timers):
        super().__init__(timers, lambda kind: None)
        self.era = 1
        self.copy = {}
        self.copy_revision = 0
        self.running = []
        self.writes = 0

    def read_range(self, prefix):
        result = super().read_range(prefix).result()
        fut = Future()
        fut.set_result(dataclasses.replace(result, era=self.era))
        return fut

    def commit(self, compares, ops):
        self.writes += 1
        return super().commit(compares, ops)

    def watch(self, prefix, from_revision, on_events, on_end, era=0):
        watch = super().watch(prefix, from_revision, on_events, on_end)
        self.running.append((watch, on_end))
        return watch

    def keep_copy(self):
        self.copy, self.copy_revision = dict(self._items), self.revision

    def return_to_copy(self):
        self.era += 1
        self._items, self.revision = dict(self.copy), self.copy_revision
        self._sorted_keys = sorted(self.copy)
        self._events.clear()
        running, self.running = self.running, []
        for watch, on_end in running:
            watch.cancel()
            on_end("era changed")


class EraSite(RolloutSite):
    def create_store(self):
        return EraStore(self.timers)


@pytest.mark.parametrize(("bad", "state"), [("v2", "rolled_back"), (None, "completed")])
def test_an_ended_state_that_an_older_copy_lacks_is_written_again(bad, state):
    """The state stayed "running", and a host that started anew would have begun the rollout."""
    site = EraSite(v1=3, v2=3)
    site.order("v2")
    site.load(1.0, bad=bad)
    site.store.keep_copy()
    assert site.status()["state"] == "running"
    site.load(DURATION_S, bad=bad)
    assert site.status() == {"state": state, "target": "v2"}
    site.store.return_to_copy()
    assert site.status()["state"] == "running"
    writes = site.store.writes
    site.load(5.0, bad=bad)
    assert site.status() == {"state": state, "target": "v2"}
    assert site.store.writes == writes + 1
    site.start_host()
    since = site.timers.now()
    site.load(5.0, bad=bad)
    assert site.share("v2", since) == (0.0 if bad else 1.0)
