"""Play one seed, or many: ``python -m soak.runs --seed 7`` or ``--seeds 50``."""

from __future__ import annotations

import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

import fire

from soak.callers import CallerRecord, LoadWorker
from soak.checkers import Violation, check_recovery, check_run
from soak.schedules import Fault, Targets, generate_faults
from standins.fleets import FleetError, free_port, set_faults
from standins.platform_engine import EVENTS_PER_STREAM
from standins.platform_fleets import PlatformFleet

HOSTS, ENGINES, SERVICES, CALLERS = 3, 3, 3, 6
RECOVERY_S = 6.0
"""Calm end of a run, in which the fleet has to serve again, in seconds."""
RECOVERY_WARMUP_S = 4.0
"""Part of the calm that is left for coming back, in seconds."""

UndoFault = Callable[[], None]


@dataclass(slots=True)
class Soak:
    """Run the processes of one seed and bring its faults about."""

    seed: int
    seconds: float
    site: PlatformFleet
    pools: dict[str, str] = field(default_factory=dict)
    links: dict[str, int] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    active_faults: list[tuple[float, UndoFault]] = field(default_factory=list)

    def run(self) -> list[Violation]:
        """Start everything, play the faults under load and check."""
        self.site.start(engines=0, services=0, hosts=HOSTS)
        for number in range(ENGINES):
            self.start_back_end(f"i-engine{number}", "drafting")
        for number in range(SERVICES):
            self.start_back_end(f"i-service{number}", "registry")
        stopped = threading.Event()
        callers = [
            LoadWorker(
                self.site, f"s{self.seed}-c{number}", random.Random(self.seed + number), stopped
            )
            for number in range(CALLERS)
        ]
        threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
        for thread in threads:
            thread.start()
        self.inject_faults()
        time.sleep(RECOVERY_WARMUP_S)
        counts = [len(caller.records) for caller in callers]
        time.sleep(RECOVERY_S - RECOVERY_WARMUP_S)
        stopped.set()
        for thread in threads:
            thread.join(10)
        return self.check(callers, counts)

    def check(self, callers: list[LoadWorker], counts: list[int]) -> list[Violation]:
        """Compare what callers saw with the journals of back ends."""
        records: list[CallerRecord] = []
        calm: list[CallerRecord] = []
        for caller, count in zip(callers, counts, strict=True):
            records += caller.records
            calm += caller.records[count:-1]
        lines = [line for name in self.pools for line in self.site.journal(name)]
        statuses = sorted({record.status for record in records})
        print(
            f"seed={self.seed} requests={len(records)} statuses="
            + ",".join(f"{one}:{sum(r.status == one for r in records)}" for one in statuses)
        )
        return check_run(records, lines, EVENTS_PER_STREAM) + check_recovery(calm)

    def start_back_end(self, name: str, pool: str) -> None:
        """Start a back end behind a link that can fail, and register the link's address."""
        started = self.site.fleet.start_standin(
            name,
            "standins.platform_engine",
            "--name",
            name,
            "--journal",
            str(self.site.fleet.journal_path(name)),
        )
        self.ports[name] = started.port
        self.pools[name] = pool
        near = free_port()
        link = self.site.fleet.start_standin(
            f"link-{name}",
            "standins.fault_proxy",
            "--listen",
            f"127.0.0.1:{near}",
            "--target",
            f"127.0.0.1:{started.port}",
        )
        self.links[name] = link.port
        self.ports[f"near-{name}"] = near
        self.site.register(name, pool, near)

    def inject_faults(self) -> None:
        """Begin and end each fault at its time."""
        names = tuple(self.pools)
        faults = generate_faults(
            self.seed, self.seconds, Targets(tuple(self.site.addresses), names, names)
        )
        began = time.monotonic()
        for fault in faults:
            self.wait_until(began + fault.at_s)
            print(f"seed={self.seed} " + json.dumps(asdict(fault)), file=sys.stderr)
            undo = getattr(self, fault.kind)(fault)
            if undo is not None:
                self.active_faults.append((time.monotonic() + fault.for_s, undo))
        self.wait_until(time.monotonic() + max(0.0, began + self.seconds - time.monotonic()))
        for _, undo in self.active_faults:
            undo()
        self.active_faults.clear()

    def wait_until(self, end: float) -> None:
        """Sleep, ending the faults whose time is over."""
        while True:
            now = time.monotonic()
            for due, undo in [one for one in self.active_faults if one[0] <= now]:
                self.active_faults.remove((due, undo))
                undo()
            if now >= end:
                return
            time.sleep(0.02)

    def host_restarter(self, name: str) -> UndoFault:
        """Return what starts a host anew once its process is gone."""
        running = self.site.fleet.processes[name]

        def start() -> None:
            if self.site.fleet.processes[name] is not running:
                # Two faults took the same process; the first of them has started it anew.
                return
            if running.process.poll() is None:
                # A fault after the stop may have paused it, and it would never end.
                running.resume()
            running.process.wait(15)
            self.site.start_host(name)

        return start

    def kill_host(self, fault: Fault) -> UndoFault | None:
        """Kill a host that runs."""
        running = self.site.fleet.processes[fault.target]
        if running.process.poll() is not None:
            return None
        running.resume()
        running.kill()
        return self.host_restarter(fault.target)

    def stop_host(self, fault: Fault) -> UndoFault | None:
        """Ask a host for its planned stop."""
        running = self.site.fleet.processes[fault.target]
        if running.process.poll() is not None:
            return None
        running.process.send_signal(signal.SIGTERM)
        # A host that a fault before this one has paused would never end.
        running.resume()
        return self.host_restarter(fault.target)

    def pause_host(self, fault: Fault) -> UndoFault | None:
        """Let a host stand still."""
        running = self.site.fleet.processes[fault.target]
        if running.process.poll() is not None:
            return None
        running.pause()
        return lambda: running.process.send_signal(signal.SIGCONT)

    def set_fault(self, port: int, name: str, value: object, after: object) -> UndoFault:
        """Set a fault of a stand-in and return what takes it back."""
        set_faults(port, **{name: value})
        return lambda: set_faults(port, **{name: after})

    def silent(self, fault: Fault) -> UndoFault:
        """Let a back end take requests and answer nothing."""
        return self.set_fault(self.ports[fault.target], "silent", True, False)

    def cut_streams(self, fault: Fault) -> UndoFault:
        """Let a back end break its streams off in the middle of an event."""
        return self.set_fault(self.ports[fault.target], "cut_after_events", 4, 0)

    def fail(self, fault: Fault) -> UndoFault:
        """Let a back end fail."""
        return self.set_fault(self.ports[fault.target], "fail", True, False)

    def full(self, fault: Fault) -> UndoFault:
        """Let a back end refuse for want of room."""
        return self.set_fault(self.ports[fault.target], "full", True, False)

    def drain(self, fault: Fault) -> UndoFault:
        """Let a back end say that it leaves, and come back."""
        name = fault.target
        near = self.ports[f"near-{name}"]
        self.site.register(name, self.pools[name], near, state="draining")
        return lambda: self.site.register(name, self.pools[name], near)

    def restart_back_end(self, fault: Fault) -> UndoFault:
        """Take a back end's entry away and bring it back."""
        name = fault.target
        self.site.put(f"servers/{name}", None)
        near = self.ports[f"near-{name}"]
        return lambda: self.site.register(name, self.pools[name], near)

    def link_reset(self, fault: Fault) -> UndoFault | None:
        """Reset every connection of a link."""
        set_faults(self.links[fault.target], cut=random.getrandbits(30))
        return None

    def link_black_hole(self, fault: Fault) -> UndoFault:
        """Let a link take bytes and pass nothing on."""
        return self.set_fault(self.links[fault.target], "black_hole", True, False)

    def link_frozen(self, fault: Fault) -> UndoFault:
        """Let the open connections of a link fall silent."""
        return self.set_fault(self.links[fault.target], "half_open", True, False)

    def link_slow(self, fault: Fault) -> UndoFault:
        """Delay a link."""
        return self.set_fault(self.links[fault.target], "latency_ms", 150.0, 0.0)

    def link_cut_answers(self, fault: Fault) -> UndoFault:
        """Reset connections within their answers."""
        return self.set_fault(self.links[fault.target], "cut_after_bytes", 250, 0)

    def store_away(self, fault: Fault) -> UndoFault:
        """Let the store refuse every call."""
        return self.set_fault(self.site.store_port, "away", True, False)

    def store_silent(self, fault: Fault) -> UndoFault:
        """Let the store answer nothing."""
        return self.set_fault(self.site.store_port, "silent", True, False)

    def store_loses_answers(self, fault: Fault) -> UndoFault:
        """Let the store do what it is asked and lose the answers."""
        return self.set_fault(self.site.store_port, "lose_answers", True, False)

    def store_forgets(self, fault: Fault) -> UndoFault:
        """Let the store forget its history."""
        return self.set_fault(self.site.store_port, "forgotten_before", 10**9, 0)

    def configure(self, fault: Fault) -> None:
        """Write the next configuration."""
        self.site.configure()


def run_seed(seed: int, seconds: float) -> list[Violation]:
    """Play one seed in a directory of its own, kept when a promise was broken."""
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    with PlatformFleet(directory) as site:
        try:
            violations = Soak(seed, seconds, site).run()
        except FleetError as exc:
            violations = [Violation("processes start", "-", str(exc))]
    for violation in violations:
        print(f"seed={seed} BROKEN {violation.invariant}: {violation.attempt} {violation.detail}")
    if violations:
        print(f"seed={seed} logs: {directory}")
    return violations


def main(seed: int = 0, seeds: int = 1, seconds: float = 20.0) -> None:
    """Play seeds and exit non-zero when a promise was broken.

    Parameters
    ----------
    seed : int
        First seed; 0 draws one.
    seeds : int
        Number of seeds, one after the other.
    seconds : float
        Time of the faults in each, in seconds.
    """
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    broken = [number for number in range(first, first + seeds) if run_seed(number, float(seconds))]
    print(f"{seeds - len(broken)} of {seeds} seeds kept every promise; broken: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
