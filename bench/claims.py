"""Measure the store load of idempotency-key claims and the latency that they add to a request.

Run ``python -m bench.claims --out docs/data`` to print a table and write the results as JSON.
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
"""Fraction of the claims that repeat an earlier key."""
MAX_REPEATED_KEYS = 1_000
"""Number of keys, the first ones, that can be repeated."""


@dataclass(slots=True)
class ClaimRow:
    """Hold the results of one run.

    Attributes
    ----------
    hosts : int
        Number of daemons in the fleet.
    claims_per_s : float
        Rate of claims of the whole fleet.
    way : str
        "direct": each daemon writes its own claims; "writers": a few daemons write the claims of
        the whole fleet in batches.
    writes_per_s, reads_per_s : float
        Store calls for claims and for recording them as done.
    median_ms, worst_ms : float
        Latency that a claim adds to a request, in milliseconds.
    refused : int
        Refused claims, all of them for repeated keys.
    control_bytes_per_s : float
        Bytes that the busiest daemon sends to others, including the periodic comparison of
        catalogue change numbers.
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
    """Generate claims at random daemons as a Poisson process, and finish each granted claim.

    Parameters
    ----------
    hosts : int
        Number of daemons in the fleet.
    claims_per_s : float
        Mean rate of claims of the whole fleet.
    """

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
        self._key_count = 0

    def _count(self, kind: str) -> None:
        self.calls[kind] += 1

    def warm_up(self) -> None:
        """Let each daemon acquire its lease and compare catalogue numbers; reset the counters."""
        for index, claims in enumerate(self.claims):
            claims.claim("org", "route", f"warm-{index}", TTL_S)
        self.timers.advance(10.0)
        self.calls.clear()
        self.fleet.sent_bytes.clear()

    def run(self) -> None:
        """Generate claims during `DURATION_S`."""
        end = self.timers.now() + DURATION_S
        while self.timers.now() < end:
            self._send_claim()
            self.timers.advance(self.rng.expovariate(self.claims_per_s))
        self.timers.advance(1.0)

    def _send_claim(self) -> None:
        claims = self.rng.choice(self.claims)
        started = self.timers.now()
        fut = claims.claim("org", "route", self._choose_key(), TTL_S)
        fut.add_callback(lambda done: self._on_claim_done(claims, started, done))

    def _choose_key(self) -> str:
        if self._keys and self.rng.random() < REPEAT_SHARE:
            return self.rng.choice(self._keys)
        self._key_count += 1
        key = f"key-{self._key_count}"
        if len(self._keys) < MAX_REPEATED_KEYS:
            self._keys.append(key)
        return key

    def _on_claim_done(self, claims: Claims, started: float, done: Future[Claim]) -> None:
        try:
            claim = done.result()
        except RequestError:
            self.refused += 1
            return
        self.times_s.append(self.timers.now() - started)
        claims.finish(claim)


def measure(hosts: int, claims_per_s: float, way: str) -> ClaimRow:
    """Measure one load, with claims written directly or through the claim writers."""
    saved_direct_hosts = claim_writers.MAX_DIRECT_WRITERS
    claim_writers.MAX_DIRECT_WRITERS = hosts if way == "direct" else 0
    try:
        load = ClaimLoad(hosts, claims_per_s)
        load.warm_up()
        load.run()
    finally:
        claim_writers.MAX_DIRECT_WRITERS = saved_direct_hosts
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
    """Run all loads, print the results and write them to ``--out``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=None)
    args = parser.parse_args()
    logger.remove()
    rows = [measure(*run) for run in RUNS]
    print(" | ".join(asdict(rows[0])))
    for row in rows:
        values = asdict(row).values()
        print(" | ".join(f"{v:.1f}" if isinstance(v, float) else str(v) for v in values))
    if args.out is not None:
        args.out.mkdir(parents=True, exist_ok=True)
        text = json.dumps([asdict(row) for row in rows], indent=1)
        (args.out / "claims.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
