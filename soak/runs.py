"""Run the soak test for one seed or several: ``python -m soak.runs --seed 7 --seeds 50``."""

from __future__ import annotations

import json
import random
import signal
import sys
import tempfile
import threading
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import fire

from soak.callers import CallerRecord, LoadWorker
from soak.checkers import Violation, check_recovery, check_run
from soak.histories import History
from soak.injections import FaultInjector
from soak.promises import check_memory, check_promises, check_sound_streams, check_versions
from standins.fleets import FleetError
from standins.platform_engine import EVENTS_PER_STREAM
from standins.platform_fleets import PlatformFleet

HOSTS, ENGINES, SERVICES, CALLERS = 3, 3, 3, 6
PATIENT_CALLERS = 4
SLOTS = 3
"""Requests that each back end takes at a time, few enough for a surge to fill them."""
BASE_IDLE_MS = 4_000
"""Idle limit of callers' connections outside of changes, in milliseconds."""
RECOVERY_S = 6.0
"""Length of the recovery phase, which follows the faults, in seconds."""
RECOVERY_WARMUP_S = 4.0
"""First part of the recovery phase, in which failures are allowed, in seconds."""


@dataclass(slots=True)
class Soak(FaultInjector):
    """Run the processes of one seed under load, and check the invariants."""

    def run(self) -> list[Violation]:
        """Start all processes, inject the faults under load and check the invariants."""
        self.site.base["limits"] = {"idleTimeoutMs": BASE_IDLE_MS}
        self.site.slots = SLOTS
        self.site.start(engines=0, services=0, hosts=HOSTS)
        for number in range(ENGINES):
            self.start_back_end(f"i-engine{number}", "drafting")
        for number in range(SERVICES):
            self.start_back_end(f"i-service{number}", "registry")
        callers = [self.create_caller(number) for number in range(CALLERS)]
        for number in range(CALLERS, CALLERS + PATIENT_CALLERS):
            callers.append(self.create_caller(number, patient=True))
        threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
        for thread in threads:
            thread.start()
        self.inject_faults()
        self.wait_until(time.monotonic() + RECOVERY_WARMUP_S)
        counts = [len(caller.records) for caller in callers]
        self.wait_until(time.monotonic() + RECOVERY_S - RECOVERY_WARMUP_S)
        self.stopped.set()
        for thread in threads:
            thread.join(10)
        return self.check(callers, counts)

    def create_caller(self, number: int, patient: bool = False) -> LoadWorker:
        """Create a caller of the load."""
        name, rng = f"s{self.seed}-c{number}", random.Random(self.seed + number)
        return LoadWorker(self.site, name, rng, self.stopped, patient=patient)

    def check(self, callers: list[LoadWorker], counts: list[int]) -> list[Violation]:
        """Check the callers' records against the journals of back ends."""
        records: list[CallerRecord] = []
        recovery_records: list[CallerRecord] = []
        for caller, count in zip(callers, counts, strict=True):
            records += caller.records
            recovery_records += caller.records[count:-1]
        for caller in self.more_callers:
            records += caller.records
        self.save_records(records)
        lines = [line for name in self.pools for line in self.site.journal(name)]
        history = History(
            records,
            lines,
            self.disturbances,
            self.resets,
            list(self.site.versions),
            self.evacuations.spans,
            self.site.zones,
        )
        statuses = sorted({record.status for record in records})
        print(
            f"seed={self.seed} requests={len(records)} statuses="
            + ",".join(
                f"{status}:{sum(r.status == status for r in records)}" for status in statuses
            )
        )
        return [
            *check_run(records, lines, EVENTS_PER_STREAM),
            *check_recovery(recovery_records),
            *check_sound_streams(recovery_records),
            *check_promises(history),
            *self.check_hosts(),
        ]

    def save_records(self, records: list[CallerRecord]) -> None:
        """Write the callers' records beside the logs, without the bodies."""
        lines = [json.dumps({**asdict(one), "body": len(one.body)}) for one in records]
        (self.site.directory / "records.jsonl").write_text("\n".join(lines) + "\n")

    def check_hosts(self) -> list[Violation]:
        """Check the log of each host, and the largest memory of those that run."""
        violations = []
        for name in self.site.addresses:
            violations += check_versions(name, self.site.fleet.log_path(name).read_text())
            running = self.site.fleet.processes[name]
            if running.process.poll() is None:
                status = Path(f"/proc/{running.pid}/status").read_text()
                violations += check_memory(name, status)
        return violations


def run_seed(seed: int, seconds: float) -> list[Violation]:
    """Run one seed in a new temporary directory, which is kept, and print the violations."""
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    with PlatformFleet(directory) as site:
        try:
            violations = Soak(seed, seconds, site).run()
        except FleetError as exc:
            violations = [Violation("all processes start", "-", str(exc))]
    for violation in violations:
        print(f"seed={seed} VIOLATED {violation.invariant}: {violation.attempt} {violation.detail}")
    if violations:
        print(f"seed={seed} logs: {directory}")
    return violations


def main(seed: int = 0, seeds: int = 1, seconds: float = 20.0) -> None:
    """Run seeds and exit non-zero if an invariant was violated.

    Parameters
    ----------
    seed : int
        First seed; 0 chooses a random one.
    seeds : int
        Number of consecutive seeds to run.
    seconds : float
        Length of the fault phase of each run in seconds.
    """
    # An exit, unlike the signal's own effect, stops the processes that the run has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    failed = [number for number in range(first, first + seeds) if run_seed(number, float(seconds))]
    print(f"{seeds - len(failed)} of {seeds} seeds passed; failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
