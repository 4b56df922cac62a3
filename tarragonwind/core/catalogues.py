"""Define the catalogue: an immutable version of all entries, indexed for request routing."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from tarragonwind.core.changes import Change, record_digest
from tarragonwind.core.entries import (
    Entry,
    MoveEntry,
    OrganisationEntry,
    PoolEntry,
    RouteEntry,
    UpstreamEntry,
    parse_entry,
)
from tarragonwind.core.verdicts import VERDICT_KIND, MoveVerdict, unpack_verdict
from tarragonwind.errors import EntryError
from tarragonwind.records import dataclass

Content = Entry | MoveVerdict


@dataclass(frozen=True, slots=True)
class Record:
    """Represent the stored value of one catalogue key.

    Attributes
    ----------
    number : int
        Number of the change that wrote it.
    doc : bytes
        Canonical JSON of the value, as accepted.
    content : Entry, MoveVerdict or None
        Parsed value; None if this version of the program can't parse it.
    """

    number: int
    doc: bytes
    content: Content | None


def parse_record(number: int, key: str, doc: bytes) -> Record:
    """Parse a record.

    A value that can't be parsed, such as one written by a later version of the program, is kept
    with `content` None, so that the digests of all hosts agree.
    """
    kind = key.partition("/")[0]
    content: Content | None = None
    try:
        content = (
            unpack_verdict(doc) if kind == VERDICT_KIND else parse_entry(kind, json.loads(doc))
        )
    except (EntryError, KeyError, TypeError, ValueError):
        content = None
    return Record(number, doc, content)


class Catalogue:
    """Index all entries as of one change number; applying changes returns a new object.

    Attributes
    ----------
    number : int
        Number of the last change, 0 for the empty catalogue.
    digest : int
        XOR of the record digests, 64 bits; equal catalogues have equal digests.
    records : mapping of str to Record
        All records by key, ``kind/name``.
    evacuated : frozenset of str
        Data centres whose upstreams get nothing new.
    """

    __slots__ = (
        "_by_kind",
        "_moves_by_pool",
        "_organisation_by_token",
        "_route_by_model",
        "_route_by_prefix",
        "_route_by_target",
        "_upstreams_by_pool",
        "digest",
        "evacuated",
        "number",
        "records",
    )

    def __init__(self) -> None:
        self.number = 0
        self.digest = 0
        self.evacuated: frozenset[str] = frozenset()
        self.records: dict[str, Record] = {}
        self._by_kind: dict[str, dict[str, Content]] = {}
        self._organisation_by_token: dict[str, OrganisationEntry] = {}
        self._route_by_model: dict[str, RouteEntry] = {}
        self._route_by_prefix: dict[str, RouteEntry] = {}
        self._route_by_target: dict[tuple[str, str], RouteEntry] = {}
        self._upstreams_by_pool: dict[str, tuple[UpstreamEntry, ...]] = {}
        self._moves_by_pool: dict[str, MoveEntry] = {}

    def organisation_for(self, token_sha256: str) -> OrganisationEntry | None:
        """Return the organisation that owns a token, given the token's SHA-256 in hex."""
        return self._organisation_by_token.get(token_sha256)

    def route_for_model(self, model: str) -> RouteEntry | None:
        """Return the route that serves a model."""
        return self._route_by_model.get(model)

    def route_for_path(self, path: str) -> RouteEntry | None:
        """Return the route whose prefix is the longest match for a path, by whole segments."""
        while path:
            route = self._route_by_prefix.get(path.rstrip("/"))
            if route is not None:
                return route
            path = path.rstrip("/").rpartition("/")[0]
        return self._route_by_prefix.get("")

    def route_for_target(self, authority: str, path: str) -> RouteEntry | None:
        """Return the route of an authority whose prefix is the longest match for a path.

        Prefixes of routes with an authority begin and end with a slash.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._route_by_target.get((authority, path[: end + 1]))
            if route is not None:
                return route
        return None

    def pool(self, name: str) -> PoolEntry | None:
        """Return a pool by name."""
        entry = self._by_kind.get("pool", {}).get(name)
        return entry if isinstance(entry, PoolEntry) else None

    def upstreams_of(self, pool: str) -> tuple[UpstreamEntry, ...]:
        """Return a pool's upstreams, sorted by name."""
        return self._upstreams_by_pool.get(pool, ())

    def move_of(self, pool: str) -> MoveEntry | None:
        """Return the active move of a pool: the one without a verdict."""
        return self._moves_by_pool.get(pool)

    def active_moves(self) -> Mapping[str, MoveEntry]:
        """Return the active moves, those without a verdict, by pool."""
        return self._moves_by_pool

    def verdict_of(self, move: str) -> MoveVerdict | None:
        """Return the recorded verdict of a move, None if there is none."""
        verdict = self._by_kind.get(VERDICT_KIND, {}).get(move)
        return verdict if isinstance(verdict, MoveVerdict) else None

    def contents(self, kind: str) -> Mapping[str, Content]:
        """Return the parsed values of one kind by name."""
        return self._by_kind.get(kind, {})

    def entry(self, key: str) -> Content | None:
        """Return the parsed value of a key, None if it is missing or can't be parsed."""
        record = self.records.get(key)
        return record.content if record else None

    def unparsed_keys(self) -> list[str]:
        """Return the keys whose values this version of the program can't parse."""
        return [key for key, record in self.records.items() if record.content is None]

    def with_changes(self, changes: Iterable[Change]) -> Catalogue:
        """Return the catalogue after applying consecutive changes that start at ``number + 1``."""
        after = self._copy()
        touched: set[str] = set()
        for change in changes:
            record = None
            if change.doc is not None:
                record = parse_record(change.number, change.key, change.doc)
            after.number = change.number
            after._place(change.key, record, touched)
        after._index(touched)
        return after

    def _copy(self) -> Catalogue:
        after = Catalogue()
        for name in Catalogue.__slots__:
            setattr(after, name, getattr(self, name))
        after.records = dict(self.records)
        after._by_kind = dict(self._by_kind)
        return after

    def _place(self, key: str, record: Record | None, touched: set[str]) -> None:
        """Set or remove one record and update the digest.

        The index of a kind is shared with the previous catalogue until the first change of that
        kind, which copies it and adds the kind to `touched`.
        """
        kind, _, name = key.partition("/")
        if kind not in touched:
            touched.add(kind)
            self._by_kind[kind] = dict(self._by_kind.get(kind, {}))
        before = self.records.pop(key, None)
        if before is not None:
            self.digest ^= record_digest(before.number, key, before.doc)
            self._by_kind[kind].pop(name, None)
        if record is None:
            return
        self.records[key] = record
        self.digest ^= record_digest(record.number, key, record.doc)
        if record.content is not None:
            self._by_kind[kind][name] = record.content

    def _index(self, touched: set[str]) -> None:
        if "organisation" in touched:
            self._index_organisations()
        if "route" in touched:
            self._index_routes()
        if "upstream" in touched:
            self._index_upstreams()
        if touched & {"move", VERDICT_KIND}:
            self._index_moves()

    def _index_organisations(self) -> None:
        self._organisation_by_token = {}
        for entry in self.contents("organisation").values():
            assert isinstance(entry, OrganisationEntry)
            for token in entry.token_sha256:
                self._organisation_by_token[token] = entry

    def _index_routes(self) -> None:
        self._route_by_model = {}
        self._route_by_prefix = {}
        self._route_by_target = {}
        for entry in self.contents("route").values():
            assert isinstance(entry, RouteEntry)
            if entry.model:
                self._route_by_model[entry.model] = entry
            if entry.authority:
                self._route_by_target[entry.authority, entry.path_prefix] = entry
            elif entry.path_prefix:
                self._route_by_prefix[entry.path_prefix.rstrip("/")] = entry

    def _index_upstreams(self) -> None:
        pools: dict[str, list[UpstreamEntry]] = {}
        for _, entry in sorted(self.contents("upstream").items()):
            assert isinstance(entry, UpstreamEntry)
            pools.setdefault(entry.pool, []).append(entry)
        self._upstreams_by_pool = {pool: tuple(entries) for pool, entries in pools.items()}

    def _index_moves(self) -> None:
        self._moves_by_pool = {}
        for name, entry in sorted(self.contents("move").items()):
            assert isinstance(entry, MoveEntry)
            if self.verdict_of(name) is None:
                self._moves_by_pool[entry.pool] = entry


def build_catalogue(number: int, records: Mapping[str, Record]) -> Catalogue:
    """Build a catalogue from all its records."""
    catalogue = Catalogue()
    catalogue.number = number
    touched: set[str] = set()
    for key, record in records.items():
        catalogue._place(key, record, touched)
    catalogue._index(touched)
    return catalogue
