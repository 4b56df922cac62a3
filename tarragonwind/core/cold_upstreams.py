"""Know which upstreams are cold, and how many requests a cold one may get.

An upstream is cold for some time after its start and may become cold again. All hosts together may
send it at most `ColdLimit.budget` requests that arrive within one second. The budget is divided
beforehand, so that no message is needed to keep within it: each owner plans with half of it times
its share of the fleet. The other half covers a second owner, which hosts may follow for a moment,
and requests that were granted before and are sent late.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from tarragonwind.core.entries import PoolEntry, UpstreamEntry, UpstreamStart
from tarragonwind.records import dataclass

WINDOW_S = 1.5
"""Time in which an owner spends its budget once, in seconds: the second that the limit is counted
over, and half a second by which one request may reach the upstream later than another."""
RAMP_S = 4.0
"""Time after the end of coldness over which an upstream's budget grows to no limit, in seconds."""
RAMP_DOUBLING_S = 1.0
"""Time in which the budget doubles on that ramp, in seconds."""
FIRST_READ_S = 3.0
"""Time for which the upstreams of a pool may be read from the store after the pool, in seconds:
pages of keys and copies of other hosts come in parts."""
MAX_DEPARTED = 1_024
"""Maximum number of upstreams that are remembered after their entries are gone: one that registers
again, as after an outage of the store, has not started anew."""
MAX_COLD_S = 3_600.0
"""Upper bound of the time for which an upstream may say that it stays cold, in seconds."""


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """Set what a cold upstream may get beyond its rate.

    Attributes
    ----------
    overage : float
        Factor on the rate.
    slack : float
        Number of requests beyond that.
    """

    overage: float = 1.5
    slack: float = 5.0


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Hold what a pool's configuration says of its cold upstreams.

    Attributes
    ----------
    cold_s : float
        Time for which an upstream is cold after its start, in seconds.
    per_s : float
        Requests per second that a cold upstream can take.
    budget : float
        Requests that may arrive at it within one second, from all hosts together.
    """

    cold_s: float
    per_s: float
    budget: float


def create_cold_limit(pool: PoolEntry, bounds: ColdBounds) -> ColdLimit | None:
    """Return the limit of a pool's cold upstreams, None if its upstreams are never cold."""
    if pool.cold_s <= 0 or pool.cold_per_s <= 0:
        return None
    budget = pool.cold_per_s * bounds.overage + bounds.slack
    return ColdLimit(pool.cold_s, pool.cold_per_s, budget)


class ColdState:
    """Track how long one start of an upstream is cold.

    Attributes
    ----------
    limit : ColdLimit
        Limit of its pool.
    start : UpstreamStart
        Upstream and its start.
    revision : int
        Revision of the entry that was applied last.
    until : float
        Time at which it is warm, in seconds; minus infinity if it has not been cold.
    """

    __slots__ = ("limit", "revision", "start", "until")

    def __init__(self, limit: ColdLimit, start: UpstreamStart, revision: int) -> None:
        self.limit = limit
        self.start = start
        self.revision = revision
        self.until = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold."""
        return now < self.until

    def budget(self, now: float) -> float | None:
        """Return the requests that an owner of the whole pool may grant in `WINDOW_S`.

        None means no limit: the upstream is warm and its ramp has ended.
        """
        if now >= self.until + RAMP_S:
            return None
        warm_s = max(0.0, now - self.until)
        return float(self.limit.budget / 2 * 2 ** (warm_s / RAMP_DOUBLING_S))


class GrantWindow:
    """Count the grants for one upstream in the last `WINDOW_S`."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def count(self, now: float) -> int:
        """Return the number of grants in the window that ends now."""
        while self._times and self._times[0] <= now - WINDOW_S:
            self._times.popleft()
        return len(self._times)

    def add(self, now: float) -> None:
        """Count a grant."""
        self.count(now)
        self._times.append(now)


