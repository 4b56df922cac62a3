"""Measure what real daemons spend on control: processor, memory, messages and store calls.

``python -m bench.control`` starts 4, 8, 16 and 32 daemons on loopback, one fleet after another,
idle and with requests, and prints a row for each with the slope over the number of daemons.
"""

from __future__ import annotations

import hashlib
import json
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import fire
import yaml

from bench.relays import cpu_s, rss_bytes
from standins.callers import CallPlan, LoadGenerator
from standins.demo import entry, upstream
from standins.fleets import Fleet, wait_until

TOKEN = "token-control"
SETTLE_S = 6.0
WATCH_S = 8.0
SIZES = (4, 8, 16, 32)
LOAD_THREADS = 8
LOAD_PAUSE_S = 0.02


@dataclass(slots=True)
class ControlRow:
    """Hold what one daemon of a fleet spends, the mean over the fleet.

    Attributes
    ----------
    daemons : int
        Size of the fleet.
    load : str
        ``idle`` or ``requests``.
    cpu_percent : float
        Part of a core.
    rss_mib : float
        Resident memory of the largest daemon.
    sent_bytes_per_s, received_bytes_per_s : float
        Messages between daemons, without headers of TCP and IP.
    store_calls_per_s : float
        Calls of the whole fleet to the key-value service.
    requests_per_s : float
        Requests of the whole fleet.
    """

    daemons: int
    load: str
    cpu_percent: float
    rss_mib: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    store_calls_per_s: float
    requests_per_s: float = 0.0


@dataclass(slots=True)
class Reading:
    """Hold the counters of a whole fleet at one time."""

    at: float
    cpu_s: float
    sent: int
    received: int
    store_calls: int


def catalogue(fleet: Fleet, engines: list[int], organisations: int) -> list[dict[str, Any]]:
    """Return a catalogue with one pool an engine and a number of organisations."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    entries = [entry("organisation", "load", token_sha256=[digest], requests_per_s=100_000)]
    for number in range(organisations):
        other = hashlib.sha256(f"other-{number}".encode()).hexdigest()
        entries.append(entry("organisation", f"other-{number}", token_sha256=[other]))
    for number, port in enumerate(engines):
        pool = f"pool-{number}"
        entries.append(entry("pool", pool, back_end="service", version="v1"))
        path = f"/p{number}"
        entries.append(entry("route", pool, pool=pool, tier=number % 4, path_prefix=path))
        entries.append(upstream(f"up-{number}", pool, "v1", port, slots=64))
    return entries


def start_fleet(fleet: Fleet, size: int, organisations: int) -> None:
    """Start a fleet and wait until every daemon is ready."""
    fleet.extra_settings = {"log": {"level": "warning"}}
    fleet.start_platform()
    names = [f"entry-{number}" for number in range(size)]
    fleet.prepare_hosts(names)
    services = [fleet.start_service(f"service-{number}").port for number in range(4)]
    for name in names:
        fleet.start_host(name)
    path = fleet.directory / "catalogue.yaml"
    path.write_text(yaml.safe_dump(catalogue(fleet, services, organisations)))
    ended = fleet.run_cli("catalogue", "put", str(path), "--wait-s", "30", at=names[0])
    if ended.returncode:
        raise RuntimeError(ended.stdout + ended.stderr)
    fleet.wait_ready()
    wait_until(lambda: all_live(fleet, size), f"{size} live daemons everywhere")


def reports(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the status of every daemon."""
    found = []
    for name in fleet.hosts:
        ended = fleet.run_cli("--json", "status", at=name)
        found.append(json.loads(ended.stdout))
    return found


def all_live(fleet: Fleet, size: int) -> bool:
    """Tell whether every daemon sees the whole fleet."""
    return all(report["live_hosts"] == size for report in reports(fleet))


def read(fleet: Fleet) -> Reading:
    """Read the counters of a fleet."""
    statuses = reports(fleet)
    return Reading(
        time.monotonic(),
        sum(cpu_s(fleet.processes[name].pid) for name in fleet.hosts),
        sum(status["control_sent_bytes"] for status in statuses),
        sum(status["control_received_bytes"] for status in statuses),
        sum(status["store_calls"] for status in statuses),
    )


def watch(fleet: Fleet, load: str) -> ControlRow:
    """Measure a fleet for a while."""
    size = len(fleet.hosts)
    before = read(fleet)
    cpu_before = sum(cpu_s(fleet.processes[name].pid) for name in fleet.hosts)
    begun = time.monotonic()
    time.sleep(WATCH_S)
    cpu = sum(cpu_s(fleet.processes[name].pid) for name in fleet.hosts) - cpu_before
    cpu_clock = time.monotonic() - begun
    after = read(fleet)
    clock = after.at - before.at
    largest = max(rss_bytes(fleet.processes[name].pid) for name in fleet.hosts)
    return ControlRow(
        daemons=size,
        load=load,
        cpu_percent=round(100 * cpu / cpu_clock / size, 2),
        rss_mib=round(largest / 2**20, 1),
        sent_bytes_per_s=round((after.sent - before.sent) / clock / size, 1),
        received_bytes_per_s=round((after.received - before.received) / clock / size, 1),
        store_calls_per_s=round((after.store_calls - before.store_calls) / clock, 2),
    )


def measure(size: int, organisations: int) -> list[ControlRow]:
    """Measure one fleet, idle and with requests."""
    with (
        tempfile.TemporaryDirectory(prefix="control-") as directory,
        Fleet(Path(directory)) as fleet,
    ):
        start_fleet(fleet, size, organisations)
        time.sleep(SETTLE_S)
        rows = [watch(fleet, "idle")]
        ports = [ports.callers for ports in fleet.hosts.values()]
        plan = CallPlan(
            "load", 0, "pool-0", TOKEN, "/p0", threads=LOAD_THREADS, pause_s=LOAD_PAUSE_S
        )
        with LoadGenerator(ports, [plan]) as callers:
            time.sleep(1.0)
            count, begun = len(callers.log.records), time.monotonic()
            row = watch(fleet, "requests")
            row.requests_per_s = round(
                (len(callers.log.records) - count) / (time.monotonic() - begun), 1
            )
            rows.append(row)
    return rows


def main(out: str = "", sizes: tuple[int, ...] = SIZES, organisations: int = 5) -> None:
    """Measure each size, print the rows and write them as JSON."""
    rows = []
    sizes = sizes if isinstance(sizes, tuple) else (sizes,)
    print("daemons load      cpu %   rss MiB  sent B/s  recv B/s  store calls/s  requests/s")
    for size in sizes:
        for row in measure(size, organisations):
            rows.append(row)
            print(
                f"{row.daemons:>7} {row.load:<8} {row.cpu_percent:>6} {row.rss_mib:>9} "
                f"{row.sent_bytes_per_s:>9} {row.received_bytes_per_s:>9} "
                f"{row.store_calls_per_s:>14} {row.requests_per_s:>11}",
                flush=True,
            )
    if out:
        Path(out).write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
