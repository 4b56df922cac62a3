"""Define rollouts that an operator orders, and the records from which each host derives its moves.

An order names a pool, the version to move to and the time for it. One host records when the move
starts and from which version, so that all hosts run the same move, also after a restart.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable

import msgpack

from tarragonwind.core.entries import (
    BackEndKind,
    MoveEntry,
    MoveState,
    PoolEntry,
    UpstreamEntry,
    UpstreamState,
)
from tarragonwind.core.verdicts import MoveOutcome, MoveVerdict
from tarragonwind.records import dataclass

OWNER = "operator"
"""Owner recorded on the derived entries."""
MAX_TIME_S = 1e11
"""Latest time that a record may name, in seconds since the epoch."""
MAX_DURATION_S = 366 * 86_400
"""Longest time that an order may give, in seconds."""
DURATION_FRACTION = 0.85
"""Fraction of the ordered time in which the move is planned to end, so that its result is recorded
in time."""
GIVE_UP_FRACTION = 0.93
"""Fraction of the ordered time after which a rollout that has not completed is taken back."""
GIVE_UP_WHY = "the new version was not shown to serve as well as the old one in time"


class RolloutState(enum.Enum):
    """Enumerate the states of a rollout that operators see."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Hold an operator's order.

    Attributes
    ----------
    pool, to_version : str
        Pool and the version that should serve it.
    duration_s : float
        Time within which the rollout should end, in seconds.
    """

    pool: str
    to_version: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Hold the published state of the rollout of a pool to a version."""

    state: RolloutState
    to_version: str


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """Record how an order is carried out.

    Attributes
    ----------
    order_revision : int
        Revision of the order in the store.
    from_version, to_version : str
        Old and new version.
    starts_at, done_by : float
        Start time and planned end, in seconds since the epoch.
    """

    order_revision: int
    from_version: str
    to_version: str
    starts_at: float
    done_by: float


def check_order(order: RolloutOrder) -> RolloutOrder:
    """Return an order with a possible duration; raise `ValueError` for any other."""
    if not 0.0 < order.duration_s <= MAX_DURATION_S:
        raise ValueError(
            f"expected a duration of more than 0 and up to {MAX_DURATION_S} s, "
            f"got {order.duration_s}"
        )
    return order


def create_record(
    order: RolloutOrder, revision: int, from_version: str, now: float
) -> RolloutRecord:
    """Return the record of an order that is carried out from now on, in seconds since the epoch."""
    done_by = now + DURATION_FRACTION * order.duration_s
    return RolloutRecord(revision, from_version, order.to_version, now, done_by)


def give_up_at(record: RolloutRecord) -> float:
    """Return when a rollout that has not completed is taken back, in seconds since the epoch."""
    duration_s = (record.done_by - record.starts_at) / DURATION_FRACTION
    return record.starts_at + GIVE_UP_FRACTION * duration_s


def pack_record(record: RolloutRecord) -> bytes:
    """Encode a record."""
    return bytes(
        msgpack.packb(
            [
                record.order_revision,
                record.from_version,
                record.to_version,
                record.starts_at,
                record.done_by,
            ]
        )
    )


def unpack_record(data: bytes) -> RolloutRecord:
    """Decode a record; additional trailing values, which a later build may write, are ignored.

    Raises
    ------
    ValueError
        If the data are not an encoded record.
    """
    values = msgpack.unpackb(data)
    types = [type(value) for value in values] if isinstance(values, list) else []
    if types[:5] != [int, str, str, float, float]:
        raise ValueError(f"expected the five fields of a rollout record, got {types}")
    record = RolloutRecord(*values[:5])
    if not 0.0 <= record.starts_at <= record.done_by <= MAX_TIME_S:
        raise ValueError(
            f"expected times from 0 to {MAX_TIME_S:.0f} in order, got {record.starts_at} and "
            f"{record.done_by}"
        )
    return record


def live_versions(upstreams: Iterable[UpstreamEntry]) -> set[str]:
    """Return the versions of live upstreams."""
    return {entry.version for entry in upstreams if entry.state is UpstreamState.LIVE}


def serving_version(upstreams: Iterable[UpstreamEntry], to_version: str, previous: str = "") -> str:
    """Return the version that serves a pool before a rollout, empty if no upstream has another.

    Parameters
    ----------
    upstreams : iterable of UpstreamEntry
        Upstreams of the pool.
    to_version : str
        Version of the rollout.
    previous : str
        Version in which the last rollout ended, preferred if it still has live upstreams.
    """
    counts = Counter(
        entry.version
        for entry in upstreams
        if entry.version != to_version and entry.state is UpstreamState.LIVE
    )
    if previous in counts:
        return previous
    return min(counts, key=lambda version: (-counts[version], version), default="")


def end_version(record: RolloutRecord, state: RolloutState) -> str:
    """Return the version that serves after a rollout has ended."""
    return record.to_version if state is RolloutState.COMPLETED else record.from_version


def create_move(pool: str, record: RolloutRecord, cancelled: bool) -> MoveEntry:
    """Return the move that carries out a rollout."""
    return MoveEntry(
        name=pool,
        owner=OWNER,
        pool=pool,
        from_version=record.from_version,
        to_version=record.to_version,
        starts_at=record.starts_at,
        done_by=record.done_by,
        state=MoveState.CANCELLED if cancelled else MoveState.RUNNING,
    )


def create_pool(pool: str, record: RolloutRecord) -> PoolEntry:
    """Return the entry of a pool that serves the old version of a rollout."""
    return PoolEntry(
        name=pool, owner=OWNER, back_end=BackEndKind.SERVICE, version=record.from_version
    )


def create_verdict(pool: str, record: RolloutRecord, state: RolloutState) -> MoveVerdict | None:
    """Return the verdict that a published state stands for, None while the rollout runs."""
    if state is RolloutState.RUNNING:
        return None
    completed = state is RolloutState.COMPLETED
    outcome = MoveOutcome.DONE if completed else MoveOutcome.TAKEN_BACK
    return MoveVerdict(pool, outcome, OWNER, record.done_by, f"recorded as {state.value}")


def state_of(outcome: MoveOutcome) -> RolloutState:
    """Return the state to publish for the outcome of a move."""
    return RolloutState.COMPLETED if outcome is MoveOutcome.DONE else RolloutState.ROLLED_BACK
