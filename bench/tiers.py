"""Compare policies for sharing an overloaded pool between entry hosts.

Run ``python -m bench.tiers``; it prints tables, writes ``docs/data/tiers.json`` and plots
``docs/data/tiers.png``.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import statistics
from collections.abc import Callable

import fire

from bench.fake_engines import FakeEngine
from bench.fleets import ENGINES, POOL, Fleet, RequestRecord
from bench.traces import draw_trace
from tarragonwind.core.entries import TIER_COUNT

LOADS = (0.8, 1.0, 1.5, 2.0, 3.0)
TRACE_DURATION_S = 60.0
DRAIN_S = 40.0
"""Simulated time after the trace in which open requests may end, in seconds."""

HOST_COUNT = 8
FAULT_AT_S = 20.0
FAULT_DURATION_S = 8.0
DETECTION_DELAY_S = 2.0
"""Time from a fault, or its end, to the change of the hosts' membership views, in seconds."""

REBALANCE_PERIOD_S = 0.5
CAPACITY_TOKENS_PER_S = sum(spec.tokens_per_s for spec in ENGINES)

POLICIES: dict[str, Callable[[Fleet], Callable[[RequestRecord], None]]] = {}
"""Functions that configure a fleet, by policy name; each returns the handler for arrivals."""


@dataclasses.dataclass(slots=True)
class Result:
    """Results of one run.

    Attributes
    ----------
    policy : str
        Name of the sharing policy.
    load : float
        Offered work relative to capacity.
    seed : int
        Seed of the trace.
    goodput : list of float
        Fraction of the requests of each tier that were answered in time.
    wait_p50_s, wait_p95_s : list of float
        Time from arrival to the start in an engine by tier, for started requests, in seconds.
    inversions : float
        Fraction of starts while a request of a higher tier had waited for more than 0.1 s.
    shed_inversions : float
        Fraction of the refused requests of tiers 0 to 2 for which an engine started a request of
        a lower tier between 0.1 s after their arrival and 0.5 s before their deadline.
    control_bytes_per_s : float
        Control traffic sent per host, on average, in bytes per second.
    control_bytes_per_s_max : float
        Control traffic sent by the host that sent most, in bytes per second.
    max_overcommit : float
        Largest number of jobs in an engine relative to its batch size.
    double_dispatches : int
        Number of requests dispatched more than once.
    """

    policy: str
    load: float
    seed: int
    goodput: list[float]
    wait_p50_s: list[float]
    wait_p95_s: list[float]
    inversions: float
    shed_inversions: float
    control_bytes_per_s: float
    control_bytes_per_s_max: float
    max_overcommit: float
    double_dispatches: int


def policy(name: str) -> Callable[..., Callable[[Fleet], Callable[[RequestRecord], None]]]:
    """Register a sharing policy."""

    def register(
        func: Callable[[Fleet], Callable[[RequestRecord], None]],
    ) -> Callable[[Fleet], Callable[[RequestRecord], None]]:
        POLICIES[name] = func
        return func

    return register


@policy("round robin")
def use_round_robin(fleet: Fleet) -> Callable[[RequestRecord], None]:
    """Dispatch each request at once to the next engine, which serves in FIFO order."""
    engines: list[FakeEngine] = list(fleet.engines.values())
    turns = {name: number for number, name in enumerate(fleet.names)}

    def submit_record(record: RequestRecord) -> None:
        host = fleet.names[record.arrival.host]
        turns[host] += 1
        record.dispatches += 1

        def on_end() -> None:
            record.ended_at = fleet.simulator.now

        record.job = fleet.create_job(record, on_end)
        engines[turns[host] % len(engines)].submit(record.job)
        fleet.update_max_overcommit()

    return submit_record


@policy("fixed share")
def use_fixed_shares(fleet: Fleet) -> Callable[[RequestRecord], None]:
    """Give each host its own queue and an equal share of the pool."""
    for host in fleet.hosts.values():
        host.owner.set_share(0.0, 1.0 / len(fleet.names))
        host.set_view(host.name, [host.name])
    return fleet.submit_to_host


