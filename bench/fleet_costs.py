"""Tell apart what the processor time of a host goes to, by the size of its fleet.

``python -m bench.fleet_costs measure`` simulates fleets of several sizes, measures the processor
time of each kind of message, timer and request, writes ``docs/data/fleet_costs.json`` and prints a
table; ``show FILE`` prints the table of an earlier run.
"""

from __future__ import annotations

import dataclasses
import json
import os
import subprocess
import sys
from pathlib import Path

import fire
from loguru import logger

from bench.simulated_fleets import SimulatedFleet
from bench.simulated_hosts import SimulatedHost
from bench.work_meters import Work
from tarragonwind.core.permit_requests import Permit
from tarragonwind.errors import RequestError

DATA = Path(__file__).parent.parent / "docs" / "data" / "fleet_costs.json"
SIZES = (6, 65, 195, 320)
JOIN_S = 6.0
"""Time after the start of all hosts in which they join and register, in seconds."""
IDLE_S = 5.0
LOAD_S = 5.0
WARM_UP_S = 2.0
REQUESTS_PER_HOST_S = 4.0
REQUEST_S = 0.3
IMPORT_RUNS = 3
MAIN = "from tarragonwind.platform_start import import_daemon; import_daemon()"
SHOWN_SHARE = 0.04
"""Share of the time of a phase from which on a kind of work has a row of its own."""


@dataclasses.dataclass(slots=True)
class CostRow:
    """Processor time of one kind of work in one phase.

    Attributes
    ----------
    phase : str
        ``start``, ``idle`` or ``load``.
    hosts : int
        Size of the fleet.
    work : str
        Kind of work.
    per_host : float
        How often a host does it: in the whole phase for ``start``, else in a second.
    us : float
        Processor time of one, in microseconds.
    """

    phase: str
    hosts: int
    work: str
    per_host: float
    us: float

    @property
    def us_per_host(self) -> float:
        """Return the processor time of a host, in microseconds."""
        return self.per_host * self.us


def collect(phase: str, fleet: SimulatedFleet, seconds: float) -> list[CostRow]:
    """Return the rows of a phase and reset the meter."""
    hosts = len(fleet.names)
    rows = [
        CostRow(phase, hosts, label, work.count / hosts / seconds, 1e6 * average_s(work))
        for label, work in fleet.meter.works.items()
    ]
    fleet.meter.reset()
    return rows


def average_s(work: Work) -> float:
    """Return the processor time of one piece of work, in seconds."""
    return work.seconds / work.count if work.count else 0.0


