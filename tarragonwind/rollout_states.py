"""Follow the orders, records and published states of rollouts in a mirror of the store."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.rollouts import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    RolloutStatus,
    check_order,
    unpack_record,
)
from tarragonwind.records import dataclass
from tarragonwind.store_mirrors import StoreMirror

RECORD_PREFIX = "tarragonwind/rollouts/"
"""Prefix of the keys of records, followed by the pool."""


@dataclass(frozen=True, slots=True)
class RolloutCodec:
    """Describe the keys and documents through which an operator orders rollouts.

    Attributes
    ----------
    order_prefix, status_prefix : str
        Prefixes of the keys of orders and published states, each followed by the pool.
    decode_order, decode_status, encode_status : callable
        Decode and encode the documents; decoders raise an exception for a malformed one.
    """

    order_prefix: str
    status_prefix: str
    decode_order: Callable[[bytes], RolloutOrder]
    decode_status: Callable[[bytes], RolloutStatus]
    encode_status: Callable[[RolloutStatus], bytes]


@dataclass(slots=True)
class PoolRollout:
    """Hold what the store says about the rollout of one pool; revision 0 stands for no key."""

    order: RolloutOrder | None = None
    order_revision: int = 0
    record: RolloutRecord | None = None
    record_revision: int = 0
    status: RolloutStatus | None = None
    status_revision: int = 0

    @property
    def is_pending(self) -> bool:
        """Return whether an order has no record yet."""
        if self.order is None:
            return False
        return self.record is None or self.record.order_revision != self.order_revision

    @property
    def state(self) -> RolloutState:
        """Return the published state of the recorded rollout."""
        if self.status is None or self.status_revision < self.record_revision:
            return RolloutState.RUNNING
        return self.status.state


class RolloutStates:
    """Hold the rollouts of all pools, as read from a mirror.

    Parameters
    ----------
    mirror : StoreMirror
        Mirror of the store.
    codec : RolloutCodec
        Keys and documents of the operator.
    on_changed : callable
        Called with the pools whose rollouts have changed.

    Attributes
    ----------
    pools : dict of str to PoolRollout
        Rollouts by pool.
    """

    def __init__(
        self, mirror: StoreMirror, codec: RolloutCodec, on_changed: Callable[[set[str]], None]
    ) -> None:
        self.pools: dict[str, PoolRollout] = {}
        self._on_changed = on_changed
        self._appliers: dict[str, Callable[[PoolRollout, MirrorItem], None]] = {
            codec.order_prefix: self._apply_order,
            codec.status_prefix: self._apply_status,
            RECORD_PREFIX: self._apply_record,
        }
        self._codec = codec
        mirror.subscribe(self._on_mirror_changes)

    def _on_mirror_changes(self, changes: list[MirrorItem]) -> None:
        changed = set()
        for item in changes:
            prefix, _, pool = item.key.rpartition("/")
            apply = self._appliers.get(f"{prefix}/")
            if apply is None:
                continue
            try:
                apply(self.pools.setdefault(pool, PoolRollout()), item)
            except Exception as exc:
                logger.error("event=rollout_unreadable key={!r} why={!r}", item.key, exc)
                continue
            changed.add(pool)
        if changed:
            self._on_changed(changed)

    def _apply_order(self, rollout: PoolRollout, item: MirrorItem) -> None:
        order = None if item.value is None else check_order(self._codec.decode_order(item.value))
        rollout.order, rollout.order_revision = order, item.position.revision

    def _apply_status(self, rollout: PoolRollout, item: MirrorItem) -> None:
        status = None if item.value is None else self._codec.decode_status(item.value)
        rollout.status = status
        rollout.status_revision = 0 if status is None else item.position.revision

    def _apply_record(self, rollout: PoolRollout, item: MirrorItem) -> None:
        record = None if item.value is None else unpack_record(item.value)
        rollout.record = record
        rollout.record_revision = 0 if record is None else item.position.revision
