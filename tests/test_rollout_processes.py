"""Play rollouts that an operator orders against hosts and engines in processes.

The old engines are killed at the moment at which the store shows that a rollout is completed.
"""

import base64
import http.client
import json
import threading
import time
from dataclasses import dataclass

import pytest

from standins.fleets import call, set_faults, wait_until
from standins.platform_engine import EVENTS_PER_STREAM
from standins.platform_fleets import STREAM_PATH, PlatformFleet

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("rollouts")]
POOL = "drafting"
ENGINES = 6
"""Engines of each version."""
HOSTS = 2
LONG_PATH = "/long/stream"
LONG_INTERVAL_S = 0.4
LONG_CALLERS = 8
SHORT_CALLERS = 12
CALLER_PAUSE_S = 0.05
TIMEOUT_MS = 6_000
ORDER_S = 20.0
CALM_S = 5.0
AFTER_S = 2.0
EMPTIED_AFTER_S = 11.0
DRAIN_S = 5.0
"""Time for which draining engines serve on, in seconds: longer than the streams take."""
LATE_S = 6.0
"""Time after that of the order for which its end is waited for, in seconds."""


@dataclass
class Answer:
    """Hold a caller's request, and whether it got the whole stream; times are Unix times."""

    attempt: str
    path: str
    sent_at: float
    ended_at: float
    whole: bool


class RolloutLoad:
    """Send streams to all hosts one after the other, and carry out what a platform does."""

    def __init__(self, site):
        self.site = site
        self.answers = []
        self.stopping = threading.Event()
        self.threads = []
        self.ordered_at = self.ended_at = 0.0

    def begin(self):
        paths = [LONG_PATH] * LONG_CALLERS + [STREAM_PATH] * SHORT_CALLERS
        for number, path in enumerate(paths):
            thread = threading.Thread(target=self.send, args=(number, path))
            thread.start()
            self.threads.append(thread)

    def end(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def send(self, worker, path):
        number = 0
        while not self.stopping.is_set():
            number += 1
            attempt = f"p-{worker}-{number}"
            sent_at = time.time()
            fields = {"Token_Counts": "100,50", "Model": "m", "Request_Deadline": str(TIMEOUT_MS)}
            try:
                answer = self.site.send_caller_request(
                    f"front-{worker % HOSTS}", path, attempt, **fields
                )
                whole = answer.status == 200 and answer.body.count(b"id: ") == EVENTS_PER_STREAM
            except (OSError, http.client.HTTPException):
                whole = False
            self.answers.append(Answer(attempt, path, sent_at, time.time(), whole))
            time.sleep(CALLER_PAUSE_S)

    def order(self):
        self.ordered_at = time.time()
        doc = {"service": POOL, "target": "v2", "durationS": ORDER_S}
        self.site.put(f"op/rollout/{POOL}", doc)

    def state(self):
        answer = call(self.site.store_port, "GET", f"/kv-key?key=status/rollout/{POOL}")
        if answer.status != 200:
            return ""
        return json.loads(base64.b64decode(answer.json()["value"]))["state"]

    def await_end(self):
        """Wait until the rollout has ended; stop the old engines at once if it is completed."""
        deadline = self.ordered_at + ORDER_S + LATE_S
        while (state := self.state()) not in ("completed", "rolled_back"):
            assert time.time() < deadline, "the rollout has not ended"
            time.sleep(0.02)
        self.ended_at = time.time()
        if state == "completed":
            self.stop_engines("old")
        return state

    def empty_new_engines(self):
        """Empty the new engines and take them away, as planned work does."""
        names = [f"i-new{number}" for number in range(ENGINES)]
        for name in names:
            process = self.site.fleet.processes[name]
            self.site.register(name, POOL, process.port, state="draining")
        time.sleep(DRAIN_S)
        self.stop_engines("new")

    def stop_engines(self, kind):
        for number in range(ENGINES):
            self.site.fleet.processes[f"i-{kind}{number}"].kill()
        for number in range(ENGINES):
            self.site.put(f"servers/i-{kind}{number}", None)

    def reasons(self):
        """Return what the hosts have logged about the rollout."""
        logs = [self.site.fleet.log_path(name).read_text() for name in self.site.addresses]
        lines = [line for log in logs for line in log.splitlines()]
        return "\n".join(line for line in lines if "event=move_step" in line)

    def failed_since(self, begin):
        """Return the failed requests that ended after a time, with times after the order."""
        failed = [one for one in self.answers if one.ended_at >= begin and not one.whole]
        return [
            (one.attempt, one.path, one.sent_at - self.ordered_at, one.ended_at - self.ordered_at)
            for one in failed
        ]


def start_engines(site, kind, version):
    for number in range(ENGINES):
        name = f"i-{kind}{number}"
        site.software[name] = version
        started = site.start_back_end(name, POOL)
        set_faults(started.port, long_path="/long/", long_interval_s=LONG_INTERVAL_S)


def create_stream_route(name):
    return {
        "name": f"r-{name}",
        "pathPrefix": f"/{name}/",
        "kind": "stream",
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": 400,
        "gapTargetMs": 800,
        "priority": 0,
        "service": POOL,
        "maxAttempts": 1,
        "streamResume": False,
    }


@pytest.fixture
def load(tmp_path):
    routes = [create_stream_route("draft"), create_stream_route("long")]
    with PlatformFleet(tmp_path, base={"routes": routes}) as site:
        site.start(engines=0, services=1, hosts=HOSTS)
        start_engines(site, "old", "v1")
        load = RolloutLoad(site)
        wait_until(lambda: site.send_caller_request("front-0", STREAM_PATH, "p").status == 200, "")
        load.begin()
        try:
            yield load
        finally:
            load.end()


def test_no_stream_runs_on_the_old_engines_when_a_rollout_is_completed(load):
    """Streams were cut by the end of engines that "completed" had given up (issue 49, LOST)."""
    time.sleep(CALM_S)
    start_engines(load.site, "new", "v2")
    load.order()
    assert load.await_end() == "completed", load.reasons()
    time.sleep(AFTER_S)
    load.end()
    assert load.failed_since(load.ordered_at) == [], load.reasons()
    assert load.ended_at - load.ordered_at <= ORDER_S


def test_a_rollout_whose_new_engines_are_taken_away_is_not_completed(load):
    """The old engines were stopped too, and nothing was served any more (issue 49, LOST)."""
    time.sleep(CALM_S)
    start_engines(load.site, "new", "v2")
    load.order()
    time.sleep(EMPTIED_AFTER_S)
    load.empty_new_engines()
    assert load.await_end() == "rolled_back", load.reasons()
    assert load.ended_at - load.ordered_at <= ORDER_S
    time.sleep(AFTER_S)
    load.end()
    assert load.failed_since(load.ordered_at) == [], load.reasons()
