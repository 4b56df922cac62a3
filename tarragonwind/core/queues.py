"""Keep the one queue of a pool: strict between tiers, fair between organisations within one."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tarragonwind.core.entries import TIER_COUNT

AskKey = tuple[str, int]
"""Host and ask id of a waiting ask."""


@dataclass(slots=True)
class WaitingAsk:
    """Hold one ask that waits for a permit.

    Attributes
    ----------
    host : str
        Host that asked.
    ask_id : int
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
    drawn_again : bool
        Whether its version was drawn anew because the first one could not serve.
    """

    host: str
    ask_id: int
    tier: int
    organisation: str
    route: str
    cost_tokens: int
    prompt_tokens: int
    deadline: float
    version: str = ""
    prefixes: tuple[int, ...] = ()
    avoid: frozenset[str] = frozenset()
    drawn_again: bool = False

    @property
    def key(self) -> AskKey:
        """Return what names the ask in the pool."""
        return (self.host, self.ask_id)


@dataclass(slots=True)
class _Line:
    """Hold the asks of one organisation in one tier, apart by version."""

    organisation: str
    weight: float = 1.0
    virtual_time: float = 0.0
    work: int = 0
    queued: bool = False
    by_version: dict[str, OrderedDict[AskKey, WaitingAsk]] = field(default_factory=dict)


class _TierLines:
    """Share one tier between organisations by weight and cost (start-time fair queueing)."""

    __slots__ = ("_heap", "_lines", "_sequence", "_virtual_time", "asks", "work")

    def __init__(self) -> None:
        self.asks: OrderedDict[AskKey, WaitingAsk] = OrderedDict()
        self.work = 0
        self._lines: dict[str, _Line] = {}
        self._heap: list[tuple[float, int, _Line]] = []
        self._sequence = 0
        self._virtual_time = 0.0

    def push(self, ask: WaitingAsk, weight: float) -> None:
        line = self._lines.get(ask.organisation)
        if line is None:
            line = _Line(ask.organisation)
            self._lines[ask.organisation] = line
        line.weight = weight
        line.by_version.setdefault(ask.version, OrderedDict())[ask.key] = ask
        line.work += ask.cost_tokens
        self.work += ask.cost_tokens
        self.asks[ask.key] = ask
        self._enqueue(line)

    def pop(self, has_room: Callable[[str], bool]) -> WaitingAsk | None:
        passed_over: list[_Line] = []
        found: WaitingAsk | None = None
        while self._heap and found is None:
            _, _, line = heapq.heappop(self._heap)
            line.queued = False
            found = self._take_from(line, has_room)
            if line.by_version:
                passed_over.append(line)
        for line in passed_over:
            self._enqueue(line)
        return found

    def remove(self, ask: WaitingAsk) -> None:
        line = self._lines[ask.organisation]
        del self.asks[ask.key]
        asks = line.by_version[ask.version]
        del asks[ask.key]
        line.work -= ask.cost_tokens
        self.work -= ask.cost_tokens
        if not asks:
            del line.by_version[ask.version]

    def newest_of_heaviest(self) -> WaitingAsk:
        heaviest = max(
            (line for line in self._lines.values() if line.by_version),
            key=lambda line: (line.work / line.weight, line.organisation),
        )
        for ask in reversed(self.asks.values()):
            if ask.organisation == heaviest.organisation:
                return ask
        raise AssertionError("an organisation with work has a waiting ask")

    def work_before(self, organisation: str, weight: float) -> float:
        """Return the work served before a new ask of an organisation, fair shares given."""
        line = self._lines.get(organisation)
        own = line.work if line is not None else 0
        weights = weight + sum(
            other.weight
            for other in self._lines.values()
            if other.by_version and other.organisation != organisation
        )
        return min(float(self.work), own * weights / weight)

    def load_of(self, organisation: str) -> float:
        line = self._lines.get(organisation)
        return line.work / line.weight if line is not None else 0.0

    def _take_from(self, line: _Line, has_room: Callable[[str], bool]) -> WaitingAsk | None:
        for version, asks in line.by_version.items():
            if has_room(version):
                ask = next(iter(asks.values()))
                self.remove(ask)
                self._virtual_time = max(self._virtual_time, line.virtual_time)
                line.virtual_time += max(1, ask.cost_tokens) / line.weight
                return ask
        return None

    def _enqueue(self, line: _Line) -> None:
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
            if not line.by_version and line.virtual_time <= self._virtual_time
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

    __slots__ = ("_asks", "_max_waiting", "_tiers", "_weight_of")

    def __init__(self, max_waiting: int, weight_of: Callable[[str], float]) -> None:
        self._max_waiting = max_waiting
        self._weight_of = weight_of
        self._tiers = [_TierLines() for _ in range(TIER_COUNT)]
        self._asks: dict[AskKey, WaitingAsk] = {}

    def __len__(self) -> int:
        return len(self._asks)

    def __contains__(self, key: AskKey) -> bool:
        return key in self._asks

    def __iter__(self) -> Iterator[WaitingAsk]:
        return iter(list(self._asks.values()))

    def push(self, ask: WaitingAsk) -> WaitingAsk | None:
        """Add an ask and return the one that is shed for it, if the queue is full.

        The shed ask is the newest of the lowest waiting tier, of the organisation with the most
        waiting work for its weight. It is `ask` itself unless it is of a higher tier than that, or
        of the same tier and an organisation with less work.
        """
        if ask.key in self._asks:
            return None
        shed: WaitingAsk | None = None
        if len(self._asks) >= self._max_waiting:
            shed = self._choose_shed(ask)
            if shed is ask:
                return ask
            self.remove(shed.key)
        self._asks[ask.key] = ask
        self._tiers[ask.tier].push(ask, self._weight_of(ask.organisation))
        return shed

    def pop(self, has_room: Callable[[str], bool]) -> WaitingAsk | None:
        """Remove and return the next ask whose version has room, or None."""
        for tier in self._tiers:
            if not tier.asks:
                continue
            ask = tier.pop(has_room)
            if ask is not None:
                del self._asks[ask.key]
                return ask
        return None

    def remove(self, key: AskKey) -> WaitingAsk | None:
        """Remove an ask by key and return it, or None when it isn't waiting."""
        ask = self._asks.pop(key, None)
        if ask is not None:
            self._tiers[ask.tier].remove(ask)
        return ask

    def work_before(self, tier: int, organisation: str) -> float:
        """Return the estimated work in tokens served before a new ask."""
        higher = sum(lines.work for lines in self._tiers[:tier])
        weight = self._weight_of(organisation)
        return higher + self._tiers[tier].work_before(organisation, weight)

    def waiting_by_tier(self) -> list[int]:
        """Return the number of waiting asks of each tier."""
        return [len(lines.asks) for lines in self._tiers]

    def work_by_tier(self) -> list[int]:
        """Return the estimated work in tokens that waits in each tier."""
        return [lines.work for lines in self._tiers]

    def lowest_first(self) -> Iterator[WaitingAsk]:
        """Iterate over waiting asks, the lowest tier first and the newest first within it."""
        for lines in reversed(self._tiers):
            yield from list(reversed(lines.asks.values()))

    def forget_idle(self) -> None:
        """Drop state of organisations that have nothing waiting."""
        for lines in self._tiers:
            lines.forget_idle()

    def _choose_shed(self, ask: WaitingAsk) -> WaitingAsk:
        lowest = max(tier for tier, lines in enumerate(self._tiers) if lines.asks)
        if lowest < ask.tier:
            return ask
        lines = self._tiers[lowest]
        candidate = lines.newest_of_heaviest()
        if lowest > ask.tier:
            return candidate
        own_load = lines.load_of(ask.organisation) + ask.cost_tokens / self._weight_of(
            ask.organisation
        )
        if lines.load_of(candidate.organisation) > own_load:
            return candidate
        return ask
