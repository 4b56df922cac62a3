"""Stop a host while requests wait or run: each gets an answer, and none is begun to be cut."""

import http.client
import json
import signal
import threading
import time

import pytest

from standins.fleets import set_faults, wait_until
from standins.platform_fleets import GRACE_S, LOOKUP_PATH, STAMP_PATH, PlatformFleet
from tarragonwind.core.entries import RouteEntry
from tarragonwind.core.permit_requests import Permit
from tests.support import RoundRobinScheduler
from tests.test_gateways import AUTH, GatewayHarness, ScriptedUpstream, chat

LONG_S = 30.0
LONG_TIME = {"Request_Deadline": "20000"}


class HoldingScheduler(RoundRobinScheduler):
    """Keep permit requests until the test grants them."""

    def __init__(self, upstreams):
        super().__init__(upstreams)
        self.waiting = []

    def request_permit(self, request, on_granted, on_refused):
        self.scheduling_requests.append(request)
        permit_id = len(self.scheduling_requests)
        self.waiting.append(lambda: on_granted(Permit(permit_id, request.pool, "up-1", "v1", "")))
        return permit_id


class Site:
    """Run a gateway before an upstream that never answers."""

    def __init__(self, repeatable):
        self.upstream = ScriptedUpstream(b"", keep=True)
        self.harness = GatewayHarness(self.upstream.port)
        self.harness.catalogue.routes[0] = RouteEntry(
            name="chat",
            owner="o",
            pool="chat",
            tier=1,
            model="m",
            deadline_s=LONG_S,
            idempotent=repeatable,
            max_attempts=3,
        )
        self.context = self.harness.gateway.context
        self.answers = []

    def hold_permits(self):
        scheduler = HoldingScheduler(["up-1"])
        self.context.scheduler = scheduler
        return scheduler

    def send(self):
        def run():
            port = self.harness.gateway.address.port
            conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
            conn.request("POST", "/v1/chat/completions", json.dumps(chat()), AUTH)
            response = conn.getresponse()
            self.answers.append((response.status, json.loads(response.read())))
            conn.close()

        threading.Thread(target=run, daemon=True).start()

    def call(self, function):
        return self.harness.runner.call(function)

    def stop(self, in_s):
        def begin():
            gateway = self.harness.gateway
            gateway.stop()
            gateway.set_end(gateway.context.loop.timers.now() + in_s)

        self.call(begin)

    def wait_for_answer(self):
        wait_until(lambda: self.answers, "the caller has an answer")
        return self.answers[0]

    def close(self):
        self.upstream.close()
        self.harness.close()


@pytest.fixture(params=[True, False], ids=["repeatable", "not-repeatable"])
def site(request):
    one = Site(request.param)
    yield one
    one.close()


def test_a_request_that_waits_at_the_end_is_answered_as_not_run(site):
    scheduler = site.hold_permits()
    site.send()
    wait_until(lambda: scheduler.waiting, "the request waits")
    site.stop(LONG_S)
    site.call(site.harness.gateway.end_requests)
    status, doc = site.wait_for_answer()
    assert (status, doc["kind"], doc["not_run"]) == (503, "stopping", True)
    assert scheduler.cancelled == [1]
    assert not site.upstream.requests


def test_a_request_that_runs_at_the_end_is_answered_with_an_unknown_outcome(site):
    site.send()
    wait_until(lambda: site.upstream.requests, "the request runs")
    site.stop(LONG_S)
    site.call(site.harness.gateway.end_requests)
    status, doc = site.wait_for_answer()
    assert (status, doc["not_run"]) == (502, "unknown")
    assert len(site.upstream.requests) == 1


def test_a_request_that_gets_its_permit_late_in_a_stop_is_not_begun(site):
    """Guards against requests that are passed on only to be cut at the end of the grace."""
    scheduler = site.hold_permits()
    site.send()
    wait_until(lambda: scheduler.waiting, "the request waits")
    site.stop(1.0)
    site.call(scheduler.waiting[0])
    status, doc = site.wait_for_answer()
    assert (status, doc["kind"], doc["not_run"]) == (503, "stopping", True)
    assert not site.upstream.requests
    assert len(scheduler.reports) == 1


@pytest.mark.parametrize("site", [False], indirect=True)
def test_a_request_that_may_not_be_repeated_begins_only_if_all_its_time_is_left(site):
    scheduler = site.hold_permits()
    site.send()
    wait_until(lambda: scheduler.waiting, "the request waits")
    site.stop(LONG_S - 5.0)
    site.call(scheduler.waiting[0])
    status, doc = site.wait_for_answer()
    assert (status, doc["not_run"]) == (503, True)
    assert not site.upstream.requests


def test_a_host_that_ends_leaves_no_request_without_an_answer(tmp_path):
    with PlatformFleet(tmp_path, base={"timeout_ms": 20_000}) as fleet:
        fleet.start(engines=1, services=1, hosts=1)
        set_faults(fleet.fleet.processes["i-service0"].port, silent=True)
        ends = []

        def send(path, name):
            try:
                ends.append(fleet.send_caller_request("front-0", path, name, **LONG_TIME).status)
            except (OSError, http.client.HTTPException) as exc:
                ends.append(type(exc).__name__)

        threads = [
            threading.Thread(target=send, args=(path, f"{path}-{number}"), daemon=True)
            for path in (STAMP_PATH, LOOKUP_PATH)
            for number in range(2)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        process = fleet.fleet.processes["front-0"].process
        process.send_signal(signal.SIGTERM)
        assert process.wait(GRACE_S + 1.0) == 0
        for thread in threads:
            thread.join(2.0)
    assert len(ends) == 4
    assert set(ends) <= {502, 503, 504}
