"""Simulate a network of membership cores with a virtual clock and injected faults."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tarragonwind.core.member_views import Member
from tarragonwind.core.membership_builders import PayloadSource
from tarragonwind.core.memberships import MembershipCore
from tarragonwind.messages import Message, pack_message
from tarragonwind.ports import Address

MIN_LATENCY_S = 0.0005
"""Minimum one-way latency of a message, in seconds."""
MAX_LATENCY_S = 0.002
"""Maximum one-way latency of a message, in seconds."""


@dataclass(slots=True)
class FakeHost:
    """Hold one daemon of the simulated network.

    Attributes
    ----------
    core : MembershipCore
        Membership protocol of the daemon.
    paused : bool
        Whether the process is stopped, as by SIGSTOP.
    dead : bool
        Whether the process was killed.
    inbox : list
        Messages received while paused, each with its sender.
    sent_messages, sent_bytes : int
        Protocol messages sent so far and their packed size in bytes.
    pauses_detected : int
        Pauses of the process that its core has detected.
    """

    core: MembershipCore
    paused: bool = False
    dead: bool = False
    inbox: list[tuple[str, Message]] = field(default_factory=list)
    sent_messages: int = 0
    sent_bytes: int = 0
    pauses_detected: int = 0


class MemberNetwork:
    """Deliver messages between membership cores on a virtual clock, and inject faults.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    loss : float
        Probability that a message is lost, from 0 to 1.
    measure : bool
        Whether to count the packed bytes of sent messages.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    hosts : dict of str to FakeHost
        All hosts by name, dead ones included.
    """

    def __init__(self, seed: int, loss: float = 0.0, measure: bool = False) -> None:
        self.now = 1000.0
        self.hosts: dict[str, FakeHost] = {}
        self.loss = loss
        self._rng = random.Random(seed)
        self._measure = measure
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_ids = itertools.count()
        self._groups: dict[str, int] = {}
        self._blocked_links: set[frozenset[str]] = set()
        self._blocked_inbound: set[str] = set()
        self._start_ids = itertools.count(1)
        self._timers: dict[str, float] = {}

    def add(
        self, name: str, contacts: Iterable[str] = (), payloads: PayloadSource | None = None
    ) -> FakeHost:
        """Start a host, or restart it after a kill.

        Parameters
        ----------
        name : str
            Name of the host.
        contacts : iterable of str
            Hosts that it tries to join.
        payloads : PayloadSource, optional
            Payloads that its messages carry.
        """
        own = Member(name, Address("127.0.0.1", 1), "etna", next(self._start_ids))
        core = MembershipCore(own, random.Random(self._rng.random()), self.now, payloads)
        host = FakeHost(core)
        core.on_resumed = lambda: self._count_pause(host)
        for contact in contacts:
            core.add_contact(contact)
        self.hosts[name] = host
        self._process_output(name, host)
        return host

    def start_fleet(self, count: int, name: str = "host") -> list[str]:
        """Start `count` hosts with the first three as contacts, and return their names."""
        names = [f"{name}-{number:03d}" for number in range(count)]
        for host_name in names:
            self.add(host_name, names[:3])
        return names

    def set_host_list(self, live: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Set the platform's host list on every running host."""
        live = list(live)
        leaving = list(leaving)
        for name, host in self.hosts.items():
            if not host.dead and not host.paused:
                host.core.set_listed(self.now, live, leaving)
                self._process_output(name, host)

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Call `callback` at a time of the virtual clock."""
        heapq.heappush(self._events, (time, next(self._event_ids), callback))

    def run_until(self, time: float) -> None:
        """Run all events up to `time` and advance the clock to it."""
        while self._events and self._events[0][0] <= time:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = time

    def run_for(self, seconds: float) -> None:
        """Run all events of the next `seconds`."""
        self.run_until(self.now + seconds)

    def wait(self, reached: Callable[[], bool], limit_s: float, step_s: float = 0.05) -> float:
        """Run in steps until `reached` returns true.

        Returns
        -------
        float
            Virtual time taken in seconds, infinity if it exceeds `limit_s`.
        """
        start = self.now
        while self.now - start <= limit_s:
            if reached():
                return self.now - start
            self.run_for(step_s)
        return float("inf")

    def kill(self, name: str) -> None:
        """Kill a process, which resets its connections."""
        host = self.hosts[name]
        host.dead = True
        host.inbox.clear()
        for other in list(self.hosts):
            if other != name and self._connected(name, other):
                self._report_unreachable(other, name)

    def pause(self, name: str) -> None:
        """Stop a process as by SIGSTOP; its connections stay open and buffer messages."""
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        """Continue a stopped process: deliver its buffered messages, then run its overdue timer."""
        host = self.hosts[name]
        host.paused = False
        inbox = host.inbox
        host.inbox = []
        for sender, msg in inbox:
            self._deliver(sender, name, msg)
        self._process_output(name, host)

    def partition(self, *groups: Iterable[str]) -> None:
        """Partition the network into the given groups and one group of all other hosts."""
        self._groups = {name: number for number, group in enumerate(groups, 1) for name in group}

    def block_link(self, one: str, other: str) -> None:
        """Block the link between two hosts in both directions."""
        self._blocked_links.add(frozenset((one, other)))

    def block_inbound(self, name: str) -> None:
        """Drop all messages to a host; those that it sends are still delivered."""
        self._blocked_inbound.add(name)

    def heal(self) -> None:
        """Remove all partitions and blocks."""
        self._blocked_inbound.clear()
        self._groups = {}
        self._blocked_links.clear()

    def running(self) -> list[str]:
        """Return the sorted names of the hosts that are neither dead nor paused."""
        return sorted(n for n, host in self.hosts.items() if not host.dead and not host.paused)

    def views_match(self, expected: Iterable[str], among: Iterable[str] | None = None) -> bool:
        """Return whether hosts see exactly the `expected` hosts as live.

        Parameters
        ----------
        expected : iterable of str
            Names that the views must contain.
        among : iterable of str, optional
            Hosts whose views are compared; all running ones by default.
        """
        view = tuple(sorted(expected))
        names = self.running() if among is None else among
        return all(self.hosts[name].core.live() == view for name in names)

    def _connected(self, one: str, other: str) -> bool:
        if frozenset((one, other)) in self._blocked_links:
            return False
        return self._groups.get(one, 0) == self._groups.get(other, 0)

    def _count_pause(self, host: FakeHost) -> None:
        host.pauses_detected += 1

    def _report_unreachable(self, name: str, lost: str) -> None:
        def report() -> None:
            host = self.hosts[name]
            if not host.dead and not host.paused:
                host.core.on_unreachable(self.now, lost)
                self._process_output(name, host)

        self.call_at(self.now + self._latency(), report)

    def _latency(self) -> float:
        return self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)

    def _send(self, sender: str, name: str, msg: Message) -> None:
        host = self.hosts.get(name)
        if not self._connected(sender, name) or name in self._blocked_inbound:
            return
        if self._rng.random() < self.loss:
            return
        if host is None or host.dead:
            self._report_unreachable(sender, name)
            return
        self.call_at(self.now + self._latency(), lambda: self._deliver(sender, name, msg))

    def _deliver(self, sender: str, name: str, msg: Message) -> None:
        host = self.hosts[name]
        if host.dead or not self._connected(sender, name):
            return
        if host.paused:
            host.inbox.append((sender, msg))
            return
        host.core.on_message(self.now, sender, msg)
        self._process_output(name, host)

    def _process_output(self, name: str, host: FakeHost) -> None:
        for outgoing in host.core.take_outbox():
            host.sent_messages += 1
            if self._measure:
                host.sent_bytes += len(pack_message(outgoing.msg))
            self._send(name, outgoing.host, outgoing.msg)
        due = host.core.due()
        if self._timers.get(name, 0.0) <= self.now or due < self._timers[name]:
            self._timers[name] = due
            self.call_at(due, lambda: self._fire_timer(name, host))

    def _fire_timer(self, name: str, host: FakeHost) -> None:
        if host.dead or host.paused or self.hosts[name] is not host:
            return
        if self.now >= host.core.due():
            host.core.tick(self.now)
            self._process_output(name, host)
        elif self._timers[name] <= self.now:
            self._process_output(name, host)
