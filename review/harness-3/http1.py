"""Read and write HTTP/1.1 messages over asyncio streams, for stand-ins and test clients."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

STREAM_LIMIT_BYTES = 4 * 1024 * 1024
"""Longest head that a stream reader accepts, in bytes."""


@dataclass
class Request:
    """Hold one request with its whole body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    """Hold one complete response; header names are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a head and its header fields."""
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request whose body, if any, has a Content-Length."""
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read one response with a Content-Length or in chunks."""
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        return Response(status, headers, await read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    return Response(status, headers, await reader.readexactly(length))


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks, without trailers."""
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; a body is announced by its length."""
    fields = dict(headers)
    if body or method != "GET":
        fields.setdefault("Content-Length", str(len(body)))
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a Content-Length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    host: str,
    port: int,
    request: bytes,
    timeout_s: float,
    source: str | None = None,
) -> Response:
    """Send one request on a new connection, from a source address if given."""

    async def exchange() -> Response:
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(
            host, port, local_addr=local, limit=STREAM_LIMIT_BYTES
        )
        try:
            writer.write(request)
            await writer.drain()
            return await read_response(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
