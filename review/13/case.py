"""A request that crashes engines after some events of its stream is sent to one after another."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from cases import BOUNDS, BROKEN, HELD, Deployment, create_route, run_case  # noqa: E402
from http1 import call, encode_request  # noqa: E402
from stream_engines import StreamEngine  # noqa: E402

PLAY_S = 40.0
CRASHING_PAUSE_S = 1.5
SOUND_PAUSE_S = 0.2
TIMEOUT_S = 4.0
CRASHING = "/talk/crashing"
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS_BEFORE_CRASH", "1"))
CRASHES_TO_KNOW, RETRIES_ALLOWED = 3, 3


async def send(deployment: Deployment, number: int, target: str) -> bool:
    """Send a request for a stream, the same each time; return whether it was answered whole."""
    host = deployment.hosts[number % len(deployment.hosts)]
    headers = deployment.headers()
    request = encode_request("POST", target, headers, b"text")
    answer, whole = "", False
    try:
        response = await call(host.address, host.callers_port, request, TIMEOUT_S)
        answer, whole = str(response.status), response.status == 200
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as exc:
        answer = type(exc).__name__
    deployment.note(f"{headers['Attempt-Id']} POST {target} to {host.name}: {answer}")
    return whole


async def send_sound(deployment: Deployment) -> tuple[int, int]:
    """Send sound requests, no two alike; return how many, and how many were not answered whole."""
    calls = []
    end = deployment.now() + PLAY_S
    for number in itertools.count():
        if deployment.now() >= end:
            break
        calls.append(asyncio.create_task(send(deployment, number, f"/talk/sound-{number}")))
        await asyncio.sleep(SOUND_PAUSE_S)
    answered = await asyncio.gather(*calls)
    return len(answered), answered.count(False)


async def play(deployment: Deployment, trouble: bool) -> int:
    """Send the same request again and again, beside sound ones."""
    route = create_route("talk", "stream", gapTargetMs=200)
    await deployment.start(3, 8, [route], engine_type=StreamEngine)
    engines = [one for one in deployment.engines if isinstance(one, StreamEngine)]
    for engine in engines:
        engine.store = deployment.store
        engine.crash_target = CRASHING if trouble else ""
        engine.crash_after_events = EVENTS_BEFORE_CRASH
    sound = asyncio.create_task(send_sound(deployment))
    end = deployment.now() + PLAY_S
    for number in itertools.count():
        if deployment.now() >= end:
            break
        asyncio.create_task(send(deployment, number, CRASHING))
        await asyncio.sleep(CRASHING_PAUSE_S)
    sent, failed = await sound
    offset = time.time() - deployment.now()
    crashes = sorted(at - offset for engine in engines for at in engine.crashes)
    runs = [run for engine in engines for run in engine.runs if run.target == CRASHING]
    broken = sum(len(engine.broken) for engine in engines)
    deployment.note(f"engines crashed {len(crashes)} times: {[round(at, 1) for at in crashes]}")
    deployment.note(f"{failed} of {sent} sound requests were not answered whole")
    deployment.note(f"{broken} sound requests were running on engines that crashed")
    if len(crashes) < CRASHES_TO_KNOW:
        return HELD
    counted_from = crashes[CRASHES_TO_KNOW - 1] + BOUNDS["contactMs"] / 1_000
    # What reaches an engine up to a second later may have been sent before.
    retries = sum(1 for run in runs if run.at - offset > counted_from + 1.0)
    deployment.note(
        f"{retries} retries reached engines later than contactMs and a second after the third "
        f"crash, {RETRIES_ALLOWED} allowed"
    )
    return BROKEN if retries > RETRIES_ALLOWED else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
