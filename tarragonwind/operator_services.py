"""Define the operator API of a daemon: its service interface, result types and error kinds."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import field
from typing import Annotated, Any

from pydantic import PlainSerializer, PlainValidator

from tarragonwind.core.entries import TIER_COUNT, Entry, dump_entry, parse_entry
from tarragonwind.core.upstream_statuses import UpstreamReport
from tarragonwind.errors import EntryError, StoreError
from tarragonwind.futures import Future
from tarragonwind.records import dataclass

MAX_ENTRIES_PER_CHANGE = 40
"""Maximum number of entries that one change may write or remove."""


class OperatorErrorKind(enum.Enum):
    """Define the error kinds of the operator API; clients may rely on the set being closed."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    METHOD_REFUSED = "method_refused"
    CONFLICT = "conflict"
    GONE = "gone"
    TOO_LARGE = "too_large"
    ENTRY_REFUSED = "entry_refused"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STOPPING = "stopping"
    INTERNAL = "internal"


OPERATOR_STATUSES: dict[OperatorErrorKind, int] = {
    OperatorErrorKind.MALFORMED: 400,
    OperatorErrorKind.UNAUTHORIZED: 401,
    OperatorErrorKind.NOT_FOUND: 404,
    OperatorErrorKind.METHOD_REFUSED: 405,
    OperatorErrorKind.CONFLICT: 409,
    OperatorErrorKind.GONE: 410,
    OperatorErrorKind.TOO_LARGE: 413,
    OperatorErrorKind.ENTRY_REFUSED: 422,
    OperatorErrorKind.STORE_UNAVAILABLE: 503,
    OperatorErrorKind.OUTCOME_UNKNOWN: 504,
    OperatorErrorKind.STOPPING: 503,
    OperatorErrorKind.INTERNAL: 500,
}
"""HTTP status code of each error kind."""


def _validate_entry(value: Any) -> Entry:
    if isinstance(value, Entry):
        return value
    if not isinstance(value, dict):
        raise ValueError("an entry is a map")
    fields = dict(value)
    try:
        return parse_entry(str(fields.pop("kind", "")), fields)
    except EntryError as exc:
        raise ValueError(str(exc)) from exc


def entry_to_dict(entry: Entry) -> dict[str, Any]:
    """Return an entry as a dict of its kind and its fields."""
    return {"kind": entry.kind, **dump_entry(entry)}


AnyEntry = Annotated[Entry, PlainValidator(_validate_entry), PlainSerializer(entry_to_dict)]
"""Entry of any kind, serialised as one object that holds its kind and its fields."""


@dataclass(frozen=True, slots=True)
class CatalogueItem:
    """Represent an entry and the number of the change that last wrote it.

    Attributes
    ----------
    entry : Entry
        The entry.
    number : int
        Catalogue number of that change.
    """

    entry: AnyEntry
    number: int


@dataclass(frozen=True, slots=True)
class CatalogueListing:
    """Contain entries and the catalogue number that the responding host has applied."""

    number: int
    items: list[CatalogueItem]


@dataclass(frozen=True, slots=True)
class Change:
    """Describe a change that writes or removes several catalogue entries together.

    Attributes
    ----------
    write_id : str
        Unique id chosen by the client; makes retries idempotent.
    who : str
        Label of the operator's token.
    expected : int
        Catalogue number that the change is based on. The change conflicts when one of its
        entries was written after that number; 0 requires that none of them exists.
    puts : list of Entry
        Entries to write.
    deletes : list of str
        Keys, ``kind/name``, of entries to remove.
    """

    write_id: str
    who: str
    expected: int
    puts: list[AnyEntry] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)

    def touched_keys(self) -> list[str]:
        """Return the keys of all entries that the change writes or removes."""
        return [entry.key for entry in self.puts] + self.deletes


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Describe the result of an accepted change.

    Attributes
    ----------
    number : int
        Catalogue number of the change.
    repeated : bool
        Whether the write id had already been accepted and nothing was written again.
    """

    number: int
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class ChangePropagation:
    """List the live hosts that have applied a catalogue number, and those still behind it."""

    number: int
    in_force: list[str]
    behind: list[str]


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Describe what the store has recorded for a write id.

    Attributes
    ----------
    accepted : bool
        Whether a change with that id was accepted into the catalogue.
    number : int
        Catalogue number of the change, 0 if it was not accepted.
    """

    accepted: bool
    number: int = 0


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """Describe one accepted change; `at` is the time of the change in seconds since the epoch."""

    number: int
    at: float
    who: str
    write_id: str
    puts: list[str]
    deletes: list[str]


@dataclass(frozen=True, slots=True)
class EntryDiff:
    """Represent an entry before and after a range of changes; None where it did not exist."""

    key: str
    before: AnyEntry | None
    after: AnyEntry | None


class MoveOutcome(enum.Enum):
    """Define the outcomes of a move between versions; ``not_settled`` while it is in progress."""

    NOT_SETTLED = "not_settled"
    DONE = "done"
    TAKEN_BACK = "taken_back"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class MoveReport:
    """Describe the state of a move of a pool from one version to another.

    Attributes
    ----------
    name, pool, from_version, to_version : str
        Name of the move, its pool and the two versions.
    outcome : MoveOutcome
        Outcome; once settled, the same on every host.
    share : float
        Fraction of the pool's traffic that goes to the new version, 0 to 1.
    why : str
        Evidence for the current state, or what blocks progress.
    done_by : float
        Time by which the move must complete, in seconds since the epoch.
    recorded : bool
        Whether the outcome is recorded in the store.
    """

    name: str
    pool: str
    from_version: str
    to_version: str
    outcome: MoveOutcome
    share: float
    why: str
    done_by: float
    recorded: bool


