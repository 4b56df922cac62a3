"""Measure how catalogue changes spread, what that costs and what a catalogue takes in memory.

Run ``python -m bench.catalogue --out docs/data``: it writes JSON and prints tables.
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

FLEETS = (8, 32, 320)
CHANGES = 30
IDLE_S = 30.0
SPREAD_LIMIT_S = 20.0
ORGANISATIONS = 13_000
MODELS = 36
UPSTREAMS = 600
CHANGES_PER_DAY = 1_400
DAY_S = 86_400.0
REAL_HOSTS = 8
REAL_LIMIT_S = 30.0


@dataclass(slots=True)
class SpreadRow:
    """Hold the times of one kind of change in one fleet.

    Attributes
    ----------
    hosts : int
        Daemons of the fleet.
    case : str
        How the changes came about.
    median_s, worst_s : float
        Time from the acceptance until all daemons have it, in seconds.
    """

    hosts: int
    case: str
    median_s: float
    worst_s: float


@dataclass(slots=True)
class CostRow:
    """Hold what a fleet costs.

    Attributes
    ----------
    hosts : int
        Daemons of the fleet.
    idle_bytes_per_s : float
        Sent by the busiest daemon while nothing changes; packed messages with their length.
    bytes_per_change : float
        Sent by the busiest daemon for one change, beyond the idle bytes.
    store_calls_per_s : float
        Calls of the whole fleet while nothing changes.
    store_watches : int
        Waiting watches of the whole fleet.
    day_bytes_per_s : float
        Idle bytes and those of `CHANGES_PER_DAY` changes, spread over a day.
    """

    hosts: int
    idle_bytes_per_s: float
    bytes_per_change: float
    store_calls_per_s: float
    store_watches: int
    day_bytes_per_s: float


@dataclass(slots=True)
class DesignRow:
    """Hold one way to bring changes into force, with a writer that dies after each change.

    Attributes
    ----------
    hosts : int
        Daemons of the fleet.
    design : str
        Key of `DESIGNS`.
    median_s, worst_s : float
        Time from the acceptance until all daemons have it, in seconds.
    store_calls_per_s : float
        Calls of the whole fleet while nothing changes.
    store_watches : int
        Waiting watches of the whole fleet.
    """

    hosts: int
    design: str
    median_s: float
    worst_s: float
    store_calls_per_s: float
    store_watches: int


@dataclass(slots=True)
class MemoryRow:
    """Hold what a catalogue takes.

    Attributes
    ----------
    organisations, models, upstreams : int
        Its size.
    rss_mib : float
        Growth of the resident memory, in MiB.
    load_s : float
        Time to read all entries and build the look-ups, in seconds.
    change_ms : float
        Time to bring one change of an organisation into force, in milliseconds.
    handover_mib : float
        Bytes of a whole hand-over, in MiB.
    handover_parts : int
        Messages of a whole hand-over.
    largest_part_kib : float
        Largest of them, in KiB.
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


def organisation(index: int, weight: float = 1.0) -> Entry:
    """Return an organisation of usual size."""
    token = hashlib.sha256(str(index).encode()).hexdigest()
    doc = {"name": f"organisation-{index:05}", "owner": "operations", "token_sha256": [token]}
    return parse_entry("organisation", {**doc, "weight": weight})


def target_entries(organisations: int, models: int, upstreams: int) -> Iterator[Entry]:
    """Yield the entries of a catalogue of a size."""
    for index in range(organisations):
        yield organisation(index)
    for index in range(models):
        pool = {"name": f"pool-{index:02}", "owner": "operations", "back_end": "engine"}
        yield parse_entry("pool", {**pool, "version": "v1"})
        route = {"name": f"route-{index:02}", "owner": "operations", "pool": pool["name"]}
        yield parse_entry("route", {**route, "tier": 1, "model": f"model-{index:02}"})
    for index in range(upstreams):
        doc = {"name": f"engine-{index:03}", "owner": "operations", "version": "v1"}
        place = {"pool": f"pool-{index % models:02}", "host": "10.0.0.1", "port": 1024 + index}
        yield parse_entry("upstream", {**doc, **place, "data_centre": "etna"})


def finish(timers: VirtualTimers, fut: Future[list[Change]]) -> int:
    """Move time on until a write is accepted; return its number."""
    timers.advance_until(fut.done, SPREAD_LIMIT_S, 0.005)
    return fut.result()[-1].number


