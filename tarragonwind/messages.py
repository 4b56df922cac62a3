"""Serialize messages between daemons as msgpack.

Each message is a dataclass with slots, registered under a message number. It is encoded as a
msgpack array of that number and the field values in order; nested values are lists, numbers, text
and bytes.

Daemons of different builds run side by side during an upgrade. Each announces its protocol level in
the handshake; messages and fields that a level adds aren't sent to a peer below it, see
docs/design/upgrades.md.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

import msgpack

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Maximum size of a packed message that a daemon accepts, in bytes."""
FIRST_LEVEL = 1
"""Protocol level of the build of commit 077a292, which announces none."""
OWN_LEVEL = 3
"""Protocol level of this build. Level 2 reads messages with missing or additional trailing fields
and skips messages with unknown numbers."""


class Message:
    """Base class of messages between daemons."""

    __slots__ = ()


MessageClassT = TypeVar("MessageClassT", bound=type)

MESSAGE_TYPES: dict[int, type[Message]] = {}
"""Message classes by number, filled by `message`."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Layout:
    """Describe a message class on the wire.

    Attributes
    ----------
    number : int
        Message number.
    level : int
        Lowest protocol level that reads the message.
    names : tuple of str
        Field names in order.
    field_levels : tuple of int
        For each field the lowest protocol level that reads it.
    required : int
        Number of fields that every message of the class has.
    """

    number: int
    level: int
    names: tuple[str, ...]
    field_levels: tuple[int, ...]
    required: int


_LAYOUTS: dict[type[Message], _Layout] = {}


class MessageError(Exception):
    """Signal a malformed message."""


class UnknownMessageError(MessageError):
    """Signal a message number that this build doesn't know.

    Attributes
    ----------
    number : int
        Unknown number.
    """

    def __init__(self, number: int) -> None:
        super().__init__(f"unknown message number {number!r:.40}")
        self.number = number


def added_field(level: int, default: Any) -> Any:
    """Return a dataclass field that a protocol level adds at the end of an existing message.

    The field isn't sent to peers below the level; a message without it has the default.

    Parameters
    ----------
    level : int
        First protocol level that knows the field.
    default : object
        Immutable value of a missing field.
    """
    return dataclasses.field(default=default, metadata={"level": level})


def message(number: int, level: int = FIRST_LEVEL) -> Callable[[MessageClassT], MessageClassT]:
    """Return a decorator that registers a dataclass with slots under a message number.

    Parameters
    ----------
    number : int
        Message number.
    level : int, optional
        Lowest protocol level that knows the message; it isn't sent to peers below it.
    """

    def register(cls: MessageClassT) -> MessageClassT:
        if number in MESSAGE_TYPES:
            raise ValueError(f"message number {number} is already used by {MESSAGE_TYPES[number]}")
        MESSAGE_TYPES[number] = cls
        _LAYOUTS[cls] = _create_layout(cls, number, level)
        return cls

    return register


def _create_layout(cls: type[Any], number: int, level: int) -> _Layout:
    fields = dataclasses.fields(cls)
    field_levels = tuple(field.metadata.get("level", level) for field in fields)
    if list(field_levels) != sorted(field_levels):
        raise ValueError(f"{cls.__name__}: added fields must be last, in the order of their levels")
    required = sum("level" not in field.metadata for field in fields)
    return _Layout(number, level, tuple(field.name for field in fields), field_levels, required)


def level_of(msg: Message) -> int:
    """Return the lowest protocol level that knows a message."""
    return _LAYOUTS[type(msg)].level


def pack_message(msg: Message, level: int = OWN_LEVEL) -> bytes:
    """Encode a message as msgpack, without the fields that a peer of `level` doesn't know."""
    layout = _LAYOUTS[type(msg)]
    values: list[Any] = [layout.number]
    for name, field_level in zip(layout.names, layout.field_levels, strict=True):
        if field_level > level:
            break
        values.append(getattr(msg, name))
    return msgpack.packb(values)


def new_unpacker() -> msgpack.Unpacker:
    """Create a streaming unpacker with a buffer limit of `MAX_MESSAGE_BYTES`."""
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=False)


def build_message(values: Any) -> Message:
    """Decode a message from an unpacked array.

    Missing added fields have their defaults, and additional trailing values are ignored: both
    come from peers of other protocol levels.

    Raises
    ------
    UnknownMessageError
        If the message number is unknown.
    MessageError
        If the array is malformed or lacks a required field.
    """
    if not isinstance(values, list) or not values:
        raise MessageError(f"expected a non-empty array, got {type(values).__name__}")
    number = values[0]
    if type(number) is not int or number < 0:
        raise MessageError(f"expected a message number, got {number!r:.40}")
    cls = MESSAGE_TYPES.get(number)
    if cls is None:
        raise UnknownMessageError(number)
    layout = _LAYOUTS[cls]
    if len(values) - 1 < layout.required:
        raise MessageError(
            f"{cls.__name__} has at least {layout.required} fields, got {len(values) - 1}"
        )
    return cls(*values[1 : len(layout.names) + 1])
