"""Test the membership over loopback connections of one event loop."""

import socket

import pytest

from tarragonwind.core.membership_messages import Ping
from tarragonwind.ports import Address

from .peer_helpers import Bench


@pytest.fixture
def bench():
    bench = Bench()
    yield bench
    bench.close()


def start_fleet(bench, count):
    fleet = []
    seeds = []
    for number in range(count):
        peers = bench.peers(f"host-{number}", start_id=number)
        fleet.append(bench.membership(peers, list(seeds), seed=number))
        seeds = seeds or [peers.address]
    for member in fleet:
        member.start()
    return fleet


def all_see(fleet, names):
    return all(member.live() == tuple(names) for member in fleet)


def names_of(fleet):
    return sorted(member.name for member in fleet)


def test_a_fleet_forms_from_one_seed_and_agrees_on_owners(bench):
    fleet = start_fleet(bench, 6)
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")
    assert all(member.joined() for member in fleet)
    for key in ("pool-1", "pool-2", "pool-3"):
        assert len({member.owner_of(key) for member in fleet}) == 1
        assert fleet[0].rank(key, 2)[0] == fleet[0].owner_of(key)


def test_a_host_with_unreachable_seeds_starts_alone_after_a_timeout(bench):
    peers = bench.peers("host-0")
    free = socket.create_server(("127.0.0.1", 0))
    seed = Address(*free.getsockname()[:2])
    free.close()
    member = bench.membership(peers, [seed])
    member.start()
    assert not member.joined()
    bench.wait(member.joined, "joined alone")
    assert member.live() == ("host-0",)
    assert not member.isolated


def test_a_leaving_host_is_not_live_but_stays_a_member(bench):
    fleet = start_fleet(bench, 4)
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")
    fleet[0].leave()
    bench.wait(lambda: all_see(fleet, names_of(fleet[1:])), "view without the leaving host")
    assert all("host-0" in {m.name for m in member.members()} for member in fleet)
    assert not any(member.isolated for member in fleet)


def test_a_stopped_host_is_removed(bench):
    fleet = start_fleet(bench, 4)
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")
    fleet[0].stop()
    bench.transports[0].stop()
    bench.wait(lambda: all_see(fleet[1:], names_of(fleet[1:])), "view without the stopped host")


def test_payloads_reach_hosts_that_are_not_neighbours(bench):
    fleet = start_fleet(bench, 8)
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")
    numbers = dict.fromkeys(names_of(fleet), 0)

    def attach(member):
        def consume(sender, value):
            if value[0] > numbers[member.name]:
                numbers[member.name] = value[0]
                member.push_payloads()

        member.attach("number", lambda: bytes([numbers[member.name]]), consume)

    for member in fleet:
        attach(member)
    numbers["host-3"] = 7
    fleet[3].push_payloads()
    bench.wait(lambda: set(numbers.values()) == {7}, "the payload on every host")


def test_messages_can_be_sent_to_every_live_host_immediately(bench):
    fleet = start_fleet(bench, 14)
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")
    for member, transport in zip(fleet, bench.transports, strict=True):
        unreachable = [
            name for name in member.live() if not transport.send(name, Ping(1, 1, False, 0, [], []))
        ]
        assert unreachable == []


def test_a_host_in_a_graceful_shutdown_counts_as_running_until_it_exits(bench):
    fleet = start_fleet(bench, 3)
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")
    fleet[2].leave()
    bench.wait(lambda: fleet[0].live() == ("host-0", "host-1"), "known to leave")
    assert sorted(fleet[0].running()) == ["host-0", "host-1", "host-2"]
    fleet[2].stop()
    bench.wait(lambda: "host-2" not in fleet[0].running(), "known to have exited")
    assert fleet[0].leaving_hosts() == ("host-2",)


def test_hosts_without_seeds_join_through_discovered_hosts(bench):
    fleet = [bench.membership(bench.peers(f"host-{n}", start_id=n), [], seed=n) for n in range(4)]
    for member in fleet:
        member.start()
    first, second, third, fourth = fleet
    second.add_discovered_host(first.name, first.members()[0].address)
    fourth.add_discovered_host(third.name, third.members()[0].address)
    bench.wait(lambda: len(first.live()) == len(third.live()) == 2, "two pairs")
    third.add_discovered_host(first.name, first.members()[0].address)
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")


def test_every_host_selects_owners_among_the_largest_live_hosts(bench):
    fleet = []
    for number, size in enumerate([50, 210, 50, 200, 50]):
        peers = bench.peers(f"host-{number}", start_id=number)
        seeds = [fleet[0].members()[0].address] if fleet else []
        fleet.append(bench.membership(peers, seeds, seed=number, size=size))
    for member in fleet:
        member.start()
    bench.wait(lambda: all_see(fleet, names_of(fleet)), "one view")
    keys = [f"pool-{number}" for number in range(20)]
    owners = [[member.owner_of(key) for key in keys] for member in fleet]
    assert all(one == owners[0] for one in owners)
    assert set(owners[0]) == {"host-1", "host-3"}
    fleet[1].leave()
    fleet[3].leave()
    bench.wait(lambda: fleet[0].live() == ("host-0", "host-2", "host-4"), "only small hosts live")
    assert {fleet[0].owner_of(key) for key in keys} == {"host-0", "host-2", "host-4"}
