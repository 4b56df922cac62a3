"""Emulate the platform's metadata store: items, transactions, leases and long-polling watches."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http1 import STREAM_LIMIT_BYTES, Request, encode_response, read_request

LEASE_SWEEP_S = 0.1
PAGE_ITEMS = 500
FIRST_LEASE = 100

Reply = tuple[int, dict[str, Any]]


class Store:
    """Serve the store's calls on one address."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = FIRST_LEASE
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        await asyncio.start_server(self._serve, host, port, limit=STREAM_LIMIT_BYTES)
        asyncio.ensure_future(self._sweep_leases())

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator or an engine."""
        self.revision += 1
        self._set(key, value, 0)
        self._wake()

    def delete(self, key: str) -> None:
        """Remove a key as the operator or an engine."""
        self.revision += 1
        self._delete(key)
        self._wake()

    def _set(self, key: str, value: bytes, lease: int) -> None:
        created = self.items.get(key, {}).get("created", self.revision)
        text = base64.b64encode(value).decode()
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._changes.append(item)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._changes.append({"key": key, "revision": self.revision, "deleted": True})

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _sweep_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_S)
            now = time.monotonic()
            for lease in [one for one, (end, _) in self._leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._delete(key)
        self._wake()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                status, doc = await self._handle(await read_request(reader))
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode_response(status, headers, json.dumps(doc).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: Request) -> Reply:
        url = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        doc = json.loads(request.body) if request.body else {}
        if url.path == "/kv-key":
            return self._get(query.get("key", ""))
        if url.path == "/kv-range":
            return self._range(query.get("pathPrefix", ""), query.get("after", ""))
        if url.path == "/kv-watch":
            wait_s = int(query["waitMs"]) / 1_000
            return await self._watch(query.get("pathPrefix", ""), int(query["after"]), wait_s)
        if url.path == "/kv-txn":
            return self._commit(doc)
        if url.path == "/kv-lease":
            return self._grant(doc["ttlMs"])
        name, _, number = url.path[1:].partition("/")
        return self._keep(name, int(number)) if number.isdigit() else (404, {})

    def _get(self, key: str) -> Reply:
        item = self.items.get(key)
        return (404, {"at": self.revision}) if item is None else (200, {**item, "at": self.revision})

    def _range(self, prefix: str, after: str) -> Reply:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> Reply:
        end = time.monotonic() + wait_s
        while True:
            events = [
                change
                for change in self._changes
                if change["revision"] > after and change["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue

    def _commit(self, doc: dict[str, Any]) -> Reply:
        for row in doc.get("expectedRev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        writes = doc.get("writes", [])
        if any(write.get("lease") and write["lease"] not in self._leases for write in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self._set(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in doc.get("remove", []):
            self._delete(key)
        self._wake()
        return 200, {"revision": self.revision}

    def _grant(self, ttl_ms: int) -> Reply:
        self._next_lease += 1
        self._leases[self._next_lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms / 1_000)
        return 200, {"lease": self._next_lease, "ttlMs": ttl_ms}

    def _keep(self, name: str, lease: int) -> Reply:
        if lease not in self._leases:
            return 404, {}
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttlMs": int(1_000 * ttl_s)}
