"""Read catalogue entries from a YAML file and report errors with their line numbers."""

from __future__ import annotations

import typing
from typing import Any

from pydantic import ValidationError

from tarragonwind.core.entries import ENTRY_KINDS, Entry, parse_entry
from tarragonwind.errors import EntryError
from tarragonwind.field_ranges import describe_allowed
from tarragonwind.records import dataclass
from tarragonwind.tools.exit_codes import CommandError, ExitCode
from tarragonwind.yaml_documents import Document, DocumentError, parse_document

MAX_FILE_CHARS = 4 * 1024 * 1024
"""Maximum size of an entry file, in characters."""


@dataclass(slots=True)
class EntryFile:
    """Contain the entries of a file and the first line of each by entry key."""

    path: str
    entries: list[Entry]
    lines: dict[str, int]


def read_entries(path: str) -> EntryFile:
    """Read a file that holds one entry or a list of entries, each a map with ``kind``.

    Raises
    ------
    CommandError
        With one message line for each error: file, line, field, error and allowed values.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARS + 1)
        doc = parse_document(text)
    except (OSError, UnicodeDecodeError, DocumentError) as exc:
        raise CommandError(ExitCode.REFUSED, f"{path}: {exc}") from exc
    if isinstance(doc.data, dict):
        doc = Document([doc.data], {(0, *key): line for key, line in doc.lines.items()})
    if not isinstance(doc.data, list) or not doc.data:
        raise CommandError(ExitCode.REFUSED, f"{path}:1: expected an entry or a list of entries")
    return _collect_entries(path, doc)


def _collect_entries(path: str, doc: Document) -> EntryFile:
    result = EntryFile(path, [], {})
    messages: list[str] = []
    for index, fields in enumerate(doc.data):
        entry = _parse_entry_at(path, doc, index, fields, messages)
        if entry is None:
            continue
        line = doc.line_of((index,))
        if entry.key in result.lines:
            messages.append(
                f"{path}:{line}: {entry.key} is already defined on line {result.lines[entry.key]}"
            )
        result.lines[entry.key] = line
        result.entries.append(entry)
    if messages:
        raise CommandError(ExitCode.REFUSED, "\n".join(messages))
    return result


def _parse_entry_at(path: str, doc: Document, index: int, fields: Any, messages: list[str]) -> Any:
    line = doc.line_of((index,))
    if not isinstance(fields, dict):
        messages.append(
            f"{path}:{line}: expected a map with kind and the entry's fields, "
            f"got {type(fields).__name__}"
        )
        return None
    values = dict(fields)
    kind = str(values.pop("kind", ""))
    try:
        return parse_entry(kind, values)
    except EntryError as exc:
        cause = exc.__cause__
        if isinstance(cause, ValidationError):
            label = f"{kind}/{values.get('name', '?')}"
            messages += _describe_validation_errors(path, doc, index, kind, label, cause)
        else:
            kind_line = doc.line_of((index, "kind"))
            messages.append(f"{path}:{kind_line}: {exc}")
        return None


def _describe_validation_errors(
    path: str, doc: Document, index: int, kind: str, label: str, exc: ValidationError
) -> list[str]:
    hints = typing.get_type_hints(ENTRY_KINDS[kind], include_extras=True)
    lines = []
    for error in exc.errors(include_url=False):
        location = error["loc"]
        line = doc.line_of((index, *location))
        field = ".".join(str(part) for part in location)
        message = _describe_validation_error(error, hints)
        lines.append(f"{path}:{line}: {label}: {field}: {message}")
    return lines


def _describe_validation_error(error: Any, hints: dict[str, Any]) -> str:
    name = error["loc"][0] if error["loc"] else ""
    if error["type"] == "unexpected_keyword_argument" or name not in hints:
        known = ", ".join(sorted(key for key in hints if key != "kind"))
        return f"unknown field; known: {known}"
    allowed = describe_allowed(hints[name])
    if error["type"] == "missing":
        return f"required; allowed: {allowed}"
    return f"got {error['input']!r:.60}; allowed: {allowed}"
