"""Test that hosts which have all just started keep an organisation's allotment together."""

import pytest

from bench.simulated_fleets import SimulatedFleet
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.errors import RequestError

RATE = 80_000
WINDOW_S = 8.0
BOUND = (RATE * WINDOW_S + RATE) * 1.1 + 190_000
REQUEST_TOKENS = 3_000
ORGANISATION = OrganisationEntry(
    name="officina", owner="o", token_sha256=[], tokens_per_s=RATE, token_burst=RATE
)


class Admissions:
    """Send requests of one organisation to hosts, and count the tokens that they admit."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.admitted = []

    def submit(self, host):
        try:
            host.allotments.take(host.timers.now(), ORGANISATION, REQUEST_TOKENS)
        except RequestError:
            return
        self.admitted.append((self.fleet.clock.now(), REQUEST_TOKENS))

    def load(self, seconds, tokens_per_s):
        end = self.fleet.clock.now() + seconds
        while self.fleet.clock.now() < end:
            self.submit(self.fleet.rng.choice(self.fleet.alive()))
            self.fleet.advance(REQUEST_TOKENS / tokens_per_s)

    def largest_window(self):
        return max(
            sum(tokens for other, tokens in self.admitted if at - WINDOW_S < other <= at)
            for at, _ in self.admitted
        )


def let_all_return(fleet, admissions, waiting):
    """Start all hosts; each gets the requests that have waited for it as soon as it is ready."""
    fleet.start_all()
    unserved = set(fleet.names)
    while unserved:
        fleet.advance(0.002)
        for name in sorted(unserved):
            host = fleet.hosts[name]
            if host.ready:
                unserved.discard(name)
                for _ in range(waiting):
                    admissions.submit(host)


@pytest.mark.parametrize("size", [6, 65, 195])
@pytest.mark.parametrize("down_s", [0.6, 2.0])
def test_hosts_that_start_together_admit_no_more_than_the_allotment(size, down_s):
    """Guards against hosts that each take themselves for the whole fleet until they have met."""
    fleet = SimulatedFleet(size)
    fleet.start_all()
    fleet.advance(12.0)
    admissions = Admissions(fleet)
    admissions.load(4.0, 1.5 * RATE)
    for name in fleet.names:
        fleet.kill(name, dark=True)
    fleet.advance(down_s)
    let_all_return(fleet, admissions, waiting=max(4, 650 // size))
    admissions.load(6.0, 1.5 * RATE)
    assert admissions.largest_window() <= BOUND
