"""Describe the allowed values of a validated field, for error messages and reference pages."""

from __future__ import annotations

import enum
import types
import typing
from typing import Any

_CONSTRAINTS = ("ge", "gt", "le", "lt", "min_length", "max_length", "pattern")


def describe_allowed(hint: Any) -> str:
    """Return a description of the values that a constrained type allows.

    Parameters
    ----------
    hint : type
        Type hint, optionally ``Annotated`` with `tarragonwind.checked_records.Bounds`.
    """
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return " or ".join(str(member.value) for member in hint)
    base, *extras = typing.get_args(hint) if _is_annotated(hint) else (hint,)
    if typing.get_origin(base) is list:
        return f"a list, each item {describe_allowed(typing.get_args(base)[0])}"
    if isinstance(base, types.UnionType) or typing.get_origin(base) is typing.Union:
        return " or ".join(describe_allowed(part) for part in typing.get_args(base))
    if base is bool:
        return "true or false"
    descriptions = [getattr(extra, "description", "") for extra in extras]
    for description in descriptions:
        if description:
            return description
    return _describe_bounds(base, _collect_bounds(extras))


def _is_annotated(hint: Any) -> bool:
    return hasattr(hint, "__metadata__")


def _collect_bounds(extras: list[Any]) -> dict[str, Any]:
    bounds: dict[str, Any] = {}
    for extra in extras:
        for name in _CONSTRAINTS:
            value = getattr(extra, name, None)
            if value is not None:
                bounds[name] = value
    return bounds


def _describe_bounds(base: Any, bounds: dict[str, Any]) -> str:
    if base in (int, float):
        return _describe_number(base, bounds)
    if "pattern" in bounds:
        return f"text that matches {bounds['pattern']}"
    if "min_length" in bounds:
        return f"text of {bounds['min_length']} to {bounds['max_length']} characters"
    if "max_length" in bounds:
        return f"text of at most {bounds['max_length']} characters"
    return "text" if base is str else "a value of its own"


def _describe_number(base: Any, bounds: dict[str, Any]) -> str:
    noun = "a whole number" if base is int else "a number"
    if "ge" in bounds:
        low = f" from {bounds['ge']}"
    elif "gt" in bounds:
        low = f" above {bounds['gt']}"
    else:
        low = ""
    high = bounds.get("le")
    if base is int and "lt" in bounds:
        high = bounds["lt"] - 1
    return f"{noun}{low}" + (f" to {high}" if high is not None else "")
