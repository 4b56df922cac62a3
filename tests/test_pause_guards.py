"""Test that new requests are held after a pause until the copy of the store is current."""

import json
import random
import socket
import time

from loguru import logger

from bench.virtual_clocks import VirtualTimers
from standins.fleets import wait_until
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future
from tarragonwind.pause_guards import MAX_HOLD_S, PauseGuard
from tarragonwind.ports import Put
from tarragonwind.store_mirrors import StoreMirror
from tests.store_fakes import FaultyStore, settle
from tests.support import TOKEN
from tests.test_gateways import GatewayHarness, chat


class Copy:
    """Catch up when told to, or fail."""

    def __init__(self):
        self.calls = 0
        self.answer = Future()

    async def catch_up(self):
        self.calls += 1
        await self.answer


def create():
    timers = VirtualTimers()
    copy = Copy()
    return timers, copy, PauseGuard(copy.catch_up, timers)


def test_requests_are_held_until_the_copy_is_current():
    _, copy, guard = create()
    assert guard.held() is None
    guard.on_resumed(2.0)
    held = guard.held()
    assert held is not None and not held.done()
    copy.answer.set_result(None)
    assert held.done() and guard.held() is None


def test_a_failed_read_is_tried_again():
    timers, copy, guard = create()
    guard.on_resumed(2.0)
    failed, copy.answer = copy.answer, Future()
    failed.set_exception(StoreError("reset"))
    held = guard.held()
    assert held is not None
    copy.answer.set_result(None)
    timers.advance(0.2)
    assert copy.calls == 2 and held.done()


def test_requests_are_released_where_the_store_stays_unreachable():
    timers, _, guard = create()
    guard.on_resumed(2.0)
    held = guard.held()
    timers.advance(MAX_HOLD_S - 0.1)
    assert not held.done()
    timers.advance(0.2)
    assert held.done() and guard.held() is None


def test_an_unexpected_failure_is_logged_and_ends_the_hold_at_its_limit():
    timers, copy, guard = create()
    lines = []
    sink = logger.add(lines.append)
    guard.on_resumed(2.0)
    copy.answer.set_exception(ValueError("expected by the test"))
    timers.advance(MAX_HOLD_S + 0.1)
    logger.remove(sink)
    assert copy.calls == 1 and guard.held() is None
    assert any("event=catch_up_failed" in line for line in lines)


def test_a_second_pause_begins_a_hold_that_the_end_of_the_first_does_not_end():
    timers, copy, guard = create()
    guard.on_resumed(2.0)
    first = guard.held()
    timers.advance(MAX_HOLD_S / 2)
    first_answer, copy.answer = copy.answer, Future()
    guard.on_resumed(2.0)
    second = guard.held()
    first_answer.set_result(None)
    assert first.done() and guard.held() is second and not second.done()
    copy.answer.set_result(None)
    assert second.done() and guard.held() is None


def test_a_mirror_catches_up_with_what_its_watch_has_not_brought():
    timers = VirtualTimers()
    store = FaultyStore(timers)
    mirror = StoreMirror("", store, timers, random.Random(1))
    settle(timers, store.commit([], [Put("hosts/h0", b"h0"), Put("keys/k", b"in use")]))
    mirror.start()
    timers.advance(0.5)
    store.freeze_watches()
    settle(timers, store.commit([], [Put("keys/k", b"withdrawn")]))
    timers.advance(0.5)
    assert mirror.state.items["keys/k"].value == b"in use"
    guard = PauseGuard(lambda: mirror.catch_up("hosts/h0"), timers)
    guard.on_resumed(2.0)
    timers.advance(0.5)
    assert guard.held() is None
    assert mirror.state.items["keys/k"].value == b"withdrawn"


def test_a_request_whose_caller_leaves_while_it_is_held_is_not_sent():
    harness = GatewayHarness()
    held = Future()
    holds = [held]
    harness.gateway.context.hold = lambda: holds[-1] if holds else None
    caller = socket.create_connection(("127.0.0.1", harness.gateway.address.port))
    body = json.dumps(chat()).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n"
    caller.sendall(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    wait_until(lambda: harness.gateway.in_progress == 1, "the request is held")
    caller.close()
    time.sleep(0.1)
    holds.clear()
    harness.runner.call(lambda: held.set_result(None))
    wait_until(lambda: harness.gateway.in_progress == 0, "the request has ended")
    assert harness.scheduler.scheduling_requests == []
    harness.close()
