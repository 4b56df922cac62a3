"""Plan the orders that bring upstreams to their desired state, and when one may be issued."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable

from tarragonwind.core.entries import MoveEntry, MoveState, UpstreamEntry, UpstreamState
from tarragonwind.records import dataclass

LEASE_MARGIN_S = 1.0
"""Minimum lease time that remains after an order's timeout, in seconds."""

PAUSE_GAP_S = 1.0
"""Gap between two ticks above which the process is treated as paused, in seconds."""

REISSUE_PERIOD_S = 5.0
"""Minimum time before an order without visible effect is issued again, in seconds."""


class OrderKind(enum.Enum):
    """Enumerate the kinds of orders to an upstream."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class Order:
    """Hold an idempotent order that sets an upstream's state.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    kind : OrderKind
        What is ordered.
    version : str
        Version that the upstream must serve; empty for none.
    role : str
        Role that the upstream must have; empty to keep its current one.
    generation : int
        Number of the desired state; an upstream ignores an older state than its current one.
    """

    upstream: str
    kind: OrderKind
    version: str
    role: str
    generation: int


@dataclass(frozen=True, slots=True)
class DesiredState:
    """Hold the desired state of an upstream.

    Attributes
    ----------
    order : Order
        Order that sets the state.
    deadline : float
        Time by which the state is needed, in seconds since the epoch; infinite for none.
    checks_fencing : bool
        Whether the upstream rejects an outdated fencing token.
    """

    order: Order
    deadline: float
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the exclusive, leased right to issue orders for a pool.

    Attributes
    ----------
    fencing : int
        Fencing token: the store revision at which the claim was written. Increases with each claim.
    acquired_at : float
        Time at which the claim was acquired, in seconds on the holder's clock.
    lease_until : float
        Time before which the lease can't have expired, computed from the time before its renewal
        was sent, in seconds on the holder's clock.
    """

    fencing: int
    acquired_at: float
    lease_until: float


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """Hold an order and the earliest time that the weight store's rate limit allows for it."""

    desired: DesiredState
    starts_at: float

    @property
    def is_late(self) -> bool:
        """Return whether its deadline can't be met."""
        return self.starts_at > self.desired.deadline


def plan_desired_states(
    upstreams: Iterable[UpstreamEntry], moves: Iterable[MoveEntry], generation: int
) -> list[DesiredState]:
    """Return the desired states of upstreams, the earliest deadline first.

    Parameters
    ----------
    upstreams : iterable of UpstreamEntry
        Upstreams of the current catalogue.
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
    states = []
    for entry in upstreams:
        leaving = entry.state is UpstreamState.LEAVING
        kind = OrderKind.DRAIN if leaving else OrderKind.LOAD
        order = Order(entry.name, kind, entry.version, "", generation)
        deadline = starts.get((entry.pool, entry.version), math.inf)
        states.append(DesiredState(order, deadline, entry.checks_fencing))
    return sorted(states, key=lambda state: (state.deadline, state.order.upstream))


class LoadRateLimiter:
    """Limit the rate of loads from the weight store.

    Parameters
    ----------
    rate_per_s : float
        Maximum number of loads that begin per second.
    """

    __slots__ = ("_free_at", "period_s")

    def __init__(self, rate_per_s: float) -> None:
        self.period_s = 1.0 / rate_per_s
        self._free_at = -math.inf

    def starts_at(self, now: float, position: int) -> float:
        """Return when the load at a queue position (from 0) may begin."""
        return max(now, self._free_at) + position * self.period_s

    def try_acquire(self, now: float) -> bool:
        """Acquire the right to begin one load; return False if it must wait."""
        if now < self._free_at:
            return False
        self._free_at = now + self.period_s
        return True

    def delay(self, now: float, delay_s: float) -> None:
        """Delay the next load by at least `delay_s`, as the weight store requested."""
        self._free_at = max(self._free_at, now + delay_s)


class OrderPlanner:
    """Reconcile desired states with reported ones: choose the next order.

    Parameters
    ----------
    limiter : LoadRateLimiter
        Rate limiter for loads from the weight store.
    """

    __slots__ = ("_desired", "_issued_at", "_limiter", "_reported")

    def __init__(self, limiter: LoadRateLimiter) -> None:
        self._limiter = limiter
        self._desired: list[DesiredState] = []
        self._reported: dict[str, str] = {}
        self._issued_at: dict[Order, float] = {}

    def set_desired(self, desired: list[DesiredState]) -> None:
        """Replace the desired states, which are sorted by deadline."""
        self._desired = desired
        orders = {state.order for state in desired}
        self._issued_at = {order: at for order, at in self._issued_at.items() if order in orders}

    def record_report(self, upstream: str, version: str) -> None:
        """Record the version that an upstream reports."""
        self._reported[upstream] = version

    def clear_reports(self) -> None:
        """Discard the reported versions, for example after a pause of this process."""
        self._reported.clear()

    def record_issued(self, now: float, order: Order) -> None:
        """Record that an order was sent, whatever its result."""
        self._issued_at[order] = now

    def delay(self, now: float, delay_s: float) -> None:
        """Delay the next load by at least `delay_s`, as the weight store requested."""
        self._limiter.delay(now, delay_s)

    def plan(self, now: float) -> list[PlannedOrder]:
        """Return the outstanding orders with their start times, the earliest deadline first."""
        planned = []
        loads = 0
        for desired in self._unmet():
            starts_at = now
            if desired.order.kind is OrderKind.LOAD:
                starts_at = self._limiter.starts_at(now, loads)
                loads += 1
            planned.append(PlannedOrder(desired, starts_at))
        return planned

    def next_order(self, now: float) -> DesiredState | None:
        """Return the desired state whose order to issue now, None if no order is due."""
        for planned in self.plan(now):
            order = planned.desired.order
            due = now - self._issued_at.get(order, -math.inf) >= REISSUE_PERIOD_S
            if due and planned.starts_at <= now:
                return planned.desired
        return None

    def take_load(self, now: float) -> bool:
        """Acquire the right to begin one load; return False if it must wait."""
        return self._limiter.try_acquire(now)

    def _unmet(self) -> list[DesiredState]:
        """Return the desired states that differ from what upstreams have reported."""
        unmet = []
        for desired in self._desired:
            reported = self._reported.get(desired.order.upstream)
            if reported is None:
                continue
            if desired.order.kind is OrderKind.DRAIN:
                if desired.order not in self._issued_at:
                    unmet.append(desired)
            elif reported != desired.order.version:
                unmet.append(desired)
        return unmet


def may_issue(
    now: float, claim: Claim | None, last_tick_at: float, timeout_s: float, checks_fencing: bool
) -> bool:
    """Return whether the holder of a claim may send an order now.

    The order must complete or time out before the lease can expire. An upstream that ignores
    fencing tokens gets no order for one timeout after the claim was acquired, so that any order in
    flight from the previous holder has ended too.

    Parameters
    ----------
    now : float
        Time on the holder's clock in seconds, read right before the order is sent.
    claim : Claim or None
        Claim as last renewed.
    last_tick_at : float
        Time of the holder's last tick; a gap of more than `PAUSE_GAP_S` means that it was paused.
    timeout_s : float
        Timeout of the order, in seconds.
    checks_fencing : bool
        Whether the upstream rejects an outdated fencing token.
    """
    if claim is None or now - last_tick_at > PAUSE_GAP_S:
        return False
    if claim.lease_until - now <= timeout_s + LEASE_MARGIN_S:
        return False
    return checks_fencing or now >= claim.acquired_at + timeout_s
