"""Encode and decode the JSON of the etcd v3 gateway."""

from __future__ import annotations

import base64
import json
from typing import Any

from tarragonwind.errors import StoreError
from tarragonwind.ports import Compare, Delete, KeyValue, Put, WatchEvent

MAX_WATCH_LINE_BYTES = 8 * 1024 * 1024
"""Longest message of a watch that is kept while it arrives, in bytes."""


def encode_text(text: str) -> str:
    """Return text as base64 of its UTF-8 form."""
    return base64.b64encode(text.encode()).decode("ascii")


def range_end(prefix: str) -> str:
    """Return the base64 key that ends the range of all keys with a prefix."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:
        raw.pop()
    if not raw:
        return base64.b64encode(b"\0").decode("ascii")
    raw[-1] += 1
    return base64.b64encode(bytes(raw)).decode("ascii")


def encode_compare(compare: Compare) -> dict[str, Any]:
    """Return a comparison of a key's last write."""
    return {
        "key": encode_text(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def encode_op(op: Put | Delete) -> dict[str, Any]:
    """Return one operation of a transaction."""
    if isinstance(op, Delete):
        return {"request_delete_range": {"key": encode_text(op.key)}}
    put = {"key": encode_text(op.key), "value": base64.b64encode(op.value).decode("ascii")}
    if op.lease_id:
        put["lease"] = str(op.lease_id)
    return {"request_put": put}


def decode_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body.

    Raises
    ------
    StoreError
        When the body is anything else.
    """
    try:
        doc = json.loads(body)
    except ValueError as exc:
        raise StoreError("the store answered something that is not JSON") from exc
    if not isinstance(doc, dict):
        raise StoreError("the store answered JSON that is not an object")
    return doc


def decode_key_value(doc: dict[str, Any]) -> KeyValue:
    """Return one key of an answer."""
    return KeyValue(
        base64.b64decode(doc["key"], validate=True).decode(),
        base64.b64decode(doc.get("value", ""), validate=True),
        int(doc["mod_revision"]),
        int(doc.get("lease", 0)),
    )


def decode_event(doc: dict[str, Any]) -> WatchEvent:
    """Return one change of a watch."""
    item = decode_key_value(doc["kv"])
    value = None if doc.get("type") == "DELETE" else item.value
    return WatchEvent(item.key, value, item.mod_revision)


class LineSplitter:
    """Cut a byte stream into lines, within a bound."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are now whole.

        Raises
        ------
        StoreError
            When a line grows beyond `MAX_WATCH_LINE_BYTES`.
        """
        self._buffer += data
        *lines, rest = bytes(self._buffer).split(b"\n")
        if len(rest) > MAX_WATCH_LINE_BYTES:
            raise StoreError("the store sent a watch message without end")
        self._buffer = bytearray(rest)
        return [line for line in lines if line.strip()]
