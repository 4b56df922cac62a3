"""Run a case: a small deployment of real hosts on loopback, a record, and an exit status."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from engines import Engine
from http1 import Response, call, encode_request
from stores import Store

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses: the rule held, it was broken, or the case could not run."""
LIMIT_S = 115.0
READY_S = 20.0
STANDIN_ADDRESS = "127.0.0.1"
MAX_FDS = 4_100
"""Descriptors of a machine of a small deployment."""
CROWD_PREFIX = "c"
"""Beginning of the attempt ids of crowds, which ordinary callers never use."""
CROWD_NAME_LENGTH = 8
AUTHORITY = "a.example"
KEY = "key-1"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "downgradeMs": 250,
    "outerMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 190000,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 9.9,
}
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 5_000,
    "idleTimeoutMs": 15_000,
}
"""Limits on callers in the operator's configuration."""


class CaseError(Exception):
    """Signal that the case could not run."""


def is_free(host: str, port: int) -> bool:
    """Return whether a port of a loopback address can be listened on."""
    try:
        socket.create_server((host, port)).close()
    except OSError:
        return False
    return True


def find_ports(count: int, hosts: list[str]) -> list[int]:
    """Return consecutive ports that are free on all addresses, below the ephemeral range."""
    first = 12_000 + os.getpid() % 8_000
    while first + count < 32_000:
        ports = list(range(first, first + count))
        if all(is_free(host, port) for host in hosts for port in ports):
            return ports
        first += count
    raise CaseError("no free ports")


