"""Test when a host sends its full state to the owner of a pool."""

import random

import pytest

from tarragonwind.core.sync_schedules import ClientSettings, SyncSchedule

STEP_S = 0.05


@pytest.fixture
def schedule():
    return SyncSchedule(0.0, ClientSettings(), random.Random(1))


def syncs_in_silence(schedule, seconds, begin=10.0):
    times = []
    for step in range(round(seconds / STEP_S)):
        now = begin + step * STEP_S
        if schedule.is_due(now, has_pending=True, has_content=True):
            schedule.on_synced(now)
            schedule.on_owner_seen(now)
            times.append(now)
    return times


def test_a_host_in_doubt_sends_its_state_at_growing_intervals(schedule):
    schedule.on_synced(9.0)
    schedule.on_owner_seen(10.0)
    times = syncs_in_silence(schedule, 12.0)
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert times[0] == pytest.approx(10.3, abs=STEP_S)
    assert max(gaps) <= 2.4 * 1.25 + STEP_S
    assert gaps[-1] > 2 * gaps[0]
    assert len(times) <= 9


def test_an_owner_in_step_ends_the_doubt(schedule):
    schedule.on_synced(9.0)
    schedule.on_owner_seen(10.0)
    syncs_in_silence(schedule, 5.0)
    assert not schedule.take_doubt(15.0)
    assert not schedule.on_heartbeat(15.0, matches=True)
    assert schedule.take_doubt(15.0)


def test_heartbeats_that_lack_requests_lead_to_a_state_at_the_same_intervals(schedule):
    schedule.on_synced(10.0)
    due = [schedule.on_heartbeat(10.0 + 0.2 * count, matches=False) for count in range(1, 4)]
    assert due == [False, True, True]
    schedule.on_synced(10.6)
    due = [schedule.on_heartbeat(10.6 + 0.2 * count, matches=False) for count in range(1, 4)]
    assert due.count(True) <= 1


def test_a_message_that_could_not_be_sent_is_made_good_soon(schedule):
    schedule.on_synced(10.0)
    schedule.needs_sync = True
    assert not schedule.is_due(10.1, has_pending=False, has_content=False)
    assert schedule.is_due(10.25, has_pending=False, has_content=False)


def test_an_answer_counts_only_soon_after_the_state_was_sent(schedule):
    schedule.on_synced(10.0)
    assert schedule.has_answered(10.2)
    assert not schedule.has_answered(10.5)
