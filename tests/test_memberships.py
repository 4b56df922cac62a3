"""Test the membership core on a simulated network with loss, crashes, pauses and partitions."""

import random

import pytest

from bench.member_networks import MemberNetwork
from tarragonwind.core.member_views import Health

SETTLE_S = 20.0


def start_settled(count, seed=1, loss=0.0):
    net = MemberNetwork(seed, loss)
    names = net.start_fleet(count)
    assert net.wait(lambda: net.views_match(names), SETTLE_S) <= SETTLE_S
    net.set_host_list(names)
    return net, names


def without(names, *gone):
    return [name for name in names if name not in gone]


def isolated(net):
    return sorted(name for name in net.running() if net.hosts[name].core.isolated)


def settle(net, expected, limit_s=SETTLE_S):
    took_s = net.wait(lambda: net.views_match(expected) and not isolated(net), limit_s)
    views = {name: net.hosts[name].core.live() for name in net.running()}
    assert took_s <= limit_s, f"no common view of {expected} after {limit_s} s: {views}"
    return took_s


@pytest.mark.parametrize("count", [2, 3, 8, 16])
def test_a_crashed_host_is_detected_within_about_a_second(count):
    net, names = start_settled(count)
    net.kill(names[-1])
    assert net.wait(lambda: net.views_match(names[:-1]), 5.0) <= 1.2


@pytest.mark.parametrize("seed", range(4))
def test_a_paused_host_is_removed_and_rejoins_after_resuming(seed):
    net, names = start_settled(8, seed)
    net.pause(names[2])
    assert net.wait(lambda: net.views_match(without(names, names[2])), 5.0) <= 1.5
    net.run_for(10.0)
    paused = net.hosts[names[2]]
    stale_seen = []
    paused.core.on_resumed = lambda: stale_seen.append(paused.core.stale)
    net.resume(names[2])
    settle(net, names, 2.0)
    assert stale_seen == [True]
    assert net.wait(lambda: not paused.core.stale, 2.0) <= 2.0


@pytest.mark.parametrize("seed", range(4))
def test_a_short_pause_does_not_remove_a_host(seed):
    net, names = start_settled(8, seed)
    for name in names:
        net.pause(name)
        net.run_for(0.8)
        assert net.views_match(names)
        net.resume(name)
        net.run_for(0.5)
        assert net.views_match(names)


def test_a_broken_link_between_two_hosts_removes_neither():
    net, names = start_settled(6)
    starts = [net.hosts[name].core.own.incarnation for name in names]
    for other in names[1:]:
        net.block_link(names[0], other)
        net.run_for(0.01)
        assert watch_views(net, names, names, 10.0)
        net.heal()
    assert [net.hosts[name].core.own.incarnation for name in names] == starts, "one was suspected"


def watch_views(net, viewers, names, seconds):
    """Run for `seconds`; return whether every viewer saw all names as live throughout."""
    end = net.now + seconds
    while net.now < end:
        net.run_for(0.01)
        if any(set(names) - set(net.hosts[viewer].core.live()) for viewer in viewers):
            return False
    return True


def test_a_lost_record_is_recovered_by_comparing_views():
    net = MemberNetwork(1)
    names = net.start_fleet(40)
    settle(net, names)
    lossy = net.hosts[names[7]].core
    for name in names[20:23]:
        lossy.view.remove(name)
    lossy.invalidate()
    net.run_for(0.1)
    settle(net, names, 8.0)


@pytest.mark.parametrize(("count", "seed"), [(6, 1), (24, 1), (24, 2), (24, 3), (24, 4)])
def test_a_partitioned_host_detects_its_isolation(count, seed):
    net, names = start_settled(count, seed)
    net.partition([names[0]])
    took_s = net.wait(lambda: isolated(net) == [names[0]], 10.0)
    assert took_s <= net.hosts[names[0]].core.times().isolation_timeout_s + 0.3
    net.wait(lambda: net.views_match(names[1:], names[1:]), 10.0)
    assert isolated(net) == [names[0]]
    net.run_for(10.0)
    net.heal()
    assert watch_views(net, names[1:], names[1:], 3.0), "suspicions by the isolated host spread"
    settle(net, names, 0.1)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("count", "limit_s"), [(6, 1.5), (24, 4.5)])
def test_a_host_that_receives_nothing_is_removed_and_removes_no_other(count, limit_s, seed):
    net, names = start_settled(count, seed)
    net.block_inbound(names[0])
    assert watch_views(net, names[1:], names[1:], limit_s)
    assert net.views_match(names[1:], names[1:])
    assert isolated(net) == [names[0]]
    assert watch_views(net, names[1:], names[1:], 10.0)


def test_exactly_one_of_two_equal_halves_stays_unisolated_through_a_membership_change():
    net, names = start_settled(6)
    left, right = names[:3], names[3:]
    net.partition(left)
    assert net.wait(lambda: isolated(net) == right, 5.0) <= 3.0
    net.hosts[names[1]].core.leave(net.now)
    net.hosts[names[4]].core.leave(net.now)
    net.run_for(1.0)
    assert net.views_match([names[0], names[2]], left)
    assert net.views_match([names[3], names[5]], right)
    assert isolated(net) == right
    net.add("host-new", [names[0]])
    net.partition([*left, "host-new"])
    net.run_for(2.0)
    net.heal()
    settle(net, [names[0], names[2], names[3], names[5], "host-new"])


