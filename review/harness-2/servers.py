"""Stand-in of a server: plain answers, or streams of numbered events."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from http_wire import Request, format_head, read_request, reset
from stores import Store

HEARTBEAT_S = 1.2
Record = Callable[..., None]
"""Writes one line of the record from named values."""


class Server:
    """Run one server, whose work a case gives; each start is a new one with its own `born`."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        host: str,
        work: Callable[[Server, Request, asyncio.StreamWriter], Awaitable[None]],
        zone: str = "etna",
        version: str = "v1",
    ) -> None:
        self.version = version
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.host = host
        self.zone = zone
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.up = False
        self.registers = True
        self.state = "ready"
        self.runs = 0
        self._work = work
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, at the same port after a crash, and register."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.up = True
        if self._beat is None:
            self._beat = asyncio.get_running_loop().create_task(self._send_heartbeats())
        self.register()

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.store.put(f"servers/{self.name}", json.dumps(self.entry()).encode())

    def entry(self) -> dict[str, Any]:
        """Return the entry."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 6,
            "state": self.state,
            "coldMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up and self.registers:
                self.register()

    def crash(self) -> None:
        """End as a killed process does: all connections are reset."""
        self.up = False
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.up:
            reset(writer)
            return
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                if request.head.get("expect-instance") not in ("", self.name):
                    self.answer(writer, request, 421, [("Not-Executed", "1")])
                    continue
                await self._work(self, request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            if self.up:
                writer.transport.abort()

    def seal(self, request: Request) -> list[tuple[str, str]]:
        """Return the fields of an answer that the server has made."""
        return [
            ("Attempt-Id", request.attempt),
            ("Server-Seal", f"{self.name}.{self.born}.{request.attempt}"),
        ]

    def answer(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        status: int,
        fields: list[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Write a complete answer."""
        rows = [("Attempt-Id", request.attempt), *fields, ("Content-Length", str(len(body)))]
        writer.write(format_head(f"HTTP/1.1 {status} Answer", rows) + body)


def begin_stream(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
    """Write the head of a stream in chunks."""
    fields = [
        *server.seal(request),
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    writer.write(format_head("HTTP/1.1 200 OK", fields))


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one chunk; an empty one ends the body."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


async def send_events(
    server: Server, request: Request, writer: asyncio.StreamWriter, count: int, gap_s: float
) -> None:
    """Send a whole stream of numbered events, after the event that the request names."""
    begin_stream(server, request, writer)
    first = int(request.head.get("last-event-id") or 0) + 1
    for number in itertools.count(first):
        if number > count:
            break
        write_chunk(writer, f"id: {number}\ndata: {request.attempt}.{number}\n\n".encode())
        await writer.drain()
        await asyncio.sleep(gap_s)
    write_chunk(writer, b"")
