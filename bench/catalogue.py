"""Measure propagation time, traffic, store load and memory of the catalogue.

Run ``python -m bench.catalogue --out docs/data`` to print tables and write the results as JSON.
"""

from __future__ import annotations

import argparse
import gc
import hashlib
import json
import random
import statistics
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

from loguru import logger

from bench.catalogue_fleets import Fleet, FleetHost, FleetMembers
from bench.virtual_clocks import VirtualTimers
from tarragonwind import catalogue_watchers
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import Loop, create_loop
from tarragonwind.adapters.memory_stores import MemoryStore
from tarragonwind.adapters.peers import PeerSettings, create_peers
from tarragonwind.adapters.stores import StoreSettings, create_store
from tarragonwind.catalogue_services import CatalogueService, create_catalogue_service
from tarragonwind.catalogue_snapshots import split_snapshot
from tarragonwind.core.catalogues import Catalogue, build_catalogue, parse_record
from tarragonwind.core.changes import Change, pack_entry
from tarragonwind.core.entries import Entry, parse_entry
from tarragonwind.futures import Future
from tarragonwind.messages import pack_message
from tarragonwind.ports import Address

FLEET_SIZES = (8, 32, 320)
CHANGE_COUNT = 30
"""Number of changes in each run."""
IDLE_S = 30.0
"""Time without changes over which the idle cost is measured, in seconds."""
PROPAGATION_TIMEOUT_S = 20.0
ORGANISATIONS = 13_000
MODELS = 36
UPSTREAMS = 600
CHANGES_PER_DAY = 1_400
SECONDS_PER_DAY = 86_400.0
TCP_HOSTS = 8
TCP_TIMEOUT_S = 30.0


@dataclass(slots=True)
class PropagationRow:
    """Hold the propagation times of changes in one fleet under one condition.

    Attributes
    ----------
    hosts : int
        Number of daemons in the fleet.
    case : str
        Condition under which the changes are made, see `CASES`.
    median_s, worst_s : float
        Time from acceptance of a change until all daemons have applied it, in seconds.
    """

    hosts: int
    case: str
    median_s: float
    worst_s: float


@dataclass(slots=True)
class CostRow:
    """Hold the peer traffic and the store load of one fleet.

    Attributes
    ----------
    hosts : int
        Number of daemons in the fleet.
    idle_bytes_per_s : float
        Bytes that the busiest daemon sends while there are no changes, as packed messages with
        their length prefix.
    bytes_per_change : float
        Bytes that the busiest daemon sends for one change, in addition to the idle traffic.
    store_calls_per_s : float
        Store calls of the whole fleet while there are no changes.
    store_watches : int
        Open store watches of the whole fleet.
    day_bytes_per_s : float
        Idle traffic plus the traffic of `CHANGES_PER_DAY` changes, averaged over a day.
    """

    hosts: int
    idle_bytes_per_s: float
    bytes_per_change: float
    store_calls_per_s: float
    store_watches: int
    day_bytes_per_s: float


@dataclass(slots=True)
class DesignRow:
    """Hold the results of one propagation design, with a writer that fails after each change.

    Attributes
    ----------
    hosts : int
        Number of daemons in the fleet.
    design : str
        Key of `DESIGNS`.
    median_s, worst_s : float
        Time from acceptance of a change until all daemons have applied it, in seconds.
    store_calls_per_s : float
        Store calls of the whole fleet while there are no changes.
    store_watches : int
        Open store watches of the whole fleet.
    """

    hosts: int
    design: str
    median_s: float
    worst_s: float
    store_calls_per_s: float
    store_watches: int


@dataclass(slots=True)
class MemoryRow:
    """Hold the memory use, load time and snapshot size of one catalogue.

    Attributes
    ----------
    organisations, models, upstreams : int
        Number of entries of each kind.
    rss_mib : float
        Growth of the resident memory, in MiB.
    load_s : float
        Time to parse all entries and build the indexes, in seconds.
    change_ms : float
        Time to apply one change of an organisation, in milliseconds.
    handover_mib : float
        Size of a full snapshot sent to a peer, in MiB.
    handover_parts : int
        Number of messages of the snapshot.
    largest_part_kib : float
        Size of its largest message, in KiB.
    """

    organisations: int
    models: int
    upstreams: int
    rss_mib: float
    load_s: float
    change_ms: float
    handover_mib: float
    handover_parts: int
    largest_part_kib: float


