"""Provide a `dataclass` decorator that is cheap at import time.

The one of the standard library compiles up to six methods for each class, which takes a third of
the processor time of a daemon's start. This one compiles only ``__init__``; comparison, hash and
representation are closures over the field names. That a frozen class is not changed is checked by
the type checker, not at run time.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

ClassT = TypeVar("ClassT", bound=type)


@dataclass_transform(field_specifiers=(dataclasses.field,))
def dataclass(
    *, slots: bool = True, frozen: bool = False, eq: bool = True, kw_only: bool = False
) -> Callable[[ClassT], ClassT]:
    """Return a decorator that makes a class a dataclass with slots.

    Parameters
    ----------
    slots : bool
        Must be True; stands for symmetry with the decorator of the standard library.
    frozen : bool
        Whether instances are hashed by their values, as they aren't changed.
    eq : bool
        Whether instances are compared by their values.
    kw_only : bool
        Whether the fields are given by name only.
    """
    if not slots:
        raise ValueError("slots must be True")

    def decorate(cls: ClassT) -> ClassT:
        made: Any = dataclasses.dataclass(slots=True, eq=False, repr=False, kw_only=kw_only)(cls)
        names = tuple(field.name for field in dataclasses.fields(made))
        if "__repr__" not in cls.__dict__:
            made.__repr__ = _create_repr(names)
        if eq:
            values_of = _create_getter(names)
            made.__eq__ = _create_eq(values_of)
            made.__hash__ = _create_hash(values_of) if frozen else None
        return made

    return decorate


def _create_getter(names: tuple[str, ...]) -> Callable[[Any], Any]:
    return attrgetter(*names) if names else lambda _: ()


def _create_repr(names: tuple[str, ...]) -> Callable[[Any], str]:
    def represent(self: Any) -> str:
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
        return f"{type(self).__qualname__}({values})"

    return represent


def _create_eq(values_of: Callable[[Any], Any]) -> Callable[[Any, Any], bool]:
    def equals(self: Any, other: Any) -> bool:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return bool(values_of(self) == values_of(other))

    return equals


def _create_hash(values_of: Callable[[Any], Any]) -> Callable[[Any], int]:
    def hash_values(self: Any) -> int:
        return hash(values_of(self))

    return hash_values