@policy("re-divided shares")
def use_rebalanced_shares(fleet: Fleet) -> Callable[[RequestRecord], None]:
    """Give each host its own queue and a share that follows its reported demand, by tier."""
    submit_record = use_fixed_shares(fleet)

    def rebalance() -> None:
        demands = {name: _demand(fleet, name) for name in fleet.names}
        slots = float(sum(spec.slots for spec in ENGINES))
        shares = {name: 0.0 for name in fleet.names}
        for tier in range(TIER_COUNT):
            total = sum(demand[tier] for demand in demands.values())
            part = min(1.0, slots / total) if total else 0.0
            for name, demand in demands.items():
                shares[name] += demand[tier] * part
            slots -= total * part
        for name in fleet.names:
            shares[name] += slots / len(fleet.names)
            total_slots = sum(spec.slots for spec in ENGINES)
            share = max(0.01, min(1.0, shares[name] / total_slots))
            fleet.hosts[name].owner.set_share(fleet.simulator.now, share)
            fleet.hosts[name].control_bytes += REPORT_BYTES

    fleet.simulator.call_every(REBALANCE_PERIOD_S, rebalance, REBALANCE_PERIOD_S)
    return submit_record


REPORT_BYTES = 40
"""Size of a demand report and the share sent in response, in bytes."""


def _demand(fleet: Fleet, name: str) -> list[float]:
    owner = fleet.hosts[name].owner
    return [
        float(waiting + running)
        for waiting, running in zip(owner.waiting_by_tier(), owner.in_flight_by_tier(), strict=True)
    ]


@policy("one owner")
def use_one_owner(fleet: Fleet) -> Callable[[RequestRecord], None]:
    """Let one host own the queue of the pool and grant all permits."""
    for host in fleet.hosts.values():
        host.set_view(fleet.names[0], fleet.names)
    return fleet.submit_to_host


@policy("two cells")
def use_two_cells(fleet: Fleet) -> Callable[[RequestRecord], None]:
    """Split the pool into two cells, one owner each; hosts use the cell with less of their load."""
    return use_one_owner(fleet)


@policy("two cells, both")
def use_both_cells(fleet: Fleet) -> Callable[[RequestRecord], None]:
    """Split the pool into two cells and hedge waiting requests of tiers 0 to 2 to the other."""
    return use_one_owner(fleet)


CELL_COUNTS = {"two cells": 2, "two cells, both": 2}
"""Number of cells of the pool, by policy; other policies have one."""

FAULTS: dict[str, Callable[[Fleet], None]] = {}
"""Functions that schedule a fault of the owner in the simulation, by name."""


def fault(name: str) -> Callable[..., Callable[[Fleet], None]]:
    """Register a fault of the owner."""

    def register(func: Callable[[Fleet], None]) -> Callable[[Fleet], None]:
        FAULTS[name] = func
        return func

    return register


@fault("none")
def inject_no_fault(fleet: Fleet) -> None:
    """Schedule no fault."""


@fault("owner dies")
def kill_owner(fleet: Fleet) -> None:
    """Kill the owner; its jobs are cancelled and the others detect the loss after a delay."""

    def kill() -> None:
        host = fleet.hosts["h0"]
        host.dead = True
        for engine, job in list(host.jobs.values()):
            engine.cancel(job)

    fleet.simulator.call_at(FAULT_AT_S, kill)
    fleet.simulator.call_at(
        FAULT_AT_S + DETECTION_DELAY_S, lambda: _reassign_owner(fleet, without_h0=True)
    )


