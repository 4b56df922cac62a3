"""Piggyback small payloads of other components on the messages of the membership protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tarragonwind.core.membership_builders import PayloadSource
from tarragonwind.messages import MessageError
from tarragonwind.records import dataclass

MAX_PAYLOAD_BYTES = 200
"""Maximum total size of the payloads on one message."""


@dataclass(slots=True)
class PayloadSlot:
    """Hold the provider and consumer of one named payload.

    Attributes
    ----------
    name : str
        Name of the slot, the same on all daemons.
    provider : callable
        Returns the current value, or None for no payload.
    consumer : callable
        Called with the sender's name and each received value.
    """

    name: str
    provider: Callable[[], bytes | None]
    consumer: Callable[[str, bytes], None]


class PayloadSlots(PayloadSource):
    """Attach payloads to messages up to `MAX_PAYLOAD_BYTES`, rotating between the slots."""

    def __init__(self) -> None:
        self._slots: dict[str, PayloadSlot] = {}
        self._first_index = 0

    def attach(self, slot: PayloadSlot) -> None:
        """Add a slot.

        Raises
        ------
        ValueError
            If a slot of this name exists.
        """
        if slot.name in self._slots:
            raise ValueError(f"payload slot {slot.name} is already attached")
        self._slots[slot.name] = slot

    def collect(self) -> list[list]:
        """Return the payloads for one message; a slot that does not fit goes first next time."""
        slots = list(self._slots.values())
        remaining_bytes = MAX_PAYLOAD_BYTES
        payloads: list[list] = []
        for offset in range(len(slots)):
            index = (self._first_index + offset) % len(slots)
            value = slots[index].provider()
            if not value:
                continue
            if len(value) > remaining_bytes:
                self._first_index = index
                break
            remaining_bytes -= len(value)
            payloads.append([slots[index].name, value])
        return payloads

    def consume(self, sender: str, payloads: Any) -> None:
        """Pass the payloads of a received message to the slots' consumers; ignore unknown slots.

        Raises
        ------
        MessageError
            If the payloads are malformed.
        """
        if not isinstance(payloads, list):
            raise MessageError(f"payloads must be an array, got {type(payloads).__name__}")
        for payload in payloads:
            if (
                not isinstance(payload, list)
                or len(payload) != 2
                or not isinstance(payload[1], bytes)
            ):
                raise MessageError(
                    f"payload must be a slot name and bytes, got {type(payload).__name__}"
                )
            slot = self._slots.get(payload[0]) if isinstance(payload[0], str) else None
            if slot is not None:
                slot.consumer(sender, payload[1])
