"""Name what operators can ask of a daemon, with typed answers and a closed list of refusals."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Annotated, Any

from pydantic import PlainSerializer, PlainValidator

from tarragonwind.core.entries import TIER_COUNT, Entry, dump_entry, parse_entry
from tarragonwind.errors import EntryError, StoreError
from tarragonwind.futures import Future

MAX_ENTRIES_PER_CHANGE = 40
"""Most entries that one change may touch."""


class OperatorErrorKind(enum.Enum):
    """Name each kind of refusal towards operators; the list is closed."""

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
"""HTTP status code of each kind."""


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
    """Return an entry's kind and fields as plain data."""
    return {"kind": entry.kind, **dump_entry(entry)}


AnyEntry = Annotated[Entry, PlainValidator(_validate_entry), PlainSerializer(entry_to_dict)]
"""Entry of any kind, with its kind beside its fields when it travels."""


@dataclass(frozen=True, slots=True)
class CatalogueItem:
    """Hold an entry and the accepted change that wrote it.

    Attributes
    ----------
    entry : Entry
        The entry.
    number : int
        Catalogue number of the change.
    """

    entry: AnyEntry
    number: int


@dataclass(frozen=True, slots=True)
class CatalogueListing:
    """Hold entries and the catalogue number that is in force on the answering host."""

    number: int
    items: list[CatalogueItem]


@dataclass(frozen=True, slots=True)
class Change:
    """Ask for several entries to be written or removed together.

    Attributes
    ----------
    write_id : str
        Chosen by the client, unique; a repeated id is not applied twice.
    who : str
        Label of the operator's token.
    expected : int
        Catalogue number that the operator looked at. The change conflicts when one of its
        entries was written after that; 0 requires that none of them exists.
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
        """Return the keys of all entries that the change touches."""
        return [entry.key for entry in self.puts] + self.deletes


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Tell the catalogue number of an accepted change.

    Attributes
    ----------
    number : int
        Catalogue number of the change.
    repeated : bool
        Whether a change with the same write id had been accepted before.
    """

    number: int
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class ChangePropagation:
    """Tell which live hosts have a catalogue number, or a later one, in force."""

    number: int
    in_force: list[str]
    behind: list[str]


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Tell whether a write id was accepted, read from the store.

    Attributes
    ----------
    accepted : bool
        Whether a change with the id is part of the catalogue.
    number : int
        Its catalogue number, 0 when it is not.
    """

    accepted: bool
    number: int = 0


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """Describe one accepted change; `at` is in seconds since the epoch."""

    number: int
    at: float
    who: str
    write_id: str
    puts: list[str]
    deletes: list[str]


@dataclass(frozen=True, slots=True)
class EntryDiff:
    """Hold an entry before and after; None where it did not exist."""

    key: str
    before: AnyEntry | None
    after: AnyEntry | None


class MoveOutcome(enum.Enum):
    """Tell how a move ended; ``not_settled`` until it has."""

    NOT_SETTLED = "not_settled"
    DONE = "done"
    TAKEN_BACK = "taken_back"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class MoveReport:
    """Tell how a move stands.

    Attributes
    ----------
    name, pool, from_version, to_version : str
        The move.
    outcome : MoveOutcome
        Its settled answer, the same on every host.
    share : float
        Part of the pool's traffic that the new version gets, 0 to 1.
    why : str
        Evidence or obstacle behind the present state.
    done_by : float
        Seconds since the epoch.
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
    """Tell how a host stands, as seen from the answering host.

    Attributes
    ----------
    name, data_centre, address : str
        The host.
    state : str
        ``live``, ``leaving`` or ``lost``.
    number : int
        Catalogue number that it last said to have in force.
    heard_s : float
        Seconds since it was last heard.
    """

    name: str
    data_centre: str
    address: str
    state: str
    number: int
    heard_s: float


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Tell how an upstream stands, as seen from the answering host.

    Attributes
    ----------
    name, pool, version : str
        The upstream.
    state : str
        ``live``, ``leaving`` or ``unreachable``.
    in_progress, slots : int
        Requests that run now, and that it runs well at one time.
    tokens_per_s : float
        Speed that was measured.
    failures : int
        Failed exchanges since the daemon started.
    report_age_s : float
        Age of its last load report in seconds, -1 without one.
    """

    name: str
    pool: str
    version: str
    state: str
    in_progress: int
    slots: int
    tokens_per_s: float
    failures: int
    report_age_s: float


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """Tell how the answering daemon stands.

    Attributes
    ----------
    host, data_centre : str
        The daemon.
    ready, stopping : bool
        Whether it takes requests, whether it is ending.
    number : int
        Catalogue number in force.
    store_away_s : float
        Seconds since the store last answered, 0 while it answers.
    live_hosts : int
        Live daemons, this one included.
    waiting : list of int
        Waiting requests by tier.
    in_progress : int
        Requests that are dispatched and not ended.
    sheds : list of int
        Requests shed since the start, by tier.
    owned_pools : list of str
        Pools whose one queue this host keeps.
    control_sent_bytes, control_received_bytes : int
        Bytes of messages between hosts since the start.
    store_calls : int
        Calls to the key-value service since the start.
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
    """Tell whether the daemon takes requests, and why not."""

    ready: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class DrainResult:
    """Tell that a daemon has begun to stop, and how many requests it still carries."""

    host: str
    in_progress: int


class OperatorError(Exception):
    """Refuse an operator's request.

    Parameters
    ----------
    kind : OperatorErrorKind
        Kind of the refusal.
    message : str
        Sentence that says what to change.
    current : list of CatalogueItem, optional
        For conflicts: what is there now.
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
    """Return the refusal that an error becomes towards operators."""
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
    """Answer operators.

    Every future may fail with `OperatorError`, `EntryError` or `StoreError`.
    """

    @abstractmethod
    def readiness(self) -> Readiness:
        """Tell whether the balancer should send requests here."""

    @abstractmethod
    def status(self) -> DaemonReport:
        """Tell how this daemon stands."""

    @abstractmethod
    def hosts(self) -> list[HostReport]:
        """Tell how each known host stands."""

    @abstractmethod
    def upstreams(self) -> list[UpstreamReport]:
        """Tell how each upstream stands."""

    @abstractmethod
    def list_entries(self, kind: str) -> CatalogueListing:
        """Return the entries in force, of one kind or of all when `kind` is empty."""

    @abstractmethod
    def find_entry(self, key: str) -> CatalogueItem | None:
        """Return one entry in force by its key, ``kind/name``."""

    @abstractmethod
    def apply_change(self, change: Change) -> Future[ChangeResult]:
        """Write a change; `OperatorErrorKind.OUTCOME_UNKNOWN` when the store's answer was lost."""

    @abstractmethod
    def change_propagation(self, number: int) -> ChangePropagation:
        """Tell which live hosts have a number in force."""

    @abstractmethod
    def find_write(self, write_id: str) -> Future[WriteOutcome]:
        """Read from the store whether a write id was accepted."""

    @abstractmethod
    def history(self, key: str, limit: int) -> Future[list[HistoryItem]]:
        """Return the latest changes first, of one entry or of all when `key` is empty."""

    @abstractmethod
    def diff(self, since: int, until: int) -> Future[list[EntryDiff]]:
        """Return what differs between two numbers; `OperatorErrorKind.GONE` if not kept."""

    @abstractmethod
    def moves(self) -> list[MoveReport]:
        """Tell how each move stands."""

    @abstractmethod
    def drain(self, who: str) -> DrainResult:
        """Begin the planned stop of this daemon."""
