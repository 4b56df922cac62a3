"""Play each change of a configuration against a request at each point of its life.

A row of the table is a change, a column is where a request is when it comes. Both are registered
below; every cell is played on both hosts of one fleet of processes.
"""

import signal
import time
from dataclasses import dataclass, field

import pytest

from standins.fleets import set_faults, wait_until
from standins.platform_fleets import KEYS, STAMP_PATH, STREAM_PATH
from tests.configuration_changes import (
    SLOW_PATH,
    TIMED_PATH,
    Caller,
    RowPlayer,
    check_answer,
    list_routes,
    restart_ended_hosts,
    start_site,
)

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("configuration-changes")]
OK = frozenset([200])
SPREAD_S = 3.2
"""Time after which every host goes by a narrower limit on what callers send, in seconds."""
SHORT_IDLE_MS = 1_500
SHORT_HEAD_MS = 800
FROZEN_S = 2.0
NOTICE_END_S = 8.0
UNREAD = ("head_half_sent", "body_half_sent", "kept_idle")
"""Points at which the request is read whole only after the change."""

POINTS = {}
CHANGES = {}


def point(hold):
    """Register a column: what a caller sends before the change, and after it."""
    POINTS[hold.__name__] = hold
    return hold


@dataclass
class Change:
    """Hold a row: the configuration before it, the change, and the statuses that it allows."""

    play: object
    before: dict
    unread: frozenset
    waiting: frozenset
    others: dict = field(default_factory=dict)

    def allowed(self, where):
        if where in self.others:
            return frozenset(self.others[where])
        if where in UNREAD:
            return self.unread
        return self.waiting if where == "waiting" else OK


def change(before=None, unread=OK, waiting=OK, **others):
    """Register a row; `unread` and `waiting` are the statuses that callers may get there."""

    def register(play):
        CHANGES[play.__name__] = Change(
            play, before or {}, frozenset(unread), frozenset(waiting), others
        )
        return play

    return register


# Where the request is


@point
def dispatched(caller):
    caller.send(*caller.create_request(SLOW_PATH))
    yield


@point
def waiting(caller):
    caller.send(*caller.create_request(SLOW_PATH))
    yield


@point
def streaming(caller):
    caller.send(*caller.create_request(STREAM_PATH))
    caller.read_event()
    yield


