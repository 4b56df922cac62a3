"""Define the messages between entry hosts and the owner of a pool."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import field
from typing import Any

from tarragonwind.errors import ErrorKind
from tarragonwind.messages import Message, added_field, message
from tarragonwind.records import dataclass


class Outcome(enum.IntEnum):
    """Enumerate the results of a permit's use, as reported to the owner."""

    OK = 0
    UNUSED = 1
    CONNECT_FAILED = 2
    REFUSED = 3
    FAILED = 4
    CANCELLED = 5
    TIMED_OUT = 6
    CONNECTION_LOST = 7
    """The connection ended before the first event, as when the upstream has crashed."""


REFUSAL_KINDS: tuple[ErrorKind, ...] = (
    ErrorKind.SHED,
    ErrorKind.DEADLINE_UNMEETABLE,
    ErrorKind.DEADLINE_PASSED,
    ErrorKind.NO_UPSTREAM,
)
"""Error kinds of a refusal; `PermitRefusal` carries the position in this tuple."""


@message(30)
@dataclass(slots=True)
class PermitAsk(Message):
    """Request a permit to dispatch one request, from the owner of its pool.

    Attributes
    ----------
    permit_id : int
        Unique on the requesting host; a retry has a new one.
    pool, route, organisation : str
        Names in the catalogue.
    tier : int
        Priority tier, 0 the highest.
    cost_tokens : int
        Estimated work, in output tokens.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    deadline_ms : int
        Time left until the deadline of the first byte, in milliseconds.
    prefixes : list of int
        32-bit hashes of prompt prefixes, the shortest first.
    avoid : list of str
        Names of upstreams that have failed this request.
    target_ms : int
        Time left until the first-byte target, in milliseconds; -1 for no target.
    rank : int
        Priority within the tier, 0 the highest.
    output_tokens : int
        Expected length of the response, in tokens.
    deadline_is_total : bool
        Whether `deadline_ms` is the deadline of the complete response instead of its first byte.
    first_byte_deadline_ms : int
        Time left for the first byte before the caller disconnects, in milliseconds; -1 for no
        limit.
    keys : list of int
        Keys of the prompt's shared parts and of the request, see `Suspicions`.
    part_tokens : sequence of int
        Tokens of the prompt's shared parts and of its last part; empty if they aren't followed.
        `PermitSync` leaves this field and the next one out, as hosts of level 1 read it too.
    last_part : int
        Key of the prompt's last part.
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
    keys: list[int] = field(default_factory=list)
    part_tokens: Sequence[int] = added_field(2, ())
    last_part: int = added_field(2, 0)


@message(31)
@dataclass(slots=True)
class PermitGrant(Message):
    """Grant one dispatch to one upstream."""

    pool: str
    permit_id: int
    upstream: str
    version: str


@message(32)
@dataclass(slots=True)
class PermitRefusal(Message):
    """Refuse a permit request.

    Attributes
    ----------
    pool : str
        Pool of the request.
    permit_id : int
        Request that is refused.
    kind : int
        Position in `REFUSAL_KINDS`.
    retry_after_ms : int
        Delay before a retry, in milliseconds.
    """

    pool: str
    permit_id: int
    kind: int
    retry_after_ms: int


@message(33)
@dataclass(slots=True)
class PermitCancel(Message):
    """Cancel a permit request that has been answered or whose caller has disconnected."""

    pool: str
    permit_id: int


@message(34)
@dataclass(slots=True)
class PermitDone(Message):
    """Release a permit and report the result of its use.

    Attributes
    ----------
    pool : str
        Pool of the permit.
    permit_id : int
        Permit that is released.
    outcome : int
        Value of an `Outcome`.
    first_byte_ms, duration_ms : int
        Times since the dispatch, in milliseconds; 0 if unknown.
    output_tokens : int
        Tokens that the upstream generated.
    cached_tokens : int
        Prompt tokens that the upstream had in its cache.
    hold_ms : int
        Time for which the upstream wants no requests of this host, in milliseconds.
    upstream : str
        Upstream of the permit, empty if `hold_ms` is 0.
    limited : bool
        Whether the upstream named a limit in its response.
    later_parts : sequence of int
        Keys of parts of the prompt that the permit request didn't name: all of them if the upstream
        has crashed, answered ones that weren't told lately if it has answered.
    """

    pool: str
    permit_id: int
    outcome: int
    first_byte_ms: int = 0
    duration_ms: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0
    hold_ms: int = 0
    upstream: str = ""
    limited: bool = False
    later_parts: Sequence[int] = added_field(3, ())


@dataclass(slots=True)
class HeldPermit:
    """Describe a permit that a host holds, for an owner that may have no record of it."""

    permit_id: int
    upstream: str
    tier: int
    cost_tokens: int
    keys: list[int] = field(default_factory=list)


@message(39)
@dataclass(slots=True)
class UpstreamLimit(Message):
    """Tell the owner of a pool the limit that an upstream has named in a response.

    Attributes
    ----------
    pool, upstream : str
        Upstream with its pool.
    incarnation : int
        Start of the upstream.
    limit_mps : int
        Requests that it takes from all hosts together, in thousandths per second.
    age_ms : int
        Time since the response, in milliseconds.
    """

    pool: str
    upstream: str
    incarnation: int
    limit_mps: int
    age_ms: int


@message(35)
@dataclass(slots=True)
class PermitSync(Message):
    """Send the owner the full state of a host in a pool: waiting requests and held permits.

    Attributes
    ----------
    pool : str
        Pool of the requests and permits.
    requests : list of list
        Field values of each waiting `PermitAsk`.
    permits : list of list
        Field values of each `HeldPermit`.
    limits : list of list
        Field values of each `UpstreamLimit` that this host knows of.
    """

    pool: str
    requests: list[list[Any]] = field(default_factory=list)
    permits: list[list[Any]] = field(default_factory=list)
    limits: list[list[Any]] = field(default_factory=list)


@message(36)
@dataclass(slots=True)
class PermitBeat(Message):
    """Send the owner's heartbeat to a host with waiting requests.

    Attributes
    ----------
    pool : str
        Pool of the requests.
    epoch : int
        Changes whenever the owner has lost the state of the hosts, which then send `PermitSync`.
    waiting : int
        Number of requests of the receiving host in the owner's queue.
    """

    pool: str
    epoch: int
    waiting: int


@message(37)
@dataclass(slots=True)
class PermitQuery(Message):
    """Request a `PermitSync` from a host that has sent none for some time."""

    pool: str


@message(38)
@dataclass(slots=True)
class PermitStalled(Message):
    """Report that the upstream of a permit has stalled: no data within the timeout."""

    pool: str
    permit_id: int


def permit_ask_fields(msg: PermitAsk) -> list[object]:
    """Return the field values of a `PermitAsk` for `PermitSync`."""
    return [
        msg.permit_id,
        msg.pool,
        msg.route,
        msg.tier,
        msg.organisation,
        msg.cost_tokens,
        msg.prompt_tokens,
        msg.deadline_ms,
        msg.prefixes,
        msg.avoid,
        msg.target_ms,
        msg.rank,
        msg.output_tokens,
        msg.deadline_is_total,
        msg.first_byte_deadline_ms,
        msg.keys,
    ]


def upstream_limit_fields(msg: UpstreamLimit) -> list[object]:
    """Return the field values of an `UpstreamLimit` for `PermitSync`."""
    return [msg.pool, msg.upstream, msg.incarnation, msg.limit_mps, msg.age_ms]


def held_permit_fields(permit: HeldPermit) -> list[object]:
    """Return the field values of a `HeldPermit` for `PermitSync`."""
    return [permit.permit_id, permit.upstream, permit.tier, permit.cost_tokens, permit.keys]
