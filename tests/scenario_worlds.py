"""Provide the fleet, the load and the catalogue shared by the steps of a scenario."""

from __future__ import annotations

import hashlib
import json
import subprocess
import time
from pathlib import Path
from typing import Any

import yaml

from standins.callers import CallPlan, LoadGenerator
from standins.checkers import Execution, check_invariants, read_executions
from standins.demo import entry, upstream
from standins.fleets import LOOPBACK, Fleet, free_port, set_faults, wait_until

TOKEN = "token-officina"
SERVICE_SLOTS = 16


class World:
    """Run the processes of one scenario."""

    def __init__(self, directory: Path) -> None:
        self.fleet = Fleet(directory)
        self.loads: list[LoadGenerator] = []
        self.fault_at = 0.0
        self.command: subprocess.CompletedProcess[str] | None = None
        self.concurrent_results: list[subprocess.CompletedProcess[str]] = []
        self.cuts = 0

    def start(self, host_count: int, prepared: int = 0, proxied: bool = False) -> None:
        """Start the platform, upstreams and hosts, and put the catalogue."""
        fleet = self.fleet
        fleet.start_platform()
        names = [f"entry-{number}" for number in range(1, host_count + prepared + 1)]
        fleet.prepare_hosts(names)
        if proxied:
            fleet.start_peer_proxies()
        entries = [
            self.organisation("officina"),
            entry("pool", "drafting", back_end="engine", version="v1"),
            entry("pool", "registry", back_end="service", version="v1"),
            self._route("gate", "registry", 0, path_prefix="/passports"),
            self._route("stamp", "registry", 1, path_prefix="/stamps", idempotent=False),
            self._route("question", "drafting", 2, model="small", deadline_s=5.0),
            self._route("dossier", "drafting", 3, model="large", deadline_s=5.0),
        ]
        for number in (1, 2):
            entries.append(self._start_service(f"registry-{number}", "v1"))
        for number, slots in ((1, 8), (2, 4)):
            name = f"engine-{number}"
            engine = fleet.start_engine(name, "--slots", str(slots), "--token_ms", "4")
            entries.append(upstream(name, "drafting", "v1", engine.port, slots=slots))
        for name in names[:host_count]:
            fleet.start_host(name)
        self.put(entries)
        assert self.command is not None and self.command.returncode == 0, self.command
        fleet.wait_ready()

    def _route(self, name: str, pool: str, tier: int, **fields: Any) -> dict[str, Any]:
        return entry("route", name, pool=pool, tier=tier, **{"deadline_s": 10.0, **fields})

    def _start_service(self, name: str, version: str) -> dict[str, Any]:
        """Start a service behind a fault proxy and return its catalogue entry."""
        service = self.fleet.start_service(name, "--version", version, "--work_ms", "4")
        port = free_port()
        self.fleet.start_standin(
            f"link-{name}",
            "standins.fault_proxy",
            "--listen",
            f"{LOOPBACK}:{port}",
            "--target",
            f"{LOOPBACK}:{service.port}",
        )
        return upstream(name, "registry", version, port, slots=SERVICE_SLOTS)

    def add_version(self, version: str, fail_fraction: float) -> None:
        """Start two services of a new version and put their entries."""
        entries = []
        for number in (1, 2):
            name = f"registry-{version}-{number}"
            entries.append(self._start_service(name, version))
            set_faults(self.fleet.processes[name].port, fail_fraction=fail_fraction)
        self.put(entries)

    def put(self, entries: list[dict[str, Any]], *options: str) -> None:
        """Put entries with the command line and keep its result in `command`."""
        path = self.write_entries("put.yaml", entries)
        self.command = self.fleet.run_cli("catalogue", "put", str(path), *options)

    def write_entries(self, name: str, entries: list[dict[str, Any]]) -> Path:
        """Write entries to a YAML file for the command line."""
        path = self.fleet.directory / name
        path.write_text(yaml.safe_dump(entries))
        return path

    def organisation(self, name: str) -> dict[str, Any]:
        """Return the catalogue entry of an organisation."""
        digest = hashlib.sha256(f"token-{name}".encode()).hexdigest()
        return entry("organisation", name, token_sha256=[digest])

    def start_load(self, *plans: CallPlan) -> None:
        """Start load on all running hosts."""
        ports = [self.fleet.hosts[name].callers for name in self.running_hosts()]
        load = LoadGenerator(ports, list(plans))
        load.start()
        self.loads.append(load)

    def running_hosts(self) -> list[str]:
        """Return the names of hosts whose process is alive."""
        return [
            name
            for name in self.fleet.hosts
            if name in self.fleet.processes and self.fleet.processes[name].process.poll() is None
        ]

    def let_load_run(self, seconds: float) -> None:
        """Sleep while the load continues."""
        time.sleep(seconds)

    def mark_fault_time(self) -> None:
        """Record the current time as the time of the fault."""
        self.fault_at = time.time()

    def records(self) -> list[Any]:
        """Return the records of all load threads."""
        return [record for load in self.loads for record in load.log.records]

    def executions(self) -> list[Execution]:
        """Return all executions from the upstreams' journals."""
        return read_executions(sorted(self.fleet.directory.glob("*.journal")))

    def failures(self, version: str) -> list[Execution]:
        """Return the failures from the journals of a version's upstreams, ordered by time."""
        paths = sorted(self.fleet.directory.glob(f"*-{version}-*.journal"))
        return sorted(read_executions(paths, ("failed",)), key=lambda run: run.at)

    def stop_load(self) -> None:
        """Stop the load after the requests in flight."""
        for load in self.loads:
            load.stop()

    def violations(self) -> list[Any]:
        """Stop the load and return the violations of invariants."""
        self.stop_load()
        return check_invariants(self.records(), self.executions())

    def query_each_host(self, *arguments: str) -> dict[str, Any]:
        """Run a command on each running host and return its JSON output by host."""
        answers = {}
        for name in self.running_hosts():
            result = self.fleet.run_cli("--json", *arguments, at=name)
            answers[name] = json.loads(result.stdout) if result.stdout.strip() else None
        return answers

    def wait_for_each_host(self, what: str, reached: Any, *arguments: str) -> None:
        """Wait until a command's output on all running hosts satisfies a condition."""
        wait_until(lambda: reached(self.query_each_host(*arguments)), what)

    def close(self) -> None:
        """Stop the load and all processes."""
        self.stop_load()
        self.fleet.stop()
