"""Keep the one queue of a pool: strict between tiers and ranks, fair between organisations.

An ask that can no longer be served on time waits behind those of its own grade and of the next
one that can, so that a backlog does not make every later request late; two grades outweigh
lateness. When its time runs out, it goes before lower grades again: a higher tier is not shed
before a lower one.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tarragonwind.core.entries import TIER_COUNT

PermitKey = tuple[str, int]
"""Host and ask id of a waiting ask."""

MAX_LOOKAHEAD = 4
"""Asks of one line that are looked at for one that fits an upstream with room."""


@dataclass(slots=True)
class QueuedRequest:
    """Hold one ask that waits for a permit.

    Attributes
    ----------
    host : str
        Host that asked.
    permit_id : int
        Unique on that host.
    tier : int
        Importance, 0 the highest.
    organisation, route : str
        Names in the catalogue.
    cost_tokens, prompt_tokens : int
        Estimated work and prompt length.
    deadline : float
        Time by which the first byte is due, in seconds on the owner's clock.
    version : str
        Version that will serve it.
    prefixes : tuple of int
        Hashes of prompt prefixes, the shortest first.
    avoid : frozenset of str
        Upstreams that have failed this request.
    version_redrawn : bool
        Whether its version was drawn anew because the first one could not serve.
    rank : int
        Importance among the asks of its tier, 0 the highest.
    output_tokens : int
        Expected tokens of the answer.
    deadline_is_total : bool
        Whether the deadline is for the whole answer instead of its first byte.
    first_byte_deadline : float
        Time by which the first byte must come, since the caller leaves then, in seconds.
    latest_on_time_grant : float
        Latest time of a grant that leads to an answer on time, in seconds.
    urgent_from : float
        Time from which it goes before lower tiers though it is late, in seconds.
    level : int
        Line of the queue that it waits in.
    """

    host: str
    permit_id: int
    tier: int
    organisation: str
    route: str
    cost_tokens: int
    prompt_tokens: int
    deadline: float
    version: str = ""
    prefixes: tuple[int, ...] = ()
    avoid: frozenset[str] = frozenset()
    version_redrawn: bool = False
    rank: int = 0
    output_tokens: int = 0
    deadline_is_total: bool = False
    first_byte_deadline: float = math.inf
    latest_on_time_grant: float = math.inf
    urgent_from: float = math.inf
    level: int = 0

    @property
    def key(self) -> PermitKey:
        """Return what names the ask in the pool."""
        return (self.host, self.permit_id)

    @property
    def latest_first_byte(self) -> float:
        """Return the time after which a first byte is of no use, in seconds."""
        return min(self.deadline, self.first_byte_deadline)


def accept_any(ask: QueuedRequest) -> bool:
    """Let every ask go to any upstream."""
    return True


RANK_COUNT = TIER_COUNT
"""Number of ranks in a tier: a rank is the tier of a route where organisations name the tier."""
PRIORITY_COUNT = TIER_COUNT * RANK_COUNT
LEVELS_PER_PRIORITY = 3
"""Lines at each grade: timely asks, urgent ones, and the late ones of the grade above."""
LEVEL_COUNT = LEVELS_PER_PRIORITY * (PRIORITY_COUNT + 1)


def priority_of(tier: int, rank: int) -> int:
    """Return the place of a tier and a rank in the order of importance, 0 the highest."""
    return tier * RANK_COUNT + min(rank, RANK_COUNT - 1)


def timely_level(priority: int) -> int:
    """Return the line of a grade's asks that can be on time."""
    return LEVELS_PER_PRIORITY * priority


def urgent_level(priority: int) -> int:
    """Return the line of a grade's late asks whose time runs out."""
    return LEVELS_PER_PRIORITY * priority + 1


def late_level(priority: int) -> int:
    """Return the line of a grade's late asks: behind the timely ones of the next grade."""
    return LEVELS_PER_PRIORITY * (priority + 1) + 2


def is_late(level: int) -> bool:
    """Tell whether a line is one of late asks."""
    return level % LEVELS_PER_PRIORITY == 2


def level_at(now: float, ask: QueuedRequest) -> int:
    """Return the line that an ask belongs to."""
    priority = priority_of(ask.tier, ask.rank)
    if now <= ask.latest_on_time_grant:
        return timely_level(priority)
    if now >= ask.urgent_from:
        return urgent_level(priority)
    return late_level(priority)


@dataclass(slots=True)
class _OrganisationQueue:
    """Hold the asks of one organisation in one level, apart by version."""

    organisation: str
    weight: float = 1.0
    virtual_time: float = 0.0
    work: int = 0
    queued: bool = False
    groups: dict[str, OrderedDict[PermitKey, QueuedRequest]] = field(default_factory=dict)


