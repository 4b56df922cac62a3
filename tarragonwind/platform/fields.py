"""Read typed fields of the platform's JSON documents; every fault raises `DecodeError`."""

from __future__ import annotations

import json
import math
import sys
from typing import Any, TypeVar

ValueT = TypeVar("ValueT")


class DecodeError(Exception):
    """Report a document of the platform that is malformed or lacks a field."""


def parse_json_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object."""
    try:
        doc = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(f"document is not valid JSON: {type(exc).__name__}") from exc
    if not isinstance(doc, dict):
        raise DecodeError(f"expected a JSON object, got {type(doc).__name__}")
    return doc


def read_field(doc: dict[str, Any], name: str, cls: type[ValueT]) -> ValueT:
    """Return a required field of the given type."""
    value = doc.get(name)
    if not isinstance(value, cls) or (isinstance(value, bool) and cls is not bool):
        raise DecodeError(f"field {name!r} is missing or not of type {cls.__name__}")
    return value


def read_number(doc: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a finite number; without a default the field is required."""
    value: Any = doc.get(name, default)
    if type(value) not in (int, float) or not abs(value) <= sys.float_info.max:
        raise DecodeError(f"field {name!r}: expected a finite number, got {value!r:.40}")
    return float(value)


def read_amount(doc: dict[str, Any], name: str, maximum: float) -> float:
    """Return a number within 0 and a maximum; 0 if it is absent, null or not finite."""
    value = doc.get(name)
    if value is None or (isinstance(value, float) and not math.isfinite(value)):
        return 0.0
    return min(maximum, max(0.0, read_number(doc, name)))


def read_names(doc: dict[str, Any], name: str) -> list[str]:
    """Return a list of strings, empty if the field is absent or null."""
    value = doc.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(entry, str) for entry in value):
        raise DecodeError(f"field {name!r} is not a list of strings")
    return value


def read_list(doc: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty if the field is absent."""
    value = doc.get(name) or []
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise DecodeError(f"field {name!r} is not a list of objects")
    return value
