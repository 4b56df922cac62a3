"""Test permit clients with owners that change, crash, stop answering or are paused."""

from permit_fleets import Fleet, create_request, create_upstream

from tarragonwind.core.entries import UpstreamState
from tarragonwind.core.permit_messages import Outcome, PermitGrant, PermitSync
from tarragonwind.errors import ErrorKind


def test_a_host_considered_lost_by_the_owner_uses_its_local_share():
    fleet = Fleet([create_upstream("u1", slots=6)])
    fleet.hosts["h0"].set_view("h0", ["h0", "h2"])
    permit_id = fleet.hosts["h1"].request_permit(create_request(deadline=fleet.now + 5.0))
    fleet.advance(1.0)
    assert permit_id in fleet.hosts["h1"].granted


def test_an_unanswered_request_expires_before_its_caller_disconnects():
    fleet = Fleet([])
    fleet.dead.add("h0")
    host = fleet.hosts["h1"]
    permit_id = host.request_permit(
        create_request(deadline=fleet.now + 8.0, first_byte_deadline=fleet.now + 0.5)
    )
    fleet.advance(0.6)
    assert permit_id in host.refused


def test_a_permit_is_granted_and_released():
    fleet = Fleet([create_upstream("u1")])
    host = fleet.hosts["h1"]
    permit_id = host.request_permit(create_request(deadline=fleet.now + 5))
    fleet.settle_messages()
    assert host.granted[permit_id].upstream == "u1"
    assert fleet.owner().in_flight() == 1
    host.client.release(fleet.now, permit_id, Outcome.OK, 10, 100, 10)
    fleet.settle_messages()
    assert fleet.owner().in_flight() == 0


def test_a_new_owner_adopts_waiting_requests_and_held_permits():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    first = host.request_permit(create_request(deadline=fleet.now + 50))
    second = host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.settle_messages()
    fleet.kill("h0")
    for name in ("h1", "h2"):
        fleet.hosts[name].set_view("h2", ["h1", "h2"])
    fleet.advance(2.0)
    assert set(host.granted) == {first}
    host.client.release(fleet.now, first, Outcome.OK, 10, 100, 10)
    fleet.settle_messages()
    assert set(host.granted) == {first, second}


def test_a_new_owner_grants_nothing_before_hosts_have_sent_their_state():
    fleet = Fleet([create_upstream("u1", slots=1)])
    holder, requester = fleet.hosts["h1"], fleet.hosts["h2"]
    holder.request_permit(create_request(deadline=fleet.now + 50))
    fleet.settle_messages()
    fleet.kill("h0")
    requester.set_view("h2", ["h1", "h2"])
    requester.request_permit(create_request(deadline=fleet.now + 50))
    fleet.settle_messages()
    fleet.now += 0.2
    holder.set_view("h2", ["h1", "h2"])
    fleet.advance(1.0)
    assert not requester.granted


def test_an_unresponsive_owner_is_replaced_by_the_local_share_until_it_answers():
    fleet = Fleet([create_upstream("u1", slots=3)])
    host = fleet.hosts["h1"]
    fleet.hosts["h0"].paused = True
    permit_ids = [host.request_permit(create_request(deadline=fleet.now + 50)) for _ in range(3)]
    fleet.advance(2.0)
    assert host.client.uses_local_share("drafting")
    assert set(host.granted) == {permit_ids[0]}
    fleet.hosts["h0"].paused = False
    fleet.advance(3.0)
    assert not host.client.uses_local_share("drafting")
    assert set(host.granted) == set(permit_ids)
    assert fleet.owner().in_flight() == 3


def test_the_local_share_follows_the_catalogue():
    fleet = Fleet([create_upstream("u1", slots=9)])
    host = fleet.hosts["h1"]
    fleet.hosts["h0"].paused = True
    host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.advance(2.0)
    leaving = create_upstream("u1", slots=9, state=UpstreamState.LEAVING)
    fleet.configure([leaving, create_upstream("u2", slots=9)])
    host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.advance(0.5)
    assert host.client.uses_local_share("drafting")
    assert [permit.upstream for permit in host.granted.values()] == ["u1", "u2"]


def test_the_local_share_follows_the_roll_back_of_a_version():
    upstreams = [
        create_upstream("u1", slots=3, version="v1"),
        create_upstream("u2", slots=3, version="v2"),
    ]
    fleet = Fleet(upstreams)
    host = fleet.hosts["h1"]
    fleet.hosts["h0"].paused = True
    fleet.version = "v2"
    for _ in range(2):
        host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.advance(2.0)
    fleet.version = "v1"
    host.owners.on_versions_changed(fleet.now, "drafting")
    fleet.advance(0.3)
    assert host.client.uses_local_share("drafting")
    assert [permit.upstream for permit in host.granted.values()] == ["u2", "u1"]


