"""Attach small facts of other parts to the messages of the membership protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tarragonwind.core.membership_builders import FactSource
from tarragonwind.messages import MessageError

MAX_FACT_BYTES = 200
"""Most bytes of facts on one message of the protocol."""


@dataclass(slots=True)
class FactSlot:
    """Hold one subscription to the facts on probes."""

    name: str
    provider: Callable[[], bytes | None]
    consumer: Callable[[str, bytes], None]


class FactSlots(FactSource):
    """Attach facts to probes within a bound of bytes, the slots in turn."""

    def __init__(self) -> None:
        self._slots: dict[str, FactSlot] = {}
        self._first = 0

    def attach(self, slot: FactSlot) -> None:
        """Add a slot.

        Raises
        ------
        ValueError
            When the name is taken.
        """
        if slot.name in self._slots:
            raise ValueError(f"fact slot {slot.name} is taken")
        self._slots[slot.name] = slot

    def collect(self) -> list[list]:
        """Return the facts for one message; a slot that finds no room goes first next time."""
        slots = list(self._slots.values())
        room = MAX_FACT_BYTES
        facts: list[list] = []
        for offset in range(len(slots)):
            index = (self._first + offset) % len(slots)
            value = slots[index].provider()
            if not value:
                continue
            if len(value) > room:
                self._first = index
                break
            room -= len(value)
            facts.append([slots[index].name, value])
        return facts

    def consume(self, sender: str, facts: Any) -> None:
        """Hand the facts of a message to their slots.

        Raises
        ------
        MessageError
            When the facts are malformed.
        """
        if not isinstance(facts, list):
            raise MessageError("facts are an array")
        for fact in facts:
            if not isinstance(fact, list) or len(fact) != 2 or not isinstance(fact[1], bytes):
                raise MessageError("a fact is a name and bytes")
            slot = self._slots.get(fact[0]) if isinstance(fact[0], str) else None
            if slot is not None:
                slot.consumer(sender, fact[1])