@dataclass(frozen=True, slots=True)
class HostReport:
    """Describe a host as seen from the responding host.

    Attributes
    ----------
    name, data_centre, address : str
        Name, data centre and address of the host.
    state : str
        ``live``, ``suspect``, ``leaving`` or ``lost``.
    number : int
        Catalogue number that the host last reported as applied.
    heard_s : float
        Seconds since the last message from the host, -1 if there was none.
    """

    name: str
    data_centre: str
    address: str
    state: str
    number: int
    heard_s: float


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """Describe the state of the responding daemon.

    Attributes
    ----------
    host, data_centre : str
        Host name and data centre of the daemon.
    ready, stopping : bool
        Whether the daemon accepts requests, and whether it is shutting down.
    number : int
        Applied catalogue number.
    store_away_s : float
        Seconds since the store last responded, 0 while it is available.
    live_hosts : int
        Number of live daemons, including this one.
    waiting : list of int
        Queued requests by tier.
    in_progress : int
        Requests that the daemon has accepted and not yet responded to.
    sheds : list of int
        Requests shed since the daemon started, by tier.
    owned_pools : list of str
        Pools whose queue this host owns.
    control_sent_bytes, control_received_bytes : int
        Bytes of messages between hosts since the daemon started.
    store_calls : int
        Calls to the key-value store since the daemon started.
    """

    host: str
    data_centre: str
    ready: bool
    stopping: bool
    number: int
    store_away_s: float
    live_hosts: int
    in_progress: int
    waiting: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    sheds: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    owned_pools: list[str] = field(default_factory=list)
    control_sent_bytes: int = 0
    control_received_bytes: int = 0
    store_calls: int = 0


@dataclass(frozen=True, slots=True)
class Readiness:
    """Describe whether the daemon accepts requests, and the reason if it does not."""

    ready: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class DrainResult:
    """Describe the host that is draining and the number of its requests still in progress."""

    host: str
    in_progress: int


class OperatorError(Exception):
    """Signal that an operator's request failed or was rejected.

    Parameters
    ----------
    kind : OperatorErrorKind
        Error kind, which sets the HTTP status.
    message : str
        Description that says what to change.
    current : list of CatalogueItem, optional
        For conflicts: the current state of the conflicting entries.
    """

    def __init__(
        self,
        kind: OperatorErrorKind,
        message: str,
        current: list[CatalogueItem] | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.current = current or []


def to_operator_error(exc: BaseException) -> OperatorError:
    """Map any exception to an `OperatorError`, without details of unexpected ones."""
    if isinstance(exc, OperatorError):
        return exc
    if isinstance(exc, EntryError):
        return OperatorError(OperatorErrorKind.ENTRY_REFUSED, str(exc))
    if isinstance(exc, StoreError) and exc.maybe_applied:
        return OperatorError(OperatorErrorKind.OUTCOME_UNKNOWN, "the store's answer was lost")
    if isinstance(exc, StoreError):
        return OperatorError(OperatorErrorKind.STORE_UNAVAILABLE, "the store does not answer")
    return OperatorError(OperatorErrorKind.INTERNAL, "the request failed; see the host's log")


class OperatorService(ABC):
    """Define the operations of the operator API.

    Every future may fail with `OperatorError`, `EntryError` or `StoreError`.
    """

    @abstractmethod
    def readiness(self) -> Readiness:
        """Return whether the load balancer should send requests to this daemon."""

    @abstractmethod
    def status(self) -> DaemonReport:
        """Return the state of this daemon."""

    @abstractmethod
    def hosts(self) -> list[HostReport]:
        """Return the state of each known host."""

    @abstractmethod
    def upstreams(self) -> list[UpstreamReport]:
        """Return the state of each upstream."""

    @abstractmethod
    def list_entries(self, kind: str) -> CatalogueListing:
        """Return the applied entries of one kind, or of all kinds if `kind` is empty."""

    @abstractmethod
    def find_entry(self, key: str) -> CatalogueItem | None:
        """Return the applied entry with a key, ``kind/name``, or None."""

    @abstractmethod
    def apply_change(self, change: Change) -> Future[ChangeResult]:
        """Write a change; fails with ``OUTCOME_UNKNOWN`` if the store's response was lost."""

    @abstractmethod
    def change_propagation(self, number: int) -> ChangePropagation:
        """Return which live hosts have applied a catalogue number."""

    @abstractmethod
    def find_write(self, write_id: str) -> Future[WriteOutcome]:
        """Look up in the store whether a write id was accepted."""

    @abstractmethod
    def history(self, key: str, limit: int) -> Future[list[HistoryItem]]:
        """Return accepted changes, newest first, of one entry or of all if `key` is empty."""

    @abstractmethod
    def diff(self, since: int, until: int) -> Future[list[EntryDiff]]:
        """Return the entries that differ between two numbers; fails with ``GONE`` if too old."""

    @abstractmethod
    def moves(self) -> list[MoveReport]:
        """Return the state of each move."""

    @abstractmethod
    def drain(self, who: str) -> DrainResult:
        """Start the graceful shutdown of this daemon."""
