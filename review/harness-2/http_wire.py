"""Read and write HTTP/1.1 messages on asyncio streams, as clients and servers of the cases need."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close sends RST."""


@dataclass(slots=True)
class Head:
    """Hold the first line and the header fields of a message."""

    line: str
    fields: list[tuple[str, str]]

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a field."""
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


@dataclass(slots=True)
class Request:
    """Hold a request that a server has read."""

    method: str
    target: str
    head: Head
    body: bytes

    @property
    def attempt(self) -> str:
        """Return the id of the client's attempt."""
        return self.head.get("attempt-id")


@dataclass(slots=True)
class Answer:
    """Hold what a client got; `error` is empty for a complete answer."""

    status: int = 0
    fields: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    error: str = ""

    def get(self, name: str) -> str:
        """Return the first value of a header field."""
        return Head("", self.fields).get(name)


def parse_head(data: bytes) -> Head:
    """Parse a head without its blank line."""
    lines = data.decode("latin-1").split("\r\n")
    rows = [line.partition(":") for line in lines[1:] if line]
    return Head(lines[0], [(name.strip(), value.strip()) for name, _, value in rows])


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head; raises `asyncio.IncompleteReadError` at the end of the connection."""
    return parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_chunks(reader: asyncio.StreamReader, parts: list[bytes]) -> None:
    """Read a chunked body into `parts`."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size:
            parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with its body."""
    head = await read_head(reader)
    method, target, _ = head.line.split(" ", 2)
    parts: list[bytes] = []
    if "chunked" in head.get("transfer-encoding").lower():
        await read_chunks(reader, parts)
    elif head.get("content-length"):
        parts.append(await reader.readexactly(int(head.get("content-length"))))
    return Request(method, target, head, b"".join(parts))


def format_head(line: str, fields: list[tuple[str, str]]) -> bytes:
    """Format a head with its blank line."""
    rows = [line, *(f"{name}: {value}" for name, value in fields)]
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            pass
    writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader, answer: Answer, method: str) -> None:
    """Read one answer into `answer`, whose parts are kept if the connection ends early."""
    head = await read_head(reader)
    while head.line.split(" ", 2)[1].startswith("1"):
        head = await read_head(reader)
    answer.status = int(head.line.split(" ", 2)[1])
    answer.fields = head.fields
    parts: list[bytes] = []
    try:
        if method == "HEAD" or answer.status in (204, 304):
            return
        if "chunked" in head.get("transfer-encoding").lower():
            await read_chunks(reader, parts)
        elif head.get("content-length"):
            parts.append(await reader.readexactly(int(head.get("content-length"))))
        else:
            while data := await reader.read(65_536):
                parts.append(data)
    except asyncio.IncompleteReadError as exc:
        parts.append(exc.partial)
        raise
    finally:
        answer.body = b"".join(parts)


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 12.0,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            sized = [*fields, ("Content-Length", str(len(body)))] if body else fields
            writer.write(format_head(f"{method} {target} HTTP/1.1", sized) + body)
            await read_answer(reader, answer, method)
    except TimeoutError:
        answer.error = "no complete answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.error = f"{type(exc).__name__}: {exc}"
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


class Channel:
    """Send requests one after the other on one connection that is kept open."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def open(self) -> bool:
        """Return whether a connection is kept for the next request."""
        return self._writer is not None

    async def ask(
        self,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        body: bytes = b"",
        timeout_s: float = 12.0,
    ) -> Answer:
        """Send one request, on a new connection unless one is kept, and read its answer."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(*self._address)
                assert self._reader is not None
                sized = [*fields, ("Content-Length", str(len(body)))] if body else fields
                self._writer.write(format_head(f"{method} {target} HTTP/1.1", sized) + body)
                await read_answer(self._reader, answer, method)
        except TimeoutError:
            answer.error = "no complete answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            answer.error = f"{type(exc).__name__}: {exc}"
        if answer.error or answer.get("connection").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
