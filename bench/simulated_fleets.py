"""Simulate whole fleets: the control parts of each host, the network, the store and upstreams.

The parts are those of the platform's daemon. Sockets, callers and processors are simulated: a host
handles what has arrived in rounds, as its event loop does, and a round takes the longer the more
there is and the smaller the host's share of a core.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bench.simulated_stores import HostStore, SimulatedStore
from bench.virtual_clocks import VirtualTimer, VirtualTimers
from bench.work_meters import WorkMeter
from tarragonwind.adapters.loops import PAUSE_S
from tarragonwind.adapters.memberships import Membership, MembershipSettings
from tarragonwind.adapters.peer_handshakes import PeerIdentity
from tarragonwind.adapters.peer_levels import PeerLevels
from tarragonwind.allotments import AllotmentRunner
from tarragonwind.combination_replicators import CombinationReplicator
from tarragonwind.configuration_watchers import ConfigurationWatcher
from tarragonwind.core.allotments import AllotmentSettings
from tarragonwind.core.configurations import Configuration
from tarragonwind.core.entries import (
    BackEndKind,
    Entry,
    OrganisationEntry,
    PoolEntry,
    RouteEntry,
    UpstreamEntry,
)
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.permit_requests import Permit
from tarragonwind.core.schedulers import DispatchReport, SchedulingRequest
from tarragonwind.core.upstream_loads import LoadSettings
from tarragonwind.errors import RequestError
from tarragonwind.fleet_levels import FleetLevels
from tarragonwind.host_leases import FleetMonitor, HostLease, pack_address
from tarragonwind.messages import (
    OWN_LEVEL,
    Message,
    build_message,
    new_unpacker,
    pack_message,
)
from tarragonwind.mirror_replicators import MirrorReplicator
from tarragonwind.pause_guards import PauseGuard
from tarragonwind.platform_daemons import (
    ALL_KEYS_PREFIX,
    COMBINATION_PREFIX,
    ENGINE_LOAD_SETTINGS,
    HOST_PREFIX,
    QUARANTINE_PREFIX,
    ROLLOUT_CODEC,
)
from tarragonwind.ports import Address, Peers
from tarragonwind.quarantine_replicators import QuarantineReplicator
from tarragonwind.rollouts import RolloutRunner
from tarragonwind.schedulers import PermitScheduler
from tarragonwind.store_mirrors import StoreMirror

POOL = "drafting"
ROUTE = "question"
VERSION = "v1"
CONFIGURATION_KEY = "configuration"
UPSTREAM_PREFIX = "upstreams/"
EVACUATION_PREFIX = "evacuations/"
PEER_PORT = 7_600
LARGE_HOST_SHARE = 0.08
"""Fraction of the hosts that are large, and so own pools and sum up allotments."""
LARGE_SIZE = 215
SMALL_SIZE = 52
SEED_COUNT = 3
CONNECT_TIMEOUT_S = 2.0
"""Time after which a connection to a machine without power fails, in seconds."""
MIN_LATENCY_S = 0.0005
MAX_LATENCY_S = 0.002


@dataclass(frozen=True, slots=True)
class WorkCosts:
    """Set the processor time of a host's work, in seconds on a whole core.

    Attributes
    ----------
    start_s : float
        Imports and construction of the parts.
    message_s, timer_s, answer_s : float
        One message of another host, call of a timer, or answer of the store.
    record_s : float
        One record in a message or an answer.
    request_s : float
        One request, from the connection of its caller to the permit request.
    finish_s : float
        Relay of the answer to a request.
    """

    start_s: float = 0.35
    message_s: float = 150e-6
    timer_s: float = 40e-6
    answer_s: float = 400e-6
    record_s: float = 15e-6
    request_s: float = 1.2e-3
    finish_s: float = 1.6e-3


class HostTimers:
    """Run the timers of one host in the rounds of its loop, until its process ends.

    Parameters
    ----------
    host : SimulatedHost
        The host.
    """

    def __init__(self, host: SimulatedHost) -> None:
        self._host = host
        self._fleet = host.fleet
        self._started_at = host.fleet.clock.now()

    def now(self) -> float:
        """Return the time on the host, which passes while it works, in seconds."""
        return self._fleet.clock.now() + self._host.worked_s

    def wall(self) -> float:
        """Return the wall-clock time in seconds."""
        return self._fleet.clock.wall()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> VirtualTimer:
        """Call `callback` once."""
        timer = VirtualTimer(callback, 0.0)
        self._schedule(self.now() + max(0.0, delay_s), timer)
        return timer

    def call_every(self, period_s: float, callback: Callable[[], None]) -> VirtualTimer:
        """Call `callback` at multiples of a period since the start of the process."""
        timer = VirtualTimer(callback, period_s)
        self._schedule(self._next_due(period_s), timer)
        return timer

    def _next_due(self, period_s: float) -> float:
        passed = math.floor((self.now() - self._started_at) / period_s + 1e-6)
        return self._started_at + (passed + 1) * period_s

    def _schedule(self, due: float, timer: VirtualTimer) -> None:
        delay_s = max(0.0, due - self._fleet.clock.now())
        self._fleet.clock.call_later(delay_s, lambda: self._arrive(timer))

    def _arrive(self, timer: VirtualTimer) -> None:
        if timer.cancelled or not self._host.alive:
            return
        name = getattr(timer.callback, "__qualname__", "timer")
        self._host.work(f"timer {name}", self._host.costs.timer_s, lambda: self._run(timer))

    def _run(self, timer: VirtualTimer) -> None:
        if timer.cancelled:
            return
        if timer.period_s:
            self._schedule(self._next_due(timer.period_s), timer)
        timer.callback()


class SimulatedPeers(Peers):
    """Carry the messages of one host; each is packed and unpacked as on a connection.

    Parameters
    ----------
    host : SimulatedHost
        The host.
    """

    def __init__(self, host: SimulatedHost) -> None:
        self._host = host
        self._fleet = host.fleet
        address = self._fleet.addresses[host.name]
        self.identity = PeerIdentity(host.name, "etna", host.start_id, address, OWN_LEVEL)
        self.address = address
        self.levels = PeerLevels(host.name, OWN_LEVEL)
        self._known: dict[str, Address] = {}
        self._connected: dict[str, int] = {}
        self._subscribers: dict[type[Any], list[Callable[[str, Any], None]]] = {}
        self._on_connected: list[Callable[[PeerIdentity], None]] = []
        self._on_lost: list[Callable[[str], None]] = []

    def set_address(self, name: str, address: Address) -> None:
        """Set the address of a host."""
        self._known[name] = address

    def subscribe(self, cls: type[Any], callback: Callable[[str, Any], None]) -> None:
        """Register a callback for the messages of a class."""
        self._subscribers.setdefault(cls, []).append(callback)

    def subscribe_connected(self, callback: Callable[[PeerIdentity], None]) -> None:
        """Register a callback for each peer whose handshake has completed."""
        self._on_connected.append(callback)

    def subscribe_lost(self, callback: Callable[[str], None]) -> None:
        """Register a callback for each host whose connection failed or broke."""
        self._on_lost.append(callback)

    def supports(self, host: str, level: int) -> bool:
        """Return whether a host has shown a protocol level."""
        return self.levels.supports(host, level)

    def drop(self, host: str) -> None:
        """Close the connections to a host."""
        self.levels.forget(host)
        self._connected.pop(host, None)

    def open(self, host: str) -> None:
        """Connect to a host."""
        self._connect(host)

    def connect_to(self, address: Address) -> None:
        """Connect to an address."""
        name = self._fleet.names_by_address.get(address)
        if name is not None and name != self._host.name:
            self._connect(name)

    def _connect(self, name: str) -> None:
        """Complete a handshake with a host after some latency, or report that it failed."""
        if self._connected.get(name) is not None:
            return
        self._connected[name] = 0
        self._fleet.later(lambda: self._greet(name))

    def _greet(self, name: str) -> None:
        peer = self._fleet.hosts.get(name)
        if not self._host.alive:
            return
        if peer is None or not peer.listens:
            dark = self._fleet.is_dark(name)
            delay_s = CONNECT_TIMEOUT_S if dark else 0.0
            self._fleet.clock.call_later(delay_s, lambda: self._fail(name))
            return
        self._connected[name] = peer.start_id
        peer.work("message Hello", peer.costs.message_s, lambda: peer.peers.accept(self._host))
        self._fleet.later(lambda: self._complete(peer))

    def _fail(self, name: str) -> None:
        self._connected.pop(name, None)
        if self._host.alive:
            self._host.work("lost", self._host.costs.message_s, lambda: self._notify_lost(name))

    def _complete(self, peer: SimulatedHost) -> None:
        if self._host.alive and peer.alive:
            identity = peer.peers.identity
            cost_s = self._host.costs.message_s
            self._host.work("message Hello", cost_s, lambda: self._on_hello(identity))

    def accept(self, caller: SimulatedHost) -> None:
        """Complete the handshake that another host has begun."""
        self._connected[caller.name] = caller.start_id
        self._on_hello(caller.peers.identity)

    def _on_hello(self, identity: PeerIdentity) -> None:
        self._known[identity.name] = identity.address
        self.levels.set(identity)
        for callback in self._on_connected:
            callback(identity)

    def _notify_lost(self, name: str) -> None:
        self.levels.forget(name)
        for callback in self._on_lost:
            callback(name)

    def send(self, host: str, msg: Message) -> bool:
        """Queue a message to a host."""
        if host == self._host.name:
            self._host.timers.call_later(0.0, lambda: self.deliver(host, msg))
            return True
        if host not in self._known:
            return False
        self._connect(host)
        data = pack_message(msg, OWN_LEVEL)
        self._fleet.post(self._host, host, type(msg).__name__, data)
        return True

    def receive(self, sender: str, data: bytes) -> None:
        """Read a message and pass it on."""
        unpacker = new_unpacker()
        unpacker.feed(data)
        for values in unpacker:
            self.deliver(sender, build_message(values))

    def deliver(self, sender: str, msg: Message) -> None:
        """Pass a message to its subscribers."""
        for callback in self._subscribers.get(type(msg), ()):
            callback(sender, msg)

    def on_reset(self, name: str, start_id: int) -> None:
        """Report that a connection broke, if it was to that run of the host."""
        if self._connected.get(name) == start_id:
            self._fail(name)


class SimulatedHost:
    """Run the control parts of one host.

    Parameters
    ----------
    fleet : SimulatedFleet
        The fleet.
    name : str
        Name of the host.
    size : int
        Size of the host in hundredths of a core.

    Attributes
    ----------
    worked_s : float
        Time that has passed on the host in the round in progress, in seconds.
    alive, listens : bool
        Whether its process runs, and whether it has been built.
    pauses : int
        Rounds that counted as pauses.
    """

    def __init__(self, fleet: SimulatedFleet, name: str, size: int) -> None:
        self.fleet = fleet
        self.name = name
        self.size = size
        self.costs = fleet.costs
        self.share = size / 100.0 if fleet.share is None else fleet.share
        self.start_id = fleet.rng.getrandbits(40) + 1
        self.alive = True
        self.listens = False
        self.worked_s = 0.0
        self.pauses = 0
        self.held: list[Callable[[], None]] = []
        self._waiting: list[tuple[str, float, Callable[[], object]]] = []
        self._round_is_due = False
        self._free_at = 0.0
        self._last_round_s = 0.0
        start_s = self.costs.start_s / self.share if fleet.has_processors else 0.0
        fleet.clock.call_later(start_s, self._build)

    # The loop

    def work(self, label: str, cost_s: float, function: Callable[[], object]) -> None:
        """Do something in the next round of the loop, at a cost of processor time."""
        if not self.fleet.has_processors:
            if self.alive:
                self.fleet.meter.run(label, function)
            return
        self._waiting.append((label, cost_s, function))
        self._begin_round_soon()

    def _begin_round_soon(self) -> None:
        if not self._round_is_due:
            self._round_is_due = True
            wait_s = max(0.0, self._free_at - self.fleet.clock.now())
            self.fleet.clock.call_later(wait_s, self._play_round)

    def _play_round(self) -> None:
        self._round_is_due = False
        if not self.alive:
            return
        if self._last_round_s >= PAUSE_S:
            self.pauses += 1
            self.pause_guard.on_resumed(self._last_round_s)
        batch, self._waiting = self._waiting, []
        for label, cost_s, function in batch:
            self.worked_s += cost_s / self.share
            self.fleet.meter.run(label, function)
        self._last_round_s = self.worked_s
        self._free_at = self.fleet.clock.now() + self.worked_s
        self.worked_s = 0.0
        if self._waiting:
            self._begin_round_soon()

    # The parts

    def _build(self) -> None:
        if not self.alive:
            return
        fleet = self.fleet
        rng = random.Random(fleet.rng.getrandbits(64))
        self.timers = timers = HostTimers(self)
        self.peers = SimulatedPeers(self)
        self.store = HostStore(fleet.store, timers)
        seeds = [fleet.addresses[name] for name in fleet.seeds if name != self.name]
        self.members = Membership(
            self.peers, timers, MembershipSettings(seeds, self.size), rng  # type: ignore[arg-type]
        )
        self.levels = FleetLevels(self.members, self.peers, timers)  # type: ignore[arg-type]
        self.mirror = StoreMirror(ALL_KEYS_PREFIX, self.store, timers, rng)
        self.replicator = MirrorReplicator(
            self.mirror, self.members, self.members, self.peers, timers
        )
        key = HOST_PREFIX + self.name
        value = pack_address(self.peers.address)
        self.lease = HostLease(key, value, self.store, timers, rng, self.mirror.on_store_failed)
        self.monitor = FleetMonitor(
            HOST_PREFIX,
            self.mirror,
            self.members,
            timers,
            self._on_fleet_changed,
            self.members.add_discovered_host,
            rng,
        )
        self.rollouts = RolloutRunner(
            self.mirror,
            ROLLOUT_CODEC,
            self.store,
            self.members,
            self.peers,
            timers,
            rng,
            self._upstreams_of,
        )
        self.scheduler = PermitScheduler(
            self.members,
            self.peers,
            timers,
            rng,
            self.rollouts,
            ENGINE_LOAD_SETTINGS if fleet.load_settings is None else fleet.load_settings,
            self.monitor.shares,
        )
        self.quarantines = QuarantineReplicator(
            QUARANTINE_PREFIX,
            self.scheduler.quarantines,
            self.mirror,
            self.store,
            self.members,
            self.members,
            self.peers,
            timers,
            rng,
        )
        self.combinations = CombinationReplicator(
            COMBINATION_PREFIX,
            self.scheduler.quarantines,
            self.mirror,
            self.store,
            self.members,
            self.peers,
            timers,
        )
        self.allotments = AllotmentRunner(
            self.members,
            self.peers,
            timers,
            AllotmentSettings(8.0, 0.1, 190_000.0),
            self.monitor.shares.retained_fraction,
        )
        self.configuration = ConfigurationWatcher(
            self.mirror,
            CONFIGURATION_KEY,
            UPSTREAM_PREFIX,
            EVACUATION_PREFIX,
            lambda value: fleet.configuration,
            lambda key, value: fleet.upstreams[key.removeprefix(UPSTREAM_PREFIX)],
            timers,
        )
        self.configuration.subscribe(self.scheduler.set_catalogue)
        self.pause_guard = PauseGuard(lambda: self.mirror.catch_up(key), timers)
        self.members.subscribe_resumed(self.scheduler.resume)
        self.listens = True
        self.work("start", 0.0, self._start)

    def _start(self) -> None:
        self.members.start()
        self.mirror.start()
        self.lease.start()

    def _upstreams_of(self, pool: str) -> tuple[UpstreamEntry, ...]:
        catalogue = self.configuration.catalogue
        return () if catalogue is None else catalogue.upstreams_of(pool)

    def _on_fleet_changed(self) -> None:
        self.mirror.set_fleet_size(self.monitor.shares.size(self.timers.now()))
        self.mirror.set_live_hosts(len(self.members.live()))

    @property
    def ready(self) -> bool:
        """Return whether the host can serve requests."""
        return self.listens and self.alive and self.configuration.ready

    def backlog(self) -> int:
        """Return the number of pieces of work that wait for the next round."""
        return len(self._waiting)


class SimulatedFleet:
    """Simulate a fleet with one pool of engines.

    Parameters
    ----------
    size : int
        Number of hosts.
    seed : int
        Seed of all random choices.
    engine_count, slots : int
        Engines, and requests that one runs at a time.
    organisation_count : int
        Organisations, each with an allotment.
    share : float, optional
        Share of a core of each host; by default according to its size.
    has_processors : bool
        Whether work takes time.
    costs : WorkCosts
        Processor time of work.
    load_settings : LoadSettings, optional
        Model of the engines.
    """

    def __init__(
        self,
        size: int,
        seed: int = 1,
        engine_count: int = 16,
        slots: int = 4,
        organisation_count: int = 19,
        share: float | None = None,
        has_processors: bool = False,
        costs: WorkCosts | None = None,
        load_settings: LoadSettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualTimers()
        self.meter = WorkMeter()
        self.costs = costs or WorkCosts()
        self.share = share
        self.has_processors = has_processors
        self.load_settings = load_settings
        self.store = SimulatedStore(self.clock, self.rng)
        self.names = [f"host-{number:03}" for number in range(size)]
        self.addresses = {
            name: Address(f"10.0.{number // 250}.{number % 250 + 1}", PEER_PORT)
            for number, name in enumerate(self.names)
        }
        self.names_by_address = {address: name for name, address in self.addresses.items()}
        self.seeds = self.names[:SEED_COUNT]
        self.large = max(1, round(LARGE_HOST_SHARE * size))
        self.organisations = [f"organisation-{one}" for one in range(organisation_count)]
        self.upstreams = {name: create_engine(name, slots) for name in engine_names(engine_count)}
        self.configuration = Configuration(1, create_entries(self.organisations))
        self.hosts: dict[str, SimulatedHost] = {}
        self._dark: set[str] = set()
        self.sent: dict[str, int] = {}
        self.store.put(CONFIGURATION_KEY, b"1")
        for name in self.upstreams:
            self.store.put(UPSTREAM_PREFIX + name, b"1")

    # Hosts

    def start(self, name: str) -> SimulatedHost:
        """Start the process of a host."""
        self._dark.discard(name)
        size = LARGE_SIZE if self.names.index(name) < self.large else SMALL_SIZE
        host = SimulatedHost(self, name, size)
        self.hosts[name] = host
        return host

    def start_all(self, spread_s: float = 0.3) -> None:
        """Start all hosts within some time, in random order."""
        for name in self.rng.sample(self.names, len(self.names)):
            self.clock.call_later(self.rng.uniform(0.0, spread_s), self._starter(name))

    def _starter(self, name: str) -> Callable[[], None]:
        def start() -> None:
            self.start(name)

        return start

    def kill(self, name: str, dark: bool = False) -> None:
        """End a process without notice; `dark` takes the machine's power as well."""
        host = self.hosts.get(name)
        if dark:
            self._dark.add(name)
        if host is None or not host.alive:
            return
        host.alive = False
        for other in self.hosts.values():
            if other.alive and other.listens and not dark:
                self.later(self._resetter(other, host))

    def _resetter(self, other: SimulatedHost, host: SimulatedHost) -> Callable[[], None]:
        return lambda: other.peers.on_reset(host.name, host.start_id)

    def is_dark(self, name: str) -> bool:
        """Return whether a machine has no power."""
        return name in self._dark

    def alive(self) -> list[SimulatedHost]:
        """Return the hosts whose process runs."""
        return [host for host in self.hosts.values() if host.alive]

    # Network

    def later(self, callback: Callable[[], None]) -> None:
        """Call a function after the latency of the network."""
        self.clock.call_later(self.rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S), callback)

    def post(self, sender: SimulatedHost, name: str, label: str, data: bytes) -> None:
        """Send packed bytes to a host."""
        self.sent[label] = self.sent.get(label, 0) + 1
        latency_s = sender.worked_s + self.rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)

        def arrive() -> None:
            host = self.hosts.get(name)
            if host is None or not host.listens or not host.alive:
                return
            records = len(data) // 64
            cost_s = host.costs.message_s + records * host.costs.record_s
            host.work(f"message {label}", cost_s, lambda: host.peers.receive(sender.name, data))

        self.clock.call_later(latency_s, arrive)

    # Requests

    def request(
        self,
        host: SimulatedHost,
        on_granted: Callable[[Permit], object],
        on_refused: Callable[[RequestError], object],
        deadline_s: float = 8.0,
        tokens: int = 2_000,
    ) -> int:
        """Charge a request to its organisation and ask for a permit."""
        now = host.timers.now()
        organisation = self.rng.choice(self.organisations)
        catalogue = host.configuration.catalogue
        assert catalogue is not None
        entry = catalogue.entry(f"organisation/{organisation}")
        assert isinstance(entry, OrganisationEntry)
        try:
            host.allotments.take(now, entry, tokens)
        except RequestError as exc:
            on_refused(exc)
            return 0
        request = SchedulingRequest(
            pool=POOL,
            route=ROUTE,
            organisation=organisation,
            tier=1,
            deadline=now + deadline_s,
            max_tokens=100,
            prompt_tokens=tokens - 100,
            expected_tokens=100,
            target=now + 0.6,
            deadline_is_total=True,
        )
        return host.scheduler.request_permit(request, on_granted, on_refused)

    def finish(self, host: SimulatedHost, permit: Permit, duration_s: float) -> None:
        """Release a permit after a whole answer."""
        host.scheduler.on_finished(
            permit, DispatchReport(Outcome.OK, 0.05, duration_s, event_count=100)
        )

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.advance(seconds)


def engine_names(count: int) -> list[str]:
    """Return the names of engines."""
    return [f"engine-{number:03}" for number in range(count)]


def create_engine(name: str, slots: int) -> UpstreamEntry:
    """Return the entry of an engine."""
    return UpstreamEntry(
        name=name,
        owner="ops",
        pool=POOL,
        version=VERSION,
        host="10.9.0.1",
        port=9_000,
        data_centre="etna",
        slots=slots,
        tokens_per_s=1_200.0,
    )


def create_entries(organisations: list[str]) -> list[Entry]:
    """Return the entries of a configuration."""
    entries: list[Entry] = [
        PoolEntry(name=POOL, owner="ops", back_end=BackEndKind.ENGINE, version=VERSION),
        RouteEntry(name=ROUTE, owner="ops", pool=POOL, tier=1, model="m"),
    ]
    for name in organisations:
        entries.append(
            OrganisationEntry(
                name=name,
                owner="ops",
                token_sha256=[],
                tokens_per_s=400_000,
                token_burst=400_000,
            )
        )
    return entries
