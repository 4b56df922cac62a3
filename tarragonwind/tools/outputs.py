"""Print results as text or JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from typing import Any, TypeVar

import yaml
from pydantic import TypeAdapter

from tarragonwind.core.entries import Entry
from tarragonwind.operator_services import entry_to_dict
from tarragonwind.records import dataclass

ItemT = TypeVar("ItemT")


@dataclass(frozen=True, slots=True)
class Column:
    """Define a table column: its heading and a function from item to cell."""

    heading: str
    render: Callable[[Any], object]


def to_jsonable(value: Any) -> Any:
    """Convert a typed result to data that `json.dumps` accepts."""
    if isinstance(value, list):
        return [to_jsonable(item) for item in value]
    return TypeAdapter(type(value)).dump_python(value, mode="json")


class Output:
    """Print results as text or JSON.

    Parameters
    ----------
    as_json : bool
        Whether to print JSON.
    write : callable, optional
        Called with the text to print.
    """

    __slots__ = ("as_json", "write")

    def __init__(self, as_json: bool, write: Callable[[str], None] = print) -> None:
        self.as_json = as_json
        self.write = write

    def show(self, value: Any, describe: Callable[[], str]) -> None:
        """Print a value as JSON, or the text that `describe` returns."""
        self.write(json.dumps(to_jsonable(value)) if self.as_json else describe())

    def show_table(self, items: Sequence[Any], columns: list[Column], empty: str) -> None:
        """Print items as a table, or `empty` when there are none."""
        self.show(list(items), lambda: format_table(items, columns) if items else empty)


def format_table(items: Sequence[Any], columns: list[Column]) -> str:
    """Format items as a table with headings and aligned columns."""
    rows = [[column.heading for column in columns]]
    for item in items:
        rows.append([_format_cell(column.render(item)) for column in columns])
    widths = [max(len(row[index]) for row in rows) for index in range(len(columns))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _format_cell(value: object) -> str:
    if isinstance(value, list):
        return "/".join(str(item) for item in value)
    return str(value)


def format_entry(entry: Entry) -> str:
    """Format an entry as YAML that `catalogue put` accepts."""
    return str(yaml.safe_dump([entry_to_dict(entry)], sort_keys=False, allow_unicode=True)).rstrip()


def format_time(at: float) -> str:
    """Format seconds since the epoch as date and time in UTC."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_diff(key: str, before: Entry | None, after: Entry | None) -> str:
    """Format the changes of one entry, one line per field."""
    old = entry_to_dict(before) if before else {}
    new = entry_to_dict(after) if after else {}
    sign = "+" if not before else "-" if not after else "~"
    lines = [f"{sign} {key}"]
    for name in dict.fromkeys([*old, *new]):
        if old.get(name) != new.get(name):
            lines.append(f"    {name}: {old.get(name, '(none)')} -> {new.get(name, '(none)')}")
    return "\n".join(lines)
