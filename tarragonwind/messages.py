"""Serialize messages between daemons as msgpack.

Each message is a dataclass with slots, registered under a message number. It is encoded as a
msgpack array of that number and the field values in order; nested values are lists, numbers, text
and bytes.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

import msgpack

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Maximum size of a packed message that a daemon accepts, in bytes."""


class Message:
    """Base class of messages between daemons."""

    __slots__ = ()


MessageClassT = TypeVar("MessageClassT", bound=type)

MESSAGE_TYPES: dict[int, type[Message]] = {}
"""Message classes by number, filled by `message`."""

_NUMBERS: dict[type[Message], int] = {}
_FIELDS: dict[type[Message], tuple[str, ...]] = {}


class MessageError(Exception):
    """Signal a malformed message."""


def message(number: int) -> Callable[[MessageClassT], MessageClassT]:
    """Return a decorator that registers a dataclass with slots under a message number."""

    def register(cls: MessageClassT) -> MessageClassT:
        if number in MESSAGE_TYPES:
            raise ValueError(f"message number {number} is already used by {MESSAGE_TYPES[number]}")
        MESSAGE_TYPES[number] = cls
        _NUMBERS[cls] = number
        _FIELDS[cls] = tuple(field.name for field in dataclasses.fields(cls))
        return cls

    return register


def pack_message(msg: Message) -> bytes:
    """Encode a message as msgpack."""
    cls = type(msg)
    values: list[Any] = [_NUMBERS[cls]]
    for name in _FIELDS[cls]:
        values.append(getattr(msg, name))
    return msgpack.packb(values)


def new_unpacker() -> msgpack.Unpacker:
    """Create a streaming unpacker with a buffer limit of `MAX_MESSAGE_BYTES`."""
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=False)


def build_message(values: Any) -> Message:
    """Decode a message from an unpacked array.

    Raises
    ------
    MessageError
        If the message number is unknown or the number of fields is wrong.
    """
    if not isinstance(values, list) or not values:
        raise MessageError(f"expected a non-empty array, got {type(values).__name__}")
    cls = MESSAGE_TYPES.get(values[0]) if isinstance(values[0], int) else None
    if cls is None:
        raise MessageError(f"unknown message number {values[0]!r:.40}")
    if len(values) - 1 != len(_FIELDS[cls]):
        raise MessageError(f"{cls.__name__} has {len(_FIELDS[cls])} fields, got {len(values) - 1}")
    return cls(*values[1:])
