"""Keep an engine's memory free for a request that is too large for what the others leave."""

from __future__ import annotations

from tarragonwind.core.queues import PermitKey, QueuedRequest, TierQueue
from tarragonwind.core.upstream_loads import UpstreamLoad

RESERVE_AFTER_S = 1.0
"""Time for which a request is passed over for lack of memory before an engine is kept for it, in
seconds."""


class MemoryReservation:
    """Keep one engine of a pool from other requests until a large one fits.

    Without it smaller requests take all memory that becomes free.

    Parameters
    ----------
    queue : TierQueue
        Waiting requests.
    """

    __slots__ = ("_blocked_at", "_key", "_queue", "_upstream")

    def __init__(self, queue: TierQueue) -> None:
        self._queue = queue
        self._key: PermitKey | None = None
        self._blocked_at = 0.0
        self._upstream = ""

    def on_blocked(self, now: float, req: QueuedRequest, loads: list[UpstreamLoad]) -> None:
        """Record that no engine has memory for a request; the first such request counts."""
        if self._key is None or self._key not in self._queue:
            self._key = req.key
            self._blocked_at = now
            self._upstream = ""
        elif req.key == self._key and not self._upstream and now >= self._reserve_at():
            self._upstream = min(loads, key=lambda load: load.strict.memory.used).entry.name

    def without_reserved(self, req: QueuedRequest, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
        """Return the engines that are not kept for another request."""
        if not self._upstream or self._key is None or req.key == self._key:
            return loads
        if self._key not in self._queue:
            return loads
        return [load for load in loads if load.entry.name != self._upstream]

    def _reserve_at(self) -> float:
        return self._blocked_at + RESERVE_AFTER_S
