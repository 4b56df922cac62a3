"""Encode and decode the JSON of the etcd v3 gateway."""

from __future__ import annotations

import base64
import json
from typing import Any

from tarragonwind.errors import StoreError
from tarragonwind.ports import Compare, Delete, KeyValue, Put, WatchEvent

MAX_WATCH_LINE_BYTES = 8 * 1024 * 1024
"""Maximum size of a watch message that is still incomplete, in bytes."""


def encode_text(text: str) -> str:
    """Encode text as base64 of its UTF-8 bytes."""
    return base64.b64encode(text.encode()).decode("ascii")


def range_end(prefix: str) -> str:
    """Return the base64 of the first key after all keys with a prefix."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:
        raw.pop()
    if not raw:
        return base64.b64encode(b"\0").decode("ascii")
    raw[-1] += 1
    return base64.b64encode(bytes(raw)).decode("ascii")


def encode_compare(compare: Compare) -> dict[str, Any]:
    """Encode the condition that a key was last written at a revision."""
    return {
        "key": encode_text(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def encode_op(op: Put | Delete) -> dict[str, Any]:
    """Encode one operation of a transaction."""
    if isinstance(op, Delete):
        return {"request_delete_range": {"key": encode_text(op.key)}}
    put = {"key": encode_text(op.key), "value": base64.b64encode(op.value).decode("ascii")}
    if op.lease_id:
        put["lease"] = str(op.lease_id)
    return {"request_put": put}


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a response body that must be a JSON object.

    Raises
    ------
    StoreError
        If the body is not a JSON object.
    """
    try:
        doc = json.loads(body)
    except ValueError as exc:
        raise StoreError(f"the store response of {len(body)} bytes is not JSON") from exc
    if not isinstance(doc, dict):
        raise StoreError(f"expected a JSON object, got {type(doc).__name__}")
    return doc


def decode_key_value(doc: dict[str, Any]) -> KeyValue:
    """Decode one key and its value."""
    return KeyValue(
        base64.b64decode(doc["key"], validate=True).decode(),
        base64.b64decode(doc.get("value", ""), validate=True),
        int(doc["mod_revision"]),
        int(doc.get("lease", 0)),
    )


def decode_event(doc: dict[str, Any]) -> WatchEvent:
    """Decode one change of a watch."""
    item = decode_key_value(doc["kv"])
    value = None if doc.get("type") == "DELETE" else item.value
    return WatchEvent(item.key, value, item.mod_revision)


class LineSplitter:
    """Split a byte stream into lines of bounded length."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the complete lines.

        Raises
        ------
        StoreError
            If an incomplete line is longer than `MAX_WATCH_LINE_BYTES`.
        """
        self._buffer += data
        *lines, rest = bytes(self._buffer).split(b"\n")
        if len(rest) > MAX_WATCH_LINE_BYTES:
            raise StoreError(
                f"incomplete watch message of {len(rest)} bytes exceeds {MAX_WATCH_LINE_BYTES}"
            )
        self._buffer = bytearray(rest)
        return [line for line in lines if line.strip()]