class ColdUpstreams:
    """Hold the coldness of the upstreams of all pools, shared by the pool owners of one host.

    Parameters
    ----------
    bounds : ColdBounds
        What cold upstreams may get beyond their rate.
    """

    __slots__ = ("_bounds", "_first_seen_at", "_limits", "_present", "_received", "_states")

    def __init__(self, bounds: ColdBounds | None = None) -> None:
        self._bounds = bounds or ColdBounds()
        self._first_seen_at: dict[str, float] = {}
        self._limits: dict[str, ColdLimit] = {}
        self._present: set[str] = set()
        self._states: dict[str, ColdState] = {}
        self._received: dict[str, GrantWindow] = {}

    def configure(
        self, now: float, pools: Iterable[PoolEntry], upstreams: Iterable[UpstreamEntry]
    ) -> list[ColdState]:
        """Apply the pools and upstreams of the catalogue; return those that have become cold.

        The upstreams that come with a pool count as warm unless their entries say otherwise, since
        they may have been up for long. Any later one has started, even if its entry says that it is
        warm.
        """
        were_cold = {name for name, state in self._states.items() if state.is_cold(now)}
        limits = {}
        for pool in pools:
            limit = create_cold_limit(pool, self._bounds)
            if limit is not None:
                limits[pool.name] = limit
        self._first_seen_at = {name: self._first_seen_at.get(name, now) for name in limits}
        present = {}
        for entry in upstreams:
            limit = limits.get(entry.pool)
            if limit is not None:
                is_new_pool = now < self._first_seen_at[entry.pool] + FIRST_READ_S
                present[entry.name] = self._update(now, limit, entry, is_new_pool)
        departed = {name: state for name, state in self._states.items() if name not in present}
        for name in list(departed)[: max(0, len(departed) - MAX_DEPARTED)]:
            del departed[name]
        self._limits = limits
        self._present = set(present)
        self._states = departed | present
        self._received = {
            name: window for name, window in self._received.items() if name in present
        }
        return [
            state for name, state in present.items() if state.is_cold(now) and name not in were_cold
        ]

    def find(self, name: str) -> ColdState | None:
        """Return the state of an upstream; None if its pool has no limit for cold upstreams."""
        return self._states.get(name)

    def is_cold(self, now: float, name: str) -> bool:
        """Return whether an upstream is cold."""
        state = self._states.get(name)
        return state is not None and state.is_cold(now)

    def count_cold(self, now: float) -> int:
        """Return the number of cold upstreams."""
        return sum(self._states[name].is_cold(now) for name in self._present)

    def on_notice(self, now: float, start: UpstreamStart, cold_s: float) -> bool:
        """Apply what an upstream says of itself; return whether it was not known to be cold."""
        state = self._states.get(start[0])
        if state is None or state.start != start:
            return False
        was_cold = state.is_cold(now)
        self._set_cold(now, state, cold_s)
        return not was_cold and state.is_cold(now)

    def take_received(self, now: float, name: str) -> bool:
        """Count a permit that this host received; return whether it may be used.

        Permits that come late, as after a pause of this process, come at once: beyond what one
        owner grants in a second they are returned.
        """
        state = self._states.get(name)
        budget = state.budget(now) if state is not None else None
        if budget is None:
            return True
        window = self._received.setdefault(name, GrantWindow())
        if window.count(now) >= math.floor(budget):
            return False
        window.add(now)
        return True

    def _update(
        self, now: float, limit: ColdLimit, entry: UpstreamEntry, is_new_pool: bool
    ) -> ColdState:
        state = self._states.get(entry.name)
        if state is not None and state.start == entry.start:
            state.limit = limit
            if entry.cold_s is not None and entry.revision != state.revision:
                state.revision = entry.revision
                self._set_cold(now, state, entry.cold_s)
            return state
        has_started = state is not None or not is_new_pool
        state = ColdState(limit, entry.start, entry.revision)
        if has_started:
            self._set_cold(now, state, entry.cold_s or limit.cold_s)
        elif entry.cold_s is not None:
            self._set_cold(now, state, entry.cold_s)
        return state

    def _set_cold(self, now: float, state: ColdState, cold_s: float) -> None:
        if cold_s > 0:
            state.until = now + min(cold_s, MAX_COLD_S)
        elif state.is_cold(now):
            state.until = now
