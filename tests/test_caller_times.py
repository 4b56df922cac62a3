"""Test what callers have spent of their time in earlier tries."""

import pytest

from tarragonwind.core.caller_times import LEAST_SPENT_S, REMEMBERED_S, CallerTimes


def test_a_caller_that_comes_back_has_spent_what_it_names_less():
    times = CallerTimes()
    assert times.note(0.0, "draft", 8.0) == 0.0
    assert times.note(1.0, "draft", 6.5) == pytest.approx(1.5)
    assert times.note(1.0, "lookup", 1.5) == 0.0


def test_the_way_from_the_caller_is_not_spent():
    times = CallerTimes()
    times.note(0.0, "draft", 8.0)
    assert times.note(0.0, "draft", 8.0 - LEAST_SPENT_S / 2) == 0.0


def test_callers_that_shorten_their_time_are_taken_at_their_word_after_a_while():
    times = CallerTimes()
    times.note(0.0, "draft", 8.0)
    for second in range(1, round(2 * REMEMBERED_S) + 2):
        spent_s = times.note(float(second), "draft", 5.0)
    assert spent_s == 0.0