def build_organisation(index: int, weight: float = 1.0) -> Entry:
    """Return an organisation entry of typical size."""
    token = hashlib.sha256(str(index).encode()).hexdigest()
    doc = {"name": f"organisation-{index:05}", "owner": "operations", "token_sha256": [token]}
    return parse_entry("organisation", {**doc, "weight": weight})


def generate_entries(organisations: int, models: int, upstreams: int) -> Iterator[Entry]:
    """Yield the entries of a catalogue with the given numbers of organisations, models, upstreams.

    Each model has one pool and one route; the upstreams are distributed over the pools.
    """
    for index in range(organisations):
        yield build_organisation(index)
    for index in range(models):
        pool = {"name": f"pool-{index:02}", "owner": "operations", "back_end": "engine"}
        yield parse_entry("pool", {**pool, "version": "v1"})
        route = {"name": f"route-{index:02}", "owner": "operations", "pool": pool["name"]}
        yield parse_entry("route", {**route, "tier": 1, "model": f"model-{index:02}"})
    for index in range(upstreams):
        doc = {"name": f"engine-{index:03}", "owner": "operations", "version": "v1"}
        place = {"pool": f"pool-{index % models:02}", "host": "10.0.0.1", "port": 1024 + index}
        yield parse_entry("upstream", {**doc, **place, "data_centre": "etna"})


def wait_until_accepted(timers: VirtualTimers, fut: Future[list[Change]]) -> int:
    """Advance the virtual clock until a write is accepted, and return its change number."""
    timers.advance_until(fut.done, PROPAGATION_TIMEOUT_S, 0.005)
    return fut.result()[-1].number


class InstrumentedFleet:
    """Run a simulated fleet over an in-memory store and count the store calls by kind."""

    def __init__(self, hosts: int, seed: int) -> None:
        self.timers = VirtualTimers()
        self.calls: Counter[str] = Counter()
        self.store = MemoryStore(self.timers, self._count)
        self.fleet = Fleet(self.store, self.timers, seed)
        self.fleet.add_hosts(hosts)
        self.timers.advance(5.0)
        self.rng = random.Random(seed)

    def _count(self, kind: str) -> None:
        self.calls[kind] += 1

    def random_host(self) -> FleetHost:
        """Return a live daemon, chosen at random."""
        return self.fleet.hosts[self.rng.choice(self.fleet.live)]

    def start_unlisted_host(self) -> FleetHost:
        """Start a daemon that shares the store but is no member of the fleet.

        Its changes reach the fleet only through the store, like those of a daemon that fails right
        after its write.
        """
        other_fleet = Fleet(self.store, self.timers, self.fleet.seed + 1)
        (host,) = other_fleet.add_hosts(1)
        self.timers.advance(5.0)
        return host


def measure_propagation(hosts: int, case: str) -> PropagationRow:
    """Measure the propagation time of changes under one condition of `CASES`."""
    sim = InstrumentedFleet(hosts, 1)
    writer = sim.start_unlisted_host() if case != "accepted by a live daemon" else None
    for host in sim.fleet.hosts.values():
        if case == "writer dies, store away for the watchers":
            host.store.away = host.service.watcher.watches
        if case == "writer dies, watches silent" and host.service.watcher.watches:
            host.store.watch_silent = True
    if case == "lossy peers (20%)":
        sim.fleet.loss = 0.2
    times = []
    for index in range(CHANGE_COUNT):
        author = writer or sim.random_host()
        number = wait_until_accepted(
            sim.timers, author.service.writer.put(build_organisation(index), "bench")
        )
        times.append(sim.fleet.propagation_time(number, PROPAGATION_TIMEOUT_S))
        sim.timers.advance(sim.rng.uniform(1.0, 3.0))
    return PropagationRow(hosts, case, statistics.median(times), max(times))


CASES = (
    "accepted by a live daemon",
    "lossy peers (20%)",
    "writer dies",
    "writer dies, watches silent",
    "writer dies, store away for the watchers",
)
"""Conditions of the propagation runs; the names are written to the results."""


DESIGNS = {
    "few watch, peers spread": (2, 0.4),
    "all watch": (1_000, 0.4),
    "all poll each 2 s": (0, 2.0),
}
"""Number of daemons that watch the store, and the poll period in seconds, by design.

The period is that of the whole fleet, or of each daemon where none watches. In the last two designs
all peer messages are lost. A daemon that watches also polls every second.
"""


