"""Request queue of a pool: strict priority between tiers and ranks, fair between organisations.

A late request, which can no longer be answered on time, waits behind the timely requests of its own
priority and of the next lower one, so that a backlog does not make every later request late. It
still precedes requests that are two priorities lower. Close to its deadline, it becomes urgent and
precedes lower priorities again, so that a higher tier is not shed before a lower one.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import field

from tarragonwind.core.entries import TIER_COUNT
from tarragonwind.core.homes import ANY_REGION, Homes
from tarragonwind.records import dataclass

PermitKey = tuple[str, int]
"""Host and permit id of a permit request."""

MAX_LOOKAHEAD = 4
"""Maximum number of requests of one organisation and lane tried for an upstream with room."""

Lane = tuple[str, Homes]
"""Version and homes of requests: what the same upstreams may serve."""


@dataclass(slots=True)
class QueuedRequest:
    """Describe a request that waits for a permit.

    Attributes
    ----------
    host : str
        Host that sent the request.
    permit_id : int
        Unique on that host.
    tier : int
        Priority tier, 0 the highest.
    organisation, route : str
        Names in the catalogue.
    cost_tokens, prompt_tokens : int
        Estimated work, in output tokens, and length of the prompt.
    deadline : float
        Deadline of the first byte, in seconds on the owner's clock.
    version : str
        Version that will serve the request.
    prefixes : tuple of int
        Hashes of prompt prefixes, the shortest first.
    avoid : frozenset of str
        Names of upstreams that have failed this request.
    version_redrawn : bool
        Whether the version was chosen again because the first one could not serve.
    rank : int
        Priority within the tier, 0 the highest.
    output_tokens : int
        Expected length of the response, in tokens.
    deadline_is_total : bool
        Whether `deadline` is the deadline of the complete response instead of its first byte.
    first_byte_deadline : float
        Time at which the caller disconnects without a first byte, in seconds on the owner's clock.
    latest_on_time_grant : float
        Latest time of a grant for an on-time response, in seconds on the owner's clock.
    urgent_from : float
        Time from which a late request precedes lower priorities, in seconds on the owner's clock.
    level : int
        Queue level, 0 the first to be served.
    keys : tuple of int
        Keys of the prompt's shared parts and of the request, see `Suspicions`.
    memory_tokens : int
        Memory that it needs at an engine, in tokens: its prompt and the maximum of its output.
    homes : tuple of str
        Regions whose upstreams may get the request; empty for all.
    parts : tuple of tuple of int
        Identifier and tokens of each part of the prompt, in order; empty if they aren't followed.
    target_at : float
        Latest time of a first byte that is on time, in seconds on the owner's clock.
    prefix_wait_over : bool
        Whether the request has waited for an engine that keeps its prompt.
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
    keys: tuple[int, ...] = ()
    memory_tokens: int = 0
    homes: Homes = ANY_REGION
    parts: tuple[tuple[int, int], ...] = ()
    target_at: float = math.inf
    prefix_wait_over: bool = False

    @property
    def lane(self) -> Lane:
        """Return what requests have in common that the same upstreams may serve."""
        return (self.version, self.homes)

    @property
    def key(self) -> PermitKey:
        """Return the key that identifies the request in the pool."""
        return (self.host, self.permit_id)

    @property
    def latest_first_byte(self) -> float:
        """Return the time after which a first byte is useless, in seconds on the owner's clock."""
        return min(self.deadline, self.first_byte_deadline)


def accept_any(req: QueuedRequest) -> bool:
    """Return True: every request can use any upstream with room."""
    return True


RANK_COUNT = TIER_COUNT
"""Ranks in a tier. A rank is the tier of the route when the organisation names the tier."""

PRIORITY_COUNT = TIER_COUNT * RANK_COUNT

LEVELS_PER_PRIORITY = 3
"""Levels of a priority: its timely requests, its urgent ones, late ones of the priority above."""

LEVEL_COUNT = LEVELS_PER_PRIORITY * (PRIORITY_COUNT + 1)


