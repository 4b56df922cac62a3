"""Play crowds against hosts whose memory is limited as on the platform's machines."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cases import BROKEN, HELD, CaseError, Deployment, EntryHost
from http1 import call
from memory import MEBIBYTE, read_resident_bytes, read_unread_bytes

MEMORY_BYTES = 300 * MEBIBYTE
"""`memoryMb` of a machine, read in the way that allows more.

The platform counts bytes that were received and not read as well; here the resident memory alone
decides, as the kernel's windows on loopback may be larger than the platform's.
"""
SAMPLE_S = 0.02
RESTART_S = 0.5
"""Time after which the platform starts a process again, in seconds."""
ROUNDS = 3
ROUND_S = 12.0
"""Longest time of one crowd, in seconds."""
CROWD = 1_900
"""Connections of a crowd; a machine has 4,100 descriptors, 3,900 of them for sockets."""
CROWD_PROCESSES = 2
CALLERS = 4
CALL_PAUSE_S = 0.1
CALL_TIMEOUT_S = 4.0
LEAST_ENDS, LEAST_HOSTS = 3, 2

CreateRequest = Callable[[dict[str, str], int], bytes]
"""Returns the request of an ordinary caller from its header fields and the caller's number."""


@dataclass
class Watch:
    """Count how often one host has exceeded its memory, and its peak."""

    host: EntryHost
    ends: int = 0
    peak_bytes: int = 0


async def guard_memory(deployment: Deployment, watch: Watch) -> None:
    """Kill a host that exceeds the memory of its machine, and start it again, as the platform."""
    while True:
        await asyncio.sleep(SAMPLE_S)
        process = watch.host.process
        assert process is not None
        resident = read_resident_bytes(process.pid)
        watch.peak_bytes = max(watch.peak_bytes, read_resident_bytes(process.pid, "VmHWM"))
        if process.poll() is None and resident <= MEMORY_BYTES:
            continue
        unread = read_unread_bytes(watch.host)
        watch.host.kill()
        watch.ends += 1
        deployment.note(
            f"{watch.host.name} is over its memory: {resident / 1e6:.0f} MB resident and "
            f"{unread / 1e6:.0f} MB received and not read (not counted); end {watch.ends}"
        )
        await asyncio.sleep(RESTART_S)
        watch.host.start()


async def call_in_turn(
    deployment: Deployment, host: EntryHost, caller: int, create_request: CreateRequest
) -> None:
    """Send requests as an ordinary caller, one at a time."""
    source = f"127.0.3.{1 + caller}"
    while True:
        headers = deployment.headers()
        request = create_request(headers, caller)
        try:
            response = await call(host.address, host.callers_port, request, CALL_TIMEOUT_S, source)
            outcome = str(response.status)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as exc:
            outcome = type(exc).__name__
        deployment.note(f"caller {caller} sent {headers['Attempt-Id']} to {host.name}: {outcome}")
        await asyncio.sleep(CALL_PAUSE_S)


def start_crowd(folder: Path, host: EntryHost) -> list[subprocess.Popen[str]]:
    """Start the processes of the crowd, each with its part of the connections."""
    share = CROWD // CROWD_PROCESSES
    return [
        subprocess.Popen(
            [sys.executable, str(folder / "crowd.py"), host.address, str(host.callers_port)]
            + [str(share * number), str(share)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        for number in range(CROWD_PROCESSES)
    ]


async def play_round(deployment: Deployment, folder: Path, watch: Watch, trouble: bool) -> None:
    """Let the crowd come to one host until it ends, for `ROUND_S` at most."""
    ends_before = watch.ends
    end = deployment.now() + ROUND_S
    crowd = start_crowd(folder, watch.host) if trouble else []
    deployment.note(f"{CROWD if trouble else 0} callers come to {watch.host.name}")
    try:
        while watch.ends == ends_before and deployment.now() < end:
            await asyncio.sleep(SAMPLE_S)
    finally:
        for process in crowd:
            process.terminate()
    for process in crowd:
        output, _ = await asyncio.to_thread(process.communicate)
        deployment.record += [f"         {line}" for line in output.splitlines()]
    while not await watch.host.is_ready():
        await asyncio.sleep(SAMPLE_S)


async def play_crowds(
    deployment: Deployment,
    folder: Path,
    trouble: bool,
    routes: list[dict[str, Any]],
    create_request: CreateRequest,
) -> int:
    """Let the crowd of a case's ``crowd.py`` come to each of two hosts in turn, several times."""
    await deployment.start(host_count=2, engine_count=3, routes=routes)
    watches = [Watch(host) for host in deployment.hosts]
    tasks = [asyncio.ensure_future(guard_memory(deployment, watch)) for watch in watches]
    for caller in range(CALLERS):
        host = deployment.hosts[caller % len(deployment.hosts)]
        calls = call_in_turn(deployment, host, caller, create_request)
        tasks.append(asyncio.ensure_future(calls))
    for _ in range(ROUNDS):
        for watch in watches:
            await play_round(deployment, folder, watch, trouble)
    for task in tasks:
        if task.done():
            raise CaseError(f"a part of the case has failed: {task.exception()!r}")
        task.cancel()
    for watch in watches:
        deployment.note(
            f"{watch.host.name}: over its memory {watch.ends} times; resident at most "
            f"{watch.peak_bytes / 1e6:.0f} MB, allowed {MEMORY_BYTES / 1e6:.0f} MB"
        )
    failing = sum(watch.ends >= LEAST_ENDS for watch in watches)
    return BROKEN if failing >= LEAST_HOSTS else HELD
