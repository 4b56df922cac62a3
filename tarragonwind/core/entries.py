"""Define the catalogue's entries: who may ask, what is asked for, and what serves it."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Annotated, Any, ClassVar, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from tarragonwind.errors import EntryError

TIER_COUNT = 4
"""Number of tiers; tier 0 is the highest."""

ENTRY_CONFIG = ConfigDict(extra="forbid")

EntryName = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Owner = Annotated[str, Field(min_length=1, max_length=200)]
Tier = Annotated[int, Field(ge=0, lt=TIER_COUNT)]

EntryT = TypeVar("EntryT", bound=type)

ENTRY_KINDS: dict[str, type[Entry]] = {}
"""Entry classes by kind, filled by `register_entry_kind`."""


def register_entry_kind(kind: str) -> Callable[[EntryT], EntryT]:
    """Register a class as the entries of one kind."""

    def register(cls: EntryT) -> EntryT:
        cls.kind = kind  # type: ignore[attr-defined]
        ENTRY_KINDS[kind] = cls
        return cls

    return register


class BackEndKind(enum.Enum):
    """Tell model engines from plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(enum.Enum):
    """Tell whether an upstream takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, config=ENTRY_CONFIG, kw_only=True)
class Entry:
    """Hold what every entry has.

    Attributes
    ----------
    name : str
        Unique among entries of the kind.
    owner : str
        Person or team that answers for the entry.
    """

    kind: ClassVar[str] = ""

    name: EntryName
    owner: Owner

    @property
    def key(self) -> str:
        """Return the entry's key in the catalogue, ``kind/name``."""
        return f"{self.kind}/{self.name}"


@register_entry_kind("organisation")
@dataclass(slots=True, config=ENTRY_CONFIG, kw_only=True)
class OrganisationEntry(Entry):
    """Describe an organisation that may send requests.

    Attributes
    ----------
    token_sha256 : list of str
        Hex digests of the bearer tokens that name the organisation.
    max_in_progress : int
        Requests waiting or running at one time, on one host.
    requests_per_s : float
        Sustained rate that is admitted, on one host.
    weight : float
        Share among organisations of the same tier when capacity is short.
    tier : int or None
        Tier of all its requests, whatever their route says; None leaves it to the route.
    tokens_per_s, token_burst : float
        Allotment of tokens over all hosts: sustained rate, and what may come at once; a rate of 0
        sets no limit.
    plain_tokens : int
        Tokens that a request without token counts is taken for.
    """

    token_sha256: list[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]]
    max_in_progress: Annotated[int, Field(ge=1, le=100_000)] = 1_000
    requests_per_s: Annotated[float, Field(gt=0, le=100_000)] = 1_000.0
    weight: Annotated[float, Field(gt=0, le=1_000)] = 1.0
    tier: Tier | None = None
    tokens_per_s: Annotated[float, Field(ge=0)] = 0.0
    token_burst: Annotated[float, Field(ge=0)] = 0.0
    plain_tokens: Annotated[int, Field(ge=0)] = 0


@dataclass(slots=True, config=ENTRY_CONFIG, kw_only=True)
class PoolShare:
    """Give a pool a part of a route's requests.

    Attributes
    ----------
    pool : str
        Name of the pool.
    weight : float
        Part, relative to the other pools of the route.
    """

    pool: EntryName
    weight: Annotated[float, Field(ge=0)]


@register_entry_kind("pool")
@dataclass(slots=True, config=ENTRY_CONFIG, kw_only=True)
class PoolEntry(Entry):
    """Describe upstreams that can serve the same requests.

    Attributes
    ----------
    back_end : BackEndKind
        Model engines or plain services.
    version : str
        Version that serves when no move is under way.
    tokens_per_event : int
        Tokens that one event of a stream holds.
    """

    back_end: BackEndKind
    version: Annotated[str, Field(min_length=1, max_length=100)]
    tokens_per_event: Annotated[int, Field(ge=1, le=10_000)] = 1


