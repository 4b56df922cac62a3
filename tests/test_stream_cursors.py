"""Test the splitting of streams into complete events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.stream_cursors import StreamCursor

EVENTS = [b"id: %d\ndata: part-%d\n\n" % (number, number) for number in range(1, 30)]


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.integers(1, 40), min_size=1), st.integers(0, 600))
def test_any_fragmentation_gives_complete_events_and_the_last_id(sizes, end):
    data = b"".join(EVENTS)[:end]
    cursor = StreamCursor()
    output = b""
    position = 0
    index = 0
    while position < len(data):
        size = sizes[index % len(sizes)]
        output += cursor.feed(data[position : position + size])
        position += size
        index += 1
    complete = data.count(b"\n\n")
    assert output == b"".join(EVENTS[:complete])
    assert cursor.last_id == (complete or None)
    assert output + cursor.take_rest() == data


def test_incomplete_event_is_dropped_before_the_stream_resumes():
    cursor = StreamCursor()
    assert cursor.feed(EVENTS[0] + EVENTS[1][:7]) == EVENTS[0]
    cursor.drop_partial()
    assert cursor.feed(EVENTS[1]) == EVENTS[1]
    assert cursor.last_id == 2


def test_resumed_stream_starts_after_the_callers_event():
    assert StreamCursor(12).last_id == 12
