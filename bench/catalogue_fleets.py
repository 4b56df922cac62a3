"""Simulate the catalogue services of a whole fleet on one virtual clock.

Membership, peer transport and store access are fakes that implement interfaces of
`tarragonwind.ports`.
"""

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
"""Minimum one-way latency of a message between daemons, in seconds."""
STORE_LATENCY_S = 0.005
"""Round-trip time of a store call and delay of a watch event, in seconds."""
FRAME_BYTES = 4
"""Length prefix of a message between daemons, in bytes."""


class FleetMembers(Members):
    """Report the daemons of a simulated fleet as live members."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self._fleet = fleet
        self._callbacks: list[Callable[[], None]] = []

    def live(self) -> tuple[str, ...]:
        """Return the sorted names of the live daemons."""
        return self._fleet.live

    def owner_of(self, key: str) -> str:
        """Return the live daemon that owns a key, by rendezvous hashing."""
        return choose_owner(key, self._fleet.live)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the membership."""
        self._callbacks.append(callback)

    def notify(self) -> None:
        """Call all subscribers."""
        for callback in self._callbacks:
            callback()


class FleetPeers(Peers):
    """Deliver messages between the simulated daemons with random delay and loss, and count them.

    Messages of one pair of daemons can overtake each other.
    """

    def __init__(self, name: str, fleet: Fleet) -> None:
        self._name = name
        self._fleet = fleet
        self._callbacks: dict[type[Message], Callable[[str, Message], None]] = {}

    def send(self, host: str, msg: Message) -> bool:
        """Schedule the delivery of a message, unless it is lost at random.

        Returns
        -------
        bool
            False if there is no such daemon or one of the two is partitioned.
        """
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
        """Call the subscriber of the message's class, unless this daemon was removed."""
        callback = self._callbacks.get(type(msg))
        if callback is not None and self._name in self._fleet.hosts:
            callback(host, msg)

    def subscribe(self, cls: type[MessageT], callback: Callable[[str, MessageT], None]) -> None:
        """Call `callback` with the sender and the message for each message of a class."""
        self._callbacks[cls] = callback  # type: ignore[assignment]


class DelayedStore(Store):
    """Delay one daemon's calls to the shared store, and inject store faults.

    Attributes
    ----------
    away : bool
        Whether calls fail with `StoreError` and watches deliver no events.
    watch_silent : bool
        Whether watches stay open but deliver no events.
    latency_s : float
        Round-trip time of a call and delay of a watch event, in seconds.
    """

    def __init__(self, store: Store, fleet: Fleet) -> None:
        self._store = store
        self._fleet = fleet
        self.away = False
        self.watch_silent = False
        self.latency_s = STORE_LATENCY_S

    def _call_delayed(self, call: Callable[[], Future[ResultT]]) -> Future[ResultT]:
        fut: Future[ResultT] = Future()
        self._fleet.timers.call_later(self.latency_s / 2, lambda: self._execute(call, fut))
        return fut

    def _execute(self, call: Callable[[], Future[ResultT]], fut: Future[ResultT]) -> None:
        call_fut: Future[ResultT] = Future()
        if self.away:
            call_fut.set_exception(StoreError("store unavailable (injected fault)"))
        else:
            call_fut = call()

        def deliver_result() -> None:
            try:
                fut.set_result(call_fut.result())
            except StoreError as exc:
                fut.set_exception(exc)

        self._fleet.timers.call_later(self.latency_s / 2, deliver_result)

    def get(self, key: str) -> Future[KeyValue | None]:
        """Read one key after the latency."""
        return self._call_delayed(lambda: self._store.get(key))

    def read_range(self, prefix: str) -> Future[RangeResult]:
        """Read all keys with a prefix after the latency."""
        return self._call_delayed(lambda: self._store.read_range(prefix))

    def commit(self, compares: list[Compare], ops: list[Put | Delete]) -> Future[TxnResult]:
        """Execute a transaction after the latency."""
        return self._call_delayed(lambda: self._store.commit(compares, ops))

    def grant_lease(self, ttl_s: int) -> Future[int]:
        """Grant a lease after the latency."""
        return self._call_delayed(lambda: self._store.grant_lease(ttl_s))

    def renew_lease(self, lease_id: int) -> Future[float]:
        """Renew a lease after the latency."""
        return self._call_delayed(lambda: self._store.renew_lease(lease_id))

    def revoke_lease(self, lease_id: int) -> Future[None]:
        """Revoke a lease after the latency."""
        return self._call_delayed(lambda: self._store.revoke_lease(lease_id))

    def subscribe_era(self, listener: Callable[[int], None]) -> None:
        """Do nothing, since this store has no eras."""

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
        era: int = 0,
    ) -> Watch:
        """Watch a prefix, with each batch of events delayed or suppressed."""

        def deliver(events: list[WatchEvent]) -> None:
            if not self.away and not self.watch_silent:
                self._fleet.timers.call_later(self.latency_s, lambda: on_events(events))

        return self._store.watch(prefix, from_revision, deliver, on_end)


class FleetHost:
    """Hold the catalogue service of one simulated daemon with its fakes."""

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
        """Return the number of the last change that the daemon has applied."""
        return self.service.state.number


class Fleet:
    """Simulate the daemons of a fleet and the network between them.

    Parameters
    ----------
    store : Store
        Store that all daemons share.
    timers : VirtualTimers
        Virtual clock of the simulation.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    hosts : dict of str to FleetHost
        Running daemons by name.
    live : tuple of str
        Their sorted names, as reported by every daemon's membership.
    partitioned_hosts : set of str
        Daemons that can neither send to nor receive from the others.
    loss : float
        Probability that a message is lost, from 0 to 1.
    peer_latency_s : float
        Minimum one-way latency of a message, in seconds.
    max_latency_factor : float
        Each message's latency is the minimum times a random factor from 1 to this one.
    sent_bytes : Counter
        Bytes sent by daemon, as packed messages with their length prefix.
    sent_messages : Counter
        Messages sent by class name.
    """

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
        """Start daemons and update the membership of all."""
        first = len(self.hosts)
        added = [FleetHost(f"host-{index:03}", self) for index in range(first, first + count)]
        self.hosts.update({host.name: host for host in added})
        self._update_live()
        for host in added:
            host.service.watcher.start()
        return added

    def remove_host(self, name: str) -> None:
        """Remove a daemon without a clean shutdown, as if its process was killed."""
        self.hosts.pop(name).service.watcher.stop()
        self._update_live()

    def _update_live(self) -> None:
        self.live = tuple(sorted(self.hosts))
        for host in self.hosts.values():
            host.members.notify()

    def numbers(self) -> set[int]:
        """Return the distinct change numbers that the daemons have applied."""
        return {host.number for host in self.hosts.values()}

    def propagation_time(self, number: int, limit_s: float) -> float:
        """Advance the clock until all daemons have applied change `number`.

        Returns
        -------
        float
            Elapsed time in seconds, infinity if `limit_s` passed before.
        """
        started = self.timers.now()

        def reached() -> bool:
            return min(self.numbers()) >= number

        if not self.timers.advance_until(reached, limit_s, 0.005):
            return float("inf")
        return self.timers.now() - started
