"""Read the fields of the platform's JSON documents, with one error for all that is wrong."""

from __future__ import annotations

import json
from typing import Any, TypeVar

ValueT = TypeVar("ValueT")


class DecodeError(Exception):
    """Report a document of the platform that can't be read."""


def parse_json_object(data: bytes) -> dict[str, Any]:
    """Return a JSON object."""
    try:
        doc = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise DecodeError("the document is not JSON") from exc
    if not isinstance(doc, dict):
        raise DecodeError("the document is not a JSON object")
    return doc


def read_field(doc: dict[str, Any], name: str, cls: type[ValueT]) -> ValueT:
    """Return a field that must be there and of a type."""
    value = doc.get(name)
    if not isinstance(value, cls) or (isinstance(value, bool) and cls is not bool):
        raise DecodeError(f"field {name!r} is missing or of another type")
    return value


def read_number(doc: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number; without a default it must be there."""
    value = doc.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"field {name!r} is missing or no number")
    return float(value)


def read_list(doc: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty when the field is absent."""
    value = doc.get(name) or []
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise DecodeError(f"field {name!r} is no list of objects")
    return value