class _FairQueue:
    """Share one level between organisations by weight and cost (start-time fair queueing)."""

    __slots__ = ("_heap", "_lines", "_sequence", "_virtual_time", "asks", "work")

    def __init__(self) -> None:
        self.asks: OrderedDict[PermitKey, QueuedRequest] = OrderedDict()
        self.work = 0
        self._lines: dict[str, _OrganisationQueue] = {}
        self._heap: list[tuple[float, int, _OrganisationQueue]] = []
        self._sequence = 0
        self._virtual_time = 0.0

    def push(self, ask: QueuedRequest, weight: float) -> None:
        line = self._lines.get(ask.organisation)
        if line is None:
            line = _OrganisationQueue(ask.organisation)
            self._lines[ask.organisation] = line
        line.weight = weight
        line.groups.setdefault(ask.version, OrderedDict())[ask.key] = ask
        line.work += ask.cost_tokens
        self.work += ask.cost_tokens
        self.asks[ask.key] = ask
        self._enqueue(line)

    def pop(
        self, has_room: Callable[[str], bool], fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        passed_over: list[_OrganisationQueue] = []
        found: QueuedRequest | None = None
        while self._heap and found is None:
            _, _, line = heapq.heappop(self._heap)
            line.queued = False
            found = self._take_from(line, has_room, fits)
            if line.groups:
                passed_over.append(line)
        for line in passed_over:
            self._enqueue(line)
        return found

    def remove(self, ask: QueuedRequest) -> None:
        line = self._lines[ask.organisation]
        del self.asks[ask.key]
        asks = line.groups[ask.version]
        del asks[ask.key]
        line.work -= ask.cost_tokens
        self.work -= ask.cost_tokens
        if not asks:
            del line.groups[ask.version]

    def newest_of_most_loaded(self) -> QueuedRequest:
        most_loaded = max(
            (line for line in self._lines.values() if line.groups),
            key=lambda line: (line.work / line.weight, line.organisation),
        )
        for ask in reversed(self.asks.values()):
            if ask.organisation == most_loaded.organisation:
                return ask
        raise AssertionError("an organisation with work has a waiting ask")

    def work_before(self, organisation: str, weight: float) -> float:
        """Return the work served before a new ask of an organisation, fair shares given."""
        line = self._lines.get(organisation)
        own = line.work if line is not None else 0
        weights = weight + sum(
            other.weight
            for other in self._lines.values()
            if other.groups and other.organisation != organisation
        )
        return min(float(self.work), own * weights / weight)

    def load_of(self, organisation: str) -> float:
        line = self._lines.get(organisation)
        return line.work / line.weight if line is not None else 0.0

    def _take_from(
        self,
        line: _OrganisationQueue,
        has_room: Callable[[str], bool],
        fits: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        for version in sorted(line.groups):
            if not has_room(version):
                continue
            for ask in itertools.islice(line.groups[version].values(), MAX_LOOKAHEAD):
                if fits(ask):
                    self.remove(ask)
                    self._virtual_time = max(self._virtual_time, line.virtual_time)
                    line.virtual_time += max(1, ask.cost_tokens) / line.weight
                    return ask
        return None

    def _enqueue(self, line: _OrganisationQueue) -> None:
        if line.queued:
            return
        line.queued = True
        line.virtual_time = max(line.virtual_time, self._virtual_time)
        self._sequence += 1
        heapq.heappush(self._heap, (line.virtual_time, self._sequence, line))

    def forget_idle(self) -> None:
        """Drop organisations that have nothing waiting and are behind the virtual time."""
        idle = [
            name
            for name, line in self._lines.items()
            if not line.groups and line.virtual_time <= self._virtual_time
        ]
        for name in idle:
            line = self._lines.pop(name)
            if line.queued:
                self._heap = [item for item in self._heap if item[2] is not line]
                heapq.heapify(self._heap)


class TierQueue:
    """Keep waiting asks in bounded number.

    Parameters
    ----------
    max_waiting : int
        Most asks that wait at one time.
    weight_of : callable
        Gives an organisation's weight.
    """

    __slots__ = ("_asks", "_levels", "_max_waiting", "_weight_of")

    def __init__(self, max_waiting: int, weight_of: Callable[[str], float]) -> None:
        self._max_waiting = max_waiting
        self._weight_of = weight_of
        self._levels = [_FairQueue() for _ in range(LEVEL_COUNT)]
        self._asks: dict[PermitKey, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._asks)

    def __contains__(self, key: PermitKey) -> bool:
        return key in self._asks

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._asks.values()))

    def push(self, ask: QueuedRequest) -> QueuedRequest | None:
        """Add an ask and return the one that is shed for it, if the queue is full.

        The shed ask is the newest of the lowest waiting grade, of the organisation with the most
        waiting work for its weight. It is `ask` itself unless it is of a higher grade than that,
        or of the same grade and an organisation with less work.
        """
        if ask.key in self._asks:
            return None
        shed: QueuedRequest | None = None
        if len(self._asks) >= self._max_waiting:
            shed = self._choose_shed(ask)
            if shed is ask:
                return ask
            self.remove(shed.key)
        self._asks[ask.key] = ask
        self._place(ask, timely_level(priority_of(ask.tier, ask.rank)))
        return shed

    def pop(
        self,
        has_room: Callable[[str], bool],
        fits: Callable[[QueuedRequest], bool] = accept_any,
    ) -> QueuedRequest | None:
        """Remove and return the next ask whose version has room and that fits, or None."""
        for lines in self._levels:
            if not lines.asks:
                continue
            ask = lines.pop(has_room, fits)
            if ask is not None:
                del self._asks[ask.key]
                return ask
        return None

    def has_late(self) -> bool:
        """Tell whether an ask waits that can no longer be on time."""
        return any(lines.asks for lines in self._levels[late_level(0) :: LEVELS_PER_PRIORITY])

    def update_levels(self, now: float) -> None:
        """Move each ask to the line that it belongs to by now."""
        for ask in self._asks.values():
            level = level_at(now, ask)
            if level != ask.level:
                self._levels[ask.level].remove(ask)
                self._place(ask, level)

    def _place(self, ask: QueuedRequest, level: int) -> None:
        ask.level = level
        self._levels[level].push(ask, self._weight_of(ask.organisation))

    def remove(self, key: PermitKey) -> QueuedRequest | None:
        """Remove an ask by key and return it, or None when it isn't waiting."""
        ask = self._asks.pop(key, None)
        if ask is not None:
            self._levels[ask.level].remove(ask)
        return ask

    def work_before(self, tier: int, rank: int, organisation: str) -> float:
        """Return the estimated work in tokens served before a new ask that can be on time."""
        level = timely_level(priority_of(tier, rank))
        higher = sum(lines.work for lines in self._levels[:level])
        weight = self._weight_of(organisation)
        return higher + self._levels[level].work_before(organisation, weight)

    def work_before_late(self, tier: int, rank: int, organisation: str) -> float:
        """Return the estimated work in tokens served before a new ask that is late already."""
        priority = priority_of(tier, rank)
        between = self._levels[timely_level(priority) + 1 : late_level(priority) + 1]
        return self.work_before(tier, rank, organisation) + sum(lines.work for lines in between)

    def waiting_by_tier(self) -> list[int]:
        """Return the number of waiting asks of each tier."""
        counts = [0] * TIER_COUNT
        for ask in self._asks.values():
            counts[ask.tier] += 1
        return counts

    def work_by_level(self) -> list[int]:
        """Return the estimated work in tokens that waits in each line."""
        return [lines.work for lines in self._levels]

    def lowest_first(self) -> Iterator[QueuedRequest]:
        """Iterate over waiting asks, the lowest grade first and the newest first within it."""
        for priority in reversed(range(PRIORITY_COUNT)):
            for level in (late_level(priority), urgent_level(priority), timely_level(priority)):
                yield from list(reversed(self._levels[level].asks.values()))

    def forget_idle(self) -> None:
        """Drop state of organisations that have nothing waiting."""
        for lines in self._levels:
            lines.forget_idle()

    def _choose_shed(self, ask: QueuedRequest) -> QueuedRequest:
        priority = priority_of(ask.tier, ask.rank)
        lowest = max(priority_of(waiting.tier, waiting.rank) for waiting in self._asks.values())
        if lowest < priority:
            return ask
        late = self._levels[late_level(lowest)]
        urgent = self._levels[urgent_level(lowest)]
        timely = self._levels[timely_level(lowest)]
        if late.asks:
            return late.newest_of_most_loaded()
        if not timely.asks:
            return urgent.newest_of_most_loaded()
        candidate = timely.newest_of_most_loaded()
        if lowest > priority:
            return candidate
        own_load = timely.load_of(ask.organisation) + ask.cost_tokens / self._weight_of(
            ask.organisation
        )
        if timely.load_of(candidate.organisation) > own_load:
            return candidate
        return ask
