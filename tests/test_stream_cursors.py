"""Test the splitting of streams into complete events."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core import stream_cursors
from tarragonwind.core.stream_cursors import _BLANK_LINE, EventTail, StreamCursor

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


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_tail_is_inside_an_event_until_its_blank_line(line_end):
    event = b"id: 1" + line_end + b"data: a" + line_end + line_end
    inside = []
    for size in range(len(event) + 1):
        tail = EventTail()
        for position in range(size):
            tail.feed(event[position : position + 1])
        inside.append(tail.inside_event)
    whole = EventTail()
    whole.feed(event * 3)
    assert inside[0] is False and all(inside[1 : len(event) - len(line_end) + 1])
    assert not inside[-1] and not whole.inside_event


def test_tail_without_data_is_empty_and_line_ends_alone_begin_no_event():
    tail = EventTail()
    assert tail.empty
    tail.feed(b"\n")
    assert not tail.empty and not tail.inside_event


@pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
def test_events_with_other_line_ends_are_returned_as_they_come(line_end):
    events = [event.replace(b"\n", line_end) for event in EVENTS[:3]]
    cursor = StreamCursor()
    assert cursor.feed(events[0] + events[1][:7]) == events[0]
    assert cursor.feed(events[1][7:]) == events[1]
    assert cursor.feed(events[2]) == events[2]
    assert (cursor.last_id, cursor.event_count) == (3, 3)


@given(st.lists(st.sampled_from([b"a", b"\n", b"\r", b"\r\n", b"id: 7\n", b"data: x\n\n"])))
def test_a_stream_in_single_bytes_has_the_events_of_one_that_is_searched_whole(parts):
    stream = b"".join(parts)
    cursor, complete, partial = StreamCursor(), b"", b""
    for at in range(len(stream)):
        complete += cursor.feed(stream[at : at + 1])
        partial += stream[at : at + 1]
        ends = [match.end() for match in _BLANK_LINE.finditer(partial)]
        if ends:
            partial = partial[ends[-1] :]
    assert complete + cursor.take_rest() == stream
    assert partial == stream[len(complete) :]


def test_an_event_without_end_is_searched_once(monkeypatch):
    """Guards against a search of all that is buffered at each read, which held up the loop."""
    searched = []

    class Pattern:
        def finditer(self, data, begin=0):
            searched.append(len(data) - begin)
            return _BLANK_LINE.finditer(data, begin)

    monkeypatch.setattr(stream_cursors, "_BLANK_LINE", Pattern())
    cursor = StreamCursor()
    for _ in range(1_000):
        assert cursor.feed(b"data: x\n" * 100) == b""
    assert cursor.partial_bytes == 800_000
    assert sum(searched) <= 2 * 800_000
