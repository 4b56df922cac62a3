"""Attach small payloads of other parts to the messages of the membership protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tarragonwind.core.membership_builders import PayloadSource
from tarragonwind.messages import MessageError

MAX_PAYLOAD_BYTES = 200
"""Most bytes of payloads on one message of the protocol."""


@dataclass(slots=True)
class PayloadSlot:
    """Hold one subscription to the payloads on probes."""

    name: str
    provider: Callable[[], bytes | None]
    consumer: Callable[[str, bytes], None]


class PayloadSlots(PayloadSource):
    """Attach payloads to probes within a bound of bytes, the slots in turn."""

    def __init__(self) -> None:
        self._slots: dict[str, PayloadSlot] = {}
        self._first = 0

    def attach(self, slot: PayloadSlot) -> None:
        """Add a slot.

        Raises
        ------
        ValueError
            When the name is taken.
        """
        if slot.name in self._slots:
            raise ValueError(f"payload slot {slot.name} is taken")
        self._slots[slot.name] = slot

    def collect(self) -> list[list]:
        """Return the payloads for one message; a slot that finds no room goes first next time."""
        slots = list(self._slots.values())
        room = MAX_PAYLOAD_BYTES
        payloads: list[list] = []
        for offset in range(len(slots)):
            index = (self._first + offset) % len(slots)
            value = slots[index].provider()
            if not value:
                continue
            if len(value) > room:
                self._first = index
                break
            room -= len(value)
            payloads.append([slots[index].name, value])
        return payloads

    def consume(self, sender: str, payloads: Any) -> None:
        """Hand the payloads of a message to their slots.

        Raises
        ------
        MessageError
            When the payloads are malformed.
        """
        if not isinstance(payloads, list):
            raise MessageError("payloads are an array")
        for payload in payloads:
            if (
                not isinstance(payload, list)
                or len(payload) != 2
                or not isinstance(payload[1], bytes)
            ):
                raise MessageError("a payload is a name and bytes")
            slot = self._slots.get(payload[0]) if isinstance(payload[0], str) else None
            if slot is not None:
                slot.consumer(sender, payload[1])
