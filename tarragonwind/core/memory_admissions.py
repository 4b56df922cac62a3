"""Choose the engines that have memory for a request of one pool."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.core.condition_messages import PermitSizes
from tarragonwind.core.engine_memories import EngineMemories, RequestSizes
from tarragonwind.core.memory_reservations import MemoryReservation
from tarragonwind.core.permit_messages import PermitAsk
from tarragonwind.core.queues import QueuedRequest, TierQueue
from tarragonwind.core.upstream_loads import UpstreamLoad


class MemoryAdmission:
    """Keep the requests that an owner grants within the memory of engines.

    Parameters
    ----------
    pool : str
        Name of the pool.
    memories : EngineMemories
        Memory of the engines of each pool.
    queue : TierQueue
        Waiting requests.

    Attributes
    ----------
    sizes : RequestSizes
        Sizes of requests that hosts have told.
    """

    __slots__ = ("_memories", "_pool", "_reservation", "sizes")

    def __init__(self, pool: str, memories: EngineMemories, queue: TierQueue) -> None:
        self._pool = pool
        self._memories = memories
        self._reservation = MemoryReservation(queue)
        self.sizes = RequestSizes()

    def on_sizes(self, host: str, msg: PermitSizes) -> None:
        """Record the sizes of requests whose permit requests follow."""
        self.sizes.put(host, msg.sizes)
        for _, tokens in msg.sizes:
            self._memories.note_request(self._pool, tokens)

    def take_size(self, host: str, msg: PermitAsk) -> int:
        """Return the memory that a request needs, in tokens; 0 if no limit is known."""
        default = msg.prompt_tokens + msg.output_tokens
        tokens = self.sizes.take(host, msg.permit_id, default)
        return tokens if self._memories.capacity(self._pool) else 0

    def fitting(
        self,
        now: float,
        req: QueuedRequest,
        loads: list[UpstreamLoad],
        knows_all: Callable[[], bool],
    ) -> list[UpstreamLoad]:
        """Return the engines with room that have memory for a request.

        Parameters
        ----------
        now : float
            Time in seconds.
        req : QueuedRequest
            The request.
        loads : list of UpstreamLoad
            Engines with room.
        knows_all : callable
            Returns whether the owner knows the permits of all hosts.
        """
        if not req.memory_tokens or not loads:
            return loads
        all_known = not self._memories.is_short(self._pool) or knows_all()
        fitting = [
            load
            for load in loads
            if load.strict.has_memory(now, req.memory_tokens, load.entry.slots, all_known)
        ]
        if not fitting:
            self._reservation.on_blocked(now, req, loads)
        return self._reservation.without_reserved(req, fitting)

    def without_reserved(self, req: QueuedRequest, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
        """Return the engines that are not kept for another request."""
        return self._reservation.without_reserved(req, loads)
