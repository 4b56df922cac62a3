"""Record what upstreams say of their condition, tell pool owners, and check permits by it."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from tarragonwind.core.condition_messages import PermitSizes, PoolBrittle, UpstreamCold
from tarragonwind.core.entries import UpstreamStart
from tarragonwind.core.owner_settings import Send
from tarragonwind.core.permit_requests import PermitRequest
from tarragonwind.core.upstream_conditions import UpstreamConditions


class ConditionReports:
    """Report the condition of upstreams from one host to the owners of their pools.

    Parameters
    ----------
    send : callable
        Sends a message to a host.
    owner_of : callable
        Returns the live host that owns a pool.
    conditions : UpstreamConditions, optional
        What this host knows of upstreams.

    Attributes
    ----------
    returned : int
        Number of permits that were returned to keep strict limits.
    """

    __slots__ = ("_brittle", "_cold", "_conditions", "_memories", "_owner_of", "_send", "returned")

    def __init__(
        self,
        send: Send,
        owner_of: Callable[[str], str],
        conditions: UpstreamConditions | None = None,
    ) -> None:
        self.returned = 0
        self._send = send
        self._owner_of = owner_of
        conditions = conditions or UpstreamConditions()
        self._conditions = conditions
        self._cold = conditions.cold
        self._brittle = conditions.brittle
        self._memories = conditions.memories

    def needs_all_reports(self, now: float, pool: str) -> bool:
        """Return whether an owner must know the permits of all hosts before it grants."""
        return self._conditions.needs_all_reports(now, pool)

    def report_brittle(self, now: float, pool: str, rejections_per_s: int) -> bool:
        """Record that upstreams of a pool are brittle, and tell its owner now and then.

        Returns
        -------
        bool
            Whether the pool was not brittle.
        """
        changed = self._brittle.learn(now, pool, rejections_per_s)
        if self._brittle.take_report_due(now, pool):
            self.send_all(now, self._owner_of(pool), pool)
        return changed

    def report_cold(self, now: float, pool: str, start: UpstreamStart, cold_s: float) -> bool:
        """Record how long an upstream says it stays cold, and tell the owner if that is new.

        Returns
        -------
        bool
            Whether it was not known to be cold.
        """
        was_cold = self._cold.is_cold(now, start[0])
        self._cold.on_notice(now, start, cold_s)
        is_cold = self._cold.is_cold(now, start[0])
        if is_cold != was_cold:
            msg = UpstreamCold(pool, start[0], start[1], round(1_000 * cold_s))
            self._send(self._owner_of(pool), msg)
        return is_cold and not was_cold

    def has_memory_limit(self, pool: str) -> bool:
        """Return whether the memory of a pool's engines is known."""
        return self._memories.capacity(pool) > 0

    def create_sizes(self, pool: str, sizes: Mapping[int, PermitRequest]) -> PermitSizes | None:
        """Return the message with the sizes of requests, None if no limit of memory is known."""
        if not sizes or not self._memories.capacity(pool):
            return None
        for request in sizes.values():
            self._memories.note_request(pool, request.memory_tokens)
        return PermitSizes(pool, [[key, request.memory_tokens] for key, request in sizes.items()])

    def send_all(self, now: float, host: str, pool: str) -> None:
        """Send an owner what it must know before it takes in this host's state."""
        known = self._brittle.find(now, pool)
        if known is not None:
            age_ms = round(1_000 * (now - known.named_at))
            self._send(host, PoolBrittle(pool, known.rejections_per_s, age_ms))

    def may_use(self, now: float, pool: str, upstream: str, is_from_owner: bool) -> bool:
        """Return whether a permit may be used by the strict limits of its upstream, and count it.

        A former owner doesn't count what its successor grants.

        Parameters
        ----------
        now : float
            Time in seconds.
        pool, upstream : str
            Upstream of the permit, with its pool.
        is_from_owner : bool
            Whether the permit is of the owner that this host follows, or of its local owner.
        """
        is_strict = self._cold.is_cold(now, upstream) or self.needs_all_reports(now, pool)
        if is_strict and not is_from_owner:
            self.returned += 1
            return False
        if not self._cold.take_received(now, upstream):
            self.returned += 1
            self._tell_cold(now, pool, upstream)
            return False
        return True

    def _tell_cold(self, now: float, pool: str, upstream: str) -> None:
        """Tell an owner that grants more than a cold upstream takes, as its facts may be old."""
        state = self._cold.find(upstream)
        if state is not None and state.is_cold(now):
            name, incarnation = state.start
            msg = UpstreamCold(pool, name, incarnation, round(1_000 * (state.until - now)))
            self._send(self._owner_of(pool), msg)
