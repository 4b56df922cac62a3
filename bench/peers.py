"""Measure what membership costs a daemon: bytes, messages and processor time by fleet size.

``python -m bench.peers`` runs real processes on loopback for small fleets, then the core over a
fake network for large ones, and prints a table; ``--json FILE`` keeps the figures.
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

REAL_SIZES = (4, 8, 16, 32)
FAKE_SIZES = (4, 8, 16, 32, 64, 128, 320)
SETTLE_LIMIT_S = 30.0
MIN_SETTLE_S = 20.0
SETTLE_S_PER_MEMBER = 0.3
"""Time in which the news of a start of all daemons at once has been sent for the last time."""
HEADER_BYTES = 52
"""TCP and IPv4 headers of one segment with timestamps."""


@dataclass(slots=True)
class Row:
    """Hold the cost of one daemon, the mean of the fleet.

    Attributes
    ----------
    members : int
        Size of the fleet.
    way : str
        ``processes`` or ``fake network``.
    state : str
        ``idle``, or what failed in the window.
    messages_per_s, bytes_per_s : float
        Sent and received together, packed bytes.
    wire_bytes_per_s : float
        The same with the headers of one segment a message.
    cpu_percent : float
        Part of one core; of the fake network, with the cost of the network itself.
    conns : float
        Open connections.
    noticed_s : float
        Time from the failure until the last daemon had taken the host out, 0 when idle.
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
    """Run a fleet as processes on loopback.

    Parameters
    ----------
    size : int
        Number of daemons.
    max_run_s : float
        Seconds after which each process ends by itself.
    """

    def __init__(self, size: int, max_run_s: float) -> None:
        ports = _free_ports(size)
        self.processes = [
            _start_daemon(f"host-{number:03d}", port, ports[0], max_run_s)
            for number, port in enumerate(ports)
        ]
        for proc in self.processes:
            _read_line(proc)

    def report(self, skip: int = -1) -> list[dict[str, Any]]:
        """Return the counters of every daemon but one."""
        chosen = [proc for number, proc in enumerate(self.processes) if number != skip]
        for proc in chosen:
            proc.send_signal(signal.SIGUSR1)
        return [json.loads(_read_line(proc)) for proc in chosen]

    def wait_for(self, size: int, skip: int = -1) -> list[dict[str, Any]]:
        """Wait until every daemon sees `size` live hosts."""
        deadline = time.time() + SETTLE_LIMIT_S
        while time.time() < deadline:
            lines = self.report(skip)
            if all(line["live"] == size for line in lines):
                return lines
            time.sleep(0.2)
        raise RuntimeError(f"no view of {size} hosts after {SETTLE_LIMIT_S} s")

    def kill_all(self) -> None:
        """End the processes."""
        for proc in self.processes:
            proc.send_signal(signal.SIGCONT)
            proc.kill()
            proc.wait()


def _read_line(proc: subprocess.Popen[str]) -> str:
    line = proc.stdout.readline() if proc.stdout else ""
    if not line:
        raise RuntimeError(f"a daemon ended with code {proc.wait(5.0)}")
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


def _compare(
    before: list[dict[str, Any]], after: list[dict[str, Any]], size: int, state: str
) -> Row:
    count = len(before)
    seconds = sum(b["time"] - a["time"] for a, b in zip(before, after, strict=True)) / count

    def rate(*keys: str) -> float:
        total = sum(b[key] - a[key] for a, b in zip(before, after, strict=True) for key in keys)
        return float(total) / count / seconds

    messages = rate("sent_messages", "received_messages")
    data = rate("sent_bytes", "received_bytes")
    conns = sum(line["conns"] for line in after) / count
    return Row(
        members=size,
        way="processes",
        state=state,
        messages_per_s=messages,
        bytes_per_s=data,
        wire_bytes_per_s=data + messages * HEADER_BYTES,
        cpu_percent=100 * rate("cpu_s"),
        conns=conns,
        noticed_s=0.0,
    )


