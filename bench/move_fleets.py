"""Simulate the move tables of a small fleet, with fake members, peers and verdict store."""

from __future__ import annotations

import heapq
import itertools
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tarragonwind.core.entries import MoveEntry
from tarragonwind.core.move_messages import MoveFacts, MoveReport, MoveShare
from tarragonwind.core.move_tables import TICK_PERIOD_S, MoveTable, Outgoing
from tarragonwind.core.move_trials import Outcome, Trial
from tarragonwind.core.moves import MoveResult
from tarragonwind.core.pool_usages import UnknownUsage
from tarragonwind.messages import pack_message
from tarragonwind.ports import Members

MESSAGE_DELAY_S = 0.005
"""Latency of a message between two hosts, in seconds."""

REQUEST_LIMIT_S = 5.0
"""Longest time of a request, in seconds."""

STORE_DELAY_S = 0.01
"""Latency of a call of the verdict store, in seconds."""


class FakeMembers(Members):
    """Membership view of one host over a list that the experiment changes."""

    def __init__(self, name: str, hosts: list[str]) -> None:
        self.name = name
        self.hosts = hosts

    def live(self) -> tuple[str, ...]:
        """Return the names of the live hosts."""
        return tuple(sorted(self.hosts))

    def owner_of(self, key: str) -> str:
        """Return the owner of a key by rendezvous hashing."""
        return max(self.live(), key=lambda host: zlib.crc32(f"{host}|{key}".encode()))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the subscription; the experiment changes the list without notification."""


@dataclass(slots=True)
class FakeVerdictStore:
    """In-memory record of verdicts that drops all calls while `available` is False.

    Attributes
    ----------
    available : bool
        Whether calls take effect.
    loses_responses : bool
        Whether the response to a write is lost after the write took effect.
    verdicts : dict
        Recorded verdict and reason by move.
    """

    available: bool = True
    loses_responses: bool = False
    verdicts: dict[str, tuple[MoveResult, str]] = field(default_factory=dict)


class FakeVerdictRecorder:
    """Read and record verdicts in the fake store on behalf of one host."""

    def __init__(self, fleet: Fleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    def read(self, move_id: str) -> None:
        """Read the verdict of a move and apply it to the table of the host."""
        self._fleet.call_later(STORE_DELAY_S, lambda: self._deliver_verdict(move_id))

    def record(self, move_id: str, result: MoveResult, why: str) -> None:
        """Record a verdict unless the move has one."""
        self._fleet.call_later(STORE_DELAY_S, lambda: self._write(move_id, result, why))

    def _write(self, move_id: str, result: MoveResult, why: str) -> None:
        if self._fleet.verdict_store.available:
            self._fleet.verdict_store.verdicts.setdefault(move_id, (result, why))
            if not self._fleet.verdict_store.loses_responses:
                self._deliver_verdict(move_id)

    def _deliver_verdict(self, move_id: str) -> None:
        table = self._fleet.tables.get(self._host)
        if not self._fleet.verdict_store.available or table is None:
            return
        result, why = self._fleet.verdict_store.verdicts.get(move_id, (None, ""))
        outgoing = table.apply_result(self._fleet.now, move_id, result, why)
        self._fleet.send(self._host, outgoing)


class ShortRequests(UnknownUsage):
    """Usage of pools whose requests end within `REQUEST_LIMIT_S`."""

    def time_limit_s(self, pool: str) -> float:
        """Return the time limit of the simulated requests."""
        return REQUEST_LIMIT_S


class Fleet:
    """Run the move tables of several hosts in simulated time.

    Attributes
    ----------
    now : float
        Current simulated time, in seconds.
    stopped : set of str
        Paused hosts: they run no ticks and lose their messages.
    delivery_count : callable
        Returns how often a message is delivered; 0 drops it.
    """

    def __init__(self, seed: int, hosts: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.verdict_store = FakeVerdictStore()
        self.live = [f"host-{number}" for number in range(hosts)]
        self.tables: dict[str, MoveTable] = {}
        self.stopped: set[str] = set()
        self.bytes_sent = 0
        self.members: dict[str, FakeMembers] = {}
        self.delivery_count: Callable[[Outgoing], int] = lambda out: 1
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for host in self.live:
            self._add_table(host)

    def _add_table(self, host: str) -> None:
        members = self.members[host] = FakeMembers(host, self.live)
        self.tables[host] = MoveTable(members, 1, FakeVerdictRecorder(self, host))
        self.tables[host].usage = ShortRequests()
        self.call_later(self.rng.random() * TICK_PERIOD_S, lambda: self._tick(host))

    def owner_of(self, pool: str) -> str:
        """Return the host that owns a pool."""
        return FakeMembers("", self.live).owner_of(pool)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_s` seconds of simulated time."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), callback))

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to and including the time `end`."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def set_catalogue(self, moves: list[MoveEntry], pools: dict[str, str]) -> None:
        """Set the moves and the current version of each pool on every host."""
        for table in self.tables.values():
            table.set_catalogue(self.now, moves, pools)

    def send(self, sender: str, outgoing: list[Outgoing]) -> None:
        """Deliver messages after `MESSAGE_DELAY_S`."""
        for out in outgoing:
            self.bytes_sent += len(pack_message(out.msg))
            for _ in range(self.delivery_count(out)):
                self.call_later(MESSAGE_DELAY_S, partial(self._deliver, sender, out))

    def _deliver(self, sender: str, out: Outgoing) -> None:
        table = self.tables.get(out.host)
        if table is None or out.host in self.stopped:
            return
        if isinstance(out.msg, MoveReport):
            self.send(out.host, table.on_report(self.now, sender, out.msg))
        elif isinstance(out.msg, MoveShare):
            table.on_share(self.now, sender, out.msg)
        elif isinstance(out.msg, MoveFacts):
            self.send(out.host, table.on_facts(self.rng, out.msg))

    def _tick(self, host: str) -> None:
        if host not in self.stopped:
            self.send(host, self.tables[host].tick(self.now, self.rng))
        self.call_later(TICK_PERIOD_S, lambda: self._tick(host))

    def finish(self, host: str, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Record the outcome of a trial in the table of its host."""
        self.tables[host].finish(self.now, trial, outcome, tokens)