@fault("owner paused")
def pause_owner(fleet: Fleet) -> None:
    """Pause the owner; after its resume it still acts as the owner until its view changes."""
    host = fleet.hosts["h0"]

    def pause() -> None:
        host.paused = True

    fleet.simulator.call_at(FAULT_AT_S, pause)
    fleet.simulator.call_at(
        FAULT_AT_S + DETECTION_DELAY_S, lambda: _reassign_owner(fleet, without_h0=True)
    )
    fleet.simulator.call_at(FAULT_AT_S + FAULT_DURATION_S, host.resume)
    fleet.simulator.call_at(
        FAULT_AT_S + FAULT_DURATION_S + DETECTION_DELAY_S,
        lambda: _reassign_owner(fleet, without_h0=False),
    )


@fault("owner cut off")
def partition_owner(fleet: Fleet) -> None:
    """Partition the owner from the other hosts; while this lasts, both sides have an owner."""
    fleet.simulator.call_at(FAULT_AT_S, lambda: fleet.partitioned.add("h0"))

    def detect() -> None:
        _reassign_owner(fleet, without_h0=True)
        fleet.hosts["h0"].set_view("h0", ["h0"])

    fleet.simulator.call_at(FAULT_AT_S + DETECTION_DELAY_S, detect)
    end = FAULT_AT_S + FAULT_DURATION_S
    fleet.simulator.call_at(end, fleet.partitioned.clear)
    fleet.simulator.call_at(
        end + DETECTION_DELAY_S, lambda: _reassign_owner(fleet, without_h0=False)
    )


@fault("two owners")
def split_ownership(fleet: Fleet) -> None:
    """Split the membership views: half of the hosts use another owner."""

    def split() -> None:
        for name in fleet.names[4:]:
            fleet.hosts[name].set_view("h4", fleet.names)

    fleet.simulator.call_at(FAULT_AT_S, split)
    fleet.simulator.call_at(
        FAULT_AT_S + FAULT_DURATION_S, lambda: _reassign_owner(fleet, without_h0=False)
    )


def _reassign_owner(fleet: Fleet, without_h0: bool) -> None:
    names = fleet.names[1:] if without_h0 else fleet.names
    for name in names:
        fleet.hosts[name].set_view(names[0], names)


def run_once(name: str, load: float, seed: int, fault_name: str = "none") -> Result:
    """Run one trace under one policy and return its results."""
    fleet = Fleet(
        seed,
        HOST_COUNT,
        cell_count=CELL_COUNTS.get(name, 1),
        hedges_requests=name == "two cells, both",
    )
    submit_record = POLICIES[name](fleet)
    trace = draw_trace(seed, load, CAPACITY_TOKENS_PER_S, TRACE_DURATION_S, HOST_COUNT)
    FAULTS[fault_name](fleet)
    fleet.load_trace(trace, submit_record)
    fleet.simulator.run(TRACE_DURATION_S)
    sent = [host.control_bytes for host in fleet.hosts.values()]
    fleet.simulator.run(TRACE_DURATION_S + DRAIN_S)
    by_tier = [
        [record for record in fleet.records if record.arrival.tier == tier]
        for tier in range(TIER_COUNT)
    ]
    return Result(
        policy=name,
        load=load,
        seed=seed,
        goodput=[sum(r.is_good for r in records) / len(records) for records in by_tier],
        wait_p50_s=[_wait(records, 0.5) for records in by_tier],
        wait_p95_s=[_wait(records, 0.95) for records in by_tier],
        inversions=fleet.inversions / max(1, fleet.starts),
        shed_inversions=fleet.shed_inversions(),
        control_bytes_per_s=sum(sent) / len(sent) / TRACE_DURATION_S,
        control_bytes_per_s_max=max(sent) / TRACE_DURATION_S,
        max_overcommit=fleet.max_overcommit,
        double_dispatches=sum(record.dispatches > 1 for record in fleet.records),
    )


def _wait(records: list[RequestRecord], quantile: float) -> float:
    waits = sorted(
        record.started_at - record.arrival.at for record in records if record.started_at is not None
    )
    return waits[int(quantile * (len(waits) - 1))] if waits else float("nan")


