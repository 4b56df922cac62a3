"""Measure the control-plane cost of real daemons: CPU, memory, peer messages and store calls.

``python -m bench.control`` starts fleets of 4, 8, 16 and 32 daemons on loopback, one after another,
and prints a row for each fleet, idle and under load.
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
"""Time between the start of a fleet and its idle measurement, in seconds."""
WINDOW_S = 8.0
"""Duration of a measurement, in seconds."""
SIZES = (4, 8, 16, 32)
LOAD_THREADS = 8
LOAD_PAUSE_S = 0.02


@dataclass(slots=True)
class ControlRow:
    """Hold the cost of one daemon, as the mean over its fleet unless stated otherwise.

    Attributes
    ----------
    daemons : int
        Size of the fleet.
    load : str
        ``idle`` or ``requests``.
    cpu_percent : float
        CPU usage as a percentage of one core.
    rss_mib : float
        Resident memory of the largest daemon, in MiB.
    sent_bytes_per_s, received_bytes_per_s : float
        Messages between daemons, without TCP and IP headers.
    store_calls_per_s : float
        Calls of the whole fleet to the key-value service.
    requests_per_s : float
        Caller requests to the whole fleet.
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
class CounterSnapshot:
    """Hold the counters of a fleet, summed over its daemons, at one time.

    Attributes
    ----------
    at : float
        Monotonic time of the snapshot, in seconds.
    cpu_s : float
        CPU time of the daemons, in seconds.
    sent, received : int
        Bytes of messages between daemons.
    store_calls : int
        Calls to the key-value service.
    """

    at: float
    cpu_s: float
    sent: int
    received: int
    store_calls: int


def build_entries(
    fleet: Fleet, service_ports: list[int], organisations: int
) -> list[dict[str, Any]]:
    """Return catalogue entries with a pool, route and upstream for each service port.

    `organisations` entries are added to the organisation that sends the load.
    """
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    entries = [entry("organisation", "load", token_sha256=[digest], requests_per_s=100_000)]
    for index in range(organisations):
        token_digest = hashlib.sha256(f"other-{index}".encode()).hexdigest()
        entries.append(entry("organisation", f"other-{index}", token_sha256=[token_digest]))
    for index, port in enumerate(service_ports):
        pool = f"pool-{index}"
        entries.append(entry("pool", pool, back_end="service", version="v1"))
        path = f"/p{index}"
        entries.append(entry("route", pool, pool=pool, tier=index % 4, path_prefix=path))
        entries.append(upstream(f"up-{index}", pool, "v1", port, slots=64))
    return entries


def start_fleet(fleet: Fleet, size: int, organisations: int) -> None:
    """Start a fleet, write its catalogue and wait until all daemons are ready and all are live."""
    fleet.extra_settings = {"log": {"level": "warning"}}
    fleet.start_platform()
    names = [f"entry-{index}" for index in range(size)]
    fleet.prepare_hosts(names)
    services = [fleet.start_service(f"service-{index}").port for index in range(4)]
    for name in names:
        fleet.start_host(name)
    path = fleet.directory / "catalogue.yaml"
    path.write_text(yaml.safe_dump(build_entries(fleet, services, organisations)))
    proc = fleet.run_cli("catalogue", "put", str(path), "--wait-s", "30", at=names[0])
    if proc.returncode:
        raise RuntimeError(proc.stdout + proc.stderr)
    fleet.wait_ready()
    wait_until(lambda: all_live(fleet, size), f"{size} live daemons everywhere")


def fetch_statuses(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the operator status of every daemon."""
    statuses = []
    for name in fleet.hosts:
        proc = fleet.run_cli("--json", "status", at=name)
        statuses.append(json.loads(proc.stdout))
    return statuses


def all_live(fleet: Fleet, size: int) -> bool:
    """Return whether every daemon reports `size` live hosts."""
    return all(status["live_hosts"] == size for status in fetch_statuses(fleet))


def read_counters(fleet: Fleet) -> CounterSnapshot:
    """Read the counters of all daemons and return their sums."""
    statuses = fetch_statuses(fleet)
    return CounterSnapshot(
        time.monotonic(),
        sum(cpu_s(fleet.processes[name].pid) for name in fleet.hosts),
        sum(status["control_sent_bytes"] for status in statuses),
        sum(status["control_received_bytes"] for status in statuses),
        sum(status["store_calls"] for status in statuses),
    )


def measure_window(fleet: Fleet, load: str) -> ControlRow:
    """Measure a fleet during `WINDOW_S`."""
    size = len(fleet.hosts)
    before = read_counters(fleet)
    cpu_before = sum(cpu_s(fleet.processes[name].pid) for name in fleet.hosts)
    started = time.monotonic()
    time.sleep(WINDOW_S)
    cpu = sum(cpu_s(fleet.processes[name].pid) for name in fleet.hosts) - cpu_before
    cpu_elapsed_s = time.monotonic() - started
    after = read_counters(fleet)
    elapsed_s = after.at - before.at
    largest = max(rss_bytes(fleet.processes[name].pid) for name in fleet.hosts)
    return ControlRow(
        daemons=size,
        load=load,
        cpu_percent=round(100 * cpu / cpu_elapsed_s / size, 2),
        rss_mib=round(largest / 2**20, 1),
        sent_bytes_per_s=round((after.sent - before.sent) / elapsed_s / size, 1),
        received_bytes_per_s=round((after.received - before.received) / elapsed_s / size, 1),
        store_calls_per_s=round((after.store_calls - before.store_calls) / elapsed_s, 2),
    )


def measure(size: int, organisations: int) -> list[ControlRow]:
    """Start a fleet of `size` daemons and measure it idle and under load."""
    with (
        tempfile.TemporaryDirectory(prefix="control-") as directory,
        Fleet(Path(directory)) as fleet,
    ):
        start_fleet(fleet, size, organisations)
        time.sleep(SETTLE_S)
        rows = [measure_window(fleet, "idle")]
        ports = [ports.callers for ports in fleet.hosts.values()]
        plan = CallPlan(
            "load", 0, "pool-0", TOKEN, "/p0", threads=LOAD_THREADS, pause_s=LOAD_PAUSE_S
        )
        with LoadGenerator(ports, [plan]) as callers:
            time.sleep(1.0)
            count, started = len(callers.log.records), time.monotonic()
            row = measure_window(fleet, "requests")
            row.requests_per_s = round(
                (len(callers.log.records) - count) / (time.monotonic() - started), 1
            )
            rows.append(row)
    return rows


def main(out: str = "", sizes: tuple[int, ...] = SIZES, organisations: int = 5) -> None:
    """Measure each fleet size, print the rows and write them to the file `out` as JSON."""
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