@point
def head_half_sent(caller):
    head, body = caller.create_large_request()
    caller.send(head[: len(head) // 2])
    yield
    caller.send(head[len(head) // 2 :], body)


@point
def body_half_sent(caller):
    head, body = caller.create_large_request()
    caller.send(head, body[: len(body) // 2])
    yield
    caller.send(body[len(body) // 2 :])


@point
def kept_idle(caller):
    assert caller.ask(STAMP_PATH).status == 200
    yield
    caller.send(*caller.create_request(STAMP_PATH))


# What changes. A raised limit follows its lowered one, so that the short limit binds by then.


def wait_spread(site):
    """Wait until a narrower limit binds."""
    time.sleep(max(0.0, site.in_force_at + SPREAD_S - time.time()))


@change()
def idle_limit_lowered(site):
    site.change(limits={"idleTimeoutMs": SHORT_IDLE_MS})
    site.wait_in_force()
    yield
    wait_spread(site)
    callers = [Caller(site, name) for name in site.addresses]
    assert [caller.ask(STAMP_PATH).status for caller in callers] == [200, 200]
    started_at = time.monotonic()
    for caller in callers:
        caller.wait_closed()
        assert 0.8 < (time.monotonic() - started_at) * 1_000 / SHORT_IDLE_MS < 1.8


@change(before={"limits": {"idleTimeoutMs": SHORT_IDLE_MS}})
def idle_limit_raised(site):
    site.change(limits={"idleTimeoutMs": 20_000})
    site.wait_in_force()
    yield
    callers = [Caller(site, name) for name in site.addresses]
    assert [caller.ask(STAMP_PATH).status for caller in callers] == [200, 200]
    time.sleep(1.5 * SHORT_IDLE_MS / 1_000)
    assert [caller.ask(STAMP_PATH).status for caller in callers] == [200, 200]


@change(unread=[200, 408])
def header_timeout_lowered(site):
    site.change(limits={"headerTimeoutMs": SHORT_HEAD_MS})
    site.wait_in_force()
    time.sleep(1.2 * SHORT_HEAD_MS / 1_000)
    yield
    wait_spread(site)
    callers = [Caller(site, name) for name in site.addresses]
    started_at = time.monotonic()
    for caller in callers:
        caller.send(caller.create_request(STAMP_PATH)[0][:20])
    for caller in callers:
        assert caller.read_answer().status == 408
        assert 0.8 < (time.monotonic() - started_at) * 1_000 / SHORT_HEAD_MS < 2.0


@change(before={"limits": {"headerTimeoutMs": SHORT_HEAD_MS}}, unread=[200, 408])
def header_timeout_raised(site):
    site.change()
    site.wait_in_force()
    time.sleep(1.2 * SHORT_HEAD_MS / 1_000)
    yield
    callers = [Caller(site, name) for name in site.addresses]
    heads = [caller.create_request(STAMP_PATH) for caller in callers]
    for caller, (head, _) in zip(callers, heads, strict=True):
        caller.send(head[:20])
    time.sleep(1.5 * SHORT_HEAD_MS / 1_000)
    for caller, (head, body) in zip(callers, heads, strict=True):
        caller.send(head[20:], body)
        assert caller.read_answer().status == 200


@change(unread=[200, 413, 431])
def head_and_body_limits_lowered(site):
    site.change(limits={"maxHeaderBytes": 1_000, "maxBodyBytes": 1_000})
    site.wait_in_force()
    yield
    wait_spread(site)
    for name in site.addresses:
        caller = Caller(site, name)
        assert caller.ask(STAMP_PATH, X_Pad="x" * 500).status == 200
        assert caller.ask(STAMP_PATH, X_Pad="x" * 1_000).status == 431
        caller = Caller(site, name)
        caller.send(*caller.create_request(STAMP_PATH, b"x" * 1_001))
        assert caller.read_answer().status == 413


def time_requests(site, pause_s):
    """Ask each host on the timed route while its back end is silent; yield status and seconds."""
    port = site.fleet.processes["i-archive"].port
    set_faults(port, pause_s=pause_s)
    started_at = time.monotonic()
    callers = [Caller(site, name) for name in site.addresses]
    for caller in callers:
        caller.send(*caller.create_request(TIMED_PATH))
    for caller in callers:
        yield caller.read_answer().status, time.monotonic() - started_at
    set_faults(port, pause_s=0.0)


@change(before={"routes": list_routes(timeout_ms=6_000, timed_ms=2_200)})
def timeout_raised(site):
    site.change(routes=list_routes(timed_ms=6_000))
    site.wait_in_force()
    yield
    for status, took_s in time_requests(site, 2.4):
        assert status == 200
        assert took_s > 2.4


@change(unread=[200, 504])
def timeout_lowered(site):
    site.change(routes=list_routes(timeout_ms=600, timed_ms=600))
    site.wait_in_force()
    yield
    for status, took_s in time_requests(site, 2.0):
        assert status == 504
        assert 0.5 < took_s < 1.5


def check_moved(site):
    for name in site.addresses:
        for path in (STAMP_PATH, SLOW_PATH):
            answer = Caller(site, name).ask(path)
            assert (answer.status, answer.body.decode()) == (200, f"i-archive {path}")
        answer = Caller(site, name).ask(STREAM_PATH)
        assert (answer.status, b"i-archive.10" in answer.body) == (200, True)


@change(waiting=[200, 503])
def routes_moved_to_another_pool(site):
    site.change(routes=list_routes("archive"))
    site.wait_in_force()
    yield
    check_moved(site)


def check_refused(site, status, path=STAMP_PATH, key="officina"):
    for name in site.addresses:
        answer = Caller(site, name).ask(path, Authorization=f"Bearer {KEYS[key]}")
        assert answer.status == status


@change(unread=[404], waiting=[200, 503])
def routes_dropped(site):
    site.change(routes=list_routes(dropped=True))
    site.wait_in_force()
    yield
    for path in (STAMP_PATH, SLOW_PATH, STREAM_PATH):
        check_refused(site, 404, path)


@change(unread=[503], waiting=[200, 503])
def pools_dropped(site):
    site.change(pools=("archive",))
    site.wait_in_force()
    yield
    for path in (STAMP_PATH, SLOW_PATH, STREAM_PATH):
        check_refused(site, 503, path)
    check_refused(site, 200, TIMED_PATH)


@change(unread=[200, 404, 503], waiting=[200, 503])
def pools_and_routes_dropped_and_back(site):
    site.change(pools=("archive",), routes=list_routes(dropped=True))
    site.wait_in_force()
    site.change()
    site.wait_in_force()
    yield
    for path in (STAMP_PATH, STREAM_PATH):
        check_refused(site, 200, path)


@change(unread=[401])
def key_taken_away(site):
    site.change(keys={**KEYS, "officina": "key-new"})
    site.wait_in_force()
    yield
    check_refused(site, 401)
    check_refused(site, 200, key="cantiere")


@change(unread=[401])
def tenant_dropped(site):
    site.change(keys={"cantiere": KEYS["cantiere"]})
    site.wait_in_force()
    yield
    check_refused(site, 401)
    check_refused(site, 200, key="cantiere")


@change(unread=[200, 429])
def tenants_rate_lowered(site):
    site.change(rate=100)
    site.wait_in_force()
    yield
    # The limit is 100 tokens a second for 8 s and a burst of 100, with 10% and 1,000 of tolerance.
    allowed = ((100 * 8 + 100) * 1.1 + 1_000) / 150
    key = f"Bearer {KEYS['cantiere']}"
    callers = [Caller(site, name) for name in site.addresses]
    statuses = [
        caller.ask(STAMP_PATH, Authorization=key).status for caller in callers for _ in range(15)
    ]
    assert set(statuses) == {200, 429}
    assert statuses.count(200) <= allowed


@change(unread=[200, 404], waiting=[200, 503])
def two_versions_within_a_second(site):
    site.change(routes=list_routes(dropped=True))
    time.sleep(0.2)
    site.change(routes=list_routes("archive"))
    site.wait_in_force()
    yield
    check_moved(site)


def signal_hosts(site, number, names):
    for name in names:
        site.fleet.processes[name].process.send_signal(number)


@change(waiting=[200, 503])
def version_and_sighup(site):
    signal_hosts(site, signal.SIGHUP, site.addresses)
    site.change(routes=list_routes("archive"))
    signal_hosts(site, signal.SIGHUP, site.addresses)
    site.wait_in_force()
    yield
    check_moved(site)
    for name in site.addresses:
        wait_until(
            lambda name=name: "event=reloaded" in site.fleet.log_path(name).read_text(),
            "the settings are reloaded",
            2.0,
        )


@change(unread=[200, 503], waiting=[200, 503])
def version_late_at_a_frozen_host(site):
    frozen = site.fleet.processes["front-1"]
    frozen.pause()
    try:
        site.change(routes=list_routes("archive"))
        site.wait_in_force(("front-0",))
        yield
        time.sleep(FROZEN_S)
    finally:
        frozen.resume()
    site.wait_in_force()
    check_moved(site)


@change(unread=[200, 503], waiting=[200, 503])
def version_and_sigterm(site):
    site.change(routes=list_routes("archive"))
    signal_hosts(site, signal.SIGTERM, ["front-1"])
    site.wait_in_force()
    yield
    check_moved(site)
    assert site.fleet.processes["front-1"].process.wait(NOTICE_END_S) == 0
    assert site.version_in_force("front-0") == site.version


# The table


class Table:
    """Play each row once, when the first of its cells is asked for."""

    def __init__(self, site):
        self.site = site
        self._rows = {}

    def row(self, name):
        if name not in self._rows:
            restart_ended_hosts(self.site)
            self._rows[name] = row = RowPlayer(self.site, POINTS)
            row.play(CHANGES[name].play, CHANGES[name].before)
        return self._rows[name]


@pytest.fixture(scope="module")
def table(tmp_path_factory):
    with start_site(tmp_path_factory.mktemp("changes")) as site:
        yield Table(site)
        for name in site.addresses:
            site.fleet.processes[name].kill()


@pytest.mark.parametrize("where", POINTS)
@pytest.mark.parametrize("what", CHANGES)
def test_a_request_beside_a_change_gets_a_whole_answer_or_a_true_refusal(table, what, where):
    answers = table.row(what).answers[where]
    assert len(answers) >= len(table.site.addresses)
    for caller, answer in answers:
        check_answer(table.site, caller, answer, CHANGES[what].allowed(where))


@pytest.mark.parametrize("what", CHANGES)
def test_what_comes_after_a_change_is_bound_by_the_new_value(table, what):
    failure = table.row(what).afterwards
    if failure is not None:
        raise failure
