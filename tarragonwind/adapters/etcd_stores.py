"""Implement the store over the JSON gateway of etcd v3."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from tarragonwind.adapters.etcd_codecs import (
    LineSplitter,
    decode_event,
    decode_key_value,
    decode_object,
    encode_compare,
    encode_op,
    encode_text,
    range_end,
)
from tarragonwind.adapters.store_backends import StoreDependencies, StoreSettings, store_backend
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import (
    Address,
    Compare,
    Delete,
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpTransport,
    KeyValue,
    Put,
    RangeResult,
    Store,
    TxnResult,
    Watch,
    WatchEvent,
)

RANGE_PAGE_KEYS = 1_000
"""Maximum number of keys in one page of a range read."""
MAX_RANGE_PAGES = 1_000
HEADERS = [(b"Content-Type", b"application/json")]
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
"""Exceptions that decoding a malformed response raises."""


class EtcdStore(Store):
    """Implement the store port with failover between endpoints.

    A failed read is retried at the next endpoint. A failed write is retried there only if the first
    endpoint cannot have received any of it, or rejected it with a status below 500.

    Parameters
    ----------
    http : HttpTransport
        HTTP client that never retries a request by itself.
    endpoints : list of Address
        Addresses of the store service.
    timeout_s : float
        Timeout of one call across all endpoints, in seconds.
    on_call : callable
        Called with the kind of each call to the store service.
    """

    def __init__(
        self,
        http: HttpTransport,
        endpoints: list[Address],
        timeout_s: float,
        on_call: Callable[[str], None],
    ) -> None:
        self._http = http
        self._endpoints = endpoints
        self._attempt_timeout_s = timeout_s / len(endpoints)
        self._on_call = on_call
        self._current = 0

    def get(self, key: str) -> Future[KeyValue | None]:
        """Read one key."""
        return spawn(self._get(key))

    async def _get(self, key: str) -> KeyValue | None:
        doc = await self._read("range", "/v3/kv/range", {"key": encode_text(key)})
        try:
            items = [decode_key_value(item) for item in doc.get("kvs", [])]
        except DECODE_ERRORS as exc:
            raise StoreError(f"malformed range response: {exc!r:.80}") from exc
        if any(item.key != key for item in items):
            raise StoreError(f"range response holds other keys than {key!r}")
        return items[0] if items else None

    def read_range(self, prefix: str) -> Future[RangeResult]:
        """Read all keys that begin with `prefix`, in pages at the same revision."""
        return spawn(self._read_range(prefix))

    async def _read_range(self, prefix: str) -> RangeResult:
        items: list[KeyValue] = []
        revision = 0
        start = encode_text(prefix)
        for _ in range(MAX_RANGE_PAGES):
            request = {
                "key": start,
                "range_end": range_end(prefix),
                "limit": str(RANGE_PAGE_KEYS),
                "revision": str(revision),
                "sort_order": "ASCEND",
                "sort_target": "KEY",
            }
            doc = await self._read("range", "/v3/kv/range", request)
            try:
                page = [decode_key_value(item) for item in doc.get("kvs", [])]
                revision = revision or int(doc["header"]["revision"])
            except DECODE_ERRORS as exc:
                raise StoreError(f"malformed range response: {exc!r:.80}") from exc
            items.extend(page)
            if not page or not doc.get("more"):
                return RangeResult(items, revision)
            start = encode_text(page[-1].key + "\0")
        raise StoreError(f"range read of {prefix!r} did not end after {MAX_RANGE_PAGES} pages")

    def commit(self, compares: list[Compare], ops: list[Put | Delete]) -> Future[TxnResult]:
        """Apply `ops` in one transaction if all `compares` hold."""
        return spawn(self._commit(compares, ops))

    async def _commit(self, compares: list[Compare], ops: list[Put | Delete]) -> TxnResult:
        request = {
            "compare": [encode_compare(compare) for compare in compares],
            "success": [encode_op(op) for op in ops],
        }
        doc = await self._write("txn", "/v3/kv/txn", request)
        try:
            return TxnResult(bool(doc.get("succeeded", False)), int(doc["header"]["revision"]))
        except DECODE_ERRORS as exc:
            raise StoreError(f"malformed transaction response: {exc!r:.80}", True) from exc

    def grant_lease(self, ttl_s: int) -> Future[int]:
        """Create a lease and return its id."""
        return spawn(self._grant_lease(ttl_s))

    async def _grant_lease(self, ttl_s: int) -> int:
        doc = await self._write("lease_grant", "/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})
        try:
            return int(doc["ID"])
        except DECODE_ERRORS as exc:
            raise StoreError(f"lease grant response without a valid ID: {exc!r:.80}", True) from exc

    def renew_lease(self, lease_id: int) -> Future[float]:
        """Renew a lease and return its remaining time in seconds; 0 if it has expired."""
        return spawn(self._renew_lease(lease_id))

    async def _renew_lease(self, lease_id: int) -> float:
        request = {"ID": str(lease_id)}
        doc = await self._write("lease_keepalive", "/v3/lease/keepalive", request)
        try:
            return float(doc["result"].get("TTL", 0))
        except DECODE_ERRORS as exc:
            raise StoreError(
                f"lease renewal response without a valid TTL: {exc!r:.80}", True
            ) from exc

    def revoke_lease(self, lease_id: int) -> Future[None]:
        """End a lease and remove its keys."""
        return spawn(self._revoke_lease(lease_id))

    async def _revoke_lease(self, lease_id: int) -> None:
        await self._write("lease_revoke", "/v3/lease/revoke", {"ID": str(lease_id)})

    async def _read(self, kind: str, target: str, request: dict[str, Any]) -> dict[str, Any]:
        return await self._call(kind, target, request, writes=False)

    async def _write(self, kind: str, target: str, request: dict[str, Any]) -> dict[str, Any]:
        return await self._call(kind, target, request, writes=True)

    async def _call(
        self, kind: str, target: str, request: dict[str, Any], writes: bool
    ) -> dict[str, Any]:
        exc = StoreError("no store endpoint is configured")
        for _ in range(len(self._endpoints)):
            try:
                return await self._try_endpoint(kind, target, request, writes)
            except StoreError as failed:
                exc = failed
                self._current = (self._current + 1) % len(self._endpoints)
                if failed.maybe_applied:
                    break
        raise exc

    async def _try_endpoint(
        self, kind: str, target: str, request: dict[str, Any], writes: bool
    ) -> dict[str, Any]:
        self._on_call(kind)
        address = self._endpoints[self._current]
        req = HttpRequest("POST", target, list(HEADERS), json.dumps(request).encode())
        try:
            response = await self._http.fetch(address, req, self._attempt_timeout_s)
        except HttpError as exc:
            raise StoreError(f"store {address}: {exc}", writes and exc.sent) from exc
        if response.status != 200:
            applied = writes and response.status >= 500
            raise StoreError(_format_error_response(address, response), applied)
        try:
            return decode_object(response.body)
        except StoreError as exc:
            raise StoreError(f"store {address}: {exc}", writes) from exc

    def subscribe_era(self, listener: Callable[[int], None]) -> None:
        """Do nothing, since this store has no eras."""

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
        era: int = 0,
    ) -> Watch:
        """Watch changes under `prefix`, starting at a revision."""
        self._on_call("watch")
        stream = WatchStream(on_events, on_end)
        create = {
            "key": encode_text(prefix),
            "range_end": range_end(prefix),
            "start_revision": str(from_revision),
        }
        body = json.dumps({"create_request": create}).encode()
        req = HttpRequest("POST", "/v3/watch", list(HEADERS), body)
        address = self._endpoints[self._current]

        def end(reason: str) -> None:
            self._current = (self._current + 1) % len(self._endpoints)
            stream.end(reason)

        stream.close = self._http.stream(address, req, stream.feed, end)
        return Watch(stream.cancel)


class WatchStream:
    """Decode the messages of one watch, and report its end exactly once."""

    __slots__ = ("_ended", "_lines", "_on_end", "_on_events", "close")

    def __init__(
        self,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
    ) -> None:
        self._on_events = on_events
        self._on_end = on_end
        self._lines = LineSplitter()
        self._ended = False
        self.close: Callable[[], None] = lambda: None

    def feed(self, data: bytes) -> None:
        """Add received bytes, and pass on the changes of each complete message.

        A malformed message ends the watch.
        """
        batches: list[list[WatchEvent]] = []
        reason = ""
        try:
            for line in self._lines.feed(data):
                batches.append(_decode_watch_message(decode_object(line)))
        except (StoreError, *DECODE_ERRORS) as exc:
            reason = f"malformed watch message: {exc!r:.200}"
        for events in batches:
            if events and not self._ended:
                self._on_events(events)
        if reason:
            self._fail(reason)

    def _fail(self, reason: str) -> None:
        self.close()
        self.end(reason)

    def end(self, reason: str) -> None:
        """Report the end of the watch unless it was reported before."""
        if not self._ended:
            self._ended = True
            self._on_end(reason)

    def cancel(self) -> None:
        """Cancel the watch without reporting its end."""
        self._ended = True
        self.close()


def _decode_watch_message(doc: dict[str, Any]) -> list[WatchEvent]:
    """Decode the changes of one watch message."""
    result = doc.get("result")
    if result is None or result.get("canceled"):
        raise StoreError(f"the store ended the watch: {doc!r:.200}")
    return [decode_event(event) for event in result.get("events", [])]


def _format_error_response(address: Address, response: HttpResponse) -> str:
    """Format the status and the first 200 bytes of an error response."""
    text = response.body[:200].decode("utf-8", "replace")
    return f"store {address}: status {response.status}: {text}"


@store_backend("etcd")
def create_etcd_store(cfg: StoreSettings, parts: StoreDependencies) -> EtcdStore:
    """Create a store that uses the endpoints of the settings."""
    if not cfg.endpoints:
        raise ValueError("store.endpoints: name at least one address for the etcd backend")
    if parts.http is None:
        raise ValueError("the etcd backend needs an HTTP client")
    return EtcdStore(parts.http, cfg.endpoints, cfg.timeout_s, parts.on_call)
