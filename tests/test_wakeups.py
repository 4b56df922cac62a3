"""Test how often an idle process wakes up: periodic timers, signals and the scheduler's checks."""

import os
import signal

from tarragonwind.adapters.loops import create_loop
from tarragonwind.adapters.signal_wakers import SignalWaker
from tarragonwind.schedulers import IDLE_TICK_PERIOD_S, TICK_PERIOD_S
from tests.catalogue_samples import pool, upstream
from tests.test_schedulers import OneMember, Site

RUN_S = 1.1


def run_loop(loop, seconds):
    loop.timers.call_later(seconds, loop.stop)
    loop.run()


def test_timers_of_related_periods_are_due_together_whenever_they_start():
    loop = create_loop()
    runs = []

    def start(period_s):
        loop.timers.call_every(period_s, lambda: runs.append((loop.timers.now(), period_s)))

    for delay_s, period_s in [(0.0, 0.1), (0.03, 0.2), (0.07, 0.1), (0.13, 0.2)]:
        loop.timers.call_later(delay_s, lambda period_s=period_s: start(period_s))
    run_loop(loop, RUN_S)
    wakeups = [
        at for number, (at, _) in enumerate(runs) if not number or at - runs[number - 1][0] > 0.02
    ]
    assert len(wakeups) <= RUN_S / 0.1 + 1
    for period_s in (0.1, 0.2):
        assert 2 * (RUN_S / period_s - 2) <= [each for _, each in runs].count(period_s)


def test_a_signal_wakes_the_loop_without_a_timer():
    loop = create_loop()
    handled = []
    previous = signal.signal(signal.SIGUSR1, lambda number, frame: None)
    try:
        SignalWaker(loop.poller, lambda: (handled.append(loop.timers.now()), loop.stop()))
        loop.timers.call_later(0.0, lambda: os.kill(os.getpid(), signal.SIGUSR1))
        loop.timers.call_later(2.0, loop.stop)
        started_at = loop.timers.now()
        loop.run()
        assert handled and handled[0] - started_at < 0.5
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, previous)


class OtherOwnerMembers(OneMember):
    """Membership in which another host owns every pool."""

    def live(self):
        return (self.name, "entry-2")

    def owner_of(self, key):
        return "entry-2"


def count_ticks(site, seconds):
    """Return the checks of permit requests within a time."""
    ticks = []
    check = site.scheduler.client.tick
    site.scheduler.client.tick = lambda now: (ticks.append(now), check(now))
    site.timers.advance(seconds)
    site.scheduler.client.tick = check
    return len(ticks)


def test_a_host_without_waiting_requests_checks_rarely():
    site = Site(pool(), upstream(slots=1), members=OtherOwnerMembers())
    assert count_ticks(site, 5.0) <= 5.0 / IDLE_TICK_PERIOD_S + 1


def test_a_host_whose_request_waits_checks_at_the_short_interval():
    site = Site(pool(), upstream(slots=1), members=OtherOwnerMembers())
    site.request_permit()
    assert count_ticks(site, 1.0) >= 1.0 / TICK_PERIOD_S - 1


def test_the_owner_of_a_pool_checks_at_the_short_interval():
    site = Site(pool(), upstream(slots=1))
    assert count_ticks(site, 1.0) >= 1.0 / TICK_PERIOD_S - 1
