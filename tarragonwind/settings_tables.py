"""Describe each key of the settings as a row: its path, default and allowed values."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic.fields import FieldInfo

from tarragonwind.settings import Settings


@dataclass(frozen=True, slots=True)
class SettingRow:
    """Describe one key.

    Attributes
    ----------
    path : str
        Dotted path; ``[]`` stands for each item of a list.
    default : str
        Default as YAML text, or ``required``.
    allowed : str
        Range or choice of values.
    """

    path: str
    default: str
    allowed: str


def setting_rows() -> list[SettingRow]:
    """Return a row for each key, in the order of the classes."""
    return list(_walk_rows(Settings, ""))


def _walk_rows(cls: type, prefix: str) -> Iterator[SettingRow]:
    hints = typing.get_type_hints(cls, include_extras=True)
    for item in dataclasses.fields(cls):
        yield from _rows_of_key(prefix + item.name, hints[item.name], item)


def _rows_of_key(path: str, hint: Any, item: dataclasses.Field[Any]) -> Iterator[SettingRow]:
    if dataclasses.is_dataclass(hint):
        yield from _walk_rows(typing.cast(type, hint), path + ".")
    elif typing.get_origin(hint) is list:
        yield SettingRow(path, "[]", "a list")
        yield from _walk_rows(typing.get_args(hint)[0], path + "[].")
    else:
        yield SettingRow(path, _describe_default(item), describe_allowed(hint))


def _describe_default(item: dataclasses.Field[Any]) -> str:
    default = item.default
    if default is dataclasses.MISSING:
        return "required"
    if isinstance(default, enum.Enum):
        return str(default.value)
    if isinstance(default, bool):
        return str(default).lower()
    return '""' if default == "" else str(default)


def describe_allowed(hint: Any) -> str:
    """Return the allowed values of a type with its constraints, as text for operators."""
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return " or ".join(str(member.value) for member in hint)
    base, *extras = typing.get_args(hint) or (hint,)
    if base is bool:
        return "true or false"
    bounds: dict[str, Any] = {}
    for extra in extras:
        if not isinstance(extra, FieldInfo):
            continue
        if extra.description:
            return extra.description
        for constraint in extra.metadata:
            _read_constraint(constraint, bounds)
    return _describe_bounds(base, bounds)


def _read_constraint(constraint: Any, bounds: dict[str, Any]) -> None:
    for name in ("ge", "le", "max_length", "pattern"):
        value = getattr(constraint, name, None)
        if value is not None:
            bounds[name] = value


def _describe_bounds(base: type, bounds: dict[str, Any]) -> str:
    if "ge" in bounds:
        noun = "a whole number" if base is int else "a number"
        return f"{noun} from {bounds['ge']} to {bounds['le']}"
    if "pattern" in bounds:
        return f"text that matches {bounds['pattern']}"
    return f"text of at most {bounds['max_length']} characters"