@register_entry_kind("route")
@dataclass(slots=True, config=ENTRY_CONFIG, kw_only=True)
class RouteEntry(Entry):
    """Describe a class of requests and the pool that serves it.

    A route matches a model name (engines) or a path prefix (services).

    Attributes
    ----------
    pool : str
        Name of the pool.
    tier : int
        Importance, 0 the highest.
    model : str
        Model name of the request body, for engines.
    path_prefix : str
        Prefix of the request path, for services.
    methods : list of str
        Methods that the route takes; empty for all.
    idempotent : bool
        Whether running a request twice does no harm.
    max_in_progress : int
        Requests waiting or running at one time, on one host.
    deadline_s : float
        Time for the first byte when the caller names none, in seconds.
    organisations : list of str
        Organisations that may use the route; empty for all.
    authority : str
        Value of the Host field that the route is for; empty for any.
    shares : list of PoolShare
        Pools that share the requests by weight; empty when all go to `pool`.
    public : bool
        Whether the route takes requests without a token.
    streams : bool
        Whether its answers are streams of events.
    resumable : bool
        Whether a broken stream may go on at another upstream.
    max_attempts : int
        Most upstreams that one request may be sent to.
    answer_timeout_s : float
        Time for the whole answer, in seconds; 0 sets no limit.
    target_latency_s : float
        Time within which an answer, or the first event of a stream, is on time, in seconds; 0
        for none.
    event_gap_s : float
        Longest pause between two events of a stream that is on time, in seconds; 0 for none.
    patience_s : float
        Silence after which callers leave, in seconds; 0 where they wait to their deadline.
    """

    pool: EntryName
    tier: Tier
    model: str = ""
    path_prefix: str = ""
    methods: list[str] = Field(default_factory=list)
    idempotent: bool = True
    max_in_progress: Annotated[int, Field(ge=1, le=1_000_000)] = 10_000
    deadline_s: Annotated[float, Field(gt=0, le=3_600)] = 30.0
    organisations: list[EntryName] = Field(default_factory=list)
    authority: str = ""
    shares: list[PoolShare] = Field(default_factory=list)
    public: bool = False
    streams: bool = False
    resumable: bool = False
    max_attempts: Annotated[int, Field(ge=1, le=100)] = 1
    answer_timeout_s: Annotated[float, Field(ge=0, le=3_600)] = 0.0
    target_latency_s: Annotated[float, Field(ge=0, le=3_600)] = 0.0
    event_gap_s: Annotated[float, Field(ge=0, le=3_600)] = 0.0
    patience_s: Annotated[float, Field(ge=0, le=36_000)] = 0.0

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again after a run whose outcome is unknown."""
        return self.resumable if self.streams else self.idempotent


@register_entry_kind("upstream")
@dataclass(slots=True, config=ENTRY_CONFIG, kw_only=True)
class UpstreamEntry(Entry):
    """Describe one back end.

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
        Data centre that it stands in.
    slots : int
        Requests that it runs well at one time.
    tokens_per_s : float
        Tokens a second that it generates with all slots busy, before anything is measured.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    refusal_not_run : bool
        Whether its refusal (429 or 503) proves that the work was not performed.
    state : UpstreamState
        Whether it takes new work.
    incarnation : int
        Changes when the upstream has started anew under its name.
    """

    pool: EntryName
    version: Annotated[str, Field(min_length=1, max_length=100)]
    host: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+$")]
    port: Annotated[int, Field(ge=1, le=65_535)]
    data_centre: EntryName
    slots: Annotated[int, Field(ge=1, le=10_000)] = 16
    tokens_per_s: Annotated[float, Field(gt=0, le=10_000_000)] = 1_000.0
    checks_fencing: bool = False
    refusal_not_run: bool = False
    state: UpstreamState = UpstreamState.LIVE
    incarnation: int = 0


class MoveState(enum.Enum):
    """Tell whether operators want a move to go on."""

    RUNNING = "running"
    CANCELLED = "cancelled"


@register_entry_kind("move")
@dataclass(slots=True, config=ENTRY_CONFIG, kw_only=True)
class MoveEntry(Entry):
    """Describe the move of a pool's traffic from one version to another.

    Attributes
    ----------
    pool : str
        Pool whose traffic moves.
    from_version, to_version : str
        Old and new version.
    starts_at, done_by : float
        Times in seconds since the epoch.
    state : MoveState
        Whether it goes on.
    """

    pool: EntryName
    from_version: str
    to_version: str
    starts_at: Annotated[float, Field(ge=0)]
    done_by: Annotated[float, Field(ge=0)]
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
        With one line for each wrong field: its path, the fault and the allowed range.
    """
    cls = ENTRY_KINDS.get(kind)
    if cls is None:
        known = ", ".join(sorted(ENTRY_KINDS))
        raise EntryError(f"kind: {kind!r} is not known; use one of: {known}")
    try:
        return TypeAdapter(cls).validate_python(doc)
    except ValidationError as exc:
        raise EntryError(format_validation_error(exc)) from exc


def format_validation_error(exc: ValidationError) -> str:
    """Render a validation error as one line for each wrong field."""
    lines = []
    for error in exc.errors():
        path = ".".join(str(part) for part in error["loc"])
        lines.append(f"{path}: {error['msg']}")
    return "\n".join(lines)


def dump_entry(entry: Entry) -> dict[str, Any]:
    """Return an entry's fields as plain data that `parse_entry` reads."""
    return TypeAdapter(type(entry)).dump_python(entry, mode="json")
