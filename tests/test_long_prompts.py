"""Test that a crashing part is found wherever it stands in a long prompt."""

import random
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.fleets import set_faults, wait_until
from standins.platform_fleets import STREAM_PATH, PlatformFleet, create_routes
from tarragonwind.core.answered_parts import (
    MAX_ASKED_PARTS,
    MAX_REMEMBERED,
    MAX_TOLD,
    TELL_PERIOD_S,
    AnsweredParts,
)
from tarragonwind.core.permit_messages import Outcome, PermitDone
from tarragonwind.core.request_metadata import PromptPart, select_shared_parts
from tarragonwind.core.suspicions import CRASHES_TO_CONVICT, MAX_COMBINED, MAX_SUSPECTS
from tarragonwind.messages import MAX_MESSAGE_BYTES, pack_message
from tests.test_crashing_part_evidence import Site
from tests.test_equal_suspects import count_crashes, replace_crashed_engines

BAD = 0xBAD5EED
HEAD_BYTES = 65_536
"""Largest head of a request, in bytes."""
MIN_PART_BYTES = 4
"""Shortest part in a head: one digit, the separator, one digit and the comma."""


def test_all_shared_parts_of_a_prompt_are_followed():
    parts = [PromptPart(number, 1) for number in range(5_000)]
    assert select_shared_parts(parts) == tuple(range(4_999))
    assert HEAD_BYTES / MIN_PART_BYTES <= MAX_SUSPECTS


class LongPrompts:
    """Send prompts whose first parts alone are named in permit requests."""

    def __init__(self):
        self.site = Site()
        self.answered = AnsweredParts()
        self.count = 0

    def grant(self, parts):
        self.count += 1
        return self.site.grant(f"h{self.count % 3}", *parts[:MAX_ASKED_PARTS])

    def answer(self, parts):
        later = self.answered.select(self.site.fleet.now, parts[MAX_ASKED_PARTS:])
        granted = self.grant(parts)
        self.site.release(*granted, Outcome.OK, output_tokens=5, later_parts=later)

    def crash(self, parts):
        host, permit_id = self.grant(parts)
        crashed = host.granted[permit_id].upstream
        later = parts[MAX_ASKED_PARTS:]
        self.site.release(host, permit_id, Outcome.CONNECTION_LOST, later_parts=later)
        fleet = self.site.fleet
        fleet.configure([one for one in fleet.upstreams if one.name != crashed])
        fleet.advance(0.5)

    def keeps_back(self, parts):
        """Return whether the hosts would refuse a prompt."""
        convicted = self.site.convicted()
        suspected = self.site.suspected()
        return bool(convicted & set(parts)) or any(one <= set(parts) for one in suspected)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(1, 400), st.integers(0, 1 << 30), st.booleans())
def test_a_crashing_part_at_any_position_is_kept_back_after_three_crashes(length, seed, known):
    """Parts behind the 64th were never held against a prompt: engines crashed (issue 49)."""
    rng = random.Random(seed)
    prompts = LongPrompts()
    sound = list(range(1, length + 1))
    if known:
        for _ in range(1 + length // MAX_TOLD):
            prompts.answer(sound)
    position = rng.randint(0, length)
    crashing = [*sound[:position], BAD, *sound[position:]]
    for _ in range(CRASHES_TO_CONVICT):
        assert not prompts.keeps_back(crashing)
        prompts.crash(crashing)
    assert prompts.keeps_back(crashing) and not prompts.keeps_back(sound)
    for _ in range(1 + length // MAX_TOLD):
        prompts.answer(sound)
    assert prompts.site.convicted() == {BAD}


def test_an_answered_part_is_told_once_in_a_while():
    answered = AnsweredParts()
    assert answered.select(0.0, [1, 2]) == [1, 2]
    assert answered.select(1.0, [2, 3]) == [3]
    assert answered.select(TELL_PERIOD_S, [1, 2, 3]) == [1, 2]


def test_answers_of_one_long_prompt_tell_all_its_parts_in_turn():
    answered = AnsweredParts()
    parts = list(range(10 * MAX_TOLD))
    told = [answered.select(0.0, parts) for _ in range(10)]
    assert all(len(each) == MAX_TOLD for each in told)
    assert sorted(sum(told, [])) == parts and answered.select(0.0, parts) == []


def test_what_is_remembered_and_sent_has_a_bound():
    answered = AnsweredParts()
    for begin in range(0, 2 * MAX_REMEMBERED, MAX_TOLD):
        answered.select(0.0, range(begin, begin + MAX_TOLD))
    assert len(answered._told_at) == MAX_REMEMBERED
    usual = PermitDone("pool", 1, Outcome.OK, later_parts=[(1 << 62) + n for n in range(MAX_TOLD)])
    assert len(pack_message(usual)) <= 700
    crashed = PermitDone("pool", 1, Outcome.CONNECTION_LOST)
    crashed.later_parts = [(1 << 62) + n for n in range(MAX_SUSPECTS)]
    assert len(pack_message(crashed)) <= MAX_MESSAGE_BYTES // 16
    assert MAX_COMBINED * 9 <= 10_000


TURNS = [f"{0x91BD0000 + turn:x}" for turn in range(80)]
ENGINES = 6
HOSTS = 2
ASKED = 12
GAP_S = 0.6


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    route = {**create_routes(3_000)[0], "maxAttempts": 1, "streamResume": False}
    directory = tmp_path_factory.mktemp("long-prompts")
    with PlatformFleet(directory, base={"routes": [route]}) as site:
        site.start(engines=ENGINES, services=0, hosts=HOSTS)
        for number in range(ENGINES):
            port = site.fleet.processes[f"i-engine{number}"].port
            set_faults(port, crashing_part="bad5eed")
        yield site


def ask(site, number, newest):
    """Send a prompt of a long conversation; return its status, 0 for a broken connection."""
    prompt = ",".join(f"{part}:10" for part in [*TURNS, newest, f"{0x10000 + number:x}"])
    fields = {"Token_Counts": "900,50", "Model": "m", "Prompt_Prefix": prompt}
    attempt = f"p-{number}"
    try:
        host = f"front-{number % HOSTS}"
        answer = site.send_caller_request(host, STREAM_PATH, attempt, text=attempt, **fields)
        return answer.status
    except OSError:
        return 0


@pytest.mark.process
@pytest.mark.xdist_group("crashing")
def test_a_crashing_part_behind_many_others_is_kept_from_engines(site):
    """Such a part was never quarantined, and all engines crashed again and again (issue 49)."""
    wait_until(lambda: ask(site, 1, "b0b1") == 200, "prompts are served")
    statuses = []
    for number in range(10, 10 + ASKED):
        statuses.append((ask(site, 2 * number, "b0b1"), ask(site, 2 * number + 1, "bad5eed")))
        time.sleep(GAP_S)
        replace_crashed_engines(site)
    assert count_crashes(site) <= CRASHES_TO_CONVICT
    assert [sound for sound, _ in statuses] == [200] * ASKED
    assert [crashing for _, crashing in statuses[-5:]] == [503] * 5