def merge(results: list[Result]) -> Result:
    """Average the results of several seeds; of maxima and counts keep the worst."""

    def mean(values: list[float]) -> float:
        return statistics.fmean(values)

    def by_tier(name: str) -> list[float]:
        return [mean([getattr(r, name)[tier] for r in results]) for tier in range(TIER_COUNT)]

    return Result(
        policy=results[0].policy,
        load=results[0].load,
        seed=-1,
        goodput=by_tier("goodput"),
        wait_p50_s=by_tier("wait_p50_s"),
        wait_p95_s=by_tier("wait_p95_s"),
        inversions=mean([r.inversions for r in results]),
        shed_inversions=mean([r.shed_inversions for r in results]),
        control_bytes_per_s=mean([r.control_bytes_per_s for r in results]),
        control_bytes_per_s_max=max(r.control_bytes_per_s_max for r in results),
        max_overcommit=max(r.max_overcommit for r in results),
        double_dispatches=max(r.double_dispatches for r in results),
    )


def render(label: str, result: Result) -> str:
    """Format a result as one line of the table."""
    good = " ".join(f"{value:5.3f}" for value in result.goodput)
    waits = " ".join(f"{value:6.2f}" for value in result.wait_p95_s)
    return (
        f"{label:<18} {result.load:4.1f}  {good}  {waits}  {result.inversions:6.3f} "
        f"{result.shed_inversions:6.3f} {result.control_bytes_per_s:7.0f} "
        f"{result.control_bytes_per_s_max:7.0f} {result.max_overcommit:6.2f} "
        f"{result.double_dispatches:4d}"
    )


HEADER = (
    f"{'':<18} load  goodput, tiers 0 to 3      wait p95 by tier, s          inver- shed   "
    "bytes/s a host  over-  twice\n"
    f"{'':<18}                                                          sions  invers.  mean    "
    "max  commit"
)


def plot(results: list[Result], path: pathlib.Path) -> None:
    """Plot goodput by tier over the load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, TIER_COUNT, figsize=(14, 3.5), sharey=True)
    for tier, axis in enumerate(axes):
        for name in POLICIES:
            of_policy = [result for result in results if result.policy == name]
            axis.plot(
                [result.load for result in of_policy],
                [result.goodput[tier] for result in of_policy],
                marker="o",
                label=name,
            )
        axis.set_title(f"tier {tier}")
        axis.set_xlabel("load / capacity")
    axes[0].set_ylabel("goodput (fraction in time)")
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main(seeds: int = 2, out: str = "docs/data") -> None:
    """Run all policies and faults and write the results.

    Parameters
    ----------
    seeds : int
        Number of traces per policy and load.
    out : str
        Directory for ``tiers.json`` and ``tiers.png``.
    """
    directory = pathlib.Path(out)
    directory.mkdir(parents=True, exist_ok=True)
    print(HEADER)
    results: list[Result] = []
    for load in LOADS:
        for name in POLICIES:
            result = merge([run_once(name, load, seed) for seed in range(seeds)])
            results.append(result)
            print(render(name, result), flush=True)
    print("\nfaults of the owner at 1.5 times capacity")
    faults: dict[str, Result] = {}
    for fault_name in FAULTS:
        runs = [run_once("one owner", 1.5, seed, fault_name) for seed in range(seeds)]
        faults[fault_name] = merge(runs)
        print(render(fault_name, faults[fault_name]), flush=True)
    doc = {
        "seeds": seeds,
        "pool": POOL,
        "capacity_tokens_per_s": CAPACITY_TOKENS_PER_S,
        "loads": [dataclasses.asdict(result) for result in results],
        "faults": {name: dataclasses.asdict(result) for name, result in faults.items()},
    }
    (directory / "tiers.json").write_text(json.dumps(doc, indent=1) + "\n")
    plot(results, directory / "tiers.png")


if __name__ == "__main__":
    fire.Fire(main)
