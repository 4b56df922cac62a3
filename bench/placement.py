"""Compare upstream selection strategies, with and without prefix routing and cancellation.

Run ``python -m bench.placement``; it prints a table, writes ``docs/data/placement.json`` and
plots ``docs/data/placement.png``.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import pathlib
import random
import statistics
from collections.abc import Iterable

import fire

from bench.fake_engines import FakeEngine
from bench.fleets import ENGINES, Fleet, RequestRecord
from bench.tiers import use_one_owner, use_round_robin
from bench.traces import PREFILL_SPEEDUP, Arrival
from tarragonwind.core.permits import PoolOwner
from tarragonwind.core.placements import Placement, Placer
from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.queues import QueuedRequest
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad

TRACE_DURATION_S = 60.0
DRAIN_S = 40.0
"""Simulated time after the trace in which open requests may end, in seconds."""

HOST_COUNT = 8
LOAD = 0.85
"""Offered work relative to the capacity of the engines."""

DOCUMENT_COUNT = 60
CACHED_PREFIXES = 60
"""Prefixes in the cache of each engine."""

CHUNK_TOKENS = 500
CHUNKS = 3
"""Chunks of a document; the prefix that ends with each chunk has its own cache entry."""

DISCONNECT_FRACTION = 0.15
"""Fraction of callers that disconnect early."""

SLOW_FROM_S, SLOW_UNTIL_S, SLOW_FACTOR = 20.0, 40.0, 3.0
"""Time span in which engine ``e3`` is slow, in seconds, and its slowdown factor."""

REPORT_PERIOD_S = 1.0
REPORT_LAG_S = 1.0
EVENT_LAG_S = 1.0
EVENT_LOSS = 0.2
"""Fraction of cache events that are lost."""


class NoPrefixHints(PrefixHints):
    """Disable prefix routing: report every prefix as not cached."""

    __slots__ = ()

    def cached_share(self, upstream: str, prefixes: tuple[int, ...]) -> float:
        """Return 0."""
        return 0.0


class RoundRobinPlacer(Placer):
    """Choose upstreams with spare capacity by round robin."""

    __slots__ = ("_turn",)

    def choose(
        self, now: float, rng: random.Random, loads: Iterable[UpstreamLoad], req: QueuedRequest
    ) -> Placement | None:
        """Choose the next upstream with room in the order of names."""
        with_room = [load for load in loads if load.has_room(now)]
        if not with_room:
            return None
        with_room.sort(key=lambda load: load.entry.name)
        self._turn = getattr(self, "_turn", 0) + 1
        return self.estimate(now, with_room[self._turn % len(with_room)], req)


class LeastInFlightPlacer(Placer):
    """Choose the upstream with the fewest requests in flight."""

    __slots__ = ()

    def choose(
        self, now: float, rng: random.Random, loads: Iterable[UpstreamLoad], req: QueuedRequest
    ) -> Placement | None:
        """Choose an upstream with room by the number of requests in flight."""
        with_room = [load for load in loads if load.has_room(now)]
        if not with_room:
            return None
        return self.estimate(now, min(with_room, key=lambda load: load.in_flight), req)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementStrategy:
    """Describe one placement strategy.

    Attributes
    ----------
    name : str
        Name in the table.
    placer : type or None
        Class that chooses an upstream; None dispatches without a queue, by round robin.
    prefixes : bool
        Whether placement uses hints on cached prefixes.
    cancel : bool
        Whether requests of disconnected callers are cancelled.
    """

    name: str
    placer: type[Placer] | None
    prefixes: bool = False
    cancel: bool = True


STRATEGIES = (
    PlacementStrategy("round robin, no queue", None, cancel=False),
    PlacementStrategy("in turn", RoundRobinPlacer),
    PlacementStrategy("least in flight", LeastInFlightPlacer),
    PlacementStrategy("completion", Placer),
    PlacementStrategy("completion, prefix", Placer, prefixes=True),
    PlacementStrategy("same, no cancel", Placer, prefixes=True, cancel=False),
)


@dataclasses.dataclass(slots=True)
class Result:
    """Results of one strategy over several seeds.

    Attributes
    ----------
    goodput : float
        Fraction of requests answered in time, of those whose caller does not disconnect.
    first_p50_s, first_p95_s, whole_p95_s : float
        Time from arrival to the first token and to the whole answer, in seconds.
    prefill_per_good : float
        Prompt tokens prefilled by engines per answer in time.
    wasted : float
        Fraction of prefilled tokens that belong to requests not answered in time.
    cached : float
        Fraction of the prompt tokens of started requests that were in the cache.
    """

    name: str
    goodput: float
    first_p50_s: float
    first_p95_s: float
    whole_p95_s: float
    prefill_per_good: float
    wasted: float
    cached: float


def draw_document_trace(seed: int) -> list[Arrival]:
    """Generate a trace of questions on recurring documents; some callers disconnect early."""
    rng = random.Random(f"documents {seed}")
    weights = [1.0 / (1 + rank) ** 0.7 for rank in range(DOCUMENT_COUNT)]
    cost = (CHUNKS * CHUNK_TOKENS + 60) / PREFILL_SPEEDUP + 60
    rate = LOAD * sum(spec.tokens_per_s for spec in ENGINES) / cost
    arrivals: list[Arrival] = []
    at = 0.0
    while (at := at + rng.expovariate(rate)) < TRACE_DURATION_S:
        document = rng.choices(range(DOCUMENT_COUNT), weights)[0]
        disconnects = rng.random() < DISCONNECT_FRACTION
        arrivals.append(
            Arrival(
                number=len(arrivals),
                at=at,
                host=rng.randrange(HOST_COUNT),
                tier=rng.randrange(4),
                organisation="scaravilli",
                prompt_tokens=CHUNKS * CHUNK_TOKENS + rng.randint(20, 100),
                output_tokens=rng.randint(20, 100),
                prefixes=tuple(document * 10 + chunk for chunk in range(CHUNKS)),
                disconnects_at=at + rng.uniform(0.2, 3.0) if disconnects else float("inf"),
            )
        )
    return arrivals


def run_once(strategy: PlacementStrategy, seed: int) -> list[RequestRecord]:
    """Run one trace and return the record of each request."""
    fleet = Fleet(seed, HOST_COUNT, max_prefixes=CACHED_PREFIXES)
    if strategy.placer is None:
        submit_record = use_round_robin(fleet)
    else:
        submit_record = use_one_owner(fleet)
        owner = fleet.hosts["h0"].owner
        hints = PrefixHints() if strategy.prefixes else NoPrefixHints()
        owner.hints = hints
        owner.placer = strategy.placer(LoadSettings(), hints)
        schedule_load_reports(fleet, owner)
        forward_cache_events(fleet, owner, seed)
    fleet.load_trace(draw_document_trace(seed), submit_record)
    if strategy.cancel:
        schedule_disconnects(fleet)
    slow = fleet.engines["e3"]
    fleet.simulator.call_at(SLOW_FROM_S, lambda: slow.set_slowness(SLOW_FACTOR))
    fleet.simulator.call_at(SLOW_UNTIL_S, lambda: slow.set_slowness(1.0))
    fleet.simulator.run(TRACE_DURATION_S + DRAIN_S)
    return fleet.records


def schedule_disconnects(fleet: Fleet) -> None:
    """Schedule the disconnects of callers during the trace."""
    for record in fleet.records:
        host = fleet.hosts[fleet.names[record.arrival.host]]
        if record.arrival.disconnects_at < TRACE_DURATION_S:
            on_disconnect = functools.partial(host.on_disconnect, record)
            fleet.simulator.call_at(record.arrival.disconnects_at, on_disconnect)


def schedule_load_reports(fleet: Fleet, owner: PoolOwner) -> None:
    """Send the owner periodic load reports with a delay of `REPORT_LAG_S`."""

    def report() -> None:
        for name, engine in fleet.engines.items():
            deliver = functools.partial(_deliver_load_report, fleet, owner, name, engine.in_flight)
            fleet.simulator.call_at(fleet.simulator.now + REPORT_LAG_S, deliver)

    fleet.simulator.call_every(REPORT_PERIOD_S, report, REPORT_PERIOD_S)


def _deliver_load_report(fleet: Fleet, owner: PoolOwner, name: str, in_flight: int) -> None:
    owner.on_load_report(fleet.simulator.now, name, in_flight, REPORT_LAG_S)


def forward_cache_events(fleet: Fleet, owner: PoolOwner, seed: int) -> None:
    """Send the owner cache events with delay and loss."""
    rng = random.Random(f"events {seed}")

    def subscribe(name: str, engine: FakeEngine) -> None:
        def deliver_later(call: functools.partial[None]) -> None:
            if rng.random() >= EVENT_LOSS:
                fleet.simulator.call_at(fleet.simulator.now + EVENT_LAG_S, call)

        engine.on_cached = lambda held: deliver_later(
            functools.partial(owner.hints.add, name, held)
        )
        engine.on_evicted = lambda old: deliver_later(
            functools.partial(owner.hints.remove, name, [old])
        )

    for name, engine in fleet.engines.items():
        subscribe(name, engine)


def measure(strategy: PlacementStrategy, seeds: int) -> Result:
    """Run a strategy over several seeds and return its results."""
    records = [record for seed in range(seeds) for record in run_once(strategy, seed)]
    staying = [r for r in records if r.arrival.disconnects_at == float("inf")]
    answered = [r for r in staying if r.first_at is not None and r.ended_at is not None]
    firsts = sorted((r.first_at or 0.0) - r.arrival.at for r in answered)
    wholes = sorted((r.ended_at or 0.0) - r.arrival.at for r in answered)
    started = [r for r in records if r.started_at is not None]
    prefill_tokens = sum(_prefilled_tokens(r) for r in started)
    good = [r for r in records if r.is_good]
    prompts = sum(r.arrival.prompt_tokens for r in started)
    return Result(
        name=strategy.name,
        goodput=sum(r.is_good for r in staying) / len(staying),
        first_p50_s=statistics.median(firsts),
        first_p95_s=firsts[int(0.95 * len(firsts))],
        whole_p95_s=wholes[int(0.95 * len(wholes))],
        prefill_per_good=prefill_tokens / len(good),
        wasted=1.0 - sum(_prefilled_tokens(r) for r in good) / prefill_tokens,
        cached=1.0 - sum(r.job.prefill_tokens for r in started if r.job is not None) / prompts,
    )


def _prefilled_tokens(record: RequestRecord) -> float:
    """Return the number of prefilled prompt tokens, also of a job cancelled during prefill."""
    job = record.job
    if job is None:
        return 0.0
    return (
        job.prefill_tokens
        if job.state != "cancelled"
        else min(job.prefill_tokens, job.prefilled_before_cancel)
    )


def plot(results: list[Result], path: pathlib.Path) -> None:
    """Plot goodput, time to first token and prefill cost of each strategy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 3.2))
    names = [result.name for result in results]
    axes[0].barh(names, [result.goodput for result in results])
    axes[0].set_title("goodput")
    axes[1].barh(names, [result.first_p95_s for result in results])
    axes[1].set_title("time to first token, p95, s")
    axes[1].set_yticklabels([])
    axes[2].barh(names, [result.prefill_per_good for result in results])
    axes[2].set_title("prompt tokens prefilled per good answer")
    axes[2].set_yticklabels([])
    for axis in axes:
        axis.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main(seeds: int = 3, out: str = "docs/data") -> None:
    """Run all strategies and write the results.

    Parameters
    ----------
    seeds : int
        Number of traces per strategy.
    out : str
        Directory for ``placement.json`` and ``placement.png``.
    """
    directory = pathlib.Path(out)
    directory.mkdir(parents=True, exist_ok=True)
    print(f"{'':<22} goodput  first p50  first p95  whole p95  prefill/good  wasted  cached")
    results = []
    for strategy in STRATEGIES:
        result = measure(strategy, seeds)
        results.append(result)
        print(
            f"{result.name:<22} {result.goodput:7.3f} {result.first_p50_s:10.2f} "
            f"{result.first_p95_s:10.2f} {result.whole_p95_s:10.2f} "
            f"{result.prefill_per_good:13.0f} {result.wasted:7.3f} {result.cached:7.3f}",
            flush=True,
        )
    doc = {"seeds": seeds, "load": LOAD, "ways": [dataclasses.asdict(r) for r in results]}
    (directory / "placement.json").write_text(json.dumps(doc, indent=1) + "\n")
    plot(results, directory / "placement.png")


if __name__ == "__main__":
    fire.Fire(main)