def priority_of(tier: int, rank: int) -> int:
    """Return the priority of a tier and a rank, 0 the highest."""
    return tier * RANK_COUNT + min(rank, RANK_COUNT - 1)


def timely_level(priority: int) -> int:
    """Return the level of a priority's requests that can be answered on time."""
    return LEVELS_PER_PRIORITY * priority


def urgent_level(priority: int) -> int:
    """Return the level of a priority's late requests that are close to their deadline."""
    return LEVELS_PER_PRIORITY * priority + 1


def late_level(priority: int) -> int:
    """Return the level of a priority's late requests: behind the next priority's timely ones."""
    return LEVELS_PER_PRIORITY * (priority + 1) + 2


def is_late(level: int) -> bool:
    """Return whether a level holds late requests."""
    return level % LEVELS_PER_PRIORITY == 2


def level_at(now: float, req: QueuedRequest) -> int:
    """Return the level that a request belongs to at a time."""
    priority = priority_of(req.tier, req.rank)
    if now <= req.latest_on_time_grant:
        return timely_level(priority)
    if now >= req.urgent_from:
        return urgent_level(priority)
    return late_level(priority)


@dataclass(slots=True)
class _OrganisationQueue:
    """Hold the requests of one organisation in one level, grouped by what may serve them."""

    organisation: str
    weight: float = 1.0
    virtual_time: float = 0.0
    work: int = 0
    queued: bool = False
    by_lane: dict[Lane, OrderedDict[PermitKey, QueuedRequest]] = field(default_factory=dict)