def measure_design(hosts: int, design: str) -> DesignRow:
    """Measure one propagation design by overriding the constants of the catalogue watcher."""
    saved = (catalogue_watchers.STORE_WATCHER_COUNT, catalogue_watchers.FLEET_POLL_PERIOD_S)
    watchers, poll_s = DESIGNS[design]
    poll_s = poll_s / hosts if watchers == 0 else poll_s
    catalogue_watchers.STORE_WATCHER_COUNT, catalogue_watchers.FLEET_POLL_PERIOD_S = (
        watchers,
        poll_s,
    )
    try:
        return run_design(hosts, design)
    finally:
        catalogue_watchers.STORE_WATCHER_COUNT, catalogue_watchers.FLEET_POLL_PERIOD_S = saved


def run_design(hosts: int, design: str) -> DesignRow:
    """Measure the propagation time of changes whose writer is no member of the fleet."""
    sim = InstrumentedFleet(hosts, 1)
    fleet = sim.fleet
    if design != next(iter(DESIGNS)):
        fleet.loss = 1.0
    sim.timers.advance(5.0)
    sim.calls.clear()
    sim.timers.advance(IDLE_S)
    calls = sum(sim.calls.values()) / IDLE_S
    unlisted = sim.start_unlisted_host()
    times = []
    for index in range(CHANGE_COUNT):
        number = wait_until_accepted(
            sim.timers, unlisted.service.writer.put(build_organisation(index), "bench")
        )
        times.append(fleet.propagation_time(number, PROPAGATION_TIMEOUT_S))
        sim.timers.advance(sim.rng.uniform(1.0, 3.0))
    watches = sum(host.service.watcher.watches for host in fleet.hosts.values())
    return DesignRow(hosts, design, statistics.median(times), max(times), calls, watches)


def measure_cost(hosts: int) -> CostRow:
    """Measure the peer traffic and the store calls of a fleet, idle and for each change."""
    sim = InstrumentedFleet(hosts, 1)
    fleet = sim.fleet
    watches = sum(host.service.watcher.watches for host in fleet.hosts.values())
    fleet.sent_bytes.clear()
    sim.calls.clear()
    sim.timers.advance(IDLE_S)
    idle = max(fleet.sent_bytes.values()) / IDLE_S
    calls = sum(sim.calls.values()) / IDLE_S
    busiest = []
    for index in range(CHANGE_COUNT):
        writer = sim.random_host().service.writer
        fleet.sent_bytes.clear()
        started = sim.timers.now()
        fleet.propagation_time(
            wait_until_accepted(sim.timers, writer.put(build_organisation(index), "bench")), 20.0
        )
        sim.timers.advance(1.0)
        busiest.append(max(fleet.sent_bytes.values()) - idle * (sim.timers.now() - started))
    per_change = statistics.mean(busiest)
    day = idle + per_change * CHANGES_PER_DAY / SECONDS_PER_DAY
    return CostRow(hosts, idle, per_change, calls, watches, day)


