"""Implement the store port on the platform's key-value service."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from loguru import logger

from tarragonwind.adapters.store_backends import StoreDependencies, StoreSettings, store_backend
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.platform.fields import DecodeError, parse_json_object, read_field, read_list
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
    Timers,
    TxnResult,
    Watch,
    WatchEvent,
)

POLL_MARGIN_S = 0.5
"""Time added to the wait of a watch call for its timeout, in seconds."""
NOT_APPLIED_STATUSES = frozenset([429, 503])
"""Statuses of calls that had no effect on the store."""
JSON_HEADERS = [(b"Content-Type", b"application/json")]
ERA_HEADER = b"store-era"
"""Header of every answer: it rises each time the store comes back from an older copy."""


class PlatformStore(Store):
    """Access the key-value service through its HTTP calls, without automatic retries.

    Parameters
    ----------
    http : HttpTransport
        HTTP client without automatic retries.
    address : Address
        Address of the key-value service.
    timeout_s : float
        Timeout of one call, in seconds.
    on_call : callable
        Called with the kind of each call before it is sent.
    timers : Timers
        Clock and timers.
    """

    def __init__(
        self,
        http: HttpTransport,
        address: Address,
        timeout_s: float,
        on_call: Callable[[str], None],
        timers: Timers,
    ) -> None:
        self._timers = timers
        self._http = http
        self._address = address
        self._timeout_s = timeout_s
        self._on_call = on_call
        self._era: int | None = None
        self._era_listeners: list[Callable[[int], None]] = []

    def subscribe_era(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with each era after the first."""
        self._era_listeners.append(listener)

    def get(self, key: str) -> Future[KeyValue | None]:
        """Read one key."""
        return spawn(self._get(key))

    async def _get(self, key: str) -> KeyValue | None:
        response = await self._call("get", "GET", f"/kv-key?key={quote(key, safe='/')}")
        if response.status == 404:
            return None
        return decode_item(decode_answer(response))

    def read_range(self, prefix: str) -> Future[RangeResult]:
        """Read all keys that start with `prefix`; the revision is that of the first page."""
        return spawn(self._read_range(prefix))

    async def _read_range(self, prefix: str) -> RangeResult:
        items: list[KeyValue] = []
        revision = None
        era = 0
        after = ""
        while True:
            target = f"/kv-range?pathPrefix={quote(prefix, safe='/')}"
            if after:
                target += f"&after={quote(after, safe='/')}"
            doc = decode_answer(await self._call("range", "GET", target))
            page = [decode_item(item) for item in decode_list(doc, "items")]
            items += page
            read_at = decode_field(doc, "at", int)
            if revision is None:
                revision = read_at
                era = self._era or 0
            if era != (self._era or 0):
                raise StoreError("the store's era changed between two pages")
            if not doc.get("hasMore") or not page:
                return RangeResult(items, revision, era, read_at)
            after = page[-1].key

    def commit(self, compares: list[Compare], ops: list[Put | Delete]) -> Future[TxnResult]:
        """Apply `ops` in one transaction if all `compares` hold."""
        return spawn(self._commit(compares, ops))

    async def _commit(self, compares: list[Compare], ops: list[Put | Delete]) -> TxnResult:
        body = {
            "expectedRev": [
                {"key": compare.key, "revision": compare.mod_revision} for compare in compares
            ],
            "writes": [encode_put(op) for op in ops if isinstance(op, Put)],
            "remove": [op.key for op in ops if isinstance(op, Delete)],
        }
        response = await self._call("txn", "POST", "/kv-txn", body)
        if response.status == 412:
            return TxnResult(False, 0)
        doc = decode_answer(response, maybe_applied=True)
        return TxnResult(True, decode_field(doc, "revision", int))

    def grant_lease(self, ttl_s: int) -> Future[int]:
        """Create a lease and return its id."""
        return spawn(self._grant_lease(ttl_s))

    async def _grant_lease(self, ttl_s: int) -> int:
        response = await self._call("lease", "POST", "/kv-lease", {"ttlMs": ttl_s * 1_000})
        return decode_field(decode_answer(response, maybe_applied=True), "lease", int)

    def renew_lease(self, lease_id: int) -> Future[float]:
        """Renew a lease and return its remaining time in seconds, or 0 if it has expired."""
        return spawn(self._renew_lease(lease_id))

    async def _renew_lease(self, lease_id: int) -> float:
        response = await self._call("keep", "POST", f"/kv-keep/{lease_id}", {})
        if response.status == 404:
            return 0.0
        return decode_field(decode_answer(response), "ttlMs", int) / 1_000

    def revoke_lease(self, lease_id: int) -> Future[None]:
        """Revoke a lease and delete its keys."""
        return spawn(self._revoke_lease(lease_id))

    async def _revoke_lease(self, lease_id: int) -> None:
        response = await self._call("lease_end", "DELETE", f"/kv-lease-end/{lease_id}")
        if response.status != 404:
            require_success(response, maybe_applied=True)

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
        era: int = 0,
    ) -> Watch:
        """Watch changes under `prefix` by long polling."""
        watch = Watch()
        ended = [False]

        def cancel() -> None:
            ended[0] = True

        def end_with_era(new_era: int) -> None:
            if not ended[0] and new_era != era:
                ended[0] = True
                on_end(f"the store's era changed from {era} to {new_era}")

        self._era_listeners.append(end_with_era)

        async def run() -> None:
            revision = from_revision - 1
            end_with_era(self._era or 0)
            calls = 0
            while not ended[0]:
                revision = max(revision, watch.known_revision)
                calls += 1
                watch.pending_call = calls
                try:
                    doc = await self._wait_for_changes(prefix, revision, watch.poll_s)
                    events = [decode_event(event) for event in decode_list(doc, "events")]
                    revision = decode_field(doc, "at", int)
                except StoreError as exc:
                    if not ended[0]:
                        ended[0] = True
                        on_end(str(exc))
                    break
                watch.pending_call = 0
                if events and not ended[0]:
                    on_events(events)
                    await delay(self._timers, watch.batch_delay_s)
            self._era_listeners.remove(end_with_era)

        watch.cancel = cancel
        spawn(run())
        return watch

    async def _wait_for_changes(self, prefix: str, revision: int, poll_s: float) -> dict[str, Any]:
        target = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='/')}&after={revision}"
            f"&waitMs={round(poll_s * 1_000)}"
        )
        timeout_s = poll_s + POLL_MARGIN_S
        return decode_answer(await self._call("watch", "GET", target, timeout_s=timeout_s))

    async def _call(
        self,
        kind: str,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        timeout_s: float | None = None,
    ) -> HttpResponse:
        self._on_call(kind)
        data = b"" if body is None else json.dumps(body).encode()
        headers = list(JSON_HEADERS) if data else []
        req = HttpRequest(method, target, headers, data)
        try:
            response = await self._http.fetch(self._address, req, timeout_s or self._timeout_s)
        except HttpError as exc:
            message = f"store {self._address}: {kind}: {exc}"
            raise StoreError(message, maybe_applied=exc.sent and method != "GET") from exc
        self._check_era(decode_era(response), maybe_applied=method != "GET")
        return response

    def _check_era(self, era: int | None, maybe_applied: bool) -> None:
        """Announce a new era; raise `StoreError` for an answer of an older one."""
        if era is None or era == self._era:
            return
        if self._era is not None and era < self._era:
            raise StoreError(
                f"the answer is of era {era}, the store is in {self._era}", maybe_applied
            )
        is_first = self._era is None
        self._era = era
        if is_first:
            return
        logger.warning("event=store_era_changed era={}", era)
        for listener in list(self._era_listeners):
            listener(era)


