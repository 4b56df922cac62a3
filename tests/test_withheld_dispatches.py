"""Test that a granted request isn't sent to an upstream that went out of use since its grant."""

import threading
import time

import pytest

from standins.fleets import wait_until
from tarragonwind.adapters.connects import Connector, DirectConnector
from tarragonwind.core.dispatches import MAX_OUTDATED_GRANTS, MAX_UNSENT_ATTEMPTS
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.futures import Future
from tests.support import RoundRobinScheduler
from tests.test_gateways import GatewayHarness, chat

UPSTREAM = "up-1"
OPEN_DELAY_S = 0.2


class EvacuatingScheduler(RoundRobinScheduler):
    """Grant an upstream whatever its state is, as an owner with an old copy of the store does."""

    def __init__(self):
        super().__init__([UPSTREAM])
        self.in_use = True
        self.on_request = lambda: None

    def request_permit(self, request, on_granted, on_refused):
        self.on_request()
        return super().request_permit(request, on_granted, on_refused)

    def may_dispatch(self, permit):
        return self.in_use

    def is_open(self, permit):
        return self.in_use


class SlowConnector(Connector):
    """Report each connection some time after it was opened."""

    def __init__(self, loop):
        self.loop = loop
        self.direct = DirectConnector(loop, 1.0)
        self.opened = 0

    def connect(self, address, on_open, on_failed):
        def pass_on(conn):
            self.opened += 1
            self.loop.timers.call_later(OPEN_DELAY_S, lambda: on_open(conn))

        return self.direct.connect(address, pass_on, on_failed)


@pytest.fixture
def harness():
    started = GatewayHarness()
    started.scheduler = started.gateway.context.scheduler = EvacuatingScheduler()
    yield started
    started.close()


class Caller(threading.Thread):
    """Send one request and keep the status of its response."""

    def __init__(self, harness):
        super().__init__()
        self.harness = harness
        self.status = 0
        self.start()

    def run(self):
        response, conn = self.harness.post(chat())
        response.read()
        self.status = response.status
        conn.close()


def outcomes(harness):
    return [report.outcome for report in harness.scheduler.reports]


def check_outcomes(harness, expected):
    wait_until(lambda: len(outcomes(harness)) >= len(expected), "the permits are released")
    assert outcomes(harness) == expected


def test_a_grant_that_arrives_in_a_pause_waits_until_the_copy_of_the_store_is_current(harness):
    held = Future()
    harness.gateway.context.hold = lambda: held if harness.paused else None
    harness.paused = False

    def on_request():
        # The pause comes while the request waits for its permit. The owner's second grant is not
        # outdated any more.
        harness.paused = not held.done()
        harness.scheduler.in_use = True

    harness.scheduler.on_request = on_request
    caller = Caller(harness)
    wait_until(lambda: harness.scheduler.scheduling_requests, "the request is granted")
    time.sleep(0.1)
    assert not outcomes(harness) and harness.gateway.context.dispatched_requests == 0

    def release():
        # What the host reads after the pause takes the upstream out of use.
        harness.scheduler.in_use = False
        harness.paused = False
        held.set_result(None)

    harness.runner.call(release)
    caller.join()
    assert caller.status == 200
    check_outcomes(harness, [Outcome.UNUSED, Outcome.OK])


def test_a_request_outlasts_the_grants_of_an_owner_that_does_not_know_of_an_evacuation(harness):
    harness.scheduler.in_use = False
    outdated_grants = MAX_UNSENT_ATTEMPTS + 2

    def count():
        if len(harness.scheduler.reports) == outdated_grants:
            harness.scheduler.in_use = True

    harness.scheduler.on_request = count
    caller = Caller(harness)
    caller.join()
    assert caller.status == 200
    check_outcomes(harness, [Outcome.UNUSED] * outdated_grants + [Outcome.OK])


def test_nothing_is_sent_on_a_connection_that_opens_after_its_upstream_went_out_of_use(harness):
    connector = SlowConnector(harness.runner.loop)
    harness.gateway.context.client.connector = connector
    caller = Caller(harness)
    wait_until(lambda: connector.opened, "the connection is open")
    harness.scheduler.in_use = False
    harness.scheduler.on_request = lambda: setattr(harness.scheduler, "in_use", True)
    caller.join()
    assert caller.status == 200
    # It is no failure of the upstream, which would eject it.
    check_outcomes(harness, [Outcome.CANCELLED, Outcome.OK])
    assert connector.opened == 2


def test_an_owner_that_grants_upstreams_out_of_use_for_ever_does_not_hold_up_a_host(harness):
    harness.scheduler.in_use = False
    caller = Caller(harness)
    caller.join()
    assert caller.status == 503
    assert len(harness.scheduler.reports) <= MAX_OUTDATED_GRANTS + MAX_UNSENT_ATTEMPTS
