"""Play hosts that are cut off from upstreams which the others reach, as processes."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import pytest

from standins.platform_fleets import LOOKUP_PATH, STAMP_PATH, STREAM_PATH, PlatformFleet

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("cut-off")]
HOSTS = 3
BACK_ENDS = ("i-engine0", "i-engine1", "i-service0", "i-service1")
PATHS = (STREAM_PATH, LOOKUP_PATH, STAMP_PATH)
CALLERS_PER_HOST = 3
CONTACT_S = 3.0
"""Time after the begin of a cut from which its hosts must serve, in seconds."""
CUT_S, HEALED_S = 8.0, 3.0


@dataclass
class Played:
    """Hold what callers got, and the times of the cut."""

    cut_hosts: tuple
    cut_at: float = 0.0
    healed_at: float = 0.0
    answers: list = field(default_factory=list)
    """Time of sending, host, path, attempt and status (0 for none)."""
    runs: Counter = field(default_factory=Counter)
    logs: dict = field(default_factory=dict)

    def count_served(self, hosts, begin, end):
        """Return the requests to hosts that were sent in a time and served, and all of them."""
        found = [each for each in self.answers if each[1] in hosts and begin <= each[0] < end]
        return sum(each[4] == 200 for each in found), len(found)


def send_requests(site, name, worker, ends_at, answers):
    number = 0
    while time.time() < ends_at:
        number += 1
        path = PATHS[number % len(PATHS)]
        attempt = f"c-{worker}-{number}"
        at = time.time()
        try:
            answer = site.send_caller_request(
                name, path, attempt, Token_Counts="100,20", Model="m", Request_Deadline="1500"
            )
            status = answer.status
        except OSError:
            status = 0
        answers.append((at, name, path, attempt, status))
        time.sleep(0.05)


def play(directory, cut_hosts, how):
    played = Played(cut_hosts)
    with PlatformFleet(directory, host_module="standins.cut_hosts") as site:
        site.start(engines=2, services=2, hosts=HOSTS)
        ends_at = time.time() + 2.0 + CUT_S + HEALED_S
        threads = [
            threading.Thread(
                target=send_requests,
                args=(site, f"front-{worker % HOSTS}", worker, ends_at, played.answers),
            )
            for worker in range(HOSTS * CALLERS_PER_HOST)
        ]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        played.cut_at = time.time()
        for name in cut_hosts:
            site.cut(name, BACK_ENDS, how)
        time.sleep(CUT_S)
        played.healed_at = time.time()
        for name in cut_hosts:
            site.heal(name)
        for thread in threads:
            thread.join()
        for name in BACK_ENDS:
            played.runs.update(
                line["attempt-id"] for line in site.journal(name) if line["event"] == "run"
            )
        for name in site.addresses:
            played.logs[name] = site.fleet.log_path(name).read_text()
    return played


@pytest.fixture(
    scope="module",
    params=[
        pytest.param((("front-0",), "hang"), id="one-hangs"),
        pytest.param((("front-0", "front-1"), "hang"), id="two-hang"),
        pytest.param((("front-0",), "refuse"), id="one-refuses"),
        pytest.param((("front-0", "front-1"), "refuse_new"), id="two-refuse-new"),
    ],
)
def played(request, tmp_path_factory):
    cut_hosts, how = request.param
    return play(tmp_path_factory.mktemp("cut"), cut_hosts, how)


def test_callers_of_hosts_that_are_cut_off_are_served_like_the_others(played):
    begin, end = played.cut_at + CONTACT_S, played.healed_at - 1.0
    others = {"front-0", "front-1", "front-2"} - set(played.cut_hosts)
    served, sent = played.count_served(played.cut_hosts, begin, end)
    others_served, others_sent = played.count_served(others, begin, end)
    assert served / sent >= 0.9 * others_served / others_sent
    assert sent >= 20


def test_callers_of_the_other_hosts_are_served_beside_a_cut(played):
    others = {"front-0", "front-1", "front-2"} - set(played.cut_hosts)
    begin, end = played.cut_at + CONTACT_S, played.healed_at - 1.0
    served, sent = played.count_served(others, begin, end)
    assert served >= 0.95 * sent


def test_no_request_that_may_run_once_runs_again_beside_a_cut(played):
    stamps = [each[3] for each in played.answers if each[2] == STAMP_PATH]
    assert [attempt for attempt in stamps if played.runs[attempt] > 1] == []


def test_a_refusal_that_says_not_run_beside_a_cut_is_true(played):
    refused = [each[3] for each in played.answers if each[2] == STAMP_PATH and each[4] == 503]
    assert [attempt for attempt in refused if played.runs[attempt]] == []


def test_hosts_use_their_own_paths_again_after_a_cut(played):
    served, sent = played.count_served(
        played.cut_hosts, played.healed_at + 2.0, played.healed_at + HEALED_S
    )
    assert sent and served >= 0.95 * sent
