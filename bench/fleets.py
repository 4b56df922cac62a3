"""Simulate entry hosts with the permit code of the core, over fake engines and network."""

from __future__ import annotations

import bisect
import dataclasses
import functools
import random
from collections import deque
from collections.abc import Callable

from bench.fake_engines import FakeEngine, Job
from bench.simulators import Simulator
from bench.traces import Arrival
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.estimates import CostEstimator
from tarragonwind.core.permit_clients import PermitClient
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.permit_requests import Permit, PermitRequest
from tarragonwind.core.permits import PoolOwner
from tarragonwind.core.pool_owners import OWNER_MESSAGES, OwnerDependencies, PoolOwners
from tarragonwind.errors import ErrorKind
from tarragonwind.messages import Message, pack_message

POOL = "drafting"
VERSION = "v1"
HEDGE_DELAY_S = 0.1
"""Wait after which a permit is requested from a second cell too, in seconds."""

LATENCY_S = 0.001
"""Latency of a message between two hosts, in seconds."""

TICK_S = 0.1
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Progress and result of one request.

    Attributes
    ----------
    arrival : Arrival
        The request.
    dispatches : int
        Number of times that it was dispatched to an engine.
    permit_id, hedge_permit_id : int
        Identifiers of its permit requests on the entry host; 0 if there is none.
    permits_requested, refusals : int
        Number of permit requests sent and of those refused.
    pools : list of str
        Pools (cells) that a permit was requested from.
    job : Job or None
        Its job in an engine.
    started_at, first_at, ended_at : float or None
        Times of the start in an engine, the first token and the last one, in seconds.
    refused_at : float or None
        Time of the refusal, in seconds.
    retry_after_s : float
        Delay before a retry that the refusal gave, in seconds.
    """

    arrival: Arrival
    dispatches: int = 0
    started_at: float | None = None
    first_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None
    retry_after_s: float = 0.0
    permit_id: int = 0
    hedge_permit_id: int = 0
    permits_requested: int = 0
    refusals: int = 0
    pools: list[str] = dataclasses.field(default_factory=list)
    job: Job | None = None

    def other_pool(self, pool: str) -> str:
        """Return the other of the two pools that a permit was requested from."""
        return next(other for other in self.pools if other != pool)

    @property
    def is_good(self) -> bool:
        """Return whether the first token and the whole answer were in time."""
        if self.first_at is None or self.ended_at is None:
            return False
        arrival = self.arrival
        if self.ended_at > arrival.disconnects_at:
            return False
        return (
            self.first_at <= arrival.first_byte_deadline and self.ended_at <= arrival.total_deadline
        )


@dataclasses.dataclass(slots=True)
class EngineSpec:
    """Capacity of one engine."""

    name: str
    slots: int
    tokens_per_s: float

    def entry(self, pool: str) -> UpstreamEntry:
        """Return the catalogue entry of the engine."""
        return UpstreamEntry(
            name=self.name,
            owner="ops",
            pool=pool,
            version=VERSION,
            host="127.0.0.1",
            port=9000,
            data_centre="etna",
            slots=self.slots,
            tokens_per_s=self.tokens_per_s,
        )


ENGINES = (
    EngineSpec("e1", 16, 800.0),
    EngineSpec("e2", 16, 800.0),
    EngineSpec("e3", 16, 1_200.0),
    EngineSpec("e4", 16, 400.0),
)


class BenchHost:
    """One simulated entry host: permit client, pool owners and running jobs."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.owner_name = fleet.names[0]
        self.live: tuple[str, ...] = tuple(fleet.names)
        self.paused = False
        self.dead = False
        self.deferred: deque[Callable[[], None]] = deque()
        self.control_bytes = 0
        self.estimator = CostEstimator()
        self.jobs: dict[int, tuple[FakeEngine, Job]] = {}
        self.requests_by_pool: dict[str, int] = {}
        rng = random.Random(f"{fleet.seed} {name}")
        deps = OwnerDependencies(self.send, rng, lambda *_: VERSION, lambda _: 1.0)
        self.owners = PoolOwners(name, deps, self.owner_of, lambda: self.live)
        self.client = PermitClient(
            name,
            self.send,
            rng,
            self.owner_of,
            self.owners.create_local_owner,
        )
        self.owners.configure(0.0, fleet.pools, fleet.entries())
        self._choice_rng = random.Random(f"choice {fleet.seed} {name}")

    @property
    def owner(self) -> PoolOwner:
        """Return this host's owner of the first pool, active or not."""
        owner = self.owners.owner(self.fleet.pools[0])
        assert owner is not None
        return owner

    def owner_of(self, pool: str) -> str:
        """Return the owner of a pool; later cells are owned by the next hosts in order."""
        names = self.fleet.names
        position = names.index(self.owner_name) + self.fleet.pools.index(pool)
        return names[position % len(names)]

    def choose_pool(self) -> str:
        """Return the cell with the fewest requests of this host relative to its capacity."""
        pools = self.fleet.pools
        if len(pools) == 1:
            return pools[0]
        return min(pools, key=lambda pool: (self._relative_load(pool), self._choice_rng.random()))

    def _relative_load(self, pool: str) -> float:
        return self.requests_by_pool.get(pool, 0) / self.fleet.capacity_of(pool)

    def send(self, host: str, msg: Message) -> bool:
        """Send a message to another host."""
        return self.fleet.send(self, host, msg)

    def call(self, callback: Callable[[], None]) -> None:
        """Run a callback on this host: after its pause if paused, never if dead."""
        if self.dead:
            return
        if self.paused:
            self.deferred.append(callback)
            return
        callback()

    def resume(self) -> None:
        """Resume and run the callbacks deferred during the pause."""
        self.paused = False
        while self.deferred:
            self.deferred.popleft()()

    def receive(self, sender: str, msg: Message) -> None:
        """Pass a message to the owners or to the client."""
        if isinstance(msg, OWNER_MESSAGES):
            self.owners.on_message(self.fleet.simulator.now, sender, msg)
        else:
            self.client.on_message(self.fleet.simulator.now, sender, msg)

    def set_view(self, owner_name: str, live: list[str]) -> None:
        """Change the membership view of this host: the owner and the live hosts."""
        self.owner_name = owner_name
        self.live = tuple(live)
        self.owners.on_members_changed(self.fleet.simulator.now)
        self.client.on_members_changed(self.fleet.simulator.now)

    def tick(self) -> None:
        """Run the periodic work of owners and client."""
        if not self.paused and not self.dead:
            self.owners.tick(self.fleet.simulator.now)
            self.client.tick(self.fleet.simulator.now)

    def handle(self, record: RequestRecord) -> None:
        """Request a permit for an arrived request, with a hedge if enabled."""
        arrival = record.arrival
        now = self.fleet.simulator.now
        prompt_bytes = arrival.prompt_tokens * BYTES_PER_TOKEN
        estimate = self.estimator.estimate("chat", arrival.organisation, prompt_bytes, None)
        request = PermitRequest(
            pool=self.choose_pool(),
            route="chat",
            organisation=arrival.organisation,
            tier=arrival.tier,
            cost_tokens=estimate.cost_tokens,
            prompt_tokens=estimate.prompt_tokens,
            deadline=arrival.first_byte_deadline,
            prefixes=list(arrival.prefixes),
        )
        record.permit_id = self._request_permit(record, request)
        if self.fleet.hedges_requests and arrival.tier < 3:
            hedge = functools.partial(self._hedge, record, request)
            self.fleet.simulator.call_at(now + HEDGE_DELAY_S, hedge)

    def _request_permit(self, record: RequestRecord, request: PermitRequest) -> int:
        pool = request.pool
        self.requests_by_pool[pool] = self.requests_by_pool.get(pool, 0) + 1

        def on_granted(permit: Permit) -> None:
            if record.dispatches or record.refused_at is not None:
                self.requests_by_pool[pool] -= 1
                self.client.release(self.fleet.simulator.now, permit.permit_id, Outcome.UNUSED)
                return
            self._dispatch(record, permit)
            for permit_id in (record.permit_id, record.hedge_permit_id):
                if permit_id != permit.permit_id and self.client.cancel(
                    self.fleet.simulator.now, permit_id
                ):
                    self.requests_by_pool[record.other_pool(pool)] -= 1

        def on_refused(_kind: ErrorKind, retry_after_s: float) -> None:
            self.requests_by_pool[pool] -= 1
            record.refusals += 1
            if record.dispatches or record.refusals < record.permits_requested:
                return
            record.refused_at = self.fleet.simulator.now
            record.retry_after_s = retry_after_s
            self.fleet.on_refused(record)

        record.pools.append(pool)
        record.permits_requested += 1
        return self.client.request_permit(self.fleet.simulator.now, request, on_granted, on_refused)

    def _hedge(self, record: RequestRecord, request: PermitRequest) -> None:
        """Request a second permit from the other cell if the request still waits."""
        if record.dispatches or record.refused_at is not None:
            return
        other = next(pool for pool in self.fleet.pools if pool != request.pool)
        record.hedge_permit_id = self._request_permit(
            record, dataclasses.replace(request, pool=other)
        )

    def on_disconnect(self, record: RequestRecord) -> None:
        """Cancel the request of a disconnected caller."""
        now = self.fleet.simulator.now
        # Only bench.placement calls this, with one cell: requests_by_pool has no effect there.
        if self.client.cancel(now, record.permit_id):
            self.fleet.on_refused(record)
            return
        engine, job = self.jobs.pop(record.permit_id, (None, None))
        if engine is not None and job is not None:
            engine.cancel(job)
            self.client.release(now, record.permit_id, Outcome.CANCELLED)

    def _dispatch(self, record: RequestRecord, permit: Permit) -> None:
        simulator = self.fleet.simulator
        engine = self.fleet.engines[permit.upstream]
        dispatched_at = simulator.now
        record.dispatches += 1

        def on_end() -> None:
            record.ended_at = simulator.now
            self.call(lambda: self._finish(record, permit, dispatched_at))

        job = self.fleet.create_job(record, on_end)
        record.job = job
        self.jobs[permit.permit_id] = (engine, job)
        engine.submit(job)
        self.fleet.update_max_overcommit()

    def _finish(self, record: RequestRecord, permit: Permit, dispatched_at: float) -> None:
        arrival = record.arrival
        now = self.fleet.simulator.now
        self.jobs.pop(permit.permit_id, None)
        self.requests_by_pool[permit.pool] -= 1
        self.estimator.observe(
            "chat",
            arrival.organisation,
            arrival.prompt_tokens * BYTES_PER_TOKEN,
            arrival.output_tokens,
            arrival.prompt_tokens,
        )
        first_at = record.first_at or now
        self.client.release(
            now,
            permit.permit_id,
            Outcome.OK,
            round(1_000 * (first_at - dispatched_at)),
            round(1_000 * (now - dispatched_at)),
            arrival.output_tokens,
        )