class _FairQueue:
    """Order one level by start-time fair queueing between organisations, by weight and cost."""

    __slots__ = ("_by_organisation", "_heap", "_sequence", "_virtual_time", "requests", "work")

    def __init__(self) -> None:
        self.requests: OrderedDict[PermitKey, QueuedRequest] = OrderedDict()
        self.work = 0
        self._by_organisation: dict[str, _OrganisationQueue] = {}
        self._heap: list[tuple[float, int, _OrganisationQueue]] = []
        self._sequence = 0
        self._virtual_time = 0.0

    def push(self, req: QueuedRequest, weight: float) -> None:
        org_queue = self._by_organisation.get(req.organisation)
        if org_queue is None:
            org_queue = _OrganisationQueue(req.organisation)
            self._by_organisation[req.organisation] = org_queue
        org_queue.weight = weight
        org_queue.by_lane.setdefault(req.lane, OrderedDict())[req.key] = req
        org_queue.work += req.cost_tokens
        self.work += req.cost_tokens
        self.requests[req.key] = req
        self._enqueue(org_queue)

    def pop(
        self, has_room: Callable[[str], bool], fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        passed_over: list[_OrganisationQueue] = []
        found: QueuedRequest | None = None
        while self._heap and found is None:
            _, _, org_queue = heapq.heappop(self._heap)
            org_queue.queued = False
            found = self._take_from(org_queue, has_room, fits)
            if org_queue.by_lane:
                passed_over.append(org_queue)
        for org_queue in passed_over:
            self._enqueue(org_queue)
        return found

    def remove(self, req: QueuedRequest) -> None:
        org_queue = self._by_organisation[req.organisation]
        del self.requests[req.key]
        requests = org_queue.by_lane[req.lane]
        del requests[req.key]
        org_queue.work -= req.cost_tokens
        self.work -= req.cost_tokens
        if not requests:
            del org_queue.by_lane[req.lane]

    def newest_of_most_loaded(self) -> QueuedRequest:
        most_loaded = max(
            (org_queue for org_queue in self._by_organisation.values() if org_queue.by_lane),
            key=lambda org_queue: (org_queue.work / org_queue.weight, org_queue.organisation),
        )
        for req in reversed(self.requests.values()):
            if req.organisation == most_loaded.organisation:
                return req
        raise AssertionError(f"organisation {most_loaded.organisation!r} has no waiting request")

    def work_before(self, organisation: str, weight: float) -> float:
        """Return the work served before a new request of an organisation, given fair shares."""
        org_queue = self._by_organisation.get(organisation)
        own = org_queue.work if org_queue is not None else 0
        weights = weight + sum(
            other.weight
            for other in self._by_organisation.values()
            if other.by_lane and other.organisation != organisation
        )
        return min(float(self.work), own * weights / weight)

    def load_of(self, organisation: str) -> float:
        org_queue = self._by_organisation.get(organisation)
        return org_queue.work / org_queue.weight if org_queue is not None else 0.0

    def _take_from(
        self,
        org_queue: _OrganisationQueue,
        has_room: Callable[[str], bool],
        fits: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        for lane in sorted(org_queue.by_lane):
            if not has_room(lane[0]):
                continue
            for req in itertools.islice(org_queue.by_lane[lane].values(), MAX_LOOKAHEAD):
                if fits(req):
                    self.remove(req)
                    self._virtual_time = max(self._virtual_time, org_queue.virtual_time)
                    org_queue.virtual_time += max(1, req.cost_tokens) / org_queue.weight
                    return req
        return None

    def _enqueue(self, org_queue: _OrganisationQueue) -> None:
        if org_queue.queued:
            return
        org_queue.queued = True
        org_queue.virtual_time = max(org_queue.virtual_time, self._virtual_time)
        self._sequence += 1
        heapq.heappush(self._heap, (org_queue.virtual_time, self._sequence, org_queue))

    def evict_idle(self) -> None:
        """Evict organisations with an empty queue whose virtual time has been reached."""
        idle = [
            name
            for name, org_queue in self._by_organisation.items()
            if not org_queue.by_lane and org_queue.virtual_time <= self._virtual_time
        ]
        for name in idle:
            org_queue = self._by_organisation.pop(name)
            if org_queue.queued:
                self._heap = [item for item in self._heap if item[2] is not org_queue]
                heapq.heapify(self._heap)


class TierQueue:
    """Bounded priority queue with fair queueing between organisations at each level.

    Parameters
    ----------
    max_waiting : int
        Maximum number of waiting requests.
    weight_of : callable
        Returns the weight of an organisation.
    """

    __slots__ = ("_by_host", "_levels", "_max_waiting", "_requests", "_weight_of")

    def __init__(self, max_waiting: int, weight_of: Callable[[str], float]) -> None:
        self._max_waiting = max_waiting
        self._weight_of = weight_of
        self._levels = [_FairQueue() for _ in range(LEVEL_COUNT)]
        self._requests: dict[PermitKey, QueuedRequest] = {}
        self._by_host: dict[str, dict[PermitKey, QueuedRequest]] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: PermitKey) -> bool:
        return key in self._requests

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._requests.values()))

    def push(self, req: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the request that is shed for it when the queue is full.

        The shed request has the lowest waiting priority and is the newest of the organisation with
        the most waiting work relative to its weight. It is `req` itself, unless `req` has a higher
        priority, or the same priority and an organisation with less work.
        """
        if req.key in self._requests:
            return None
        to_shed: QueuedRequest | None = None
        if len(self._requests) >= self._max_waiting:
            to_shed = self._choose_shed(req)
            if to_shed is req:
                return req
            self.remove(to_shed.key)
        self._requests[req.key] = req
        self._by_host.setdefault(req.host, {})[req.key] = req
        self._place(req, timely_level(priority_of(req.tier, req.rank)))
        return to_shed

    def pop(
        self,
        has_room: Callable[[str], bool],
        fits: Callable[[QueuedRequest], bool] = accept_any,
    ) -> QueuedRequest | None:
        """Remove and return the next request that fits and whose version has room, or None."""
        for level_queue in self._levels:
            if not level_queue.requests:
                continue
            req = level_queue.pop(has_room, fits)
            if req is not None:
                del self._requests[req.key]
                self._forget_host(req)
                return req
        return None

    def has_late(self) -> bool:
        """Return whether a waiting request can no longer be answered on time."""
        return any(
            level_queue.requests
            for level_queue in self._levels[late_level(0) :: LEVELS_PER_PRIORITY]
        )

    def update_levels(self, now: float) -> None:
        """Move each request to the level that it belongs to at a time."""
        for req in self._requests.values():
            level = level_at(now, req)
            if level != req.level:
                self._levels[req.level].remove(req)
                self._place(req, level)

    def _place(self, req: QueuedRequest, level: int) -> None:
        req.level = level
        self._levels[level].push(req, self._weight_of(req.organisation))

    def remove(self, key: PermitKey) -> QueuedRequest | None:
        """Remove a request by key and return it, or None if it is not waiting."""
        req = self._requests.pop(key, None)
        if req is not None:
            self._levels[req.level].remove(req)
            self._forget_host(req)
        return req

    def _forget_host(self, req: QueuedRequest) -> None:
        """Remove a request that no longer waits from those of its host."""
        of_host = self._by_host[req.host]
        del of_host[req.key]
        if not of_host:
            del self._by_host[req.host]

    def of_host(self, host: str) -> list[QueuedRequest]:
        """Return the waiting requests of a host."""
        return list(self._by_host.get(host, {}).values())

    def count_of(self, host: str) -> int:
        """Return the number of waiting requests of a host."""
        return len(self._by_host.get(host, ()))

    def counts_by_host(self) -> dict[str, int]:
        """Return the number of waiting requests of each host that has any."""
        return {host: len(requests) for host, requests in self._by_host.items()}

    def work_before(self, tier: int, rank: int, organisation: str) -> float:
        """Return the estimated work, in tokens, ahead of a new request that can be on time."""
        level = timely_level(priority_of(tier, rank))
        higher = sum(level_queue.work for level_queue in self._levels[:level])
        weight = self._weight_of(organisation)
        return higher + self._levels[level].work_before(organisation, weight)

    def work_before_late(self, tier: int, rank: int, organisation: str) -> float:
        """Return the estimated work, in tokens, ahead of a new request that is already late."""
        priority = priority_of(tier, rank)
        between = self._levels[timely_level(priority) + 1 : late_level(priority) + 1]
        return self.work_before(tier, rank, organisation) + sum(
            level_queue.work for level_queue in between
        )

    def waiting_by_tier(self) -> list[int]:
        """Return the number of waiting requests by tier."""
        counts = [0] * TIER_COUNT
        for req in self._requests.values():
            counts[req.tier] += 1
        return counts

    def work_by_level(self) -> list[int]:
        """Return the estimated waiting work by level, in tokens."""
        return [level_queue.work for level_queue in self._levels]

    def lowest_first(self) -> Iterator[QueuedRequest]:
        """Iterate over waiting requests, lowest priority and late ones first, each newest first."""
        if not self._requests:
            return
        for priority in reversed(range(PRIORITY_COUNT)):
            for level in (late_level(priority), urgent_level(priority), timely_level(priority)):
                yield from list(reversed(self._levels[level].requests.values()))

    def evict_idle(self) -> None:
        """Evict the state of organisations without waiting requests."""
        for level_queue in self._levels:
            level_queue.evict_idle()

    def _choose_shed(self, req: QueuedRequest) -> QueuedRequest:
        priority = priority_of(req.tier, req.rank)
        lowest = max(priority_of(waiting.tier, waiting.rank) for waiting in self._requests.values())
        if lowest < priority:
            return req
        late = self._levels[late_level(lowest)]
        urgent = self._levels[urgent_level(lowest)]
        timely = self._levels[timely_level(lowest)]
        if late.requests:
            return late.newest_of_most_loaded()
        if not timely.requests:
            return urgent.newest_of_most_loaded()
        candidate = timely.newest_of_most_loaded()
        if lowest > priority:
            return candidate
        own_load = timely.load_of(req.organisation) + req.cost_tokens / self._weight_of(
            req.organisation
        )
        if timely.load_of(candidate.organisation) > own_load:
            return candidate
        return req
