"""Define the catalogue's entries: organisations, routes, pools, upstreams and moves."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import field
from typing import TYPE_CHECKING, Annotated, Any, ClassVar, TypeVar

from tarragonwind.checked_records import Bounds, Checked, CheckedRecord
from tarragonwind.core.ip_addresses import check_ip_address
from tarragonwind.errors import EntryError
from tarragonwind.records import dataclass

if TYPE_CHECKING:
    from pydantic import ValidationError

TIER_COUNT = 4
"""Number of tiers; tier 0 is the highest."""

EntryName = Annotated[str, Bounds(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Owner = Annotated[str, Bounds(min_length=1, max_length=200)]
Tier = Annotated[int, Bounds(ge=0, lt=TIER_COUNT)]

MAX_INCARNATION = 2**53 - 1
"""Largest incarnation of an upstream: messages between hosts hold it, and so does JSON."""

UpstreamStart = tuple[str, int]
"""Name and incarnation of an upstream."""

EntryT = TypeVar("EntryT", bound=type)

LATER_FIELDS: dict[str, Any] = {
    "cold_s": 0.0,
    "cold_per_s": 0.0,
    "kv_capacity_tokens": 0,
    "revision": 0,
    "allowed_regions": [],
    "region": "",
}
"""Fields that earlier versions of the program reject, with their defaults."""

ENTRY_KINDS: dict[str, type[Entry]] = {}
"""Entry classes by kind, filled by `register_entry_kind`."""


def register_entry_kind(kind: str) -> Callable[[EntryT], EntryT]:
    """Return a decorator that registers an entry class under a kind."""

    def register(cls: EntryT) -> EntryT:
        cls.kind = kind  # type: ignore[attr-defined]
        ENTRY_KINDS[kind] = cls
        return cls

    return register


class BackEndKind(enum.Enum):
    """Define the kinds of back end: model engines and plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(enum.Enum):
    """Define whether an upstream accepts new requests (LIVE) or is being drained (LEAVING)."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True)
class Entry(CheckedRecord):
    """Hold the fields that every entry has.

    Attributes
    ----------
    name : str
        Name, unique among entries of the same kind.
    owner : str
        Person or team responsible for the entry.
    """

    kind: ClassVar[str] = ""

    name: EntryName
    owner: Owner

    @property
    def key(self) -> str:
        """Return the entry's key in the catalogue, ``kind/name``."""
        return f"{self.kind}/{self.name}"


@register_entry_kind("organisation")
@dataclass(slots=True, kw_only=True)
class OrganisationEntry(Entry):
    """Describe an organisation that may send requests.

    Attributes
    ----------
    token_sha256 : list of str
        Hex SHA-256 digests of the bearer tokens that authenticate the organisation.
    max_in_progress : int
        Maximum number of requests queued or running at the same time, per host.
    requests_per_s : float
        Sustained request rate that is admitted, per host.
    weight : float
        Fair-share weight among organisations of the same tier when capacity is short.
    tier : int or None
        Tier of all its requests, which overrides the route's tier; None uses the route's tier.
    tokens_per_s, token_burst : float
        Token allotment across all hosts: sustained rate and burst size; a rate of 0 sets no limit.
    plain_tokens : int
        Number of tokens charged for a request that has no token counts.
    allowed_regions : list of str
        Regions whose upstreams may get its requests; empty for all.
    """

    token_sha256: list[Annotated[str, Bounds(pattern=r"^[0-9a-f]{64}$")]]
    max_in_progress: Annotated[int, Bounds(ge=1, le=100_000)] = 1_000
    requests_per_s: Annotated[float, Bounds(gt=0, le=100_000)] = 1_000.0
    weight: Annotated[float, Bounds(gt=0, le=1_000)] = 1.0
    tier: Tier | None = None
    tokens_per_s: Annotated[float, Bounds(ge=0)] = 0.0
    token_burst: Annotated[float, Bounds(ge=0)] = 0.0
    plain_tokens: Annotated[int, Bounds(ge=0)] = 0
    allowed_regions: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PoolShare(CheckedRecord):
    """Assign a share of a route's requests to a pool.

    Attributes
    ----------
    pool : str
        Name of the pool.
    weight : float
        Weight relative to the other pools of the route.
    """

    pool: EntryName
    weight: Annotated[float, Bounds(ge=0)]