class Fleet:
    """Simulated hosts and engines, with the records of all requests.

    Parameters
    ----------
    seed : int
        Seed of the hosts' random generators.
    host_count : int
        Number of entry hosts.
    specs : tuple of EngineSpec
        Engines of the pool.
    max_prefixes : int
        Capacity of each engine's prefix cache; 0 disables it.
    cell_count : int
        Number of cells that the pool is split into.
    hedges_requests : bool
        Whether waiting requests of tiers 0 to 2 request a permit from a second cell.
    """

    def __init__(
        self,
        seed: int,
        host_count: int = 8,
        specs: tuple[EngineSpec, ...] = ENGINES,
        max_prefixes: int = 0,
        cell_count: int = 1,
        hedges_requests: bool = False,
    ) -> None:
        self.hedges_requests = hedges_requests
        self.seed = seed
        self.pools = [f"{POOL}-{number}" if number else POOL for number in range(cell_count)]
        self.specs = specs
        self.simulator = Simulator()
        self.names = [f"h{number}" for number in range(host_count)]
        self.engines = {
            spec.name: FakeEngine(self.simulator, spec.slots, spec.tokens_per_s, max_prefixes)
            for spec in specs
        }
        self.partitioned: set[str] = set()
        self.records: list[RequestRecord] = []
        self.waiting_since: list[dict[int, float]] = [{}, {}, {}, {}]
        self.inversions = 0
        self.start_times: list[list[float]] = [[], [], [], []]
        self.max_overcommit = 0.0
        self.hosts = {name: BenchHost(self, name) for name in self.names}
        for number, host in enumerate(self.hosts.values()):
            first = TICK_S * number / host_count
            self.simulator.call_every(TICK_S, host.tick, first)

    def send(self, sender: BenchHost, receiver: str, msg: Message) -> bool:
        """Deliver a message; return False if the receiver is dead or behind a partition."""
        target = self.hosts[receiver]
        is_partitioned = (sender.name in self.partitioned) != (receiver in self.partitioned)
        if target.dead or is_partitioned:
            return False
        if receiver != sender.name:
            sender.control_bytes += len(pack_message(msg))
        latency_s = 0.0 if receiver == sender.name else LATENCY_S
        self.simulator.call_at(
            self.simulator.now + latency_s,
            lambda: target.call(lambda: target.receive(sender.name, msg)),
        )
        return True

    def entries(self) -> list[UpstreamEntry]:
        """Return the catalogue entries of the engines, assigned to cells by round robin."""
        return [
            spec.entry(self.pools[number % len(self.pools)])
            for number, spec in enumerate(self.specs)
        ]

    def capacity_of(self, pool: str) -> float:
        """Return the capacity of a cell, in output tokens per second."""
        return sum(
            spec.tokens_per_s for spec in self.specs[self.pools.index(pool) :: len(self.pools)]
        )

    def load_trace(
        self, trace: list[Arrival], submit_record: Callable[[RequestRecord], None]
    ) -> None:
        """Schedule the arrivals of a trace."""
        for arrival in trace:
            record = RequestRecord(arrival)
            self.records.append(record)
            self.simulator.call_at(
                arrival.at, functools.partial(self._arrive, record, submit_record)
            )

    def submit_to_host(self, record: RequestRecord) -> None:
        """Submit a request to its entry host, or to the next live one if that is dead."""
        number = record.arrival.host
        while self.hosts[self.names[number]].dead:
            number = (number + 1) % len(self.names)
        host = self.hosts[self.names[number]]
        host.call(lambda: host.handle(record))

    def create_job(self, record: RequestRecord, on_end: Callable[[], None]) -> Job:
        """Create the engine job of a request, which records its times."""

        def on_first_token() -> None:
            record.first_at = self.simulator.now

        return Job(
            prompt_tokens=record.arrival.prompt_tokens,
            output_tokens=record.arrival.output_tokens,
            on_start=lambda: self._on_start(record),
            on_first_token=on_first_token,
            on_end=on_end,
            prefixes=record.arrival.prefixes,
        )

    def on_refused(self, record: RequestRecord) -> None:
        """Remove a refused request from the waiting ones."""
        arrival = record.arrival
        self.waiting_since[arrival.tier].pop(arrival.number, None)

    @property
    def starts(self) -> int:
        """Return the number of requests that engines have started."""
        return sum(len(times) for times in self.start_times)

    def shed_inversions(self) -> float:
        """Return the fraction of refused requests for which a lower tier was started instead."""
        refused = [
            record.arrival
            for record in self.records
            if record.refused_at is not None and record.arrival.tier < 3
        ]
        return sum(map(self._was_inverted, refused)) / max(1, len(refused))

    def _was_inverted(self, arrival: Arrival) -> bool:
        begin, end = (
            arrival.at + MIN_INVERSION_WAIT_S,
            arrival.first_byte_deadline - FIRST_BYTE_MARGIN_S,
        )
        for times in self.start_times[arrival.tier + 1 :]:
            position = bisect.bisect_left(times, begin)
            if position < len(times) and times[position] < end:
                return True
        return False

    def update_max_overcommit(self) -> None:
        """Update the largest number of jobs in an engine relative to its batch size."""
        for engine in self.engines.values():
            self.max_overcommit = max(self.max_overcommit, engine.in_flight / engine.slots)

    def _arrive(
        self, record: RequestRecord, submit_record: Callable[[RequestRecord], None]
    ) -> None:
        arrival = record.arrival
        self.waiting_since[arrival.tier][arrival.number] = self.simulator.now
        submit_record(record)

    def _on_start(self, record: RequestRecord) -> None:
        arrival = record.arrival
        self.waiting_since[arrival.tier].pop(arrival.number, None)
        record.started_at = self.simulator.now
        self.start_times[arrival.tier].append(self.simulator.now)
        before = self.simulator.now - MIN_INVERSION_WAIT_S
        for tier in range(arrival.tier):
            oldest = next(iter(self.waiting_since[tier].values()), None)
            if oldest is not None and oldest < before:
                self.inversions += 1
                return


FIRST_BYTE_MARGIN_S = 0.5
"""Time before its deadline from which starting a request is too late, in seconds."""

MIN_INVERSION_WAIT_S = 0.1
"""Wait of a higher tier from which the start of a lower tier is an inversion, in seconds."""
