"""Start and stop a small fleet of processes on loopback: stand-ins and entry hosts."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

LOOPBACK = "127.0.0.1"
HOST_ADDRESSES = tuple(f"127.0.0.{11 + number}" for number in range(8))
"""Loopback addresses of entry hosts that share their port numbers."""
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORT_STEP = 97
"""Distance between the first ports tried by processes with consecutive process ids."""
PROXIED_ADDRESS = "127.0.0.2"
"""Loopback address that fault proxies between hosts listen on."""
HOST_LIST_LAG_S = "2"
"""Delay until a change shows in the host list, in seconds, as a command-line argument."""
START_LIMIT_S = 30.0
STOP_LIMIT_S = 10.0
POLL_S = 0.02


def port_numbers() -> Iterator[int]:
    """Yield port numbers in turn, from an offset derived from the process id."""
    offset = os.getpid() * PORT_STEP
    for number in itertools.count(offset):
        yield FIRST_PORT + number % (LAST_PORT - FIRST_PORT)


_PORTS = port_numbers()


class FleetError(Exception):
    """Signal that a process did not start or that a state was not reached in time."""


@dataclass(slots=True)
class FleetProcess:
    """Control one process of the fleet.

    Attributes
    ----------
    name : str
        Name of the process, also of its log file.
    process : subprocess.Popen
        The process.
    port : int
        Main port; for entry hosts the port for callers.
    """

    name: str
    process: subprocess.Popen[bytes]
    port: int

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, signal.SIGKILL)
        self.process.wait(STOP_LIMIT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        os.kill(self.pid, signal.SIGTERM)


@dataclass(slots=True)
class HostPorts:
    """Hold the ports of one entry host, by who connects to them."""

    callers: int
    peers: int
    operators: int


@dataclass(slots=True)
class HttpResponse:
    """Hold a complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


def is_free(port: int) -> bool:
    """Return whether no process listens on a port of one of the loopback addresses."""
    try:
        for address in (LOOPBACK, *HOST_ADDRESSES):
            socket.create_server((address, port)).close()
    except OSError:
        return False
    return True


def free_port() -> int:
    """Find a port that no process listens on, at the loopback address or that of a host.

    Only ports below the system's ephemeral range are tried, so that no outgoing connection takes
    the port before the process that is to listen on it has started.
    """
    for _ in range(LAST_PORT - FIRST_PORT):
        port = next(_PORTS)
        if is_free(port):
            return port
    raise FleetError(f"no free port from {FIRST_PORT} to {LAST_PORT - 1} on {LOOPBACK}")


def consecutive_ports(count: int = 2) -> tuple[int, ...]:
    """Find consecutive ports that no process listens on."""
    ports = [free_port()]
    while len(ports) < count:
        port = free_port()
        ports = [*ports, port] if port == ports[-1] + 1 else [port]
    return tuple(ports)


def call(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
    host: str = LOOPBACK,
) -> HttpResponse:
    """Send one HTTP request and read the complete response.

    Raises
    ------
    OSError, http.client.HTTPException
        When there is no complete response.
    """
    conn = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        conn.request(method, path, body or None, headers or {})
        answer = conn.getresponse()
        return HttpResponse(answer.status, dict(answer.getheaders()), answer.read())
    finally:
        conn.close()


def set_faults(port: int, **faults: Any) -> Any:
    """Set faults of a stand-in through ``/control`` and return its JSON answer."""
    return call(port, "POST", "/control", json.dumps(faults).encode()).json()


