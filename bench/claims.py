"""Measure what claims of idempotency keys cost the store, and what they add to a request.

Run ``python -m bench.claims --out docs/data``: it writes JSON and prints a table.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path

from loguru import logger

from bench.catalogue_fleets import Fleet
from bench.virtual_clocks import VirtualTimers
from tarragonwind import claim_writers
from tarragonwind.adapters.memory_stores import MemoryStore
from tarragonwind.claims import Claim, Claims, create_claims
from tarragonwind.errors import RequestError
from tarragonwind.futures import Future

DURATION_S = 20.0
TTL_S = 600
REPEAT_SHARE = 0.01
"""Share of claims whose key is one that was claimed before."""
MAX_REPEATED_KEYS = 1_000


@dataclass(slots=True)
class ClaimRow:
    """Hold one run.

    Attributes
    ----------
    hosts : int
        Daemons of the fleet.
    claims_per_s : float
        Claims asked for by the whole fleet.
    way : str
        "direct": each daemon writes its own; "writers": few write for the fleet.
    writes_per_s, reads_per_s : float
        Calls of the store by the claims and what records them as done.
    median_ms, worst_ms : float
        Time that a claim adds to a request, in milliseconds.
    refused : int
        Claims refused, all of them repeated keys.
    control_bytes_per_s : float
        Sent by the busiest daemon, the catalogue's comparison of numbers included.
    """

    hosts: int
    claims_per_s: float
    way: str
    writes_per_s: float
    reads_per_s: float
    median_ms: float
    worst_ms: float
    refused: int
    control_bytes_per_s: float


class ClaimLoad:
    """Ask for claims at a steady rate through random daemons and finish those given."""

    def __init__(self, hosts: int, claims_per_s: float) -> None:
        self.timers = VirtualTimers()
        self.calls: Counter[str] = Counter()
        store = MemoryStore(self.timers, self._count)
        self.fleet = Fleet(store, self.timers, 1)
        self.fleet.add_hosts(hosts)
        self.claims: list[Claims] = [
            create_claims(
                host.store, host.members, host.peers, self.timers, random.Random(host.name), "t"
            )
            for host in self.fleet.hosts.values()
        ]
        self.rng = random.Random(2)
        self.claims_per_s = claims_per_s
        self.times_s: list[float] = []
        self.refused = 0
        self._keys: list[str] = []
        self._asked = 0

    def _count(self, kind: str) -> None:
        self.calls[kind] += 1

    def warm_up(self) -> None:
        """Let each daemon get its lease and compare numbers."""
        for index, claims in enumerate(self.claims):
            claims.claim("org", "route", f"warm-{index}", TTL_S)
        self.timers.advance(10.0)
        self.calls.clear()
        self.fleet.sent_bytes.clear()

    def run(self) -> None:
        """Ask for claims during `DURATION_S`."""
        end = self.timers.now() + DURATION_S
        while self.timers.now() < end:
            self._ask()
            self.timers.advance(self.rng.expovariate(self.claims_per_s))
        self.timers.advance(1.0)

    def _ask(self) -> None:
        claims = self.rng.choice(self.claims)
        began = self.timers.now()
        fut = claims.claim("org", "route", self._choose_key(), TTL_S)
        fut.add_callback(lambda done: self._take(claims, began, done))

    def _choose_key(self) -> str:
        if self._keys and self.rng.random() < REPEAT_SHARE:
            return self.rng.choice(self._keys)
        self._asked += 1
        key = f"key-{self._asked}"
        if len(self._keys) < MAX_REPEATED_KEYS:
            self._keys.append(key)
        return key

    def _take(self, claims: Claims, began: float, done: Future[Claim]) -> None:
        try:
            claim = done.result()
        except RequestError:
            self.refused += 1
            return
        self.times_s.append(self.timers.now() - began)
        claims.finish(claim)


def measure(hosts: int, claims_per_s: float, way: str) -> ClaimRow:
    """Run one load."""
    direct_hosts = claim_writers.MAX_DIRECT_WRITERS
    claim_writers.MAX_DIRECT_WRITERS = hosts if way == "direct" else 0
    try:
        load = ClaimLoad(hosts, claims_per_s)
        load.warm_up()
        load.run()
    finally:
        claim_writers.MAX_DIRECT_WRITERS = direct_hosts
    writes = sum(count for kind, count in load.calls.items() if kind not in ("range", "watch"))
    return ClaimRow(
        hosts,
        claims_per_s,
        way,
        writes / DURATION_S,
        load.calls["range"] / DURATION_S,
        statistics.median(load.times_s) * 1_000,
        max(load.times_s) * 1_000,
        load.refused,
        max(load.fleet.sent_bytes.values()) / DURATION_S,
    )


RUNS = (
    (8, 5.0, "direct"),
    (8, 100.0, "direct"),
    (320, 55.0, "direct"),
    (320, 55.0, "writers"),
    (320, 550.0, "direct"),
    (320, 550.0, "writers"),
    (320, 2_750.0, "writers"),
)


def main() -> None:
    """Run all loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=None)
    args = parser.parse_args()
    logger.remove()
    rows = [measure(*run) for run in RUNS]
    print(" | ".join(asdict(rows[0])))
    for row in rows:
        values = asdict(row).values()
        print(" | ".join(f"{one:.1f}" if isinstance(one, float) else str(one) for one in values))
    if args.out is not None:
        args.out.mkdir(parents=True, exist_ok=True)
        text = json.dumps([asdict(row) for row in rows], indent=1)
        (args.out / "claims.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
