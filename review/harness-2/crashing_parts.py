"""Play requests with a part that crashes engines beside sound ones, and judge the sound ones."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from http_wire import Request, reset
from servers import Server, begin_stream, send_events, write_chunk
from worlds import World

HOSTS = 3
ENGINES = 6
KEY = "chiave-officina"
CRASHING_PART = "5c1e07a2"
BACK_AFTER_S = 3.0
"""Time after which a crashed engine is back: some seconds."""
FIRST_TOKEN_S = 0.06
EVENTS = 5
EVENT_GAP_S = 0.03
CONTACT_S = 3.0
MIN_COMPARED = 20
"""Sound requests that LOST needs on each side."""
MAX_LATER = 3
"""Requests with the part that BUDGET allows later than contactMs after the fifth crash."""
CONFIGURATION = {
    "routes": [
        {
            "name": "riassunto",
            "host": "ficu95.example",
            "pathPrefix": "/riassunto/",
            "service": "redattore",
            "kind": "stream",
            "streamResume": False,
            "maxAttempts": 1,
            "timeoutMs": 5000,
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


async def crash_before_events(
    server: Server, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Leave a crashing engine's stream without a byte."""


async def crash_after_first_event(
    server: Server, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Write the first event of the answer, as an engine does that has begun to write it."""
    begin_stream(server, request, writer)
    write_chunk(writer, f"id: 1\ndata: {request.attempt}.1\n\n".encode())
    await writer.drain()
    await asyncio.sleep(EVENT_GAP_S)


class CrashingParts:
    """Hold what the clients and the engines of a case have seen."""

    def __init__(
        self,
        world: World,
        write_before: Callable[[Server, Request, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        self.world = world
        self.begun: set[str] = set()
        self.whole: set[str] = set()
        self.crashed_at: list[float] = []
        self.arrived_at: list[float] = []
        self.sound: dict[str, float] = {}
        self._write_before = write_before
        self._number = 0

    def add_engines(self) -> None:
        """Add the engines."""
        for number in range(ENGINES):
            self.world.add_server(f"i-{number}", "redattore", self.work)

    async def work(self, server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request; one with the crashing part ends the engine as its answer begins."""
        parts = [row.partition(":")[0] for row in request.head.get("prompt-prefix").split(",")]
        crashes = CRASHING_PART in parts[:-1] and self.world.trouble
        if crashes:
            self.arrived_at.append(self.world.now())
        await asyncio.sleep(FIRST_TOKEN_S)
        self.begun.add(request.attempt)
        self.world.record("runs", server=server.name, attempt=request.attempt)
        if not crashes:
            await send_events(server, request, writer, EVENTS, EVENT_GAP_S)
            return
        await self._write_before(server, request, writer)
        self.crashed_at.append(self.world.now())
        self.world.record("crashes", server=server.name, attempt=request.attempt)
        asyncio.get_running_loop().create_task(self._crash(server))
        reset(writer)
        raise OSError("the engine has crashed")

    async def _crash(self, server: Server) -> None:
        if not server.up:
            return
        server.crash()
        await asyncio.sleep(BACK_AFTER_S)
        await server.start()

    def send(self, parts: list[str], sound: bool) -> None:
        """Send a request, no two alike, to the machines in turn; its last part is its own."""
        self._number += 1
        attempt = f"{'sound' if sound else 'crash'}-{self._number:04}"
        if sound:
            self.sound[attempt] = self.world.now()
        prompt = ",".join([*(f"{part}:60" for part in parts), f"{self._number + 0x10000:x}:900"])
        tokens = 60 * len(parts) + 900
        more = {"Model": "m", "Token-Counts": f"{tokens},25", "Prompt-Prefix": prompt}
        asyncio.get_running_loop().create_task(self._ask(attempt, self._number, more))

    async def _ask(self, attempt: str, number: int, more: dict[str, str]) -> None:
        answer = await self.world.ask_host(
            number % HOSTS,
            "POST",
            f"/riassunto/{number}",
            attempt,
            KEY,
            body=attempt.encode(),
            limit_ms=5000,
            more=more,
        )
        if answer.status == 200 and not answer.error:
            self.whole.add(attempt)

    async def send_for(self, parts: list[str], sound: bool, seconds: float, gap_s: float) -> None:
        """Send requests at a rate for some time."""
        end = self.world.now() + seconds
        while self.world.now() < end:
            self.send(parts, sound)
            await asyncio.sleep(gap_s)

    def _share_begun(self, begin: float, end: float) -> tuple[int, float]:
        """Return how many sound requests were sent in a time, and the share that began to run."""
        sent = [name for name, at in self.sound.items() if begin <= at < end]
        begun = sum(name in self.begun for name in sent)
        return len(sent), begun / max(1, len(sent))

    def _report(self, text: str) -> None:
        for line in self.world.log_lines("event=key_quarantined"):
            self.world.record("log", line=line)
        self.world.record("judged", text=text)
        print(text)

    def judge_sound(self, calm_from: float, calm_to: float, ended: float) -> bool:
        """Return whether sound requests begin half as often as in calm, as LOST counts them."""
        fifth = self.crashed_at[:5][-1] if self.crashed_at else calm_to
        before, share_before = self._share_begun(calm_from, calm_to)
        after, share_after = self._share_begun(fifth + 2 * CONTACT_S, ended)
        self._report(
            f"{len(self.crashed_at)} crashes; sound requests begun: {share_before:.3f} of "
            f"{before} before, {share_after:.3f} of {after} later than 2 x contactMs after the "
            "fifth crash (the last, if fewer)"
        )
        if before < MIN_COMPARED or after < MIN_COMPARED:
            raise RuntimeError(f"fewer than {MIN_COMPARED} requests to compare")
        return share_after >= 0.5 * share_before

    def judge_crashing(self) -> bool:
        """Return whether the part was kept from engines, as BUDGET counts its requests."""
        later = 0
        if len(self.crashed_at) >= 5:
            later = sum(at > self.crashed_at[4] + CONTACT_S for at in self.arrived_at)
        cut = [name for name in self.sound if name in self.begun and name not in self.whole]
        self._report(
            f"{len(self.crashed_at)} crashes; requests with the part that reached engines later "
            f"than contactMs after the fifth: {later}; sound requests that had begun and were "
            f"lost: {len(cut)} of {len(self.sound)}"
        )
        return later <= MAX_LATER