@dataclass(slots=True)
class Fleet:
    """Run stand-ins and entry hosts with their files in one directory.

    Parameters
    ----------
    directory : Path
        Directory of settings, logs and journals.
    peer_address : str
        Address of the hosts' peer ports; `start_peer_proxies` replaces it.
    """

    directory: Path
    operator_token: str = "operator-token-of-the-demo"
    processes: dict[str, FleetProcess] = field(default_factory=dict)
    hosts: dict[str, HostPorts] = field(default_factory=dict)
    kv_port: int = 0
    host_list_port: int = 0
    weight_store_port: int = 0
    extra_settings: dict[str, Any] = field(default_factory=dict)
    peer_address: str = LOOPBACK

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_args: object) -> None:
        self.stop()

    def journal_path(self, name: str) -> Path:
        """Return the path of a stand-in's journal of executions."""
        return self.directory / f"{name}.journal"

    def log_path(self, name: str) -> Path:
        """Return the path of a process's log."""
        return self.directory / f"{name}.log"

    def spawn(self, name: str, arguments: list[str], port: int) -> FleetProcess:
        """Start a Python process with its output redirected to its log."""
        with open(self.log_path(name), "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        started = FleetProcess(name, process, port)
        self.processes[name] = started
        return started

    def start_standin(self, name: str, module: str, *arguments: str) -> FleetProcess:
        """Start a stand-in module and wait until it listens."""
        port = free_port()
        started = self.spawn(name, ["-m", module, "--port", str(port), *arguments], port)
        self.wait_for_port(started, port)
        return started

    def start_platform(self) -> None:
        """Start the key-value store, the host list and the weight store."""
        self.kv_port = self.start_standin("kv", "standins.kv").port
        self.host_list_port = self.start_standin(
            "hosts", "standins.host_list", "--lag", HOST_LIST_LAG_S
        ).port
        self.weight_store_port = self.start_standin("weights", "standins.weight_store").port

    def start_engine(self, name: str, *arguments: str) -> FleetProcess:
        """Start an engine with a journal."""
        journal = ["--name", name, "--journal", str(self.journal_path(name))]
        return self.start_standin(name, "standins.engine", *journal, *arguments)

    def start_service(self, name: str, *arguments: str) -> FleetProcess:
        """Start a service with a journal."""
        journal = ["--name", name, "--journal", str(self.journal_path(name))]
        return self.start_standin(name, "standins.service", *journal, *arguments)

    def prepare_hosts(self, names: list[str]) -> None:
        """Allocate the ports of entry hosts and write the token and secret files."""
        for name in names:
            self.hosts[name] = HostPorts(free_port(), free_port(), free_port())
        (self.directory / "operators.txt").write_text(f"demo:{self.operator_token}\n")
        (self.directory / "token.txt").write_text(f"{self.operator_token}\n")
        (self.directory / "secret.txt").write_text("fleet-secret\n")

    def start_peer_proxies(self) -> None:
        """Start a fault proxy in front of the peer port of each prepared host."""
        self.peer_address = PROXIED_ADDRESS
        for name, ports in self.hosts.items():
            self.start_standin(
                f"link-{name}",
                "standins.fault_proxy",
                "--listen",
                f"{PROXIED_ADDRESS}:{ports.peers}",
                "--target",
                f"{LOOPBACK}:{ports.peers}",
            )

    def start_host(self, name: str, data_centre: str = "etna") -> FleetProcess:
        """Start a prepared entry host and wait until it listens."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.host_settings(name, data_centre)))
        self.register_host(name, data_centre)
        arguments = ["-m", "tarragonwind", "serve", "--settings", str(path)]
        started = self.spawn(name, arguments, self.hosts[name].callers)
        self.wait_for_port(started, self.hosts[name].operators)
        return started

    def register_host(self, name: str, data_centre: str) -> None:
        """Add a host to the host list, as the platform does when it starts one."""
        if not self.host_list_port:
            return
        doc = {
            "name": name,
            "address": self.peer_address,
            "port": self.hosts[name].peers,
            "data_centre": data_centre,
        }
        call(self.host_list_port, "POST", "/register", json.dumps(doc).encode())

    def host_settings(self, name: str, data_centre: str) -> dict[str, Any]:
        """Return the settings of one entry host."""
        ports = self.hosts[name]
        seeds = [
            {"name": other, "host": self.peer_address, "port": self.hosts[other].peers}
            for other in self.hosts
            if other != name
        ]
        settings: dict[str, Any] = {
            "host": {"name": name, "data_centre": data_centre},
            "callers": {"listen_port": ports.callers},
            "peers": {
                "listen_port": ports.peers,
                "advertised_host": self.peer_address,
                "secret_file": str(self.directory / "secret.txt"),
                "seeds": seeds,
            },
            "operators": {
                "listen_port": ports.operators,
                "token_file": str(self.directory / "operators.txt"),
            },
            "store": {
                "backend": "etcd",
                "endpoints": [{"host": LOOPBACK, "port": self.kv_port}],
            },
            "stop": {"notice_s": 0.5},
        }
        if self.host_list_port:
            settings["host_list"] = {"host": LOOPBACK, "port": self.host_list_port}
        if self.weight_store_port:
            settings["weights"] = {"host": LOOPBACK, "port": self.weight_store_port}
        for section, values in self.extra_settings.items():
            settings[section] = {**settings.get(section, {}), **values}
        return settings

    def wait_for_port(self, started: FleetProcess, port: int) -> None:
        """Wait until a process listens on a port."""

        def listens() -> bool:
            if started.process.poll() is not None:
                log = self.log_path(started.name).read_text()[-2000:]
                raise FleetError(
                    f"{started.name} exited with code {started.process.returncode} "
                    f"at its start:\n{log}"
                )
            with socket.socket() as sock:
                return sock.connect_ex((LOOPBACK, port)) == 0

        wait_until(listens, f"{started.name} listens on {port}")

    def wait_ready(self) -> None:
        """Wait until the readiness check of every running entry host succeeds."""
        for name, ports in self.hosts.items():
            if name in self.processes:
                wait_until(lambda port=ports.operators: is_ready(port), f"{name} is ready")

    def run_cli(self, *arguments: str, at: str = "") -> subprocess.CompletedProcess[str]:
        """Run the command line against the fleet, or against the host named by `at`."""
        names = [at] if at else [name for name in self.hosts if name in self.processes]
        addresses = ",".join(f"{LOOPBACK}:{self.hosts[name].operators}" for name in names)
        environment = {
            **os.environ,
            "TARRAGONWIND_AT": addresses,
            "TARRAGONWIND_TOKEN_FILE": str(self.directory / "token.txt"),
        }
        return subprocess.run(
            [sys.executable, "-m", "tarragonwind", *arguments],
            capture_output=True,
            text=True,
            env=environment,
            timeout=60,
            check=False,
        )

    def stop(self) -> None:
        """Terminate all processes, killing those that exceed the time limit."""
        for started in self.processes.values():
            if started.process.poll() is None:
                started.resume()
                started.process.terminate()
        deadline = time.monotonic() + STOP_LIMIT_S
        for started in self.processes.values():
            try:
                started.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                started.kill()
        self.processes.clear()


def is_ready(operator_port: int) -> bool:
    """Return whether a host's readiness check succeeds."""
    try:
        return call(operator_port, "GET", "/readyz", timeout_s=2.0).status == 200
    except (OSError, http.client.HTTPException):
        return False


def wait_until(reached: Any, what: str, limit_s: float = START_LIMIT_S) -> None:
    """Poll until a condition holds.

    Parameters
    ----------
    reached : callable
        Returns a true value once the condition holds.
    what : str
        The condition in words, for the error message.
    limit_s : float
        Time limit in seconds.

    Raises
    ------
    FleetError
        When the condition does not hold within the limit.
    """
    deadline = time.monotonic() + limit_s
    while not reached():
        if time.monotonic() > deadline:
            raise FleetError(f"not reached within {limit_s:g} s: {what}")
        time.sleep(POLL_S)
