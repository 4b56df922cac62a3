"""Provide dataclasses whose fields are checked against their types and bounds when they are built.

pydantic checks the documents of files and of the operator API by the same bounds, which implement
its hook. It isn't imported for records that the program builds itself: its import and its schemas
take a third of the processor time of a daemon's start.
"""

from __future__ import annotations

import dataclasses
import enum
import re
import types
import typing
from collections.abc import Callable
from typing import Any

from tarragonwind.records import dataclass

Check = Callable[[Any], Any]
"""Returns the value of a field, converted if need be, or raises `ValueError`."""


class FieldError(ValueError):
    """Report the invalid fields of a record, one line each.

    Parameters
    ----------
    lines : list of str
        Name and fault of each invalid field.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.count = len(lines)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bound the values of a field; stands in an ``Annotated`` hint.

    Attributes
    ----------
    ge, gt, le, lt : float or None
        Bounds of a number.
    strict : bool
        Whether pydantic converts no text to a number, and no number to a flag.
    pattern : str or None
        Regular expression that a whole text matches, anchored at both ends for pydantic.
    min_length, max_length : int or None
        Bounds of the length of a text.
    description : str
        Description of the allowed values, in place of the bounds.
    """

    ge: float | None = None
    gt: float | None = None
    le: float | None = None
    lt: float | None = None
    strict: bool = False
    pattern: str | None = None
    min_length: int | None = None
    max_length: int | None = None
    description: str = ""

    def check(self, value: Any) -> Any:
        """Return a value; raise `ValueError` if it is out of bounds."""
        if isinstance(value, str):
            self._check_text(value)
        else:
            self._check_number(value)
        return value

    def _check_number(self, value: Any) -> None:
        for name, bound, holds in (
            ("at least", self.ge, self.ge is None or value >= self.ge),
            ("above", self.gt, self.gt is None or value > self.gt),
            ("at most", self.le, self.le is None or value <= self.le),
            ("below", self.lt, self.lt is None or value < self.lt),
        ):
            if not holds:
                raise ValueError(f"expected a number {name} {bound}, got {value!r}")

    def _check_text(self, value: str) -> None:
        if self.pattern is not None and re.fullmatch(self.pattern, value) is None:
            raise ValueError(f"expected text that matches {self.pattern}, got {value!r:.80}")
        if self.min_length is not None and len(value) < self.min_length:
            raise ValueError(f"expected at least {self.min_length} characters, got {len(value)}")
        if self.max_length is not None and len(value) > self.max_length:
            raise ValueError(f"expected at most {self.max_length} characters, got {len(value)}")

    def __get_pydantic_core_schema__(self, source: Any, handler: Callable[[Any], Any]) -> Any:
        """Return the schema by which pydantic checks a field."""
        schema = dict(handler(source))
        for name in ("ge", "gt", "le", "lt", "pattern", "min_length", "max_length"):
            bound = getattr(self, name)
            if bound is not None:
                schema[name] = bound
        if self.strict:
            schema["strict"] = True
        return schema


@dataclass(frozen=True, slots=True)
class Checked:
    """Check the values of a field by a function; stands in an ``Annotated`` hint.

    Attributes
    ----------
    check : callable
        Returns the value or raises `ValueError`.
    """

    check: Check

    def __get_pydantic_core_schema__(self, source: Any, handler: Callable[[Any], Any]) -> Any:
        """Return the schema by which pydantic checks a field."""
        from pydantic_core import core_schema

        return core_schema.no_info_after_validator_function(self.check, handler(source))


class CheckedRecord:
    """Check the fields of each instance; base class of dataclasses."""

    __slots__ = ()

    __pydantic_config__ = {"extra": "forbid"}

    def __post_init__(self) -> None:
        """Check and convert the fields.

        Raises
        ------
        FieldError
            If fields are invalid.
        """
        lines = []
        for name, check in checks_of(type(self)):
            try:
                setattr(self, name, check(getattr(self, name)))
            except ValueError as exc:
                lines.append(f"{name}: {exc}")
        if lines:
            raise FieldError(lines)


_CHECKS: dict[type, list[tuple[str, Check]]] = {}


def checks_of(cls: type[Any]) -> list[tuple[str, Check]]:
    """Return the name and the check of each field of a dataclass."""
    checks = _CHECKS.get(cls)
    if checks is None:
        hints = typing.get_type_hints(cls, include_extras=True)
        names = [field.name for field in dataclasses.fields(cls)]
        checks = _CHECKS[cls] = [(name, create_check(hints[name])) for name in names]
    return checks


def create_check(hint: Any) -> Check:
    """Return the check of a type hint."""
    markers = [marker for marker in getattr(hint, "__metadata__", ()) if hasattr(marker, "check")]
    if markers:
        return _create_marked_check(create_check(hint.__origin__), markers)
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return _create_optional_check(
            create_check(next(one for one in args if one is not type(None)))
        )
    if origin is list:
        return _create_list_check(create_check(args[0]))
    if origin is dict:
        return _create_dict_check(create_check(args[0]), create_check(args[1]))
    if hint is float:
        return _check_float
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return _create_type_check(hint)


def _create_marked_check(check: Check, markers: list[Any]) -> Check:
    def check_marked(value: Any) -> Any:
        value = check(value)
        for marker in markers:
            value = marker.check(value)
        return value

    return check_marked


def _create_optional_check(check: Check) -> Check:
    return lambda value: None if value is None else check(value)


def _create_list_check(check: Check) -> Check:
    def check_list(value: Any) -> list[Any]:
        if not isinstance(value, list | tuple):
            raise ValueError(f"expected a list, got {type(value).__name__}")
        return [check(item) for item in value]

    return check_list


def _create_dict_check(check_key: Check, check_value: Check) -> Check:
    def check_dict(value: Any) -> dict[Any, Any]:
        if not isinstance(value, dict):
            raise ValueError(f"expected a map, got {type(value).__name__}")
        return {check_key(key): check_value(item) for key, item in value.items()}

    return check_dict


def _check_float(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {type(value).__name__}")
    return float(value)


def _create_type_check(cls: Any) -> Check:
    def check_type(value: Any) -> Any:
        if not isinstance(value, cls) or (cls is int and isinstance(value, bool)):
            raise ValueError(f"expected {cls.__name__}, got {type(value).__name__}")
        return value

    return check_type
