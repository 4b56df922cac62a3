"""A rollout is reported as completed though no engine of the new version is left."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-2"))

from http_wire import Request  # noqa: E402
from servers import HEARTBEAT_S, Server, send_events  # noqa: E402
from worlds import World, run_case  # noqa: E402

HOSTS = 3
OLD_ENGINES = 10
NEW_ENGINES = 2
KEY = "chiave-officina"
FIRST_TOKEN_S = 0.06
EVENTS = 5
GAP_S = 0.03
CLIENTS = 24
PAUSE_S = 0.05
STAGGER_S = 0.011
"""Time between the starts of two clients, which would send in step without it."""
CALM_S = 5.0
ROLLOUT_S = 20.0
"""Time limit of the order."""
DRAIN_AFTER_S = 11.0
"""Time from the order to the draining of the new engines."""
SERVES_ON_S = 3.5
"""Time for which a draining engine serves on: `drainMs` and a little longer."""
AFTER_S = 12.0
"""Time that is watched after the old engines have stopped."""
LIMIT_S = 8.0
MAX_LOST = 3
"""Requests that LOST allows to be lost so."""
CONFIGURATION = {
    "routes": [
        {
            "name": "quesito",
            "host": "ficu95.example",
            "pathPrefix": "/quesito/",
            "service": "redattore",
            "kind": "stream",
            "streamResume": False,
            "maxAttempts": 1,
            "timeoutMs": 8000,
            "targetLatencyMs": 600,
            "gapTargetMs": 400,
            "priority": 1,
            "public": False,
            "sessionAffinity": True,
        }
    ],
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
        self.lost: list[str] = []
        self.tries: list[tuple[float, bool]] = []
        self.stopping = False
        self.state = ""
        self.stopped_at = 0.0
        self._numbers = itertools.count(1)

    async def work(self, server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run one stream."""
        self.ran_on[request.attempt] = server.version
        self.world.record("runs", server=server.name, attempt=request.attempt)
        await asyncio.sleep(FIRST_TOKEN_S)
        await send_events(server, request, writer, EVENTS, GAP_S)

    async def run_client(self, number: int) -> None:
        """Send streams one after the other on a kept channel."""
        host = number % HOSTS
        channel = self.world.open_channel(host)
        await asyncio.sleep(number * STAGGER_S)
        while not self.stopping:
            kept = channel.open
            attempt = f"quesito-{next(self._numbers):05}"
            sent_at = self.world.now()
            answer = await self.world.ask_host(
                host,
                "POST",
                f"/quesito/{number}",
                attempt,
                KEY,
                body=attempt.encode(),
                limit_ms=int(1_000 * LIMIT_S),
                more={
                    "Model": "m",
                    "Token-Counts": "1020,25",
                    "Prompt-Prefix": f"a1b2c3d4:60,{next(self._numbers) + 0x10000:x}:960",
                },
                channel=channel,
            )
            whole = answer.status == 200 and not answer.error
            self.tries.append((sent_at, whole))
            if kept and answer.error and attempt in self.ran_on and self.ran_on[attempt] == "v1":
                self.world.record("lost", attempt=attempt, why=repr(answer.error))
                self.lost.append(attempt)
            await asyncio.sleep(PAUSE_S if whole else 0.3)
        channel.close()

    async def empty_new_engines(self) -> None:
        """Empty the new engines and take them away, as planned work does."""
        new = [server for server in self.world.servers.values() if server.version == "v2"]
        for server in new:
            server.state = "draining"
            server.register()
            self.world.record("draining", server=server.name)
        await asyncio.sleep(SERVES_ON_S)
        for server in new:
            server.registers = False
            self.world.store.put(f"servers/{server.name}", None)
            server.crash()
            self.world.record("gone", server=server.name)

    async def watch_rollout(self) -> None:
        """Stop the old engines at once when the rollout is reported as completed."""
        while self.state not in ("completed", "rolled_back"):
            value = self.world.store.value("status/rollout/redattore")
            self.state = json.loads(value)["state"] if value is not None else ""
            await asyncio.sleep(0.02)
        self.stopped_at = self.world.now()
        live = [one.name for one in self.world.servers.values() if one.up and one.version == "v2"]
        self.world.record("rollout_ended", state=self.state, new_engines_up=len(live))
        if self.state == "completed":
            for server in self.world.servers.values():
                if server.version == "v1":
                    server.crash()
                    self.world.store.put(f"servers/{server.name}", None)

    def share_served(self, begin: float, end: float) -> tuple[int, float]:
        """Return the tries in a time and the share of them that was served."""
        tries = [whole for at, whole in self.tries if begin <= at < end]
        return len(tries), sum(tries) / max(1, len(tries))


async def play(world: World) -> bool:
    """Play the case; return whether the rule held."""
    case = Rollout(world)
    for number in range(OLD_ENGINES):
        world.add_server(f"i-old{number}", "redattore", case.work)
    await world.start(CONFIGURATION)
    clients = [asyncio.create_task(case.run_client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(CALM_S)
    for number in range(NEW_ENGINES):
        server = world.add_server(f"i-new{number}", "redattore", case.work, version="v2")
        await server.start()
    order = {"service": "redattore", "target": "v2", "durationS": ROLLOUT_S}
    ordered_at = world.now()
    world.store.put("op/rollout/redattore", json.dumps(order).encode())
    world.record("ordered", **order)
    loss = None
    if world.trouble:

        async def empty_later() -> None:
            await asyncio.sleep(DRAIN_AFTER_S)
            await case.empty_new_engines()

        loss = asyncio.create_task(empty_later())
    async with asyncio.timeout(ROLLOUT_S + 10.0):
        await case.watch_rollout()
    await asyncio.sleep(AFTER_S)
    ended = world.now()
    case.stopping = True
    await asyncio.wait(clients, timeout=10.0)
    if loss is not None:
        await loss
    for line in world.log_lines("event=move") + world.log_lines("event=rollout"):
        world.record("log", line=line)
    before, share_before = case.share_served(ordered_at, case.stopped_at - 1.0)
    after, share_after = case.share_served(case.stopped_at + 1.0, ended)
    text = (
        f"state {case.state} {case.stopped_at - ordered_at:.1f} s after the order; requests lost "
        f"on the old engines: {len(case.lost)}; served {share_before:.3f} of {before} before, "
        f"{share_after:.3f} of {after} after it"
    )
    world.record("judged", text=text)
    print(text)
    return len(case.lost) <= MAX_LOST


if __name__ == "__main__":
    run_case(HERE, HOSTS, play)
