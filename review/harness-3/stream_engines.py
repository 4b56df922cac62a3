"""Emulate engines that stream events and crash while they run one certain request."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from engines import Engine, Run
from http1 import STREAM_LIMIT_BYTES, Request, encode_response, read_request

if TYPE_CHECKING:
    from stores import Store

EVENT_PAUSE_S = 0.03
SOUND_EVENTS = 20
BACK_AFTER_S = 3.0
"""Time after which a crashed engine is back, in seconds."""


def encode_stream_head(attempt: str, seal: str) -> bytes:
    """Return the head of a stream of events in chunks."""
    fields = {
        "Attempt-Id": attempt,
        "Server-Seal": seal,
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def encode_event(number: int) -> bytes:
    """Return one event as a chunk."""
    event = b"id: %d\ndata: word%d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(event), event)


@dataclass
class StreamEngine(Engine):
    """Stream events; end all connections after some events of the target that crashes it.

    Each start has a new id, under which the engine registers again. `crashes` holds the times at
    which engines have crashed, `broken` the attempts of other requests that ran there then.
    """

    store: Store | None = None
    crash_target: str = ""
    crash_after_events: int = 0
    crashes: list[float] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    _starts: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _running: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    _restarts: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self) -> None:
        """Listen for requests."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=STREAM_LIMIT_BYTES
        )

    def _crash(self) -> None:
        """End as a process does that has crashed; be back some seconds later with a new id."""
        assert self._server is not None
        self.crashes.append(time.time())
        self._server.close()
        for writer in list(self._writers):
            attempt = self._running.pop(writer, "")
            if attempt:
                self.broken.append(attempt)
            writer.transport.abort()
        self._writers.clear()
        self._restarts.append(asyncio.create_task(self._restart()))

    async def _restart(self) -> None:
        assert self.store is not None
        await asyncio.sleep(BACK_AFTER_S)
        self.store.delete(f"servers/{self.name}")
        self._starts += 1
        self.name = f"{self.name.partition('-b')[0]}-b{self._starts}"
        await self.start()
        self.store.put(f"servers/{self.name}", self.entry())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._respond(await read_request(reader), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._running.pop(writer, None)
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("expect-instance") != self.name:
            writer.write(encode_response(421, {"Attempt-Id": attempt, "Not-Executed": "1"}))
            return
        if request.target == "/healthz":
            writer.write(encode_response(200, {"Instance-Id": self.name}))
            return
        self.runs.append(Run(time.time(), self.name, attempt, request.method, request.target))
        crashes = request.target == self.crash_target
        if not crashes:
            self._running[writer] = attempt
        writer.write(encode_stream_head(attempt, f"seal-{self.name}"))
        for number in range(1, SOUND_EVENTS + 1):
            if crashes and number > self.crash_after_events:
                self._crash()
                raise ConnectionAbortedError
            await asyncio.sleep(EVENT_PAUSE_S)
            writer.write(encode_event(number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._running.pop(writer, None)