class InstrumentedFleet:
    """Hold a fleet over a store in memory whose calls are counted."""

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

    def any_host(self) -> FleetHost:
        """Return some daemon."""
        return self.fleet.hosts[self.rng.choice(self.fleet.live)]

    def start_unlisted_host(self) -> FleetHost:
        """Start a daemon that the others don't know, as one that dies after its write."""
        outsider = Fleet(self.store, self.timers, self.fleet.seed + 1)
        (host,) = outsider.add_hosts(1)
        self.timers.advance(5.0)
        return host


def measure_spread(hosts: int, case: str) -> SpreadRow:
    """Measure changes of one kind."""
    counted = InstrumentedFleet(hosts, 1)
    writer = counted.start_unlisted_host() if case != "accepted by a live daemon" else None
    for host in counted.fleet.hosts.values():
        if case == "writer dies, store away for the watchers":
            host.store.away = host.service.watcher.watches
        if case == "writer dies, watches silent" and host.service.watcher.watches:
            host.store.watch_silent = True
    if case == "lossy peers (20%)":
        counted.fleet.loss = 0.2
    times = []
    for index in range(CHANGES):
        author = writer or counted.any_host()
        number = finish(counted.timers, author.service.writer.put(organisation(index), "bench"))
        times.append(counted.fleet.propagation_time(number, SPREAD_LIMIT_S))
        counted.timers.advance(counted.rng.uniform(1.0, 3.0))
    return SpreadRow(hosts, case, statistics.median(times), max(times))


CASES = (
    "accepted by a live daemon",
    "lossy peers (20%)",
    "writer dies",
    "writer dies, watches silent",
    "writer dies, store away for the watchers",
)


DESIGNS = {
    "few watch, peers spread": (2, 0.4),
    "all watch": (1_000, 0.4),
    "all poll each 2 s": (0, 2.0),
}
"""Daemons that watch and the period of polls in seconds, of the whole fleet or of each daemon.

The last two have no peers. A watching daemon polls each second.
"""


def measure_design(hosts: int, design: str) -> DesignRow:
    """Measure one way, by the same code with other numbers."""
    kept = (catalogue_watchers.STORE_WATCHER_COUNT, catalogue_watchers.FLEET_POLL_PERIOD_S)
    watchers, poll_s = DESIGNS[design]
    poll_s = poll_s / hosts if watchers == 0 else poll_s
    catalogue_watchers.STORE_WATCHER_COUNT, catalogue_watchers.FLEET_POLL_PERIOD_S = (
        watchers,
        poll_s,
    )
    try:
        return run_design(hosts, design)
    finally:
        catalogue_watchers.STORE_WATCHER_COUNT, catalogue_watchers.FLEET_POLL_PERIOD_S = kept


def run_design(hosts: int, design: str) -> DesignRow:
    """Let writers die after their changes and measure the spread."""
    counted = InstrumentedFleet(hosts, 1)
    fleet = counted.fleet
    if design != next(iter(DESIGNS)):
        fleet.loss = 1.0
    counted.timers.advance(5.0)
    counted.calls.clear()
    counted.timers.advance(IDLE_S)
    calls = sum(counted.calls.values()) / IDLE_S
    outsider = counted.start_unlisted_host()
    times = []
    for index in range(CHANGES):
        number = finish(counted.timers, outsider.service.writer.put(organisation(index), "bench"))
        times.append(fleet.propagation_time(number, SPREAD_LIMIT_S))
        counted.timers.advance(counted.rng.uniform(1.0, 3.0))
    watches = sum(host.service.watcher.watches for host in fleet.hosts.values())
    return DesignRow(hosts, design, statistics.median(times), max(times), calls, watches)


def measure_cost(hosts: int) -> CostRow:
    """Measure the bytes and calls of a fleet."""
    counted = InstrumentedFleet(hosts, 1)
    fleet = counted.fleet
    watches = sum(host.service.watcher.watches for host in fleet.hosts.values())
    fleet.sent_bytes.clear()
    counted.calls.clear()
    counted.timers.advance(IDLE_S)
    idle = max(fleet.sent_bytes.values()) / IDLE_S
    calls = sum(counted.calls.values()) / IDLE_S
    busiest = []
    for index in range(CHANGES):
        writer = counted.any_host().service.writer
        fleet.sent_bytes.clear()
        began = counted.timers.now()
        fleet.propagation_time(
            finish(counted.timers, writer.put(organisation(index), "bench")), 20.0
        )
        counted.timers.advance(1.0)
        busiest.append(max(fleet.sent_bytes.values()) - idle * (counted.timers.now() - began))
    per_change = statistics.mean(busiest)
    day = idle + per_change * CHANGES_PER_DAY / DAY_S
    return CostRow(hosts, idle, per_change, calls, watches, day)


