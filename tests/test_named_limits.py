"""Play engines that name a limit of requests against hosts in processes."""

import threading
import time
from dataclasses import dataclass

import pytest

from standins.fleets import set_faults
from standins.platform_fleets import STREAM_PATH, PlatformFleet

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("limits")]
HOSTS = 3
CALLERS_PER_HOST = 4
BEFORE_S, LIMITED_S, AFTER_S = 1.5, 10.0, 4.0
LIMIT_PER_S = 3.0
CONTACT_S = 3.0
"""Time after an engine first named its limit from which it holds, in seconds."""
WINDOW_S = 4.0
TOLERANCE, SLACK = 1.5, 5


@dataclass
class Played:
    """Hold the arrivals at the limited engine, the time of the limit and what callers got."""

    arrivals: list
    limited_at: float
    ended_at: float
    answers: list
    """Time, host, number of the request and answer."""

    def count(self, begin, end):
        return sum(begin <= at < end for at in self.arrivals)


def send_requests(site, name, worker, ends_at, answers):
    number = 0
    while time.time() < ends_at:
        number += 1
        answer = site.send_caller_request(
            name, STREAM_PATH, f"l-{worker}-{number}", Token_Counts="100,50", Model="m"
        )
        answers.append((time.time(), name, f"{worker}-{number}", answer))


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    with PlatformFleet(tmp_path_factory.mktemp("limits")) as site:
        site.start(engines=2, services=0, hosts=HOSTS)
        ends_at = time.time() + BEFORE_S + LIMITED_S + AFTER_S
        answers = []
        threads = [
            threading.Thread(
                target=send_requests,
                args=(site, f"front-{worker % HOSTS}", worker, ends_at, answers),
            )
            for worker in range(HOSTS * CALLERS_PER_HOST)
        ]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_S)
        limited = site.fleet.processes["i-engine0"]
        set_faults(limited.port, limit_per_s=LIMIT_PER_S)
        limited_at = time.time()
        time.sleep(LIMITED_S)
        set_faults(limited.port, limit_per_s=0.0)
        ended_at = time.time()
        for thread in threads:
            thread.join()
        arrivals = [line["at"] for line in site.journal("i-engine0") if line["event"] == "run"]
        yield Played(arrivals, limited_at, ended_at, answers)


def test_an_engine_gets_no_more_from_all_hosts_than_the_limit_that_it_names(played):
    allowed = TOLERANCE * LIMIT_PER_S * WINDOW_S + SLACK
    begins = [at for at in played.arrivals if played.limited_at + CONTACT_S <= at < played.ended_at]
    counts = [played.count(at, min(at + WINDOW_S, played.ended_at)) for at in begins]
    assert max(counts, default=0) <= allowed


def test_an_engine_that_names_a_limit_is_used_up_to_it(played):
    begin = played.limited_at + CONTACT_S
    expected = LIMIT_PER_S * (played.ended_at - begin)
    assert played.count(begin, played.ended_at) >= 0.75 * expected


def test_an_engine_that_names_no_limit_any_more_gets_its_part_again(played):
    begin = played.ended_at + 1.0
    usual = played.count(played.limited_at - 1.0, played.limited_at)
    assert played.count(begin, begin + 2.0) >= usual


def test_callers_are_served_by_the_other_engines_meanwhile(played):
    assert played.answers
    assert [one for one in played.answers if one[-1].status != 200] == []