@pytest.mark.parametrize("seed", range(3))
def test_three_partitions_merge_after_the_network_heals(seed):
    net, names = start_settled(9, seed)
    net.partition(names[:3], names[3:6])
    assert net.wait(lambda: isolated(net) == names, 5.0) <= 5.0
    net.heal()
    settle(net, names)


@pytest.mark.parametrize("count", [6, 40])
def test_a_planned_stop_is_known_on_every_host_within_a_second(count):
    net, names = start_settled(count)
    net.hosts[names[1]].core.leave(net.now)
    net.run_for(0.0)
    assert net.wait(lambda: net.views_match(without(names, names[1])), 5.0) <= 1.0
    net.run_for(10.0)
    for name in without(names, names[1]):
        member = net.hosts[name].core.view.get(names[1])
        assert member.health is Health.ALIVE
        assert member.leaving


def test_a_leaving_host_that_refutes_a_suspicion_stays_excluded():
    net, names = start_settled(6)
    net.hosts[names[1]].core.leave(net.now)
    net.run_for(0.5)
    net.pause(names[1])
    net.run_for(5.0)
    net.resume(names[1])
    net.run_for(5.0)
    assert net.views_match(without(names, names[1]))


def test_a_host_that_the_platform_lists_as_leaving_is_not_live():
    net, names = start_settled(6)
    net.set_host_list(without(names, names[2]), [names[2]])
    assert net.views_match(without(names, names[2]))
    net.set_host_list(names)
    assert net.views_match(names)


def test_a_restarted_host_replaces_its_previous_record():
    net, names = start_settled(8)
    net.kill(names[3])
    net.run_for(0.1)
    net.add(names[3], names[:2])
    net.hosts[names[3]].core.view.put_own(
        type(net.hosts[names[3]].core.own)(
            names[3], net.hosts[names[3]].core.own.address, "etna", 0
        )
    )
    settle(net, names)
    net.run_for(5.0)
    assert net.views_match(names)


def test_a_fleet_that_lost_its_majority_recovers_when_the_host_list_shrinks():
    net, names = start_settled(6)
    for name in names[:4]:
        net.kill(name)
    assert net.wait(lambda: isolated(net) == names[4:], 5.0) <= 5.0
    net.set_host_list(names[4:])
    settle(net, names[4:])


@pytest.mark.parametrize(("count", "seed"), [(6, 1), (6, 2), (12, 3), (24, 4)])
def test_message_loss_removes_no_running_host_for_more_than_a_second(count, seed):
    net, names = start_settled(count, seed, loss=0.05)
    missing_since = {}
    longest_s = 0.0
    for _ in range(1200):
        net.run_for(0.05)
        missing = {
            (viewer, name)
            for viewer in names
            for name in set(names) - set(net.hosts[viewer].core.live())
        }
        for pair in list(missing_since):
            if pair not in missing:
                del missing_since[pair]
        for pair in missing:
            start = missing_since.setdefault(pair, net.now)
            longest_s = max(longest_s, net.now - start)
    assert longest_s <= 1.0


class Faults:
    """Inject random faults into a fleet and track which hosts must be live at the end."""

    def __init__(self, net, names, seed):
        self.net = net
        self.names = names
        self.rng = random.Random(seed)
        self.killed = set()
        self.paused = set()

    def act(self):
        name = self.rng.choice(self.names)
        action = self.rng.choice(["kill", "start", "pause", "resume", "cut", "heal", "none"])
        if action == "kill" and len(self.killed) < len(self.names) // 3:
            self.killed.add(name)
            self.paused.discard(name)
            self.net.kill(name)
        elif action == "start" and self.killed:
            self.start(min(self.killed))
        elif action == "pause" and name not in self.killed:
            self.paused.add(name)
            self.net.pause(name)
        elif action == "resume" and self.paused:
            self.resume(min(self.paused))
        elif action == "cut":
            self.net.partition(self.rng.sample(self.names, self.rng.randrange(1, len(self.names))))
        elif action == "heal":
            self.net.heal()

    def start(self, name):
        self.killed.discard(name)
        self.net.add(name, self.names)

    def resume(self, name):
        self.paused.discard(name)
        self.net.resume(name)

    def end(self):
        self.net.heal()
        for name in sorted(self.paused):
            self.resume(name)


@pytest.mark.parametrize("count", [5, 8, 20])
@pytest.mark.parametrize("seed", range(6))
def test_all_running_hosts_converge_after_random_faults(count, seed):
    net, names = start_settled(count, seed, loss=0.02)
    faults = Faults(net, names, seed)
    for _ in range(40):
        faults.act()
        net.run_for(faults.rng.uniform(0.05, 3.0))
    faults.end()
    running = without(names, *faults.killed)
    assert net.wait(lambda: net.views_match(running), SETTLE_S) <= SETTLE_S, {
        name: net.hosts[name].core.live() for name in running
    }
