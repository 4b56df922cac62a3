"""A crowd of slow senders holds every place of a ready host, and no other caller gets in."""

from __future__ import annotations

import asyncio
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from cases import (  # noqa: E402
    AUTHORITY,
    BOUNDS,
    BROKEN,
    HELD,
    KEY,
    Deployment,
    EntryHost,
    create_route,
    run_case,
)

CALLERS = 8
CALL_PAUSE_S = 0.15
CALL_TIMEOUT_S = 2.0
CALM_S = 3.0
TROUBLE_S = 15.0
AFTER_S = 4.0
READY_PERIOD_S = 0.5

CROWD = 2_100
"""Connections of the crowd; the machine has 4,100 descriptors, 3,900 of them for sockets."""
CROWD_ADDRESSES = 4
OPENED_AT_ONCE = 100
BODY_BYTES = 24_000
PIECE_BYTES = 6_000
PIECE_PERIOD_S = 4.0
"""A body of 24,000 bytes comes in 16 s: 1,500 bytes a second, far below `maxBodyBytes`."""

CONTACT_S = BOUNDS["contactMs"] / 1_000
LEAST_CALLERS = 7


@dataclass
class Attempt:
    """Hold one call of an ordinary caller on a new connection."""

    at: float
    ended_at: float
    caller: int
    taken: bool


async def send_slowly(deployment: Deployment, host: EntryHost, number: int) -> None:
    """Send one request within all limits, with pauses in its body."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sent, outcome = 0, "no answer"
    try:
        sock.bind((f"127.0.2.{1 + number % CROWD_ADDRESSES}", 0))
        await loop.sock_connect(sock, (host.address, host.callers_port))
        head = (
            f"POST /record/{number} HTTP/1.1\r\nHost: {AUTHORITY}\r\nAttempt-Id: c{number:015x}\r\n"
            f"Request-Deadline: 30000\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        )
        await loop.sock_sendall(sock, head.encode() + b"x" * PIECE_BYTES)
        sent = PIECE_BYTES
        while sent < BODY_BYTES:
            await asyncio.sleep(PIECE_PERIOD_S)
            await loop.sock_sendall(sock, b"x" * PIECE_BYTES)
            sent += PIECE_BYTES
        answer = await loop.sock_recv(sock, 4_096)
        outcome = answer.partition(b"\r\n")[0].decode("latin-1") or "closed"
    except OSError as exc:
        outcome = type(exc).__name__
    finally:
        sock.close()
        deployment.note(f"crowd c{number:015x} sent {sent} bytes of its body: {outcome}")


async def call_repeatedly(
    deployment: Deployment, host: EntryHost, caller: int, until: float, attempts: list[Attempt]
) -> None:
    """Send lookups, each on a new connection."""
    while deployment.now() < until:
        at = deployment.now()
        source = f"127.0.3.{1 + caller}"
        attempt, response, failure = await deployment.send(
            host, f"/lookup/{caller}", source, CALL_TIMEOUT_S
        )
        outcome = str(response.status) if response else failure
        deployment.note(f"caller {caller} sent {attempt} at {at:.3f}: {outcome}")
        attempts.append(Attempt(at, deployment.now(), caller, response is not None))
        await asyncio.sleep(CALL_PAUSE_S)


async def check_readiness(
    deployment: Deployment, host: EntryHost, until: float, checks: list[tuple[float, bool]]
) -> None:
    """Ask for the readiness page as the platform does, twice as often."""
    while deployment.now() < until:
        at = deployment.now()
        checks.append((at, await host.is_ready()))
        deployment.note(f"readiness at {at:.3f}: {checks[-1][1]}")
        await asyncio.sleep(READY_PERIOD_S)


def find_longest_refusal(
    attempts: list[Attempt], checks: list[tuple[float, bool]]
) -> tuple[float, float]:
    """Return begin and length of the longest time in which the ready host took no new channel.

    Enough callers must have tried in it, and each readiness check in it must have succeeded.
    """
    longest = (0.0, 0.0)
    marks = [0.0, *sorted(attempt.ended_at for attempt in attempts if attempt.taken)]
    last = max(attempt.ended_at for attempt in attempts)
    for begin, end in zip(marks, [*marks[1:], last], strict=True):
        callers = {one.caller for one in attempts if begin < one.at and one.ended_at <= end}
        ready = all(is_ready for at, is_ready in checks if begin <= at <= end)
        if len(callers) >= LEAST_CALLERS and ready and end - begin > longest[1]:
            longest = (begin, end - begin)
    return longest


async def play(deployment: Deployment, trouble: bool) -> int:
    """Call in calm, beside the crowd and after it."""
    routes = [create_route("lookup", "safe"), create_route("record", "unsafe")]
    await deployment.start(host_count=1, engine_count=3, routes=routes)
    host = deployment.hosts[0]
    until = deployment.now() + CALM_S + TROUBLE_S + AFTER_S
    attempts: list[Attempt] = []
    checks: list[tuple[float, bool]] = []
    tasks = [
        asyncio.ensure_future(call_repeatedly(deployment, host, caller, until, attempts))
        for caller in range(CALLERS)
    ]
    tasks.append(asyncio.ensure_future(check_readiness(deployment, host, until, checks)))
    await asyncio.sleep(CALM_S)
    crowd: list[asyncio.Future[None]] = []
    if trouble:
        deployment.note("the crowd begins to open its channels")
        for number in range(CROWD):
            crowd.append(asyncio.ensure_future(send_slowly(deployment, host, number)))
            if number % OPENED_AT_ONCE == 0:
                await asyncio.sleep(0.03)
        deployment.note(f"the crowd has opened {CROWD} channels")
    await asyncio.gather(*tasks)
    for one in crowd:
        one.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    begin, length = find_longest_refusal(attempts, checks)
    taken = sum(attempt.taken for attempt in attempts)
    deployment.note(f"{taken} of {len(attempts)} ordinary calls were answered")
    deployment.note(
        f"longest time without a new channel while ready: {length:.2f} s from {begin:.2f}, "
        f"allowed {CONTACT_S:g} s"
    )
    return BROKEN if length > CONTACT_S else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