def resident_mib() -> float:
    """Return the resident memory of this process, in MiB."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 2**20


def measure_memory(organisations: int, models: int, upstreams: int) -> MemoryRow:
    """Measure one catalogue whose entries are parsed from the JSON form kept in the store."""
    before = resident_mib()
    records = {}
    load_s = 0.0
    for entry in generate_entries(organisations, models, upstreams):
        key, doc = entry.key, pack_entry(entry)
        started = time.perf_counter()
        records[key] = parse_record(1, key, doc)
        load_s += time.perf_counter() - started
    started = time.perf_counter()
    catalogue = build_catalogue(1, records)
    load_s += time.perf_counter() - started
    del records
    rss = resident_mib() - before
    parts = [len(pack_message(part)) for part in split_snapshot(catalogue)]
    change_ms = measure_change(catalogue)
    return MemoryRow(
        organisations,
        models,
        upstreams,
        rss,
        load_s,
        change_ms,
        sum(parts) / 2**20,
        len(parts),
        max(parts) / 1024,
    )


def measure_change(catalogue: Catalogue) -> float:
    """Return the mean time to apply one change of an organisation, in milliseconds."""
    changes = []
    for index in range(20):
        entry = build_organisation(index, weight=2.0)
        changes.append(Change(index + 2, entry.key, pack_entry(entry), "w", 0.0, "bench", 0))
    started = time.perf_counter()
    for change in changes:
        catalogue = catalogue.with_changes([change])
    return (time.perf_counter() - started) * 1_000 / len(changes)


@contextmanager
def run_kv() -> Iterator[Address]:
    """Run the key-value service's stand-in as a process and yield its address."""
    command = [sys.executable, "-m", "standins.kv", "--lifetime-s", "120"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        try:
            yield Address("127.0.0.1", int(process.stdout.readline().rsplit(":", 1)[1]))
        finally:
            process.terminate()


class TcpFleet:
    """Run catalogue services that exchange messages over TCP on one event loop.

    Parameters
    ----------
    kv : Address
        Key-value service that they use as store.
    hosts : int
        Number of services.
    """

    def __init__(self, kv: Address, hosts: int) -> None:
        self.loop: Loop = create_loop()
        membership = Fleet(MemoryStore(VirtualTimers(), lambda kind: None), VirtualTimers(), 1)
        membership.live = tuple(f"host-{index:03}" for index in range(hosts))
        transports = [
            create_peers(
                self.loop, PeerSettings(name, "etna", Address("127.0.0.1", 0), b"bench", 1)
            )
            for name in membership.live
        ]
        self.services: list[CatalogueService] = []
        for peers in transports:
            for other in transports:
                peers.set_address(other.identity.name, other.address)
            name = peers.identity.name
            store = create_store(
                StoreSettings("etcd", [kv], 2.0), self.loop.timers, HttpClient(self.loop)
            )
            members = FleetMembers(name, membership)
            self.services.append(
                create_catalogue_service(
                    store, members, peers, self.loop.timers, random.Random(name)
                )
            )

    def run_until_number(self, number: int) -> float:
        """Run the loop until all services have applied change `number` or `TCP_TIMEOUT_S` is over.

        Returns
        -------
        float
            Elapsed time in seconds.
        """
        started = time.perf_counter()
        end = started + TCP_TIMEOUT_S

        def check() -> None:
            reached = all(service.state.number >= number for service in self.services)
            if reached or time.perf_counter() > end:
                self.loop.stop()

        timer = self.loop.timers.call_every(0.001, check)
        self.loop.run()
        timer.cancel()
        return time.perf_counter() - started


def measure_tcp_propagation(hosts: int) -> PropagationRow:
    """Measure propagation over TCP with the key-value stand-in, including the write itself."""
    with run_kv() as kv:
        fleet = TcpFleet(kv, hosts)
        for service in fleet.services:
            fleet.loop.timers.call_later(0.0, service.watcher.start)
        rng = random.Random(1)
        times = []
        for index in range(CHANGE_COUNT + 1):
            writer = rng.choice(fleet.services).writer
            pause_s = 4.0 if index == 0 else 0.0
            fleet.loop.timers.call_later(
                pause_s,
                lambda writer=writer, index=index: writer.put(build_organisation(index), "b"),
            )
            times.append(fleet.run_until_number(index + 1))
        del times[0]
    return PropagationRow(
        hosts, "TCP and stand-in, write included", statistics.median(times), max(times)
    )


def print_rows(
    title: str, rows: list[PropagationRow] | list[CostRow] | list[MemoryRow] | list[DesignRow]
) -> None:
    """Print the rows as a table with the field names as header."""
    print(f"\n{title}")
    names = list(asdict(rows[0]))
    print(" | ".join(names))
    for row in rows:
        values = asdict(row).values()
        print(" | ".join(f"{v:.3f}" if isinstance(v, float) else str(v) for v in values))


def main() -> None:
    """Run all measurements, print them and write them to ``--out``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=None)
    args = parser.parse_args()
    logger.remove()
    memory = [
        measure_memory(ORGANISATIONS // 10, MODELS, UPSTREAMS // 10),
        measure_memory(ORGANISATIONS, MODELS, UPSTREAMS),
    ]
    print_rows("Memory", memory)
    spread = [measure_propagation(hosts, case) for hosts in FLEET_SIZES for case in CASES]
    spread.append(measure_tcp_propagation(TCP_HOSTS))
    print_rows("Spread", spread)
    cost = [measure_cost(hosts) for hosts in FLEET_SIZES]
    print_rows("Cost", cost)
    designs = [measure_design(hosts, design) for hosts in FLEET_SIZES for design in DESIGNS]
    print_rows("Designs, the writer dies", designs)
    if args.out is not None:
        args.out.mkdir(parents=True, exist_ok=True)
        doc = {
            "memory": [asdict(row) for row in memory],
            "spread": [asdict(row) for row in spread],
            "cost": [asdict(row) for row in cost],
            "designs": [asdict(row) for row in designs],
        }
        (args.out / "catalogue.json").write_text(json.dumps(doc, indent=1) + "\n")


if __name__ == "__main__":
    main()