def measure_fleet(size: int) -> list[CostRow]:
    """Measure the phases of a fleet: its start, idle hosts, and requests on all of them."""
    fleet = SimulatedFleet(size, engine_count=max(16, 2 * size // 3), slots=8)
    fleet.meter.is_on = True
    fleet.start_all()
    fleet.advance(JOIN_S)
    rows = collect("start", fleet, 1.0)
    fleet.advance(IDLE_S)
    rows += collect("idle", fleet, IDLE_S)
    fleet.meter.is_on = False
    load(fleet, WARM_UP_S)
    fleet.meter.is_on = True
    load(fleet, LOAD_S)
    return rows + collect("load", fleet, LOAD_S)


def load(fleet: SimulatedFleet, seconds: float) -> None:
    """Send requests to random hosts, with clocks of their own, and answer them after some time."""
    end = fleet.clock.now() + seconds
    rate = REQUESTS_PER_HOST_S * len(fleet.names)
    while fleet.clock.now() < end:
        fleet.advance(fleet.rng.expovariate(rate))
        send(fleet, fleet.rng.choice(fleet.alive()))


def send(fleet: SimulatedFleet, host: SimulatedHost) -> None:
    """Send one request to a host."""

    def granted(permit: Permit) -> None:
        fleet.clock.call_later(REQUEST_S, lambda: finish(fleet, host, permit))

    def refused(_exc: RequestError) -> None:
        """Let the caller go."""

    host.work("request", host.costs.request_s, lambda: fleet.request(host, granted, refused))


def finish(fleet: SimulatedFleet, host: SimulatedHost, permit: Permit) -> None:
    """End a request."""
    host.work(
        "end of a request", host.costs.finish_s, lambda: fleet.finish(host, permit, REQUEST_S)
    )


def measure_imports() -> float:
    """Return the processor time of a process that imports the daemon, in microseconds.

    The bytecode is cached, as after the build of a deployment.
    """
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": ""}
    times = []
    for _ in range(IMPORT_RUNS):
        before = os.times()
        subprocess.run([sys.executable, "-c", MAIN], check=True, env=environment)
        after = os.times()
        spent = after.children_user + after.children_system
        times.append(spent - before.children_user - before.children_system)
    return 1e6 * min(times)


def print_table(rows: list[CostRow], sizes: tuple[int, ...]) -> None:
    """Print a Markdown table: a row for each kind of work, a column for each size."""
    by_key = {(row.phase, row.work, row.hosts): row for row in rows}
    print("| phase | work | " + " | ".join(f"{size} hosts" for size in sizes) + " |")
    print("|---|---|" + "---|" * len(sizes))
    for phase in ("process", "start", "idle", "load"):
        for work in shown_works(rows, phase):
            cells = [format_cell(by_key.get((phase, work, size))) for size in sizes]
            print(f"| {phase} | {work.split('.<locals>.')[-1]} | " + " | ".join(cells) + " |")
        totals = []
        for size in sizes:
            spent = sum(row.us_per_host for row in rows if row.phase == phase and row.hosts == size)
            totals.append(f"{spent / 1e3:.2f} ms" + ("" if phase in ("process", "start") else "/s"))
        print(f"| {phase} | **all, a host** | " + " | ".join(totals) + " |")


def shown_works(rows: list[CostRow], phase: str) -> list[str]:
    """Return the kinds of work that take a visible share at some size, the largest first."""
    spent: dict[int, float] = {}
    for row in rows:
        if row.phase == phase:
            spent[row.hosts] = spent.get(row.hosts, 0.0) + row.us_per_host
    shares: dict[str, float] = {}
    for row in rows:
        if row.phase == phase and spent[row.hosts]:
            share = row.us_per_host / spent[row.hosts]
            shares[row.work] = max(share, shares.get(row.work, 0.0))
    visible = [work for work, share in shares.items() if share >= SHOWN_SHARE]
    return sorted(visible, key=lambda work: -shares[work])


def format_cell(row: CostRow | None) -> str:
    """Return how often a host does something, and the time of one."""
    return "-" if row is None else f"{row.per_host:.2f} x {row.us:.0f} us"


def measure(sizes: tuple[int, ...] = SIZES, json_file: str = str(DATA)) -> None:
    """Measure fleets and print the table.

    Parameters
    ----------
    sizes : tuple of int
        Sizes of the fleets.
    json_file : str
        Where to write the rows, empty for nowhere.
    """
    logger.remove()
    sizes = tuple(sizes) if isinstance(sizes, tuple | list) else (sizes,)
    import_us = measure_imports()
    rows = [CostRow("process", size, "imports", 1.0, import_us) for size in sizes]
    for size in sizes:
        rows += measure_fleet(size)
    print_table(rows, sizes)
    if json_file:
        document = [dataclasses.asdict(row) for row in rows]
        Path(json_file).write_text(json.dumps(document, indent=1) + "\n")


def show(json_file: str = str(DATA)) -> None:
    """Print the table of an earlier run."""
    rows = [CostRow(**fields) for fields in json.loads(Path(json_file).read_text())]
    print_table(rows, tuple(sorted({row.hosts for row in rows})))


if __name__ == "__main__":
    fire.Fire({"measure": measure, "show": show})
