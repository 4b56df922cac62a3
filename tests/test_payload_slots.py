"""Test the attaching of payloads within the size limit and their delivery to slots."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.adapters.payload_slots import MAX_PAYLOAD_BYTES, PayloadSlot, PayloadSlots
from tarragonwind.messages import MessageError


def slots_of(sizes):
    slots = PayloadSlots()
    for number, size in enumerate(sizes):
        slots.attach(PayloadSlot(f"slot-{number}", lambda size=size: bytes(size), lambda *_: None))
    return slots


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(1, MAX_PAYLOAD_BYTES), min_size=1, max_size=6))
def test_every_slot_is_sent_in_turn_within_the_size_limit(sizes):
    slots = slots_of(sizes)
    seen = set()
    for _ in range(len(sizes)):
        payloads = slots.collect()
        assert sum(len(value) for _, value in payloads) <= MAX_PAYLOAD_BYTES
        seen.update(name for name, _ in payloads)
    assert len(seen) == len(sizes)


def test_a_duplicate_slot_name_is_rejected():
    slots = slots_of([1])
    with pytest.raises(ValueError, match="slot-0"):
        slots.attach(PayloadSlot("slot-0", lambda: None, lambda *_: None))


@pytest.mark.parametrize("payloads", [7, [7], [["slot-0"]], [["slot-0", "text"]]])
def test_malformed_payloads_are_rejected(payloads):
    with pytest.raises(MessageError):
        slots_of([1]).consume("peer", payloads)


def test_payloads_of_unknown_slots_are_ignored():
    got = []
    slots = PayloadSlots()
    slots.attach(PayloadSlot("known", lambda: None, lambda sender, value: got.append(value)))
    slots.consume("peer", [["unknown", b"1"], ["known", b"2"], [7, b"3"]])
    assert got == [b"2"]
