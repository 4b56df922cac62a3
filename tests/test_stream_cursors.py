"""Test the splitting of streams into whole events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.stream_cursors import StreamCursor

EVENTS = [b"id: %d\ndata: part-%d\n\n" % (number, number) for number in range(1, 30)]


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.integers(1, 40), min_size=1), st.integers(0, 600))
def test_any_pieces_give_whole_events_and_the_last_ones_id(sizes, end):
    data = b"".join(EVENTS)[:end]
    cursor = StreamCursor()
    passed = b""
    position = 0
    turn = 0
    while position < len(data):
        size = sizes[turn % len(sizes)]
        passed += cursor.feed(data[position : position + size])
        position += size
        turn += 1
    whole = data.count(b"\n\n")
    assert passed == b"".join(EVENTS[:whole])
    assert cursor.last_id == (whole or None)
    assert passed + cursor.take_rest() == data


def test_a_broken_event_is_dropped_and_the_next_run_follows():
    cursor = StreamCursor()
    assert cursor.feed(EVENTS[0] + EVENTS[1][:7]) == EVENTS[0]
    cursor.drop_partial()
    assert cursor.feed(EVENTS[1]) == EVENTS[1]
    assert cursor.last_id == 2


def test_a_stream_that_goes_on_begins_at_the_callers_event():
    assert StreamCursor(12).last_id == 12
