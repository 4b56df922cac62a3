"""A rollout is reported as completed while the old engines still work on streams."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-2"))

from http_wire import Request  # noqa: E402
from servers import Server, send_events  # noqa: E402
from worlds import World, run_case  # noqa: E402

HOSTS = 3
ENGINES = 12
"""Engines of each version."""
KEY = "chiave-officina"
FIRST_TOKEN_S = 0.06
LONG_EVENTS = 34
LONG_GAP_S = 0.26
SHORT_EVENTS = 4
SHORT_GAP_S = 0.03
LONG_CLIENTS = 44
SHORT_CLIENTS = 12
SHORT_PAUSE_S = 0.15
CALM_S = 6.0
ROLLOUT_S = 20.0
"""Time limit of the order."""
LIMIT_S = 10.0
"""Time limit of the requests and timeout of their routes."""
MARGIN_S = 0.5
"""Time before the limit from which on a cut isn't counted."""
MAX_LOST = 3
"""Requests that LOST allows to be lost so."""


def create_route(name: str, timeout_ms: int, priority: int) -> dict[str, object]:
    """Return a route of streams that may not be resumed."""
    return {
        "name": name,
        "host": "ficu95.example",
        "pathPrefix": f"/{name}/",
        "service": "redattore",
        "kind": "stream",
        "streamResume": False,
        "maxAttempts": 1,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 600,
        "gapTargetMs": 400,
        "priority": priority,
        "public": False,
        "sessionAffinity": True,
    }


CONFIGURATION = {
    "routes": [create_route("bozza", 10000, 0), create_route("quesito", 10000, 1)],
    "services": [
        {
            "name": "redattore",
            "healthPath": "/healthz",
            "maxConns": 610,
            "engine": {"slots": 6, "stride": 5, "kvCapacityTokens": 834298},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "officina", "apiKeys": [KEY], "unit": "token_stream", "plainTokens": 200}],
}


class Rollout:
    """Hold what the clients and the engines have seen."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.ran_on: dict[str, str] = {}
        self.ended: set[str] = set()
        self.lost: list[str] = []
        self.stopping = False
        self.completed_at = 0.0
        self._numbers = itertools.count(1)

    async def work(self, server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run one stream."""
        self.ran_on[request.attempt] = server.version
        self.world.record("runs", server=server.name, attempt=request.attempt)
        await asyncio.sleep(FIRST_TOKEN_S)
        long = request.target.startswith("/bozza/")
        count, gap_s = (LONG_EVENTS, LONG_GAP_S) if long else (SHORT_EVENTS, SHORT_GAP_S)
        await send_events(server, request, writer, count, gap_s)
        self.ended.add(request.attempt)

    async def run_client(self, number: int, name: str, pause_s: float) -> None:
        """Send streams one after the other on a kept channel; the first one opens it."""
        host = number % HOSTS
        channel = self.world.open_channel(host)
        while not self.stopping:
            kept = channel.open
            attempt = f"{name}-{next(self._numbers):05}"
            sent_at = self.world.now()
            path = name if kept else "quesito"
            answer = await self.world.ask_host(
                host,
                "POST",
                f"/{path}/{number}",
                attempt,
                KEY,
                body=attempt.encode(),
                limit_ms=int(1_000 * LIMIT_S),
                more={
                    "Model": "m",
                    "Token-Counts": "1020,170",
                    "Prompt-Prefix": f"a1b2c3d4:60,{next(self._numbers) + 0x10000:x}:960",
                },
                channel=channel,
            )
            age_s = self.world.now() - sent_at
            if kept and answer.error and attempt in self.ran_on and age_s < LIMIT_S - MARGIN_S:
                self.world.record(
                    "lost",
                    attempt=attempt,
                    version=self.ran_on[attempt],
                    age_s=f"{age_s:.2f}",
                    why=repr(answer.error),
                )
                self.lost.append(attempt)
            await asyncio.sleep(pause_s)
        channel.close()

    async def watch_rollout(self) -> None:
        """Stop the old engines at once when the rollout is reported as completed."""
        while True:
            value = self.world.store.value("status/rollout/redattore")
            state = json.loads(value)["state"] if value is not None else ""
            if state == "completed":
                break
            if state == "rolled_back":
                for line in self.world.log_lines("event=move") + self.world.log_lines("rollout"):
                    self.world.record("log", line=line)
                raise RuntimeError("the rollout was rolled back")
            await asyncio.sleep(0.02)
        self.completed_at = self.world.now()
        working = [
            name
            for name, version in self.ran_on.items()
            if version == "v1" and name not in self.ended
        ]
        self.world.record("completed", old_engines_still_run=len(working))
        for server in self.world.servers.values():
            if server.version == "v1":
                server.crash()
                self.world.store.put(f"servers/{server.name}", None)


async def play(world: World) -> bool:
    """Play the case; return whether the rule held."""
    case = Rollout(world)
    for number in range(ENGINES):
        world.add_server(f"i-old{number}", "redattore", case.work)
    await world.start(CONFIGURATION)
    clients = [
        asyncio.create_task(case.run_client(number, "bozza", 0.05))
        for number in range(LONG_CLIENTS)
    ]
    clients += [
        asyncio.create_task(case.run_client(number, "quesito", SHORT_PAUSE_S))
        for number in range(SHORT_CLIENTS)
    ]
    await asyncio.sleep(CALM_S)
    if world.trouble:
        for number in range(ENGINES):
            server = world.add_server(f"i-new{number}", "redattore", case.work, version="v2")
            await server.start()
        order = {"service": "redattore", "target": "v2", "durationS": ROLLOUT_S}
        world.store.put("op/rollout/redattore", json.dumps(order).encode())
        world.record("ordered", **order)
        async with asyncio.timeout(ROLLOUT_S + 10.0):
            await case.watch_rollout()
    else:
        await asyncio.sleep(ROLLOUT_S)
    await asyncio.sleep(2.0)
    case.stopping = True
    await asyncio.gather(*clients)
    print(
        f"requests from kept channels that were passed on to a sound engine and lost: "
        f"{len(case.lost)}"
    )
    world.record("judged", lost=len(case.lost))
    return len(case.lost) <= MAX_LOST


if __name__ == "__main__":
    run_case(HERE, HOSTS, play)