def measure_processes(size: int, window_s: float) -> list[Row]:
    """Measure a fleet of processes: idle, with a killed and with a stopped host."""
    rows = []
    fleet = ProcessFleet(size, SETTLE_LIMIT_S * 3 + window_s * 4)
    try:
        fleet.wait_for(size)
        time.sleep(3.0)
        before = fleet.report()
        time.sleep(window_s)
        rows.append(_compare(before, fleet.report(), size, "idle"))
        for state, number in (("stopped", signal.SIGSTOP), ("killed", signal.SIGKILL)):
            rows.append(_measure_failure(fleet, size, window_s, state, number))
    finally:
        fleet.kill_all()
    return rows


def _measure_failure(
    fleet: ProcessFleet, size: int, window_s: float, state: str, number: signal.Signals
) -> Row:
    failing = size - 1
    before = fleet.report(failing)
    failed_at = time.time()
    fleet.processes[failing].send_signal(number)
    time.sleep(window_s)
    after = fleet.wait_for(size - 1, failing)
    row = _compare(before, after, size, state)
    row.noticed_s = max(_first_seen(line["changes"], size - 1, failed_at) for line in after)
    if number is signal.SIGSTOP:
        fleet.processes[failing].send_signal(signal.SIGCONT)
        fleet.wait_for(size)
    return row


def _first_seen(changes: list[list[float]], size: int, failed_at: float) -> float:
    seen = [moment for moment, live in changes if live == size and moment > failed_at]
    return min(seen) - failed_at


def measure_fake(size: int, window_s: float) -> list[Row]:
    """Measure the core over the fake network: idle, and with a stopped host."""
    net = MemberNetwork(seed=size, measure=True)
    names = net.start_fleet(size)
    net.wait(lambda: net.views_match(names), SETTLE_LIMIT_S)
    net.set_host_list(names)
    net.run_for(max(MIN_SETTLE_S, size * SETTLE_S_PER_MEMBER))
    rows = [_measure_fake_window(net, size, window_s, "idle", lambda: None)]
    rows.append(_measure_fake_window(net, size, window_s, "stopped", lambda: net.pause(names[-1])))
    return rows


def _measure_fake_window(
    net: MemberNetwork, size: int, window_s: float, state: str, fail: Callable[[], None]
) -> Row:
    hosts = list(net.hosts.values())
    messages = sum(host.sent_messages for host in hosts)
    data = sum(host.sent_bytes for host in hosts)
    cpu_s = time.process_time()
    started = net.now
    fail()
    expected = net.running()
    noticed_s = net.wait(lambda: net.views_match(expected), window_s)
    net.run_until(started + window_s)
    messages = sum(host.sent_messages for host in hosts) - messages
    data = sum(host.sent_bytes for host in hosts) - data
    cpu_s = time.process_time() - cpu_s
    per = size * window_s
    return Row(
        members=size,
        way="fake network",
        state=state,
        messages_per_s=2 * messages / per,
        bytes_per_s=2 * data / per,
        wire_bytes_per_s=2 * (data + messages * HEADER_BYTES) / per,
        cpu_percent=100 * cpu_s / per,
        conns=0.0,
        noticed_s=noticed_s,
    )


def slope(rows: list[Row]) -> float:
    """Return the least-squares slope of the bytes a second by the members."""
    count = len(rows)
    mean_x = sum(row.members for row in rows) / count
    mean_y = sum(row.bytes_per_s for row in rows) / count
    spread = sum((row.members - mean_x) ** 2 for row in rows)
    return sum((row.members - mean_x) * (row.bytes_per_s - mean_y) for row in rows) / spread


def print_table(rows: list[Row]) -> None:
    """Print the rows and the slopes."""
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
    """Run the measurement.

    Parameters
    ----------
    window_s : float
        Seconds that each state is measured for.
    json_file : str
        File for the figures.
    fake_only : bool
        Whether to start no processes.
    """
    rows: list[Row] = []
    for size in () if fake_only else REAL_SIZES:
        rows += measure_processes(size, window_s)
    for size in FAKE_SIZES:
        rows += measure_fake(size, window_s)
    print_table(rows)
    if json_file:
        Path(json_file).write_text(json.dumps([asdict(row) for row in rows], indent=1))


if __name__ == "__main__":
    fire.Fire(main)
