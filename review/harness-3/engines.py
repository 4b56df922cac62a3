"""Emulate a sound engine: it answers each request that names it once, after a short time."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field

from http1 import STREAM_LIMIT_BYTES, Request, encode_response, read_request

WORK_S = 0.0225
"""Work of the application's requests on the sheet of scaravilli-passaporti, in seconds."""
BORN_MS = 1_700_000_000_000


@dataclass
class Run:
    """Hold one execution of a request."""

    at: float
    engine: str
    attempt: str
    method: str
    target: str


@dataclass
class Engine:
    """Serve requests on one address, and remember those that have run."""

    name: str
    service: str
    host: str
    port: int
    zone: str
    runs: list[Run] = field(default_factory=list)

    async def start(self) -> None:
        """Listen for requests."""
        await asyncio.start_server(self._serve, self.host, self.port, limit=STREAM_LIMIT_BYTES)

    def entry(self) -> bytes:
        """Return the value under which the engine registers in the store."""
        doc = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldMs": 0,
            "sequence": 1,
            "born": BORN_MS,
        }
        return json.dumps(doc).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                writer.write(await self._answer(await read_request(reader)))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> bytes:
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("expect-instance") != self.name:
            return encode_response(421, {"Attempt-Id": attempt})
        self.runs.append(Run(time.time(), self.name, attempt, request.method, request.target))
        await asyncio.sleep(WORK_S)
        headers = {"Attempt-Id": attempt, "Server-Seal": f"seal-{self.name}"}
        return encode_response(200, headers, f"{self.name} {request.target}".encode())
