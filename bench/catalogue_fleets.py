"""Run the catalogue's parts of a whole fleet over fakes at the ports, on one virtual clock."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from bench.virtual_clocks import VirtualTimers
from tarragonwind.catalogue_services import CatalogueService, create_catalogue_service
from tarragonwind.core.rendezvous import choose_owner
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future
from tarragonwind.messages import Message, pack_message
from tarragonwind.ports import (
    Compare,
    Delete,
    KeyValue,
    Members,
    Peers,
    Put,
    RangeResult,
    Store,
    TxnResult,
    Watch,
    WatchEvent,
)

MessageT = TypeVar("MessageT", bound=Message)
ResultT = TypeVar("ResultT")

PEER_LATENCY_S = 0.001
STORE_LATENCY_S = 0.005
FRAME_BYTES = 4
"""Length prefix of a message between daemons, in bytes."""


class FleetMembers(Members):
    """Tell the live daemons that the fleet names."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self._fleet = fleet
        self._callbacks: list[Callable[[], None]] = []

    def live(self) -> tuple[str, ...]:
        """Return the live daemons."""
        return self._fleet.live

    def owner_of(self, key: str) -> str:
        """Return the daemon that a key belongs to."""
        return choose_owner(key, self._fleet.live)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self._callbacks.append(callback)

    def notify(self) -> None:
        """Tell subscribers of a change."""
        for callback in self._callbacks:
            callback()


class FleetPeers(Peers):
    """Carry messages with a delay, in order for each pair; lose and count them."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self._name = name
        self._fleet = fleet
        self._callbacks: dict[type[Message], Callable[[str, Message], None]] = {}

    def send(self, host: str, msg: Message) -> bool:
        """Deliver a message later, unless it is lost."""
        fleet = self._fleet
        size = len(pack_message(msg)) + FRAME_BYTES
        fleet.sent_bytes[self._name] += size
        fleet.sent_messages[type(msg).__name__] += 1
        if (
            host not in fleet.hosts
            or host in fleet.partitioned_hosts
            or self._name in fleet.partitioned_hosts
        ):
            return False
        if fleet.rng.random() < fleet.loss:
            return True
        peers = fleet.hosts[host].peers
        latency_s = fleet.peer_latency_s * fleet.rng.uniform(1.0, fleet.max_latency_factor)
        fleet.timers.call_later(latency_s, lambda: peers.receive(self._name, msg))
        return True

    def receive(self, host: str, msg: Message) -> None:
        """Hand a message to its subscriber."""
        callback = self._callbacks.get(type(msg))
        if callback is not None and self._name in self._fleet.hosts:
            callback(host, msg)

    def subscribe(self, cls: type[MessageT], callback: Callable[[str, MessageT], None]) -> None:
        """Call `callback` with each message of a class."""
        self._callbacks[cls] = callback  # type: ignore[assignment]


class DelayedStore(Store):
    """Show one daemon the shared store with a delay, or not at all."""

    def __init__(self, store: Store, fleet: Fleet) -> None:
        self._store = store
        self._fleet = fleet
        self.away = False
        self.watch_silent = False
        self.latency_s = STORE_LATENCY_S

    def _later(self, call: Callable[[], Future[ResultT]]) -> Future[ResultT]:
        fut: Future[ResultT] = Future()
        self._fleet.timers.call_later(self.latency_s / 2, lambda: self._answer(call, fut))
        return fut

    def _answer(self, call: Callable[[], Future[ResultT]], fut: Future[ResultT]) -> None:
        answer: Future[ResultT] = Future()
        if self.away:
            answer.set_exception(StoreError("the store is away"))
        else:
            answer = call()

        def pass_on() -> None:
            try:
                fut.set_result(answer.result())
            except StoreError as exc:
                fut.set_exception(exc)

        self._fleet.timers.call_later(self.latency_s / 2, pass_on)

    def get(self, key: str) -> Future[KeyValue | None]:
        """Read one key."""
        return self._later(lambda: self._store.get(key))

    def read_range(self, prefix: str) -> Future[RangeResult]:
        """Read all keys under a prefix."""
        return self._later(lambda: self._store.read_range(prefix))

    def commit(self, compares: list[Compare], ops: list[Put | Delete]) -> Future[TxnResult]:
        """Apply a transaction."""
        return self._later(lambda: self._store.commit(compares, ops))

    def grant_lease(self, ttl_s: int) -> Future[int]:
        """Create a lease."""
        return self._later(lambda: self._store.grant_lease(ttl_s))

    def keep_lease(self, lease_id: int) -> Future[float]:
        """Renew a lease."""
        return self._later(lambda: self._store.keep_lease(lease_id))

    def revoke_lease(self, lease_id: int) -> Future[None]:
        """End a lease."""
        return self._later(lambda: self._store.revoke_lease(lease_id))

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
    ) -> Watch:
        """Follow a prefix."""

        def deliver(events: list[WatchEvent]) -> None:
            if not self.away and not self.watch_silent:
                self._fleet.timers.call_later(self.latency_s, lambda: on_events(events))

        return self._store.watch(prefix, from_revision, deliver, on_end)


class FleetHost:
    """Hold one daemon's parts."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self.members = FleetMembers(name, fleet)
        self.peers = FleetPeers(name, fleet)
        self.store = DelayedStore(fleet.store, fleet)
        rng = random.Random(f"{fleet.seed}/{name}")
        self.service: CatalogueService = create_catalogue_service(
            self.store, self.members, self.peers, fleet.timers, rng
        )

    @property
    def number(self) -> int:
        """Return the number in force."""
        return self.service.state.number


class Fleet:
    """Hold the daemons of a fleet and what is between them."""

    def __init__(self, store: Store, timers: VirtualTimers, seed: int) -> None:
        self.store = store
        self.timers = timers
        self.seed = seed
        self.rng = random.Random(seed)
        self.hosts: dict[str, FleetHost] = {}
        self.live: tuple[str, ...] = ()
        self.partitioned_hosts: set[str] = set()
        self.loss = 0.0
        self.peer_latency_s = PEER_LATENCY_S
        self.max_latency_factor = 1.5
        self.sent_bytes: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()

    def add_hosts(self, count: int) -> list[FleetHost]:
        """Start daemons and tell all of them."""
        first = len(self.hosts)
        added = [FleetHost(f"host-{index:03}", self) for index in range(first, first + count)]
        self.hosts.update({host.name: host for host in added})
        self._review()
        for host in added:
            host.service.watcher.start()
        return added

    def remove_host(self, name: str) -> None:
        """End a daemon at once, as a kill would."""
        self.hosts.pop(name).service.watcher.stop()
        self._review()

    def _review(self) -> None:
        self.live = tuple(sorted(self.hosts))
        for host in self.hosts.values():
            host.members.notify()

    def numbers(self) -> set[int]:
        """Return the numbers that are in force."""
        return {host.number for host in self.hosts.values()}

    def propagation_time(self, number: int, limit_s: float) -> float:
        """Move time on until all daemons have a number; return the seconds, inf if never."""
        began = self.timers.now()

        def reached() -> bool:
            return min(self.numbers()) >= number

        if not self.timers.advance_until(reached, limit_s, 0.005):
            return float("inf")
        return self.timers.now() - began
