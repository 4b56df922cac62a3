"""Keep one owner's grants for one upstream within limits that hold over all hosts.

Other limits of an upstream may be exceeded for a moment while two hosts own its pool or hosts use
local shares. The limits here may not, since an upstream beyond them falls over. An owner uses its
share of the whole fleet of them, counting hosts that were lost some minutes ago, so that the sides
of a partition stay within the limit together. A new owner grants nothing to a cold upstream until
the grants of its predecessor can't arrive any more.
"""

from __future__ import annotations

import math
from collections import deque

from tarragonwind.core.brittle_pools import BrittlePools
from tarragonwind.core.cold_upstreams import WINDOW_S, ColdState, GrantWindow
from tarragonwind.core.engine_memories import EngineMemory

RETENTION_S = 300.0
"""Time for which a lost host without a lease still counts as a part of the fleet, in seconds."""
REJECTION_PAUSE_S = 1.0
"""Time without grants for a brittle upstream that has rejected a request, in seconds: it falls over
by the number that it rejects within one second."""
LINGER_S = 0.5
"""Time for which a request that was given up still counts at a brittle upstream, in seconds. The
upstream learns of a closed connection only when it writes to it."""


class StrictLimits:
    """Check the strict limits of one upstream.

    Parameters
    ----------
    pool : str
        Pool of the upstream.
    brittle : BrittlePools
        Brittle pools.
    memory : EngineMemory
        What is in use of its memory.

    Attributes
    ----------
    cold : ColdState or None
        How long the upstream is cold; None if its pool has no limit for cold upstreams.
    memory : EngineMemory
        What is in use of its memory.
    share : float
        Fraction of the limits that this owner may use, above 0 and at most 1.
    """

    __slots__ = (
        "_brittle",
        "_cold_from",
        "_grants",
        "_lingering",
        "_pool",
        "_rejected_until",
        "cold",
        "memory",
        "share",
    )

    def __init__(self, pool: str, brittle: BrittlePools, memory: EngineMemory) -> None:
        self.memory = memory
        self.cold: ColdState | None = None
        self.share = 1.0
        self._pool = pool
        self._brittle = brittle
        self._grants = GrantWindow()
        self._cold_from = -math.inf
        self._rejected_until = -math.inf
        self._lingering: deque[float] = deque()

    def on_new_owner(self, now: float) -> None:
        """Take into account that another owner has granted until now."""
        self._cold_from = now + WINDOW_S
        self.memory.on_hosts_joined()

    def on_rejected(self, now: float) -> None:
        """Record that the upstream rejected a request for lack of room."""
        self._rejected_until = now + REJECTION_PAUSE_S

    def on_given_up(self, now: float) -> None:
        """Record that a request was given up that the upstream may still run."""
        if self._brittle.is_brittle(now, self._pool):
            self._lingering.append(now + LINGER_S)

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold."""
        return self.cold is not None and self.cold.is_cold(now)

    def cold_left_s(self, now: float) -> float:
        """Return the time until the upstream is warm, in seconds."""
        return max(0.0, self.cold.until - now) if self.cold is not None else 0.0

    def cold_budget(self, now: float) -> int | None:
        """Return the grants per `WINDOW_S` while the upstream is cold, None if it is warm."""
        if self.cold is None or not self.cold.is_cold(now):
            return None
        return math.floor((self.cold.budget(now) or 0.0) * self.share)

    def allows(self, now: float, in_flight: int, slots: int) -> bool:
        """Return whether one more request may be granted.

        Parameters
        ----------
        now : float
            Time in seconds.
        in_flight, slots : int
            Requests in flight at the upstream, and how many it can run at the same time.
        """
        if now < self._brittle.until and not self._is_within_room(now, in_flight, slots):
            return False
        return self.cold is None or self._is_within_cold_rate(now, self.cold)

    def _is_within_room(self, now: float, in_flight: int, slots: int) -> bool:
        if not self._brittle.is_brittle(now, self._pool):
            return True
        while self._lingering and self._lingering[0] <= now:
            self._lingering.popleft()
        room = math.floor(slots * self.share) - len(self._lingering)
        return now >= self._rejected_until and in_flight < room

    def _is_within_cold_rate(self, now: float, cold: ColdState) -> bool:
        budget = cold.budget(now)
        if budget is None:
            return True
        return now >= self._cold_from and self._grants.count(now) < math.floor(budget * self.share)

    def has_memory(self, now: float, tokens: int, slots: int, all_known: bool) -> bool:
        """Return whether a request fits into the memory, see `EngineMemory.has_room`."""
        return self.memory.has_room(now, tokens, self.share, slots, all_known)

    def take(self, now: float) -> None:
        """Count a granted request."""
        if self.cold is not None:
            self._grants.add(now)
