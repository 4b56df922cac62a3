"""Test which requests are taken to crash upstreams, beside the parts of their prompts."""

import pytest

from tarragonwind.core.request_keys import REQUEST_BIT
from tarragonwind.core.suspicions import (
    CONFIRMED_S,
    CRASHES_TO_CONVICT,
    CRASHES_TO_CONVICT_ANSWERED,
    MEMORY_S,
    SAME_MOMENT_S,
    Suspicions,
)

SHARED, SESSION = 1, 2
BAD, VICTIM, SOUND = (REQUEST_BIT | number for number in (1, 2, 3))


class Pool:
    """Play crashes under which several requests were open, each of an upstream's new start."""

    def __init__(self):
        self.suspicions = Suspicions()
        self.now = 100.0
        self.starts = 0
        self.convicted = []

    def crash_one(self, *requests, after_s=1.0):
        self.now += after_s
        self.starts += 1
        for keys in requests:
            start = (f"u{self.starts}", 1)
            self.convicted += self.suspicions.on_crash(self.now, start, keys)

    def answer(self, *keys, start=("u0", 1)):
        self.suspicions.on_answered(self.now, self.now, start, keys)

    def wait(self, seconds):
        self.now += seconds
        self.convicted += self.suspicions.take_confirmed(self.now)


@pytest.fixture
def pool():
    return Pool()


def test_a_request_without_parts_is_convicted_at_the_third_crash(pool):
    for _ in range(CRASHES_TO_CONVICT - 1):
        pool.crash_one([BAD], [SOUND])
        pool.answer(SOUND)
        assert pool.convicted == []
    pool.crash_one([BAD], [SOUND])
    assert pool.convicted == [BAD]


def test_three_crashes_within_one_moment_convict_once_they_are_confirmed(pool):
    for _ in range(CRASHES_TO_CONVICT):
        pool.crash_one([BAD], after_s=SAME_MOMENT_S / CRASHES_TO_CONVICT)
    assert pool.convicted == []
    pool.wait(CONFIRMED_S)
    assert pool.convicted == [BAD]


def test_requests_open_at_fewer_crashes_than_convict_are_spared(pool):
    for number in range(CRASHES_TO_CONVICT):
        victims = [[VICTIM]] if number else []
        pool.crash_one(*victims, [BAD])
    pool.wait(CONFIRMED_S)
    assert pool.convicted == [BAD]


def test_a_request_that_was_open_at_each_crash_of_another_does_not_acquit_it(pool):
    for _ in range(CRASHES_TO_CONVICT):
        pool.crash_one([VICTIM], [BAD])
    assert BAD in pool.convicted


def test_a_request_that_was_answered_before_needs_more_crashes(pool):
    pool.answer(SOUND)
    for _ in range(CRASHES_TO_CONVICT_ANSWERED - 1):
        pool.crash_one([SOUND])
    assert pool.convicted == []
    pool.crash_one([SOUND])
    assert pool.convicted == [SOUND]


def test_a_prompt_that_is_sent_again_unchanged_is_convicted_and_its_parts_are_not(pool):
    for _ in range(CRASHES_TO_CONVICT):
        pool.crash_one([SHARED, SESSION, BAD])
    pool.wait(CONFIRMED_S)
    assert pool.convicted == [BAD]


def test_a_crashing_part_is_convicted_although_one_prompt_with_it_was_convicted_first(pool):
    for _ in range(CRASHES_TO_CONVICT):
        pool.answer(SHARED)
        pool.crash_one([SHARED, SESSION, BAD])
    pool.answer(SHARED)
    pool.crash_one([SHARED, SESSION, VICTIM])
    assert pool.convicted == [BAD, SESSION]


def test_prompts_that_each_come_once_leave_the_conviction_to_their_common_part(pool):
    for number in range(CRASHES_TO_CONVICT):
        pool.answer(SHARED)
        pool.crash_one([SHARED, SESSION, REQUEST_BIT | 100 + number])
    pool.wait(CONFIRMED_S)
    assert pool.convicted == [SESSION]


def test_connections_reset_everywhere_at_once_convict_no_request_while_upstreams_live(pool):
    for _ in range(10):
        pool.crash_one([SOUND], after_s=0.0)
    pool.now += SAME_MOMENT_S / 2
    for number in range(10):
        pool.answer(VICTIM, start=(f"u{number + 1}", 1))
    pool.wait(CONFIRMED_S)
    assert pool.convicted == []


def test_an_answer_to_a_later_grant_clears_an_upstream_that_crashed_for_several_requests(pool):
    for request in (BAD, VICTIM):
        for _ in range(CRASHES_TO_CONVICT):
            pool.crash_one([request], after_s=0.0)
    for number in range(pool.starts):
        pool.now += 0.01
        pool.answer(SOUND, start=(f"u{number + 1}", 1))
    pool.wait(CONFIRMED_S)
    assert pool.convicted == []


def test_a_convicted_request_is_convicted_again_at_its_next_crash_only(pool):
    for _ in range(CRASHES_TO_CONVICT):
        pool.crash_one([BAD])
    pool.wait(2 * MEMORY_S)
    assert pool.convicted == [BAD]
    pool.crash_one([BAD], [SOUND])
    assert pool.convicted == [BAD, BAD]


def test_resets_of_an_upstream_that_has_crashed_already_are_no_evidence(pool):
    pool.crash_one([BAD])
    crashed = (f"u{pool.starts}", 1)
    for _ in range(CRASHES_TO_CONVICT):
        pool.now += 1.0
        pool.convicted += pool.suspicions.on_crash(pool.now, crashed, [SOUND])
    for _ in range(CRASHES_TO_CONVICT - 1):
        pool.crash_one([BAD], [SOUND])
    pool.wait(CONFIRMED_S)
    assert pool.convicted == [BAD]


def test_resets_of_an_upstream_that_a_convicted_request_has_crashed_are_no_evidence(pool):
    for _ in range(CRASHES_TO_CONVICT):
        pool.crash_one([BAD])
    for _ in range(CRASHES_TO_CONVICT):
        pool.crash_one([BAD])
        pool.now += 1.0
        start = (f"u{pool.starts}", 1)
        pool.convicted += pool.suspicions.on_crash(pool.now, start, [SOUND])
    pool.wait(CONFIRMED_S)
    assert SOUND not in pool.convicted


def test_an_upstream_that_has_answered_since_it_was_reset_can_crash_again(pool):
    for number in range(CRASHES_TO_CONVICT):
        start = (f"v{number}", 1)
        pool.now += 1.0
        pool.suspicions.on_crash(pool.now, start, [SOUND])
        pool.now += 1.0
        pool.answer(SOUND, start=start)
        pool.now += 1.0
        pool.convicted += pool.suspicions.on_crash(pool.now, start, [BAD])
    assert pool.convicted == [BAD]