def resident_mib() -> float:
    """Return the resident memory of this process, in MiB."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 2**20


def measure_memory(organisations: int, models: int, upstreams: int) -> MemoryRow:
    """Measure one catalogue; its entries are read from JSON as they come from the store."""
    before = resident_mib()
    records = {}
    load_s = 0.0
    for entry in target_entries(organisations, models, upstreams):
        key, doc = entry.key, pack_entry(entry)
        began = time.perf_counter()
        records[key] = parse_record(1, key, doc)
        load_s += time.perf_counter() - began
    began = time.perf_counter()
    catalogue = build_catalogue(1, records)
    load_s += time.perf_counter() - began
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
    """Return the milliseconds that one change of an organisation takes."""
    changes = []
    for index in range(20):
        entry = organisation(index, weight=2.0)
        changes.append(Change(index + 2, entry.key, pack_entry(entry), "w", 0.0, "bench", 0))
    began = time.perf_counter()
    for change in changes:
        catalogue = catalogue.with_changes([change])
    return (time.perf_counter() - began) * 1_000 / len(changes)


@contextmanager
def run_kv() -> Iterator[Address]:
    """Run the stand-in of the key-value service as a process."""
    command = [sys.executable, "-m", "standins.kv", "--lifetime-s", "120"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        try:
            yield Address("127.0.0.1", int(process.stdout.readline().rsplit(":", 1)[1]))
        finally:
            process.terminate()


class TcpFleet:
    """Hold daemons' parts over TCP on one loop, with the stand-in as their store."""

    def __init__(self, kv: Address, hosts: int) -> None:
        self.loop: Loop = create_loop()
        names = Fleet(MemoryStore(VirtualTimers(), lambda kind: None), VirtualTimers(), 1)
        names.live = tuple(f"host-{index:03}" for index in range(hosts))
        transports = [
            create_peers(
                self.loop, PeerSettings(name, "etna", Address("127.0.0.1", 0), b"bench", 1)
            )
            for name in names.live
        ]
        self.services: list[CatalogueService] = []
        for peers in transports:
            for other in transports:
                peers.set_address(other.identity.name, other.address)
            name = peers.identity.name
            store = create_store(
                StoreSettings("etcd", [kv], 2.0), self.loop.timers, HttpClient(self.loop)
            )
            members = FleetMembers(name, names)
            self.services.append(
                create_catalogue_service(
                    store, members, peers, self.loop.timers, random.Random(name)
                )
            )

    def run_until_all(self, number: int) -> float:
        """Run the loop until all have a number; return the seconds."""
        began = time.perf_counter()
        end = began + REAL_LIMIT_S

        def check() -> None:
            reached = all(service.state.number >= number for service in self.services)
            if reached or time.perf_counter() > end:
                self.loop.stop()

        timer = self.loop.timers.call_every(0.001, check)
        self.loop.run()
        timer.cancel()
        return time.perf_counter() - began


def measure_real(hosts: int) -> SpreadRow:
    """Measure changes over TCP and the stand-in, the write itself included."""
    with run_kv() as kv:
        fleet = TcpFleet(kv, hosts)
        for service in fleet.services:
            fleet.loop.timers.call_later(0.0, service.watcher.start)
        rng = random.Random(1)
        times = []
        for index in range(CHANGES + 1):
            writer = rng.choice(fleet.services).writer
            pause_s = 4.0 if index == 0 else 0.0
            fleet.loop.timers.call_later(
                pause_s, lambda writer=writer, index=index: writer.put(organisation(index), "b")
            )
            times.append(fleet.run_until_all(index + 1))
        del times[0]
    return SpreadRow(
        hosts, "TCP and stand-in, write included", statistics.median(times), max(times)
    )


def print_rows(
    title: str, rows: list[SpreadRow] | list[CostRow] | list[MemoryRow] | list[DesignRow]
) -> None:
    """Print rows as a table."""
    print(f"\n{title}")
    names = list(asdict(rows[0]))
    print(" | ".join(names))
    for row in rows:
        values = asdict(row).values()
        print(" | ".join(f"{one:.3f}" if isinstance(one, float) else str(one) for one in values))


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=None)
    args = parser.parse_args()
    logger.remove()
    memory = [
        measure_memory(ORGANISATIONS // 10, MODELS, UPSTREAMS // 10),
        measure_memory(ORGANISATIONS, MODELS, UPSTREAMS),
    ]
    print_rows("Memory", memory)
    spread = [measure_spread(hosts, case) for hosts in FLEETS for case in CASES]
    spread.append(measure_real(REAL_HOSTS))
    print_rows("Spread", spread)
    cost = [measure_cost(hosts) for hosts in FLEETS]
    print_rows("Cost", cost)
    designs = [measure_design(hosts, design) for hosts in FLEETS for design in DESIGNS]
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
