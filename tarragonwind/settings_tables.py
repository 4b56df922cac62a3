"""List the settings keys as table rows with path, default and allowed values."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections.abc import Iterator
from typing import Any

from tarragonwind.field_ranges import describe_allowed
from tarragonwind.records import dataclass
from tarragonwind.settings import Settings


@dataclass(frozen=True, slots=True)
class SettingRow:
    """Describe one settings key.

    Attributes
    ----------
    path : str
        Dotted path of the key; ``[]`` stands for each item of a list.
    default : str
        Default as YAML text, or ``required``.
    allowed : str
        Range or enumeration of the allowed values.
    """

    path: str
    default: str
    allowed: str


def setting_rows() -> list[SettingRow]:
    """Return one row for each key, in declaration order."""
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
    elif typing.get_origin(hint) is dict:
        yield SettingRow(path, "{}", "a map of text to text")
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