def test_two_owners_never_grant_one_request_twice():
    fleet = Fleet([create_upstream("u1", slots=1), create_upstream("u2", slots=1)])
    host = fleet.hosts["h1"]
    fleet.hosts["h0"].paused = True
    permit_id = host.request_permit(create_request(deadline=fleet.now + 50))
    for name in ("h1", "h2"):
        fleet.hosts[name].set_view("h2", ["h1", "h2"])
    fleet.advance(1.0)
    assert set(host.granted) == {permit_id}
    host.receive("h0", PermitGrant("drafting", permit_id, "u2", "v1"))
    host.receive("h0", PermitGrant("drafting", permit_id, "u1", "v1"))
    returned = [msg for _, receiver, msg in fleet.sent if receiver == "h0"]
    assert returned[-1].outcome == Outcome.UNUSED


def test_a_lost_request_is_sent_again():
    fleet = Fleet([create_upstream("u1")])
    host = fleet.hosts["h1"]
    fleet.cut.add(("h1", "h0"))
    permit_id = host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.cut.clear()
    fleet.advance(0.5)
    assert permit_id in host.granted


def test_a_lost_grant_is_recovered_by_the_next_synchronisation():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.deliver(("h1", "h0"))
    fleet.links[("h0", "h1")].clear()
    fleet.advance(0.8)
    assert [permit.granted_by for permit in host.granted.values()] == ["h0"]
    assert fleet.owner().in_flight() == 1


def test_a_lost_release_is_recovered_by_the_next_synchronisation():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    first = host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.settle_messages()
    host.client.release(fleet.now, first, Outcome.OK)
    fleet.links[("h1", "h0")].clear()
    second = host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.advance(15.0)
    assert second in host.granted


def test_a_request_past_its_deadline_is_refused_at_once():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    fleet.hosts["h0"].paused = True
    late = host.request_permit(create_request(deadline=fleet.now + 0.5))
    fleet.advance(0.6)
    assert host.refused[late][0] is ErrorKind.DEADLINE_PASSED


def test_a_cancelled_request_leaves_the_queue():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    host.request_permit(create_request(deadline=fleet.now + 50))
    waiting = host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.settle_messages()
    assert host.client.cancel(fleet.now, waiting)
    fleet.settle_messages()
    assert sum(fleet.owner().waiting_by_tier()) == 0
    assert not host.client.cancel(fleet.now, waiting)


def test_a_grant_for_a_cancelled_request_is_returned():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    permit_id = host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.deliver(("h1", "h0"))
    host.client.cancel(fleet.now, permit_id)
    fleet.settle_messages()
    assert fleet.owner().in_flight() == 0
    assert not host.granted


def test_an_owner_queries_a_host_about_a_permit_whose_grant_was_lost():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    permit_id = host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.deliver(("h1", "h0"))
    fleet.links[("h0", "h1")].clear()
    host.client.cancel(fleet.now, permit_id)
    fleet.settle_messages()
    assert fleet.owner().in_flight() == 1
    fleet.advance(25.0)
    assert fleet.owner().in_flight() == 0


def test_a_grant_after_the_deadline_is_not_used():
    fleet = Fleet([create_upstream("u1", slots=1)])
    host = fleet.hosts["h1"]
    permit_id = host.request_permit(create_request(deadline=fleet.now + 0.5))
    fleet.deliver(("h1", "h0"))
    fleet.now += 1.0
    fleet.settle_messages()
    assert not host.granted
    assert host.refused[permit_id][0] is ErrorKind.DEADLINE_PASSED
    assert fleet.owner().in_flight() == 0


def test_a_silent_owner_is_told_nothing_of_what_the_local_share_serves():
    """Guards against an owner that reads releases and cancellations of permits it never gave."""
    fleet = Fleet([create_upstream(f"u{number}", slots=6) for number in range(3)])
    host = fleet.hosts["h1"]
    fleet.hosts["h0"].paused = True
    host.request_permit(create_request(deadline=fleet.now + 50))
    fleet.advance(1.0)
    assert host.client.uses_local_share("drafting")
    del fleet.sent[:]
    for _ in range(20):
        permit_id = host.request_permit(create_request(deadline=fleet.now + 50))
        fleet.advance(0.1)
        host.client.release(fleet.now, permit_id, Outcome.OK, 10, 100, 10)
    told = [msg for _, receiver, msg in fleet.sent if receiver == "h0"]
    assert {type(msg) for msg in told} == {PermitSync}
    assert not any(msg.requests for msg in told)
    assert len(told) <= 4


def test_a_grant_of_a_slow_owner_for_a_request_that_was_withdrawn_is_returned():
    fleet = Fleet([create_upstream("u1", slots=3)])
    host = fleet.hosts["h1"]
    fleet.hosts["h0"].paused = True
    first, second = (host.request_permit(create_request(deadline=fleet.now + 50)) for _ in "ab")
    fleet.advance(1.0)
    assert set(host.granted) == {first}
    host.receive("h0", PermitGrant("drafting", second, "u1", "v1"))
    assert set(host.granted) == {first}
    returned = [msg for _, receiver, msg in fleet.sent if receiver == "h0"]
    assert returned[-1].outcome == Outcome.UNUSED
