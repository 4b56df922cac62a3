"""Define the messages between entry hosts and the owner of a pool."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tarragonwind.errors import ErrorKind
from tarragonwind.messages import Message, message


class Outcome(enum.IntEnum):
    """Tell the owner how the use of a permit ended."""

    OK = 0
    UNUSED = 1
    CONNECT_FAILED = 2
    REFUSED = 3
    FAILED = 4
    CANCELLED = 5
    TIMED_OUT = 6


REFUSAL_KINDS: tuple[ErrorKind, ...] = (
    ErrorKind.SHED,
    ErrorKind.DEADLINE_UNMEETABLE,
    ErrorKind.DEADLINE_PASSED,
    ErrorKind.NO_UPSTREAM,
)
"""Error kinds that an owner may refuse with; their positions travel in `PermitRefusal`."""


@message(30)
@dataclass(slots=True)
class PermitAsk(Message):
    """Ask the owner of a pool for a permit to dispatch one request.

    Attributes
    ----------
    permit_id : int
        Unique on the asking host; a repeated try has a new one.
    pool, route, organisation : str
        Names in the catalogue.
    tier : int
        Importance, 0 the highest.
    cost_tokens : int
        Estimated work, in output tokens.
    prompt_tokens : int
        Estimated length of the prompt.
    deadline_ms : int
        Time left for the first byte, in milliseconds.
    prefixes : list of int
        32-bit hashes of prompt prefixes, the shortest first.
    avoid : list of str
        Upstreams that have failed this request.
    target_ms : int
        Time left for a first byte on time, in milliseconds; -1 when none is named.
    rank : int
        Importance among the requests of its tier, 0 the highest.
    output_tokens : int
        Expected tokens of the answer.
    deadline_is_total : bool
        Whether `deadline_ms` is for the whole answer.
    first_byte_deadline_ms : int
        Time left for the first byte until the caller leaves, in milliseconds; -1 for no limit.
    """

    permit_id: int
    pool: str
    route: str
    tier: int
    organisation: str
    cost_tokens: int
    prompt_tokens: int
    deadline_ms: int
    prefixes: list[int] = field(default_factory=list)
    avoid: list[str] = field(default_factory=list)
    target_ms: int = -1
    rank: int = 0
    output_tokens: int = 0
    deadline_is_total: bool = False
    first_byte_deadline_ms: int = -1


@message(31)
@dataclass(slots=True)
class PermitGrant(Message):
    """Permit one dispatch to one upstream."""

    pool: str
    permit_id: int
    upstream: str
    version: str


@message(32)
@dataclass(slots=True)
class PermitRefusal(Message):
    """Refuse an ask.

    Attributes
    ----------
    pool : str
        Pool that was asked for.
    permit_id : int
        Ask that is refused.
    kind : int
        Position in `REFUSAL_KINDS`.
    retry_after_ms : int
        Time until asking again makes sense, in milliseconds.
    """

    pool: str
    permit_id: int
    kind: int
    retry_after_ms: int


@message(33)
@dataclass(slots=True)
class PermitCancel(Message):
    """Withdraw an ask whose caller has left or has been answered."""

    pool: str
    permit_id: int


@message(34)
@dataclass(slots=True)
class PermitDone(Message):
    """Give a permit back and report what was seen.

    Attributes
    ----------
    pool : str
        Pool of the permit.
    permit_id : int
        Ask that the permit was granted for.
    outcome : int
        An `Outcome`.
    first_byte_ms, duration_ms : int
        Times from dispatch, in milliseconds; 0 when not seen.
    output_tokens : int
        Tokens that the upstream generated.
    cached_tokens : int
        Prompt tokens that the upstream had in its cache.
    """

    pool: str
    permit_id: int
    outcome: int
    first_byte_ms: int = 0
    duration_ms: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class HeldPermit:
    """Describe a permit that a host holds, for an owner that may not know it."""

    permit_id: int
    upstream: str
    tier: int
    cost_tokens: int


@message(35)
@dataclass(slots=True)
class PermitSync(Message):
    """Tell an owner everything that a host waits for and holds in a pool.

    Attributes
    ----------
    pool : str
        Pool of the asks and permits.
    asks : list of list
        Field values of each waiting `PermitAsk`.
    permits : list of list
        Field values of each `HeldPermit`.
    """

    pool: str
    asks: list[list[object]] = field(default_factory=list)
    permits: list[list[object]] = field(default_factory=list)


@message(36)
@dataclass(slots=True)
class PermitBeat(Message):
    """Show a host that its asks are kept.

    Attributes
    ----------
    pool : str
        Pool of the asks.
    epoch : int
        Changes whenever the owner has lost what hosts told it; they send `PermitSync` then.
    waiting : int
        Asks of the receiving host that the owner holds.
    """

    pool: str
    epoch: int
    waiting: int


@message(37)
@dataclass(slots=True)
class PermitQuery(Message):
    """Ask a host for its `PermitSync`, after a time without one."""

    pool: str


@message(38)
@dataclass(slots=True)
class PermitStalled(Message):
    """Tell the owner that an upstream has been silent for too long under a permit."""

    pool: str
    permit_id: int


def permit_ask_fields(ask: PermitAsk) -> list[object]:
    """Return the field values of an ask for `PermitSync`."""
    return [
        ask.permit_id,
        ask.pool,
        ask.route,
        ask.tier,
        ask.organisation,
        ask.cost_tokens,
        ask.prompt_tokens,
        ask.deadline_ms,
        ask.prefixes,
        ask.avoid,
        ask.target_ms,
        ask.rank,
        ask.output_tokens,
        ask.deadline_is_total,
        ask.first_byte_deadline_ms,
    ]


def held_permit_fields(permit: HeldPermit) -> list[object]:
    """Return the field values of a held permit for `PermitSync`."""
    return [permit.permit_id, permit.upstream, permit.tier, permit.cost_tokens]
