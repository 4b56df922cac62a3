"""Hold what a host knows of its permits in one pool, and build the messages to the pool's owner."""

from __future__ import annotations

import math
from collections.abc import Callable

from tarragonwind.core.entries import UpstreamStart
from tarragonwind.core.permit_messages import (
    HeldPermit,
    PermitAsk,
    PermitSync,
    UpstreamLimit,
    held_permit_fields,
    permit_ask_fields,
    upstream_limit_fields,
)
from tarragonwind.core.permit_requests import Permit, PermitRequest
from tarragonwind.core.permits import PoolOwner
from tarragonwind.core.sync_schedules import SyncSchedule
from tarragonwind.core.upstream_limits import UpstreamLimits
from tarragonwind.errors import ErrorKind
from tarragonwind.records import dataclass

NO_LIMIT_MS = -1
"""Value of a field in milliseconds that means no limit."""

OnGranted = Callable[[Permit], None]
OnRefused = Callable[[ErrorKind, float], None]


@dataclass(slots=True)
class PendingRequest:
    """Hold a waiting permit request and its callbacks.

    Attributes
    ----------
    request : PermitRequest
        The request.
    on_granted, on_refused : callable
        Called with the permit, or with the kind of the refusal and the time to return after.
    owner_knows : bool
        Whether the pool's owner was told of the request.
    """

    request: PermitRequest
    on_granted: OnGranted
    on_refused: OnRefused
    owner_knows: bool = False


@dataclass(slots=True)
class PermitInUse:
    """Hold a granted permit and the request that uses it.

    Attributes
    ----------
    permit : Permit
        The permit.
    request : PermitRequest
        The request that uses it.
    owner_knows : bool
        Whether the pool's owner has granted the permit or was told of it.
    """

    permit: Permit
    request: PermitRequest
    owner_knows: bool


class PoolState:
    """Hold the waiting requests and granted permits of one pool, and the state of its owner."""

    __slots__ = (
        "epoch",
        "held",
        "limits",
        "local",
        "owner",
        "pending",
        "pool",
        "schedule",
    )

    def __init__(self, pool: str, owner: str, schedule: SyncSchedule) -> None:
        self.pool = pool
        self.owner = owner
        self.schedule = schedule
        self.pending: dict[int, PendingRequest] = {}
        self.held: dict[int, PermitInUse] = {}
        self.limits = UpstreamLimits()
        self.epoch: int | None = None
        self.local: PoolOwner | None = None

    def requests(self) -> dict[int, PermitRequest]:
        """Return the requests that wait or use a permit, by permit id."""
        waiting = {permit_id: pending.request for permit_id, pending in self.pending.items()}
        return waiting | {permit_id: held.request for permit_id, held in self.held.items()}

    def mark_told(self, withdraws: bool) -> None:
        """Record what the owner was told by `create_sync`."""
        for pending in self.pending.values():
            pending.owner_knows = not withdraws
        if not withdraws:
            for held in self.held.values():
                held.owner_knows = True

    def create_sync(self, now: float, withdraws: bool = False) -> PermitSync:
        """Return the full state for the owner.

        Parameters
        ----------
        now : float
            Time in seconds.
        withdraws : bool
            Whether to leave out the requests that wait for the local share, and the permits of that
            share: the owner need not know them before it answers again.
        """
        waiting = {} if withdraws else self.pending
        requests = [
            permit_ask_fields(create_permit_ask(now, permit_id, pending.request))
            for permit_id, pending in waiting.items()
        ]
        permits = [
            held_permit_fields(
                HeldPermit(
                    permit_id,
                    held.permit.upstream,
                    held.request.tier,
                    held.request.cost_tokens,
                    held.request.keys,
                )
            )
            for permit_id, held in self.held.items()
            if held.owner_knows or not withdraws
        ]
        limits = [
            upstream_limit_fields(
                create_upstream_limit(self.pool, start, named.per_s, now - named.named_at)
            )
            for start, named in self.limits
        ]
        return PermitSync(self.pool, requests, permits, limits)


def create_permit_ask(now: float, permit_id: int, request: PermitRequest) -> PermitAsk:
    """Return the message that requests a permit from the owner of its pool."""
    target = math.inf if request.target is None else request.target
    return PermitAsk(
        permit_id=permit_id,
        pool=request.pool,
        route=request.route,
        tier=request.tier,
        organisation=request.organisation,
        cost_tokens=request.cost_tokens,
        prompt_tokens=request.prompt_tokens,
        deadline_ms=time_left_ms(now, request.deadline),
        prefixes=request.prefixes,
        avoid=request.avoid,
        target_ms=time_left_ms(now, target),
        rank=request.rank,
        output_tokens=request.output_tokens,
        deadline_is_total=request.deadline_is_total,
        first_byte_deadline_ms=time_left_ms(now, request.first_byte_deadline),
        keys=request.keys,
        part_tokens=request.part_tokens,
        last_part=request.last_part,
    )


def time_left_ms(now: float, until: float) -> int:
    """Return the whole milliseconds left until a time, or `NO_LIMIT_MS` if it is infinite."""
    return NO_LIMIT_MS if math.isinf(until) else max(0, int(1_000 * (until - now)))


def create_upstream_limit(
    pool: str, start: UpstreamStart, per_s: float, age_s: float
) -> UpstreamLimit:
    """Return the message that tells the owner of a pool the limit of an upstream."""
    name, incarnation = start
    return UpstreamLimit(pool, name, incarnation, round(1_000 * per_s), round(1_000 * age_s))
