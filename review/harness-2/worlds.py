"""Start the project's hosts beside the stand-ins, keep the record, and end what was started."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from http_wire import Answer, Channel, ask
from servers import Server
from stores import Store

ROOT = Path(__file__).resolve().parents[2]
"""Root of the repository."""
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
LIMIT_S = 118.0
"""Longest time that a case may take, in seconds."""
ZONES = {"etna": "trinacria", "conca-doro": "trinacria", "ortigia": "trinacria"}
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
AUTHORITY = "ficu95.example"


class CouldNotRun(Exception):
    """Report a case that could not run, which says nothing of the rule."""


def find_ports(addresses: list[str], count: int) -> int:
    """Return the first of `count` consecutive ports that are free at all addresses."""
    for first in range(20_000 + os.getpid() % 9_000, 32_000, count):
        try:
            for address in addresses:
                for port in range(first, first + count):
                    with socket.socket() as sock:
                        sock.bind((address, port))
        except OSError:
            continue
        return first
    raise CouldNotRun("no free ports")


class World:
    """Run hosts, servers and the store of one case on loopback addresses."""

    def __init__(self, folder: Path, hosts: int) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        net = os.getpid() % 200 + 20
        self.addresses = [f"127.{net}.{number + 1}.1" for number in range(hosts)]
        self.server_host = f"127.{net}.200.1"
        self.store = Store(f"127.{net}.201.1")
        self.servers: dict[str, Server] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.version = 1
        self._began = time.monotonic()
        self._record = open(folder / "record.txt", "w", encoding="utf-8")
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        first = find_ports(self.addresses, 20)
        self.front_port, self.ready_port, self.control_port = first, first + 1, first + 2
        self._internal = [first + 3, first + 18]
        self.record("case", folder=folder.name, trouble=self.trouble)

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def record(self, event: str, **values: Any) -> None:
        """Write one line of the record."""
        rows = " ".join(f"{name}={value}" for name, value in values.items())
        self._record.write(f"{self.now():8.3f} {event} {rows}\n")

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store, write the configuration, and start servers and hosts."""
        await self.store.start()
        self.configure(configuration)
        for server in self.servers.values():
            await server.start()
        for number in range(len(self.addresses)):
            self.start_host(number)
        for number in range(len(self.addresses)):
            await self.until_ready(number)
        await asyncio.sleep(2.0)

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration as the operator."""
        self.version += 3
        doc = {"version": self.version, **configuration}
        self.store.put("op/config", json.dumps(doc).encode())
        self.record("configuration", version=self.version)

    def add_server(
        self, name: str, service: str, work: Any, zone: str = "etna", version: str = "v1"
    ) -> Server:
        """Add a server; `start` starts it."""
        server = Server(
            self.store, self.record, name, service, self.server_host, work, zone, version
        )
        self.servers[name] = server
        return server

    def host_name(self, number: int) -> str:
        """Return the name of a host."""
        return f"front-{list(ZONES)[number % 3]}-{number // 3 + 1}"

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings document of a host, like that of a small deployment."""
        ip = self.addresses[number]
        zone = list(ZONES)[number % 3]
        return {
            "node": self.host_name(number),
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.control_port}",
            },
            "internalPorts": self._internal,
            "seeds": [f"{one}:{self.control_port}" for one in self.addresses[:3]],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.store.host}:{self.store.port}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
                "ttlMinMs": 1000,
            },
        }

    def start_host(self, number: int) -> None:
        """Start a host with the command of the deploy file."""
        name = self.host_name(number)
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(self.settings(number)))
        python = shutil.which("python3") or sys.executable
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TARRAGONWIND_CONFIG"] = str(path)
        with open(self._directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [python, "-m", "tarragonwind.platform_start"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("host_started", name=name, pid=self.processes[name].pid)

    def signal_host(self, number: int, which: signal.Signals) -> None:
        """Send a signal to a host of this case."""
        name = self.host_name(number)
        self.record("signal", name=name, signal=which.name)
        self.processes[name].send_signal(which)

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of all hosts' logs that hold a word, each behind its host's name."""
        return [
            f"{path.stem}: {line}"
            for path in sorted(self._directory.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if word in line
        ]

    async def until_ready(self, number: int, within_s: float = 20.0) -> None:
        """Wait until a host says that it is ready."""
        address = (self.addresses[number], self.ready_port)
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            answer = await ask(address, "GET", "/readyz", [("Host", "ready")], timeout_s=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.host_name(number)} did not become ready")

    def open_channel(self, number: int) -> Channel:
        """Return a channel to a host that keeps its connection."""
        return Channel((self.addresses[number], self.front_port))

    async def ask_host(
        self,
        number: int,
        method: str,
        target: str,
        attempt: str,
        key: str,
        body: bytes = b"",
        limit_ms: int = 8000,
        more: dict[str, str] | None = None,
        channel: Channel | None = None,
    ) -> Answer:
        """Send a client's request to a host and record it with its answer.

        It goes over a new connection, or over a channel to that host.
        """
        fields = [
            ("Host", AUTHORITY),
            ("Attempt-Id", attempt),
            ("Request-Deadline", str(limit_ms)),
            ("Authorization", f"Bearer {key}"),
            *(more or {}).items(),
        ]
        self.record("sent", attempt=attempt, host=self.host_name(number), target=target)
        timeout_s = limit_ms / 1_000 + 1.0
        if channel is not None:
            answer = await channel.ask(method, target, fields, body, timeout_s)
        else:
            address = (self.addresses[number], self.front_port)
            answer = await ask(address, method, target, fields, body, timeout_s)
        self.record(
            "answered",
            attempt=attempt,
            status=answer.status,
            bytes=len(answer.body),
            error=repr(answer.error),
        )
        return answer

    def close(self) -> None:
        """End all processes that this case started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self._directory}")
        else:
            shutil.rmtree(self._directory, ignore_errors=True)
        self._record.close()


def run_case(
    folder: Path, hosts: int, play: Callable[[World], Awaitable[bool]], limit_s: float = LIMIT_S
) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main() -> int:
        world = World(folder, hosts)
        try:
            async with asyncio.timeout(limit_s):
                held = await play(world)
        except Exception as exc:  # Whatever ends the case says nothing of the rule.
            world.record("could_not_run", why=repr(exc))
            print(f"could not run: {exc!r}")
            return COULD_NOT_RUN
        finally:
            world.close()
        print("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN

    sys.exit(asyncio.run(main()))