@dataclass
class EntryHost:
    """Run one entry host with the command of the deploy file."""

    name: str
    address: str
    directory: Path
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    @property
    def callers_port(self) -> int:
        """Return the port for callers."""
        return int(self.settings["listen"]["front"].rpartition(":")[2])

    @property
    def ready_port(self) -> int:
        """Return the port of the readiness page."""
        return int(self.settings["listen"]["ready"].rpartition(":")[2])

    def start(self) -> None:
        """Start the process from its settings file."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "TARRAGONWIND_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.directory / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "tarragonwind.platform_start"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness page answers 200."""
        request = encode_request("GET", "/readyz", {"Host": "ready"})
        try:
            response = await call(self.address, self.ready_port, request, 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return response.status == 200


def create_route(name: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route whose path prefix is its name."""
    return {
        "name": name,
        "host": AUTHORITY,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": "app",
        "timeoutMs": 4_000,
        "targetLatencyMs": 200,
        "priority": 1,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        "sessionAffinity": False,
        **more,
    }


@dataclass
class Deployment:
    """Run the store, the engines and the hosts of a case.

    `note` adds a line to the record.
    """

    directory: Path
    record: list[str]
    began: float = field(default_factory=time.monotonic)
    store: Store = field(default_factory=Store)
    engines: list[Engine] = field(default_factory=list)
    hosts: list[EntryHost] = field(default_factory=list)
    _attempts: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Add a line with the time to the record."""
        self.record.append(f"{self.now():8.3f} {text}")

    async def start(
        self,
        host_count: int,
        engine_count: int,
        routes: list[dict[str, Any]],
        engine_type: type[Engine] = Engine,
    ) -> None:
        """Start all parts, and wait until each host is ready."""
        addresses = [f"127.0.0.{31 + number}" for number in range(host_count)]
        ports = find_ports(24 + engine_count, [STANDIN_ADDRESS, *addresses])
        await self.store.start(STANDIN_ADDRESS, ports[0])
        for number, port in enumerate(ports[24:]):
            engine = engine_type(f"i-app{number}", "app", STANDIN_ADDRESS, port, f"zone-{number % 3}")
            await engine.start()
            self.engines.append(engine)
            self.store.put(f"servers/{engine.name}", engine.entry())
        self.store.put("op/config", self._configuration(routes))
        for number, address in enumerate(addresses):
            settings = self._settings(f"front-{number}", address, addresses, ports)
            host = EntryHost(f"front-{number}", address, self.directory, settings)
            host.start()
            self.hosts.append(host)
        for host in self.hosts:
            await self._wait_until_ready(host)

    async def _wait_until_ready(self, host: EntryHost) -> None:
        end = time.monotonic() + READY_S
        while not await host.is_ready():
            if time.monotonic() > end:
                raise CaseError(f"{host.name} did not become ready")
            await asyncio.sleep(0.05)
        self.note(f"{host.name} is ready")

    def _configuration(self, routes: list[dict[str, Any]]) -> bytes:
        tenant = {
            "name": "tenant-1",
            "apiKeys": [KEY],
            "unit": "token_stream",
            "plainTokens": 200,
            "ratePerS": 0,
            "burst": 0,
        }
        service = {"name": "app", "healthPath": "/healthz", "maxConns": 96}
        doc = {
            "version": 1,
            "routes": routes,
            "services": [service],
            "tenants": [tenant],
            "limits": LIMITS,
        }
        return json.dumps(doc).encode()

    def _settings(
        self, name: str, address: str, addresses: list[str], ports: list[int]
    ) -> dict[str, Any]:
        zone = f"zone-{addresses.index(address) % 3}"
        return {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": address,
            "zone": zone,
            "region": "region",
            "zones": {f"zone-{number}": "region" for number in range(3)},
            "listen": {
                "front": f"{address}:{ports[1]}",
                "ready": f"{address}:{ports[2]}",
                "control": f"{address}:{ports[3]}",
            },
            "internalPorts": [ports[4], ports[19]],
            "seeds": [f"{one}:{ports[3]}" for one in addresses[:3]],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": MAX_FDS,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine"]
            + ["stream", "tenants", "quota", "rollout", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{STANDIN_ADDRESS}:{ports[0]}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    def headers(self, deadline_ms: int = 4_000) -> dict[str, str]:
        """Return the header fields of a new attempt."""
        return {
            "Host": AUTHORITY,
            "Attempt-Id": f"{next(self._attempts):016x}",
            "Request-Deadline": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        }

    async def send(
        self, host: EntryHost, target: str, source: str, timeout_s: float
    ) -> tuple[str, Response | None, str]:
        """Send a GET request on a new connection; return its attempt, response and failure."""
        headers = self.headers()
        request = encode_request("GET", target, headers)
        try:
            response = await call(host.address, host.callers_port, request, timeout_s, source)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as exc:
            return headers["Attempt-Id"], None, type(exc).__name__
        return headers["Attempt-Id"], response, ""

    def note_runs(self) -> None:
        """Add what the engines have run to the record; of a crowd, the number for each name."""
        offset = time.time() - self.now()
        crowd: Counter[str] = Counter()
        for run in sorted((run for one in self.engines for run in one.runs), key=lambda run: run.at):
            if run.attempt.startswith(CROWD_PREFIX):
                crowd[run.attempt[:CROWD_NAME_LENGTH]] += 1
                continue
            at = run.at - offset
            self.record.append(
                f"{at:8.3f} {run.engine} ran {run.attempt} {run.method} {run.target}"
            )
        for name, count in sorted(crowd.items()):
            self.record.append(f"         engines ran {count} requests of crowd {name}")

    def stop(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.kill()


Play = Callable[[Deployment, bool], Awaitable[int]]
"""Plays a case, with its disruption or without; returns the exit status."""


def has_descriptors() -> bool:
    """Return whether a process here may have as many descriptors as a machine of a deployment."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft == resource.RLIM_INFINITY or soft >= MAX_FDS


async def run_play(play: Play, deployment: Deployment) -> int:
    """Play a case within its time, and end all processes."""
    try:
        return await asyncio.wait_for(play(deployment, os.environ.get("TROUBLE") != "0"), LIMIT_S)
    except (CaseError, asyncio.TimeoutError) as exc:
        deployment.note(f"the case could not run: {exc!r}")
        return NOT_RUN
    finally:
        deployment.stop()
        deployment.note_runs()


def run_case(folder: Path, play: Play) -> None:
    """Play a case, write ``record.txt`` into its folder and exit with its status."""
    if not (ROOT / "target" / "deps").is_dir() or not has_descriptors():
        print("the build of the deploy file or the descriptors are missing")
        sys.exit(NOT_RUN)
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(Path(directory), [])
        status = asyncio.run(run_play(play, deployment))
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status]
    deployment.record.append(f"result: {verdict}")
    (folder / "record.txt").write_text("\n".join(deployment.record) + "\n")
    print(verdict)
    sys.exit(status)