def decode_era(response: HttpResponse) -> int | None:
    """Return the store's era, None if the answer doesn't tell it."""
    for name, value in response.headers:
        if name.lower() == ERA_HEADER and value.isdigit():
            return int(value)
    return None


def require_success(response: HttpResponse, maybe_applied: bool = False) -> None:
    """Raise `StoreError` unless the status is 200."""
    if response.status == 200:
        return
    rejected = response.status in NOT_APPLIED_STATUSES
    text = response.body[:200].decode("utf-8", "replace")
    raise StoreError(
        f"the store answered with status {response.status}: {text!r}",
        maybe_applied=maybe_applied and not rejected,
    )


def decode_answer(response: HttpResponse, maybe_applied: bool = False) -> dict[str, Any]:
    """Return the JSON object of a successful response."""
    require_success(response, maybe_applied)
    try:
        return parse_json_object(response.body)
    except DecodeError as exc:
        raise StoreError(f"the store's answer: {exc}", maybe_applied) from exc


def decode_list(doc: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects from a response of the store."""
    try:
        return read_list(doc, name)
    except DecodeError as exc:
        raise StoreError(f"the store's answer: {exc}") from exc


def decode_field(doc: dict[str, Any], name: str, cls: type[Any]) -> Any:
    """Return a required field from a response of the store."""
    try:
        return read_field(doc, name, cls)
    except DecodeError as exc:
        raise StoreError(f"the store's answer: {exc}") from exc


def decode_item(doc: dict[str, Any]) -> KeyValue:
    """Decode one key-value item."""
    lease_id = doc.get("lease") or 0
    return KeyValue(
        key=decode_field(doc, "key", str),
        value=decode_value(doc),
        mod_revision=decode_field(doc, "revision", int),
        lease_id=lease_id if isinstance(lease_id, int) else 0,
    )


def decode_event(doc: dict[str, Any]) -> WatchEvent:
    """Decode one watch event."""
    value = None if doc.get("deleted") else decode_value(doc)
    return WatchEvent(decode_field(doc, "key", str), value, decode_field(doc, "revision", int))


def decode_value(doc: dict[str, Any]) -> bytes:
    """Decode the base64 value of an item."""
    try:
        return base64.b64decode(decode_field(doc, "value", str), validate=True)
    except ValueError as exc:
        raise StoreError("the store's answer: field 'value' is not valid base64") from exc


def encode_put(op: Put) -> dict[str, Any]:
    """Encode one write of a transaction."""
    doc: dict[str, Any] = {"key": op.key, "value": base64.b64encode(op.value).decode("ascii")}
    if op.lease_id:
        doc["lease"] = op.lease_id
    return doc


@store_backend("platform")
def create_platform_store(cfg: StoreSettings, parts: StoreDependencies) -> PlatformStore:
    """Create the store client for the first configured endpoint."""
    if not cfg.endpoints or parts.http is None:
        raise ValueError(
            "store.endpoints: the platform backend needs an endpoint and an HTTP client"
        )
    return PlatformStore(parts.http, cfg.endpoints[0], cfg.timeout_s, parts.on_call, parts.timers)
