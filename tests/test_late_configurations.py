"""Test requests for permits while one host goes by a configuration that others don't have yet."""

import pytest

from tarragonwind.core.permit_messages import Outcome
from tests.permit_fleets import POOL, Fleet, create_request, create_upstream

LAG_S = 2.0
SLOTS = 2
DEADLINE_S = 60.0
SETTLED_S = 1.5
"""Time by which a request that can be served is served, after the last change, in seconds."""
OLD = [create_upstream("old", SLOTS)]
NEW = [create_upstream("new", SLOTS)]

CHANGES = {
    "pool-dropped": (([POOL], OLD), ([], OLD)),
    "pool-dropped-with-its-upstreams": (([POOL], OLD), ([], [])),
    "pool-added": (([], OLD), ([POOL], OLD)),
    "pool-added-with-its-upstreams": (([], []), ([POOL], OLD)),
    "upstreams-replaced": (([POOL], OLD), ([POOL], NEW)),
    "upstreams-gone": (([POOL], OLD), ([POOL], [])),
}
"""Pools and upstreams before and after each change."""
FIRST_HOSTS = {"owner": ("h0",), "client": ("h1",), "all-but-owner": ("h1", "h2")}


def configure(fleet, names, content):
    pools, upstreams = content
    for name in names:
        fleet.hosts[name].owners.configure(fleet.now, pools, upstreams)


def ended(host, permit_ids):
    return all(one in host.granted or one in host.refused for one in permit_ids)


class LateChange:
    """Play a change that reaches some hosts first, and requests before, between and after."""

    def __init__(self, before, after, first):
        self.fleet = Fleet(OLD)
        configure(self.fleet, self.fleet.names, before)
        self.host = self.fleet.hosts["h1"]
        self.requests = {}
        self.ask("before", SLOTS + 2)
        configure(self.fleet, first, after)
        self.ask("between", 1)
        self.fleet.advance(LAG_S - 0.5)
        late = [name for name in self.fleet.names if name not in first]
        configure(self.fleet, late, after)
        self.ask("after", 1)

    def ask(self, when, count):
        self.requests[when] = [self.request() for _ in range(count)]
        self.fleet.advance(0.5)

    def request(self):
        return self.host.request_permit(create_request(deadline=self.fleet.now + DEADLINE_S))

    def finish(self):
        """Release each permit as soon as it is granted, for `SETTLED_S`."""
        for _ in range(10):
            for permit_id in list(self.host.granted):
                self.host.client.release(self.fleet.now, permit_id, Outcome.OK)
            self.fleet.advance(SETTLED_S / 10)


@pytest.mark.parametrize("first", FIRST_HOSTS)
@pytest.mark.parametrize("what", CHANGES)
def test_each_request_is_granted_or_refused_though_a_host_gets_the_change_late(what, first):
    before, after = CHANGES[what]
    play = LateChange(before, after, FIRST_HOSTS[first])
    play.finish()
    for when, permit_ids in play.requests.items():
        assert ended(play.host, permit_ids), when


@pytest.mark.parametrize("first", FIRST_HOSTS)
@pytest.mark.parametrize("what", CHANGES)
def test_requests_after_the_last_host_has_the_change_go_by_it(what, first):
    before, after = CHANGES[what]
    play = LateChange(before, after, FIRST_HOSTS[first])
    play.finish()
    later = play.request()
    play.fleet.advance(0.5)
    pools, upstreams = after
    if pools and upstreams:
        assert play.host.granted[later].upstream == upstreams[0].name
    else:
        assert later in play.host.refused
