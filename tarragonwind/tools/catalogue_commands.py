"""Implement the ``catalogue`` commands: list, show, put, delete, diff and history."""

from __future__ import annotations

from urllib.parse import quote

from fire.decorators import SetParseFn

from tarragonwind.core.entries import ENTRY_KINDS, Entry
from tarragonwind.operator_services import (
    CatalogueItem,
    CatalogueListing,
    EntryDiff,
    HistoryItem,
    OperatorError,
    OperatorErrorKind,
    entry_to_dict,
)
from tarragonwind.tools.change_writers import split_into_batches
from tarragonwind.tools.entry_files import EntryFile, read_entries
from tarragonwind.tools.exit_codes import CommandError, ExitCode
from tarragonwind.tools.outputs import Column, format_diff, format_entry, format_time
from tarragonwind.tools.sessions import Session, require_number

IN_FORCE_TIMEOUT_S = 10.0
"""Default time to wait until all live hosts have applied a change, in seconds."""

_ITEM_COLUMNS = [
    Column("ENTRY", lambda item: item.entry.key),
    Column("NUMBER", lambda item: item.number),
    Column("OWNER", lambda item: item.entry.owner),
]
_HISTORY_COLUMNS = [
    Column("NUMBER", lambda item: item.number),
    Column("AT", lambda item: format_time(item.at)),
    Column("WHO", lambda item: item.who),
    Column("WRITTEN", lambda item: ",".join(item.puts) or "-"),
    Column("REMOVED", lambda item: ",".join(item.deletes) or "-"),
    Column("WRITE", lambda item: item.write_id),
]


class CatalogueCommands:
    """Read and change the catalogue."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @SetParseFn(str)
    def list(self, kind: str = "") -> None:
        """List the entries in force, of one kind or of all kinds."""
        if kind and kind not in ENTRY_KINDS:
            raise CommandError(
                ExitCode.USAGE,
                f"{kind}: unknown kind; expected one of: {', '.join(sorted(ENTRY_KINDS))}",
            )
        listing = self._read_listing(kind)
        self._session.output.show_table(listing.items, _ITEM_COLUMNS, "no entries")

    @SetParseFn(str)
    def show(self, key: str) -> None:
        """Show one entry, KIND/NAME, as YAML that `put` accepts."""
        item = self._read_item(key)
        self._session.output.show(
            item, lambda: f"# number {item.number}\n{format_entry(item.entry)}"
        )

    def put(self, file: str, expect: int = -1, wait_s: float = IN_FORCE_TIMEOUT_S) -> None:
        """Write the entries of a YAML file and wait until all live hosts have applied them.

        The change conflicts if one of its entries was written after the catalogue number that
        --expect gives; the default is the number in force now.
        """
        wait_s = require_number(wait_s, "wait-s")
        require_number(expect, "expect", -1)
        content = read_entries(str(file))
        expected = expect if expect >= 0 else self._read_listing("").number
        try:
            self._session.write(split_into_batches(content.entries, []), expected, wait_s)
        except OperatorError as exc:
            if exc.kind is OperatorErrorKind.ENTRY_REFUSED:
                raise CommandError(
                    ExitCode.REFUSED, _add_line_numbers(content, exc.message)
                ) from exc
            raise

    def delete(self, *keys: str, expect: int = -1, wait_s: float = IN_FORCE_TIMEOUT_S) -> None:
        """Remove entries, KIND/NAME each, and wait until all live hosts have applied it."""
        wait_s = require_number(wait_s, "wait-s")
        require_number(expect, "expect", -1)
        names = [_check_key(str(key)) for key in keys]
        if not names:
            raise CommandError(
                ExitCode.USAGE, "no entries given; name each one to remove as KIND/NAME"
            )
        listing = self._read_listing("")
        known = {item.entry.key for item in listing.items}
        missing = [name for name in names if name not in known]
        if missing:
            raise CommandError(ExitCode.REFUSED, f"not in the catalogue: {', '.join(missing)}")
        expected = expect if expect >= 0 else listing.number
        self._session.write(split_into_batches([], names), expected, wait_s)

    def diff(self, file: str = "", since: int = -1, until: int = -1) -> None:
        """Show what a file would change, or what changed between two catalogue numbers."""
        if file:
            diffs = diff_file(str(file), self._read_listing(""))
        else:
            first = int(require_number(since, "since"))
            last = int(until) if until >= 0 else self._read_listing("").number
            path = f"/v1/diff?since={first}&until={last}"
            diffs = self._session.client.get(path, list[EntryDiff])
        self._session.output.show(diffs, lambda: _describe_diffs(diffs))

    def history(self, key: str = "", limit: int = 50) -> None:
        """Show the latest changes, newest first, of one entry or of all."""
        count = int(require_number(limit, "limit", 1))
        path = f"/v1/history?limit={count}"
        if key:
            path += f"&key={quote(_check_key(str(key)))}"
        items = self._session.client.get(path, list[HistoryItem])
        self._session.output.show_table(items, _HISTORY_COLUMNS, "no changes")

    def _read_listing(self, kind: str) -> CatalogueListing:
        path = f"/v1/catalogue?kind={kind}" if kind else "/v1/catalogue"
        return self._session.client.get(path, CatalogueListing)

    def _read_item(self, key: str) -> CatalogueItem:
        return self._session.client.get(f"/v1/catalogue/{_check_key(key)}", CatalogueItem)


def diff_file(file: str, listing: CatalogueListing) -> list[EntryDiff]:
    """Return the entries of a file that are new or differ from the catalogue."""
    current = {item.entry.key: item.entry for item in listing.items}
    diffs = []
    for entry in read_entries(file).entries:
        before = current.get(entry.key)
        if before is None or entry_to_dict(before) != entry_to_dict(entry):
            diffs.append(EntryDiff(entry.key, before, entry))
    return diffs


def _check_key(key: str) -> str:
    kind, separator, name = key.partition("/")
    if not separator or kind not in ENTRY_KINDS or not name:
        kinds = ", ".join(sorted(ENTRY_KINDS))
        raise CommandError(
            ExitCode.USAGE, f"{key}: expected KIND/NAME with one of the kinds: {kinds}"
        )
    return key


def _describe_diffs(diffs: list[EntryDiff]) -> str:
    if not diffs:
        return "no difference"
    return "\n".join(format_diff(item.key, item.before, item.after) for item in diffs)


def _add_line_numbers(content: EntryFile, message: str) -> str:
    """Prefix each error with the file, and with the line of the entry that it names."""
    lines = []
    for error in message.splitlines():
        line = next((content.lines[key] for key in content.lines if error.startswith(key)), 0)
        lines.append(f"{content.path}:{line}: {error}" if line else f"{content.path}: {error}")
    return "\n".join(lines)


def describe_conflict(exc: OperatorError) -> str:
    """Format a conflict and the current entries as text."""
    parts = [f"conflict: {exc.message}; there now:"]
    for item in exc.current:
        entry: Entry = item.entry
        parts.append(f"# {entry.key}, number {item.number}\n{format_entry(entry)}")
    return "\n".join(parts)
