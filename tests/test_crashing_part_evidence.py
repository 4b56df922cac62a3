"""Test that evidence on crashing prompt parts is summed over hosts, callers and permits."""

from permit_fleets import Fleet, create_request, create_upstream

from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.suspicions import CRASHES_TO_CONVICT

SHARED, BAD = 7, 13


class Site:
    """Play prompts of a fleet whose upstreams end under those with the part `BAD`."""

    def __init__(self):
        self.fleet = Fleet([create_upstream(f"u{number}", slots=2) for number in range(8)])

    def grant(self, name, *parts):
        host = self.fleet.hosts[name]
        request = create_request(keys=list(parts), deadline=self.fleet.now + 50)
        permit_id = host.request_permit(request)
        self.fleet.settle_messages()
        return host, permit_id

    def release(self, host, permit_id, outcome, **seen):
        host.client.release(self.fleet.now, permit_id, outcome, **seen)
        self.fleet.settle_messages()

    def crash_one(self, name, *parts):
        host, permit_id = self.grant(name, *parts)
        self.crash_upstream(host, permit_id)

    def crash_upstream(self, host, permit_id):
        crashed = host.granted[permit_id].upstream
        self.release(host, permit_id, Outcome.CONNECTION_LOST)
        self.fleet.configure([one for one in self.fleet.upstreams if one.name != crashed])
        self.fleet.advance(0.5)

    def suspected(self):
        hosts = self.fleet.hosts.values()
        return {change.parts for host in hosts for change in host.combinations}

    def convicted(self):
        return {part for host in self.fleet.hosts.values() for part in host.convicted}


def test_ends_seen_by_different_hosts_convict_their_common_part():
    site = Site()
    for number in range(CRASHES_TO_CONVICT):
        assert site.convicted() == set()
        site.release(*site.grant("h1", SHARED), Outcome.OK, output_tokens=5)
        site.crash_one(f"h{number % 3}", SHARED, BAD)
    assert site.convicted() == {BAD}


def test_a_response_that_broke_off_after_its_first_event_clears_its_parts():
    site = Site()
    for number in range(CRASHES_TO_CONVICT + 2):
        site.release(*site.grant("h0", SHARED, BAD), Outcome.FAILED, output_tokens=1)
        site.crash_one(f"h{number % 3}", SHARED, BAD)
    assert site.convicted() == set()


def test_failures_without_the_end_of_an_upstream_convict_nothing():
    site = Site()
    for outcome in set(Outcome) - {Outcome.OK, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED}:
        for _ in range(CRASHES_TO_CONVICT):
            site.release(*site.grant("h1", SHARED, BAD), outcome)
            site.fleet.advance(0.5)
    assert site.convicted() == set()


def test_a_new_owner_judges_permits_that_its_predecessor_granted():
    site = Site()
    held = [site.grant(f"h{number % 2 + 1}", SHARED, BAD) for number in range(CRASHES_TO_CONVICT)]
    site.fleet.kill("h0")
    for name in ("h1", "h2"):
        site.fleet.hosts[name].set_view("h1", ("h1", "h2"))
    site.fleet.advance(1.0)
    for host, permit_id in held:
        site.crash_upstream(host, permit_id)
    site.fleet.advance(3.0)
    assert site.suspected() == {frozenset({SHARED, BAD})}
    site.release(*site.grant("h1", SHARED), Outcome.OK, output_tokens=5)
    assert site.convicted() == {BAD}


def test_a_host_without_its_owner_finds_the_part_by_itself():
    site = Site()
    site.fleet.cut = {("h2", "h0"), ("h0", "h2")}
    for _ in range(CRASHES_TO_CONVICT):
        host = site.fleet.hosts["h2"]
        request = create_request(keys=[SHARED, BAD], deadline=site.fleet.now + 50)
        permit_id = host.request_permit(request)
        site.fleet.advance(1.5)
        site.crash_upstream(host, permit_id)
    site.fleet.advance(3.0)
    assert site.suspected() == {frozenset({SHARED, BAD})}
    host = site.fleet.hosts["h2"]
    permit_id = host.request_permit(create_request(keys=[BAD], deadline=site.fleet.now + 50))
    site.fleet.advance(1.5)
    site.crash_upstream(host, permit_id)
    assert BAD in host.convicted