@register_entry_kind("pool")
@dataclass(slots=True, kw_only=True)
class PoolEntry(Entry):
    """Describe a pool: upstreams that can serve the same requests.

    Attributes
    ----------
    back_end : BackEndKind
        Model engines or plain services.
    version : str
        Version that serves requests while no move is running.
    tokens_per_event : int
        Number of tokens in one event of a stream.
    cold_s : float
        Time for which an upstream is cold after its start, in seconds; 0 if it never is.
    cold_per_s : float
        Requests per second that a cold upstream can take; 0 if an upstream never is cold.
    kv_capacity_tokens : int
        Prompt and output tokens that an engine has memory for; 0 if no limit is known.
    """

    back_end: BackEndKind
    version: Annotated[str, Bounds(min_length=1, max_length=100)]
    tokens_per_event: Annotated[int, Bounds(ge=1, le=10_000)] = 1
    cold_s: Annotated[float, Bounds(ge=0, le=3_600)] = 0.0
    cold_per_s: Annotated[float, Bounds(ge=0, le=1_000_000)] = 0.0
    kv_capacity_tokens: Annotated[int, Bounds(ge=0)] = 0


@register_entry_kind("route")
@dataclass(slots=True, kw_only=True)
class RouteEntry(Entry):
    """Describe a class of requests and the pool that serves it.

    A route matches a model name (engines) or a path prefix (services).

    Attributes
    ----------
    pool : str
        Name of the pool.
    tier : int
        Priority tier; 0 is the highest.
    model : str
        Model name of the request body, for engines.
    path_prefix : str
        Prefix of the request path, for services.
    methods : list of str
        HTTP methods that the route accepts; empty for all.
    idempotent : bool
        Whether a request can safely run more than once.
    max_in_progress : int
        Maximum number of requests queued or running at the same time, per host.
    deadline_s : float
        Default time to the first byte if the caller sets no deadline, in seconds.
    organisations : list of str
        Organisations that may use the route; empty for all.
    authority : str
        Value of the Host header field that the route matches; empty for any.
    shares : list of PoolShare
        Weighted split of the requests between pools; empty when all go to `pool`.
    public : bool
        Whether the route accepts requests without a bearer token.
    streams : bool
        Whether responses are event streams.
    resumable : bool
        Whether a broken stream may be resumed at another upstream.
    max_attempts : int
        Maximum number of upstreams that one request may be sent to.
    answer_timeout_s : float
        Timeout for the whole response, in seconds; 0 sets no limit.
    target_latency_s : float
        Target latency of a response, or of the first event of a stream, in seconds; 0 for none.
    event_gap_s : float
        Target for the longest gap between two events of a stream, in seconds; 0 for none.
    patience_s : float
        Time without a byte after which callers disconnect, in seconds; 0 if they wait until
        their deadline.
    allowed_regions : list of str
        Regions whose upstreams may get its requests; empty for all.
    """

    pool: EntryName
    tier: Tier
    model: str = ""
    path_prefix: str = ""
    methods: list[str] = field(default_factory=list)
    idempotent: bool = True
    max_in_progress: Annotated[int, Bounds(ge=1, le=1_000_000)] = 10_000
    deadline_s: Annotated[float, Bounds(gt=0, le=3_600)] = 30.0
    organisations: list[EntryName] = field(default_factory=list)
    authority: str = ""
    shares: list[PoolShare] = field(default_factory=list)
    public: bool = False
    streams: bool = False
    resumable: bool = False
    max_attempts: Annotated[int, Bounds(ge=1, le=100)] = 1
    answer_timeout_s: Annotated[float, Bounds(ge=0, le=3_600)] = 0.0
    target_latency_s: Annotated[float, Bounds(ge=0, le=3_600)] = 0.0
    event_gap_s: Annotated[float, Bounds(ge=0, le=3_600)] = 0.0
    patience_s: Annotated[float, Bounds(ge=0, le=36_000)] = 0.0
    allowed_regions: list[str] = field(default_factory=list)

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be retried after an attempt whose outcome is unknown."""
        return self.resumable if self.streams else self.idempotent


@register_entry_kind("upstream")
@dataclass(slots=True, kw_only=True)
class UpstreamEntry(Entry):
    """Describe one upstream.

    Attributes
    ----------
    pool : str
        Pool that it serves.
    version : str
        Version that it runs.
    host : str
        IP address.
    port : int
        TCP port.
    data_centre : str
        Data centre that it is in.
    region : str
        Region of that data centre, empty if it is unknown.
    slots : int
        Number of requests that it can run at the same time without overload.
    tokens_per_s : float
        Estimated tokens per second with all slots busy, used until a rate has been measured.
    checks_fencing : bool
        Whether it rejects an order with a stale fencing number.
    refusal_not_run : bool
        Whether a 429 or 503 response guarantees that the request was not executed.
    state : UpstreamState
        Whether it accepts new requests.
    incarnation : int
        Number that changes each time the upstream restarts under the same name.
    cold_s : float or None
        Time for which it stays cold from when the entry was written, in seconds; None if the entry
        doesn't tell.
    revision : int
        Revision of the store at which the entry was written, 0 if unknown; told only for `cold_s`.
    """

    pool: EntryName
    version: Annotated[str, Bounds(min_length=1, max_length=100)]
    host: Annotated[str, Bounds(pattern=r"^[0-9a-fA-F.:]+$"), Checked(check_ip_address)]
    port: Annotated[int, Bounds(ge=1, le=65_535)]
    data_centre: EntryName
    slots: Annotated[int, Bounds(ge=1, le=10_000)] = 16
    tokens_per_s: Annotated[float, Bounds(gt=0, le=10_000_000)] = 1_000.0
    checks_fencing: bool = False
    refusal_not_run: bool = False
    state: UpstreamState = UpstreamState.LIVE
    incarnation: Annotated[int, Bounds(ge=0, le=MAX_INCARNATION)] = 0
    cold_s: Annotated[float, Bounds(ge=0)] | None = None
    revision: int = 0
    region: str = ""

    @property
    def start(self) -> UpstreamStart:
        """Return the name and the incarnation."""
        return (self.name, self.incarnation)


class MoveState(enum.Enum):
    """Define whether a move continues (RUNNING) or an operator has cancelled it."""

    RUNNING = "running"
    CANCELLED = "cancelled"


@register_entry_kind("move")
@dataclass(slots=True, kw_only=True)
class MoveEntry(Entry):
    """Describe a move: the gradual shift of a pool's traffic from one version to another.

    Attributes
    ----------
    pool : str
        Pool whose traffic moves.
    from_version, to_version : str
        Old and new version.
    starts_at, done_by : float
        Start time and deadline, in seconds since the epoch.
    state : MoveState
        Whether the move continues or was cancelled.
    """

    pool: EntryName
    from_version: str
    to_version: str
    starts_at: Annotated[float, Bounds(ge=0)]
    done_by: Annotated[float, Bounds(ge=0)]
    state: MoveState = MoveState.RUNNING


def parse_entry(kind: str, doc: dict[str, Any]) -> Entry:
    """Build an entry from plain data.

    Parameters
    ----------
    kind : str
        A key of `ENTRY_KINDS`.
    doc : dict
        Field values, as read from YAML or JSON.

    Raises
    ------
    EntryError
        If the kind is unknown or a field is invalid. The message has one line per invalid field,
        with its path, the fault and the allowed range.
    """
    from pydantic import TypeAdapter, ValidationError

    cls = ENTRY_KINDS.get(kind)
    if cls is None:
        known = ", ".join(sorted(ENTRY_KINDS))
        raise EntryError(f"kind: {kind!r} is not known; use one of: {known}")
    try:
        return TypeAdapter(cls).validate_python(doc)
    except ValidationError as exc:
        raise EntryError(format_validation_error(exc)) from exc


def format_validation_error(exc: ValidationError) -> str:
    """Format a validation error as one line per invalid field."""
    lines = []
    for error in exc.errors():
        path = ".".join(str(part) for part in error["loc"])
        lines.append(f"{path}: {error['msg']}")
    return "\n".join(lines)


def dump_entry(entry: Entry) -> dict[str, Any]:
    """Return an entry's fields as plain data that `parse_entry` accepts.

    The fields of `LATER_FIELDS` are left out where they have their defaults.
    """
    from pydantic import TypeAdapter

    doc: dict[str, Any] = TypeAdapter(type(entry)).dump_python(entry, mode="json")
    for name, default in LATER_FIELDS.items():
        if name in doc and doc[name] in (default, None):
            del doc[name]
    return doc
