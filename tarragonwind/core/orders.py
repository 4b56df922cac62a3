"""Plan the orders that bring upstreams to their versions, and say when one may be issued."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonwind.core.entries import MoveEntry, MoveState, UpstreamEntry, UpstreamState

LEASE_MARGIN_S = 1.0
"""Lease time that must remain beyond an order's timeout, in seconds."""

PAUSE_GAP_S = 1.0
"""Time between two looks from which a holder counts as paused, in seconds."""

REISSUE_PERIOD_S = 5.0
"""Time after which an order without visible effect is issued again, in seconds."""


class OrderKind(enum.Enum):
    """Name what an upstream is told."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class Order:
    """Tell an upstream the state that it must be in; repeating it changes nothing.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    kind : OrderKind
        What is ordered.
    version : str
        Version that the upstream must serve; empty for none.
    role : str
        Role that it must have; empty to keep its own.
    generation : int
        Number of the wanted state; an upstream ignores a state older than the one it is in.
    """

    upstream: str
    kind: OrderKind
    version: str
    role: str
    generation: int


@dataclass(frozen=True, slots=True)
class DesiredState:
    """Hold the state that an upstream should be in.

    Attributes
    ----------
    order : Order
        Order that asks for it.
    deadline : float
        Time by which it is needed, in seconds since the epoch; infinite for none.
    checks_fencing : bool
        Whether the upstream refuses an old fencing number.
    """

    order: Order
    deadline: float
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the right to give orders for a pool.

    Attributes
    ----------
    fencing : int
        Revision of the store at which the claim was written; larger for each later claim.
    acquired_at : float
        Time of the claim, in seconds on the holder's clock.
    lease_until : float
        Time before which the lease can't have lapsed, counted from before it was renewed.
    """

    fencing: int
    acquired_at: float
    lease_until: float


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """Hold an order with the time at which the weight store lets it begin."""

    wanted: DesiredState
    starts_at: float

    @property
    def is_late(self) -> bool:
        """Tell whether its deadline can't be met."""
        return self.starts_at > self.wanted.deadline


def plan_desired_states(
    upstreams: Iterable[UpstreamEntry], moves: Iterable[MoveEntry], generation: int
) -> list[DesiredState]:
    """Return the states that upstreams should be in, the earliest deadline first.

    Parameters
    ----------
    upstreams : iterable of UpstreamEntry
        Upstreams of the catalogue in force.
    moves : iterable of MoveEntry
        Moves of that catalogue.
    generation : int
        Number of that catalogue.
    """
    starts: dict[tuple[str, str], float] = {}
    for move in moves:
        if move.state is MoveState.RUNNING:
            name = (move.pool, move.to_version)
            starts[name] = min(starts.get(name, math.inf), move.starts_at)
    wanted = []
    for entry in upstreams:
        leaving = entry.state is UpstreamState.LEAVING
        kind = OrderKind.DRAIN if leaving else OrderKind.LOAD
        order = Order(entry.name, kind, entry.version, "", generation)
        deadline = starts.get((entry.pool, entry.version), math.inf)
        wanted.append(DesiredState(order, deadline, entry.checks_fencing))
    return sorted(wanted, key=lambda one: (one.deadline, one.order.upstream))


class LoadRateLimiter:
    """Follow the rate limit of the weight store.

    Parameters
    ----------
    rate_per_s : float
        Loads that may begin each second.
    """

    __slots__ = ("_free_at", "period_s")

    def __init__(self, rate_per_s: float) -> None:
        self.period_s = 1.0 / rate_per_s
        self._free_at = -math.inf

    def starts_at(self, now: float, position: int) -> float:
        """Return when the load at a position of the queue (from 0) may begin."""
        return max(now, self._free_at) + position * self.period_s

    def try_acquire(self, now: float) -> bool:
        """Use the budget for one load; return false when it has to wait."""
        if now < self._free_at:
            return False
        self._free_at = now + self.period_s
        return True

    def delay(self, now: float, delay_s: float) -> None:
        """Wait as long as the weight store asks for."""
        self._free_at = max(self._free_at, now + delay_s)


