"""Pause a host for seconds while what it knows lapses, with requests that wait meanwhile."""

import signal
import threading
import time
from contextlib import contextmanager

import pytest

from standins.fleets import set_faults, wait_until
from standins.platform_fleets import KEYS, LOOKUP_PATH, PlatformFleet

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("paused")]
ROUNDS = 2
"""Pauses in one test, since the order in which a resumed host reads its sockets varies."""
REQUESTS = 8
PAUSE_S = 6.0
SENT_BEFORE_END_S = 0.5
"""Time from the requests to the end of the pause: changes have been in force elsewhere by then."""
WORK_S = 1.5
"""Time for which a request holds the only slot of the back end."""
WAIT_LIMIT_MS = 2_500
LONG_PAUSE_S = 4.0


class Sender(threading.Thread):
    """Send one request to the paused host and keep its status."""

    def __init__(self, site, attempt, **more):
        super().__init__()
        self.site, self.attempt, self.more = site, attempt, more
        self.status = 0
        self.start()

    def run(self):
        answer = self.site.send_caller_request("front-1", LOOKUP_PATH, self.attempt, **self.more)
        self.status = answer.status


@pytest.fixture
def site(tmp_path):
    with PlatformFleet(tmp_path) as fleet:
        yield fleet


@contextmanager
def paused(site):
    host = site.fleet.processes["front-1"]
    host.pause()
    try:
        yield
    finally:
        host.resume()


def send_all(site, name, **more):
    return [Sender(site, f"{name}-{number}", **more) for number in range(REQUESTS)]


def statuses_of(senders):
    for sender in senders:
        sender.join()
    return {sender.status for sender in senders}


def journal_lines(site, prefix):
    names = [name for name in site.fleet.processes if name.startswith("i-")]
    return [
        (name, line)
        for name in names
        for line in site.journal(name)
        if line["event"] == "run" and line["attempt-id"].startswith(prefix)
    ]


def catalogue_number(site, name):
    page = site.send_request(name, "metrics", "GET", "/metrics").body.decode()
    rows = [line for line in page.splitlines() if line.startswith("tarragonwind_catalogue_number")]
    return int(float(rows[0].rsplit(" ", 1)[1])) if rows else 0


def wait_in_force(site):
    for name in site.addresses:
        wait_until(
            lambda name=name: catalogue_number(site, name) == site.version,
            "the configuration is in force",
        )


def test_a_key_that_was_withdrawn_during_a_pause_is_refused_after_it(site):
    site.start(engines=1, services=2, hosts=2)
    for number in range(ROUNDS):
        with paused(site):
            site.configure(keys={"cantiere": KEYS["cantiere"]})
            time.sleep(PAUSE_S - SENT_BEFORE_END_S)
            senders = send_all(site, f"k-{number}")
            time.sleep(SENT_BEFORE_END_S)
        assert statuses_of(senders) == {401}
        assert not journal_lines(site, f"k-{number}-")
        site.configure()
        wait_in_force(site)


def test_an_upstream_that_left_during_a_pause_gets_nothing_after_it(site):
    site.start(engines=1, services=2, hosts=2)
    leaving = "i-service0"
    port = site.fleet.processes[leaving].port
    for number in range(ROUNDS):
        with paused(site):
            site.register(leaving, "registry", port, state="draining")
            time.sleep(PAUSE_S - SENT_BEFORE_END_S)
            senders = send_all(site, f"u-{number}")
            time.sleep(SENT_BEFORE_END_S)
        assert statuses_of(senders) == {200}
        assert {name for name, _ in journal_lines(site, f"u-{number}-")} == {"i-service1"}
        site.register(leaving, "registry", port)
        time.sleep(1.0)


def test_a_request_whose_time_has_passed_in_a_pause_is_not_sent_after_it(site):
    site.slots = 1
    site.start(engines=1, services=1, hosts=2)
    set_faults(site.fleet.processes["i-service0"].port, pause_s=WORK_S)
    for number in range(ROUNDS):
        holder = threading.Thread(
            target=site.send_caller_request, args=("front-0", LOOKUP_PATH, f"h-{number}")
        )
        holder.start()
        time.sleep(0.2)
        sender = Sender(site, f"w-{number}", Request_Deadline=str(WAIT_LIMIT_MS))
        sent_at = time.time()
        time.sleep(0.3)
        with paused(site):
            time.sleep(LONG_PAUSE_S)
        holder.join()
        assert statuses_of([sender]) <= {503, 504}
        late = [line for _, line in journal_lines(site, f"w-{number}") if line["at"] > sent_at + 2]
        assert not late


def test_a_planned_stop_during_a_pause_cuts_off_no_request(site):
    site.start(engines=1, services=2, hosts=2)
    with paused(site):
        senders = send_all(site, "s")
        time.sleep(SENT_BEFORE_END_S)
        site.fleet.processes["front-1"].process.send_signal(signal.SIGTERM)
        time.sleep(PAUSE_S / 3)
    assert statuses_of(senders) <= {200, 503}
    assert site.fleet.processes["front-1"].process.wait(10) == 0
