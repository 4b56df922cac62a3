"""Test the merging of member records, majorities and rendezvous hashing."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.broadcast_queues import BroadcastQueue
from tarragonwind.core.hash_rings import choose_neighbours
from tarragonwind.core.member_merges import MemberMerger
from tarragonwind.core.member_views import (
    Health,
    Member,
    MemberView,
    has_majority,
    pack_member,
    unpack_member,
)
from tarragonwind.core.rendezvous import (
    choose_owner,
    rank_names,
    select_large_hosts,
)
from tarragonwind.messages import MessageError
from tarragonwind.ports import Address

NAMES = [f"host-{number:03d}" for number in range(40)]


def member(name, incarnation=1, **more):
    return Member(name, Address("127.0.0.1", 1), "etna", incarnation, **more)


def create():
    view = MemberView(member("self"))
    broadcasts = BroadcastQueue(4, 4)
    return view, broadcasts, MemberMerger(view, broadcasts, lambda: None)


def test_a_received_death_of_a_recently_heard_member_becomes_a_suspicion():
    view, _, merger = create()
    merger.apply(10.0, member("other"))
    view.get("other").heard_at = 10.0
    merger.apply(10.1, member("other", health=Health.DEAD))
    assert view.get("other").health is Health.SUSPECT


def test_an_untrusted_daemon_broadcasts_no_suspicion():
    _, broadcasts, merger = create()
    merger.apply(10.0, member("other"))
    broadcasts.forget(lambda name: True)
    merger.trusted = False
    merger.suspect(11.0, "other")
    assert broadcasts.take(9) == []


def test_a_received_death_of_the_daemon_itself_is_refuted():
    view, broadcasts, merger = create()
    merger.apply(10.0, member("self", 7, health=Health.DEAD))
    assert view.own.incarnation == 8
    assert view.own.health is Health.ALIVE
    assert broadcasts.take(9) == ["self"]


records = st.builds(
    member,
    st.sampled_from(NAMES[:4]),
    st.integers(0, 5),
    health=st.sampled_from(Health),
    leaving=st.booleans(),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(records, max_size=12), st.randoms(use_true_random=False))
def test_merging_is_independent_of_the_order_of_records(members, rng):
    by_version = {(m.name, m.incarnation, m.health): m for m in members}
    members = list(by_version.values())
    digests = []
    for _ in range(3):
        view, _, merger = create()
        rng.shuffle(members)
        for each in members:
            merger.apply(10.0, replace(each))
        digests.append((view.digest(), sorted((m.name, m.health) for m in view.members.values())))
    assert digests[0] == digests[1] == digests[2]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(records)
def test_packing_and_unpacking_preserve_a_record(one):
    assert pack_member(unpack_member(pack_member(one))) == pack_member(one)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.integers()
    | st.lists(st.integers() | st.text() | st.none(), max_size=8)
    | st.tuples(
        st.text(),
        st.text(),
        st.integers(),
        st.text(),
        st.integers(),
        st.integers(0, 8),
        st.integers(),
    ).map(list)
)
def test_a_malformed_record_is_rejected(record):
    try:
        unpack_member(record)
    except MessageError:
        return
    assert pack_member(unpack_member(record)) == record[:7]


def test_additional_values_of_a_record_are_ignored():
    """A later build may add values; the whole message would be refused otherwise."""
    record = ["host-0", "127.0.0.1", 1, "etna", 1, 0, 100]
    assert unpack_member([*record, "added", 5]) == unpack_member(record)


def test_exactly_one_of_two_complementary_partitions_has_a_majority():
    for size in range(1, 7):
        fleet = NAMES[:size]
        for mask in range(1 << size):
            part = [name for index, name in enumerate(fleet) if mask >> index & 1]
            rest = [name for name in fleet if name not in part]
            assert has_majority(part, fleet) != has_majority(rest, fleet)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.sampled_from(NAMES), st.text(max_size=20))
def test_removing_a_host_moves_only_its_own_keys(gone, key):
    rest = [name for name in NAMES if name != gone]
    owner = choose_owner(key, NAMES)
    assert rank_names(key, NAMES, 2)[0] == owner
    expected = rank_names(key, NAMES, 2)[1] if owner == gone else owner
    assert choose_owner(key, rest) == expected


def test_keys_spread_evenly():
    owned = dict.fromkeys(NAMES[:8], 0)
    for number in range(4000):
        owned[choose_owner(f"pool-{number}", owned)] += 1
    assert max(owned.values()) < 1.25 * 500
    assert min(owned.values()) > 0.75 * 500


@pytest.mark.parametrize("size", [1, 3, 5, 8, 40])
def test_every_member_is_reachable_along_the_rings(size):
    names = NAMES[:size]
    reached, edge = {names[0]}, [names[0]]
    while edge:
        edge = [n for name in edge for n in choose_neighbours(name, names, 4) if n not in reached]
        reached.update(edge)
    assert reached == set(names)


def test_only_hosts_close_to_the_largest_size_are_selected():
    sizes = {"small-1": 52, "small-2": 52, "large-1": 215, "large-2": 200}
    assert select_large_hosts(sizes) == ["large-1", "large-2"]
    del sizes["large-1"], sizes["large-2"]
    assert select_large_hosts(sizes) == ["small-1", "small-2"]
    assert select_large_hosts({}) == []
