"""Stand-in of the platform's store: items, transactions, leases and long-polling watches."""

from __future__ import annotations

import asyncio
import base64
import copy
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from http_wire import Request, format_head, read_request

MAX_PAGE = 500


@dataclass(slots=True)
class StoreState:
    """Hold what the store keeps."""

    revision: int = 1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, list[float]] = field(default_factory=dict)


class Store:
    """Serve the store's calls; `put` writes as the operator or a server does."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.era = 1
        self.state = StoreState()
        self.away = False
        self.outside: dict[str, bytes | None] = {}
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self._expire_leases())

    def put(self, key: str, value: bytes | None) -> int:
        """Write or remove a key as the operator or a server; return the new revision."""
        self.outside[key] = value
        self.state.revision += 1
        if value is None:
            self._remove(key)
        else:
            self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()
        return self.state.revision

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self.state.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def keep_copy(self) -> StoreState:
        """Return a copy of the state."""
        return copy.deepcopy(self.state)

    def restore(self, state: StoreState) -> None:
        """Come back from a copy, in a new era; connections are cut."""
        self.era += 1
        self.state = copy.deepcopy(state)
        for lease in self.state.leases.values():
            lease[0] = time.monotonic() + lease[1]
        self.cut()
        self._notify()

    def cut(self) -> None:
        """Cut all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _write(self, key: str, value: str, lease: int) -> None:
        state = self.state
        created = state.items.get(key, {}).get("created", state.revision)
        item = {
            "key": key,
            "value": value,
            "revision": state.revision,
            "created": created,
            "lease": lease,
        }
        state.items[key] = item
        state.changes.append(item)

    def _remove(self, key: str) -> None:
        if self.state.items.pop(key, None) is not None:
            row = {"key": key, "revision": self.state.revision, "deleted": True}
            self.state.changes.append(row)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [one for one, (end, _) in self.state.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.state.leases[lease]
        keys = [key for key, item in self.state.items.items() if item["lease"] == lease]
        if keys:
            self.state.revision += 1
        for key in keys:
            self._remove(key)
        self._notify()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if self.away:
                    status, doc = 503, {"error": "away"}
                else:
                    status, doc = await self._handle(request)
                body = json.dumps(doc).encode()
                fields = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", str(self.era)),
                    ("Content-Length", str(len(body))),
                ]
                writer.write(format_head(f"HTTP/1.1 {status} Answer", fields) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        path, _, text = request.target.partition("?")
        query = {name: rows[-1] for name, rows in parse_qs(text, keep_blank_values=True).items()}
        doc = json.loads(request.body) if request.body else {}
        if path == "/kv-key":
            item = self.state.items.get(query["key"])
            at = {"at": self.state.revision}
            return (200, {**item, **at}) if item is not None else (404, at)
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(doc)
        if path == "/kv-lease":
            lease = next(self._lease_ids)
            ttl_s = doc["ttlMs"] / 1_000
            self.state.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"lease": lease, "ttlMs": doc["ttlMs"]}
        name, _, number = path[1:].partition("/")
        lease = int(number)
        if lease not in self.state.leases:
            return 404, {"error": "no such lease"}
        if name == "kv-keep":
            ttl_s = self.state.leases[lease][1]
            self.state.leases[lease][0] = time.monotonic() + ttl_s
            return 200, {"ttlMs": int(ttl_s * 1_000)}
        self._end_lease(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = [key for key in sorted(self.state.items) if key.startswith(prefix) and key > after]
        items = [self.state.items[key] for key in keys[:MAX_PAGE]]
        return {"items": items, "hasMore": len(keys) > MAX_PAGE, "at": self.state.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        if after > self.state.revision:
            return 410, {"error": "no such revision"}
        era = self.era
        end = time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            if era != self.era:
                return 410, {"error": "the store came back from a copy"}
            events = [
                row
                for row in self.state.changes
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0 or self.away:
                return 200, {"events": events, "at": self.state.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _commit(self, doc: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        state = self.state
        rows = doc.get("expectedRev", [])
        if any(
            state.items.get(row["key"], {}).get("revision", 0) != row["revision"] for row in rows
        ):
            items = [state.items[row["key"]] for row in rows if row["key"] in state.items]
            return 412, {"items": items}
        writes = doc.get("writes", [])
        if any(row.get("lease") and row["lease"] not in state.leases for row in writes):
            return 404, {"error": "no such lease"}
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, {"error": "not yours"}
        state.revision += 1
        for row in writes:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in doc.get("remove", []):
            self._remove(key)
        self._notify()
        return 200, {"revision": state.revision}
