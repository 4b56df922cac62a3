"""Measure the membership protocol's cost per daemon: bytes, messages and CPU time by fleet size.

``python -m bench.peers`` runs small fleets as real processes on loopback, then larger ones as cores
on a simulated network, and prints a table; ``--json_file FILE`` also writes the results as JSON.
"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import fire

from bench.member_networks import MemberNetwork

PROCESS_SIZES = (4, 8, 16, 32)
SIMULATED_SIZES = (4, 8, 16, 32, 64, 128, 320)
SETTLE_LIMIT_S = 30.0
"""Time limit for all views of a fleet to agree, in seconds."""
MIN_SETTLE_S = 20.0
"""Minimum simulated time between the start of a fleet and its measurement, in seconds."""
SETTLE_S_PER_MEMBER = 0.3
"""Time per member after which gossip about the simultaneous start has died out, in seconds."""
HEADER_BYTES = 52
"""TCP and IPv4 headers of one segment with timestamps, in bytes."""


@dataclass(slots=True)
class CostRow:
    """Hold the cost of one daemon as the mean over its fleet.

    Attributes
    ----------
    members : int
        Size of the fleet.
    way : str
        ``processes`` or ``fake network``.
    state : str
        ``idle``, or how a host failed during the measurement: ``stopped`` or ``killed``.
    messages_per_s, bytes_per_s : float
        Messages sent and received, and their packed size.
    wire_bytes_per_s : float
        The same size with the headers of one segment per message.
    cpu_percent : float
        CPU usage as a percentage of one core; on the fake network it includes the simulation.
    conns : float
        Open connections.
    noticed_s : float
        Time from the failure until the last daemon removed the host, in seconds; 0 when idle.
    """

    members: int
    way: str
    state: str
    messages_per_s: float
    bytes_per_s: float
    wire_bytes_per_s: float
    cpu_percent: float
    conns: float
    noticed_s: float


class ProcessFleet:
    """Run a fleet of `bench.peer_daemons` processes on loopback.

    Parameters
    ----------
    size : int
        Number of daemons.
    max_run_s : float
        Time after which each process exits by itself, in seconds.
    """

    def __init__(self, size: int, max_run_s: float) -> None:
        ports = _free_ports(size)
        self.processes = [
            _start_daemon(f"host-{index:03d}", port, ports[0], max_run_s)
            for index, port in enumerate(ports)
        ]
        for proc in self.processes:
            _read_line(proc)

    def report(self, skip: int = -1) -> list[dict[str, Any]]:
        """Return the counters of every daemon except the one with index `skip`."""
        chosen = [proc for index, proc in enumerate(self.processes) if index != skip]
        for proc in chosen:
            proc.send_signal(signal.SIGUSR1)
        return [json.loads(_read_line(proc)) for proc in chosen]

    def wait_for(self, size: int, skip: int = -1) -> list[dict[str, Any]]:
        """Wait until every daemon except `skip` reports `size` live hosts; return the counters.

        Raises
        ------
        RuntimeError
            If they don't within `SETTLE_LIMIT_S`.
        """
        deadline = time.time() + SETTLE_LIMIT_S
        while time.time() < deadline:
            lines = self.report(skip)
            if all(line["live"] == size for line in lines):
                return lines
            time.sleep(0.2)
        raise RuntimeError(f"not all daemons saw {size} live hosts within {SETTLE_LIMIT_S} s")

    def kill_all(self) -> None:
        """Kill the processes and wait for their exit."""
        for proc in self.processes:
            proc.send_signal(signal.SIGCONT)
            proc.kill()
            proc.wait()


def _read_line(proc: subprocess.Popen[str]) -> str:
    line = proc.stdout.readline() if proc.stdout else ""
    if not line:
        raise RuntimeError(f"peer daemon exited with code {proc.wait(5.0)} before it answered")
    return line


def _free_ports(count: int) -> list[int]:
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def _start_daemon(name: str, port: int, seed_port: int, max_run_s: float) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "bench.peer_daemons", name, str(port), str(seed_port)]
    return subprocess.Popen([*command, str(max_run_s)], stdout=subprocess.PIPE, text=True)


def _compute_rates(
    before: list[dict[str, Any]], after: list[dict[str, Any]], size: int, state: str
) -> CostRow:
    count = len(before)
    seconds = sum(b["time"] - a["time"] for a, b in zip(before, after, strict=True)) / count

    def rate(*keys: str) -> float:
        total = sum(b[key] - a[key] for a, b in zip(before, after, strict=True) for key in keys)
        return float(total) / count / seconds

    messages = rate("sent_messages", "received_messages")
    byte_count = rate("sent_bytes", "received_bytes")
    conns = sum(line["conns"] for line in after) / count
    return CostRow(
        members=size,
        way="processes",
        state=state,
        messages_per_s=messages,
        bytes_per_s=byte_count,
        wire_bytes_per_s=byte_count + messages * HEADER_BYTES,
        cpu_percent=100 * rate("cpu_s"),
        conns=conns,
        noticed_s=0.0,
    )


def measure_processes(size: int, window_s: float) -> list[CostRow]:
    """Measure a fleet of processes: idle, with one host stopped, and with one host killed."""
    rows = []
    fleet = ProcessFleet(size, SETTLE_LIMIT_S * 3 + window_s * 4)
    try:
        fleet.wait_for(size)
        time.sleep(3.0)
        before = fleet.report()
        time.sleep(window_s)
        rows.append(_compute_rates(before, fleet.report(), size, "idle"))
        for state, signum in (("stopped", signal.SIGSTOP), ("killed", signal.SIGKILL)):
            rows.append(_measure_failure(fleet, size, window_s, state, signum))
    finally:
        fleet.kill_all()
    return rows


def _measure_failure(
    fleet: ProcessFleet, size: int, window_s: float, state: str, signum: signal.Signals
) -> CostRow:
    failing = size - 1
    before = fleet.report(failing)
    failed_at = time.time()
    fleet.processes[failing].send_signal(signum)
    time.sleep(window_s)
    after = fleet.wait_for(size - 1, failing)
    row = _compute_rates(before, after, size, state)
    row.noticed_s = max(_first_seen(line["changes"], size - 1, failed_at) for line in after)
    if signum is signal.SIGSTOP:
        fleet.processes[failing].send_signal(signal.SIGCONT)
        fleet.wait_for(size)
    return row


def _first_seen(changes: list[list[float]], size: int, failed_at: float) -> float:
    seen = [moment for moment, live in changes if live == size and moment > failed_at]
    return min(seen) - failed_at


def measure_simulated(size: int, window_s: float) -> list[CostRow]:
    """Measure a fleet on the simulated network: idle, and with one host stopped."""
    net = MemberNetwork(seed=size, measure=True)
    names = net.start_fleet(size)
    net.wait(lambda: net.views_match(names), SETTLE_LIMIT_S)
    net.set_host_list(names)
    net.run_for(max(MIN_SETTLE_S, size * SETTLE_S_PER_MEMBER))
    rows = [_measure_simulated_window(net, size, window_s, "idle", lambda: None)]
    rows.append(
        _measure_simulated_window(net, size, window_s, "stopped", lambda: net.pause(names[-1]))
    )
    return rows


def _measure_simulated_window(
    net: MemberNetwork, size: int, window_s: float, state: str, fail: Callable[[], None]
) -> CostRow:
    hosts = list(net.hosts.values())
    messages = sum(host.sent_messages for host in hosts)
    byte_count = sum(host.sent_bytes for host in hosts)
    cpu_s = time.process_time()
    started = net.now
    fail()
    expected = net.running()
    noticed_s = net.wait(lambda: net.views_match(expected), window_s)
    net.run_until(started + window_s)
    messages = sum(host.sent_messages for host in hosts) - messages
    byte_count = sum(host.sent_bytes for host in hosts) - byte_count
    cpu_s = time.process_time() - cpu_s
    host_seconds = size * window_s
    return CostRow(
        members=size,
        way="fake network",
        state=state,
        messages_per_s=2 * messages / host_seconds,
        bytes_per_s=2 * byte_count / host_seconds,
        wire_bytes_per_s=2 * (byte_count + messages * HEADER_BYTES) / host_seconds,
        cpu_percent=100 * cpu_s / host_seconds,
        conns=0.0,
        noticed_s=noticed_s,
    )


def slope(rows: list[CostRow]) -> float:
    """Return the least-squares slope of the bytes per second over the number of members."""
    count = len(rows)
    mean_x = sum(row.members for row in rows) / count
    mean_y = sum(row.bytes_per_s for row in rows) / count
    spread = sum((row.members - mean_x) ** 2 for row in rows)
    return sum((row.members - mean_x) * (row.bytes_per_s - mean_y) for row in rows) / spread


def print_table(rows: list[CostRow]) -> None:
    """Print the rows as a table, and the slope of each idle series."""
    print(
        f"{'way':13}{'members':>8} {'state':8}{'msg/s':>8}{'B/s':>8}{'wire B/s':>9}"
        f"{'cpu %':>7}{'conns':>7}{'noticed s':>10}"
    )
    for row in rows:
        print(
            f"{row.way:13}{row.members:8} {row.state:8}{row.messages_per_s:8.1f}"
            f"{row.bytes_per_s:8.0f}{row.wire_bytes_per_s:9.0f}{row.cpu_percent:7.2f}"
            f"{row.conns:7.1f}{row.noticed_s:10.2f}"
        )
    for way in ("processes", "fake network"):
        idle = [row for row in rows if row.way == way and row.state == "idle"]
        if len(idle) > 1:
            print(f"slope, {way}, idle: {slope(idle):.2f} B/s a daemon for each further member")


def main(window_s: float = 10.0, json_file: str = "", fake_only: bool = False) -> None:
    """Measure all fleet sizes, print the table and write the results as JSON.

    Parameters
    ----------
    window_s : float
        Duration of each measurement, in seconds.
    json_file : str
        File for the JSON results; none is written if empty.
    fake_only : bool
        Whether to skip the fleets of real processes.
    """
    rows: list[CostRow] = []
    for size in () if fake_only else PROCESS_SIZES:
        rows += measure_processes(size, window_s)
    for size in SIMULATED_SIZES:
        rows += measure_simulated(size, window_s)
    print_table(rows)
    if json_file:
        Path(json_file).write_text(json.dumps([asdict(row) for row in rows], indent=1))


if __name__ == "__main__":
    fire.Fire(main)