class OrderPlanner:
    """Compare wanted states with reported ones and choose the next order.

    Parameters
    ----------
    limiter : RateBudget
        Rate limit of the weight store.
    """

    __slots__ = ("_limiter", "_issued_at", "_reported", "_wanted")

    def __init__(self, limiter: LoadRateLimiter) -> None:
        self._limiter = limiter
        self._wanted: list[DesiredState] = []
        self._reported: dict[str, str] = {}
        self._issued_at: dict[Order, float] = {}

    def set_desired(self, wanted: list[DesiredState]) -> None:
        """Replace the wanted states, the earliest deadline first."""
        self._wanted = wanted
        orders = {one.order for one in wanted}
        self._issued_at = {order: at for order, at in self._issued_at.items() if order in orders}

    def record_report(self, upstream: str, version: str) -> None:
        """Note the version that an upstream says it serves."""
        self._reported[upstream] = version

    def clear_reports(self) -> None:
        """Forget what upstreams said, as after a pause of this process."""
        self._reported.clear()

    def record_issued(self, now: float, order: Order) -> None:
        """Note that an order was sent, whatever came of it."""
        self._issued_at[order] = now

    def delay(self, now: float, delay_s: float) -> None:
        """Let no load begin for a time, as the weight store asked."""
        self._limiter.delay(now, delay_s)

    def plan(self, now: float) -> list[PlannedOrder]:
        """Return the missing orders with their times, the earliest deadline first."""
        planned = []
        loads = 0
        for wanted in self._unmet():
            starts_at = now
            if wanted.order.kind is OrderKind.LOAD:
                starts_at = self._limiter.starts_at(now, loads)
                loads += 1
            planned.append(PlannedOrder(wanted, starts_at))
        return planned

    def next_order(self, now: float) -> DesiredState | None:
        """Return the order to issue now, None when nothing is due."""
        for planned in self.plan(now):
            order = planned.wanted.order
            due = now - self._issued_at.get(order, -math.inf) >= REISSUE_PERIOD_S
            if due and planned.starts_at <= now:
                return planned.wanted
        return None

    def take_load(self, now: float) -> bool:
        """Use the budget for one load; return false when it has to wait."""
        return self._limiter.try_acquire(now)

    def _unmet(self) -> list[DesiredState]:
        """Return the wanted states that upstreams, as far as they reported, are not in."""
        missing = []
        for wanted in self._wanted:
            reported = self._reported.get(wanted.order.upstream)
            if reported is None:
                continue
            if wanted.order.kind is OrderKind.DRAIN:
                if wanted.order not in self._issued_at:
                    missing.append(wanted)
            elif reported != wanted.order.version:
                missing.append(wanted)
        return missing


def may_issue(
    now: float, claim: Claim | None, last_tick_at: float, timeout_s: float, checks_fencing: bool
) -> bool:
    """Tell whether a holder may send an order now.

    The order must have ended, one way or the other, before the lease can lapse. An upstream that
    ignores fencing numbers gets nothing for one timeout after the claim, so that an order that a
    former holder sent in its last moment has ended too.

    Parameters
    ----------
    now : float
        Time on the holder's clock, read right before the order is sent.
    claim : Claim or None
        Claim as it was last renewed.
    last_tick_at : float
        Time of the holder's last look at its clock; a gap means that it was paused.
    timeout_s : float
        Timeout of the order, in seconds.
    checks_fencing : bool
        Whether the upstream refuses an old fencing number.
    """
    if claim is None or now - last_tick_at > PAUSE_GAP_S:
        return False
    if claim.lease_until - now <= timeout_s + LEASE_MARGIN_S:
        return False
    return checks_fencing or now >= claim.acquired_at + timeout_s
