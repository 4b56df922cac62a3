"""Test the serialization of messages between daemons."""

from dataclasses import dataclass

import pytest

from tarragonwind.messages import (
    Message,
    MessageError,
    build_message,
    message,
    new_unpacker,
    pack_message,
)


@message(9_001)
@dataclass(slots=True)
class SampleMessage(Message):
    name: str
    values: list[int]


def test_a_message_round_trips():
    unpacker = new_unpacker()
    unpacker.feed(pack_message(SampleMessage("a", [1, 2])))
    assert [build_message(values) for values in unpacker] == [SampleMessage("a", [1, 2])]


@pytest.mark.parametrize("values", [None, [], ["x"], [77_777], [9_001, "a"], {"a": 1}])
def test_malformed_arrays_are_rejected(values):
    with pytest.raises(MessageError):
        build_message(values)
