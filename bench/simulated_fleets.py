"""Simulate whole fleets: hosts, the network between them, the store and the upstreams.

The parts of a host are those of the platform's daemon; sockets, callers and processors are
simulated.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from bench.simulated_catalogues import (
    POOL,
    ROUTE,
    create_engine,
    create_entries,
    engine_names,
)
from bench.simulated_hosts import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    SimulatedHost,
    WorkCosts,
)
from bench.simulated_stores import SimulatedStore
from bench.virtual_clocks import VirtualTimers
from bench.work_meters import WorkMeter
from tarragonwind.core.configurations import Configuration
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.permit_requests import Permit
from tarragonwind.core.schedulers import DispatchReport, SchedulingRequest
from tarragonwind.errors import RequestError
from tarragonwind.ports import Address

PEER_PORT = 7_600
LARGE_HOST_SHARE = 0.08
"""Fraction of the hosts that are large, and so own pools and sum up allotments."""
LARGE_SIZE = 215
SMALL_SIZE = 52
SEED_COUNT = 3
MIN_LATENCY_S = 0.0005
MAX_LATENCY_S = 0.002


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
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualTimers()
        self.meter = WorkMeter()
        self.costs = costs or WorkCosts()
        self.share = share
        self.has_processors = has_processors
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
