"""Test the lines and metrics that tell how busy a host is."""

import random

import pytest
from loguru import logger

from bench.virtual_clocks import VirtualTimers
from tarragonwind.adapters.loops import LoopLoad, create_loop
from tarragonwind.adapters.peer_settings import TrafficCounters
from tarragonwind.core.version_selectors import UnrestrictedVersionSelector
from tarragonwind.load_monitors import LoadMonitor
from tarragonwind.schedulers import PermitScheduler
from tarragonwind.telemetry import create_unexported_telemetry
from tests.support import run_until
from tests.test_schedulers import LoopbackPeers, OtherOwnerMembers


class FakePoller:
    def __init__(self):
        self.load = LoopLoad()

    def take_busy(self):
        load, self.load = self.load, LoopLoad()
        return load


@pytest.fixture
def lines():
    messages = []
    sink = logger.add(lambda msg: messages.append(msg.record["message"]), level="INFO")
    yield messages
    logger.remove(sink)


@pytest.fixture
def site(lines):
    class Site:
        timers = VirtualTimers()
        poller = FakePoller()
        traffic = {"PermitSync": TrafficCounters(), "PermitAsk": TrafficCounters()}
        telemetry = create_unexported_telemetry()

    scheduler = PermitScheduler(
        OtherOwnerMembers(),
        LoopbackPeers(Site.timers),
        Site.timers,
        random.Random(1),
        UnrestrictedVersionSelector(),
    )
    Site.scheduler = scheduler
    Site.monitor = LoadMonitor(Site.timers, Site.poller, Site.traffic, scheduler, Site.telemetry)
    return Site


def test_a_busy_loop_tells_what_it_receives(site, lines):
    site.traffic["PermitSync"].received_messages = 300
    site.traffic["PermitAsk"].received_messages = 20
    site.poller.load = LoopLoad(0.9, 0.4)
    site.monitor.check()
    assert [line for line in lines if "event=loop_busy" in line] == [
        "event=loop_busy busy_s=0.90 of_s=1.00 longest_round_s=0.400 pools=- waiting=0 "
        "received=PermitSync:300,PermitAsk:20"
    ]
    assert site.telemetry.loop_busy.value() == pytest.approx(0.9)
    assert site.telemetry.loop_longest_round.value() == pytest.approx(0.4)


def test_an_idle_loop_logs_nothing(site, lines):
    site.poller.load = LoopLoad(0.6, 0.4)
    site.monitor.check()
    assert lines == []


def test_local_shares_are_counted(site, lines):
    site.scheduler.client.local_shares_begun = 3
    site.monitor.check()
    site.monitor.check()
    assert lines == ["event=local_share_begun times=3 in_use=False"]
    assert site.telemetry.local_shares.value() == 3


def test_the_poller_measures_the_time_between_polls():
    loop = create_loop()
    done = []

    def work():
        end = loop.timers.now() + 0.05
        while loop.timers.now() < end:
            pass
        done.append(True)

    loop.timers.call_later(0.01, work)
    loop.timers.call_later(0.2, lambda: done.append(True))
    run_until(loop, lambda: len(done) == 2)
    load = loop.poller.take_busy()
    assert load.longest_s >= 0.05 and load.total_s >= load.longest_s
    assert loop.poller.take_busy() == LoopLoad()
