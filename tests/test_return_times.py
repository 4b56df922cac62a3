"""Play bursts of organisations over their rate, whose refused callers return once."""

import heapq
import random

import pytest

from tarragonwind.core.return_times import ReturnTimes
from tarragonwind.errors import RequestError
from tests.test_allotments import HOSTS, ORGANISATION, RATE, Fleet

TOKENS = 4_000
TIMEOUT_S = 10.0
QUIET_S, BURST_S, AFTER_S = 10.0, 3.0, 12.0
QUIET_LOAD, BURST_LOAD = 0.4, 4.0
"""Load before and after the burst and in it, as multiples of the organisation's rate."""


class ReturningCallers:
    """Send requests to random hosts; callers return once, as told, within their time limit."""

    def __init__(self, seed):
        self.fleet = Fleet(seed)
        self.rng = random.Random(seed)
        self.returns = []
        self.sent = self.served = 0

    def play(self, seconds, load):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.sent += 1
            self.send(first=True)
            self.fleet.step(TOKENS / (load * RATE))
            while self.returns and self.returns[0] <= self.fleet.now:
                heapq.heappop(self.returns)
                self.send(first=False)

    def send(self, first):
        ledger = self.fleet.ledgers[self.rng.choice(HOSTS)]
        try:
            ledger.take(self.fleet.now, ORGANISATION, TOKENS, TIMEOUT_S)
        except RequestError as exc:
            if first and exc.retry_after_s < TIMEOUT_S:
                heapq.heappush(self.returns, self.fleet.now + exc.retry_after_s)
        else:
            self.served += 1


@pytest.mark.parametrize("seed", range(4))
def test_most_callers_refused_in_a_burst_are_served_when_they_return(seed):
    callers = ReturningCallers(seed)
    callers.play(QUIET_S, QUIET_LOAD)
    callers.play(BURST_S, BURST_LOAD)
    callers.play(AFTER_S, QUIET_LOAD)
    assert callers.served >= 0.8 * callers.sent


def test_requests_return_one_after_the_other_at_the_rate():
    times = ReturnTimes()
    waits = [times.add(5.0, 0.2, 1_000, 2_000.0, 10.0) for _ in range(3)]
    assert waits == pytest.approx([0.2, 0.7, 1.2])


def test_a_request_that_would_return_too_late_takes_no_turn():
    times = ReturnTimes()
    times.add(5.0, 0.2, 4_000, 1_000.0, 10.0)
    assert times.add(5.0, 0.2, 4_000, 1_000.0, 2.0) == pytest.approx(4.2)
    assert times.add(5.0, 0.2, 4_000, 1_000.0, 10.0) == pytest.approx(4.2)


def test_earlier_turns_do_not_delay_a_request_after_they_have_passed():
    times = ReturnTimes()
    times.add(5.0, 0.2, 1_000, 1_000.0, 10.0)
    assert times.add(20.0, 0.3, 1_000, 1_000.0, 10.0) == pytest.approx(0.3)
