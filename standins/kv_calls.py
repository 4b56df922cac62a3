"""Implement the gateway calls of the key-value stand-in."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from standins.kv_state import MAX_TXN_OPS, MAX_VALUE_BYTES, Change, Item, KvError, KvState

Doc = dict[str, Any]
CALLS: dict[str, tuple[str, bool, Callable[[KvState, Doc], Doc]]] = {}
"""Handlers by request path: kind of call, whether it writes, and the function."""


def call(target: str, kind: str, writes: bool) -> Callable[[Any], Any]:
    """Register a function as the handler of a request path."""

    def register(function: Callable[[KvState, Doc], Doc]) -> Callable[[KvState, Doc], Doc]:
        CALLS[target] = (kind, writes, function)
        return function

    return register


def read_key(doc: Doc, name: str) -> bytes:
    """Decode a base64 field, empty when it is absent."""
    return base64.b64decode(doc.get(name, ""))


def header(state: KvState) -> Doc:
    """Return the response header with the store's revision."""
    return {"cluster_id": "1", "member_id": "1", "revision": str(state.revision), "raft_term": "1"}


def render_item(item: Item) -> Doc:
    """Return a key-value pair in the gateway's JSON form, which omits zero values."""
    doc = {
        "key": base64.b64encode(item.key).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
    }
    if item.value:
        doc["value"] = base64.b64encode(item.value).decode()
    if item.lease_id:
        doc["lease"] = str(item.lease_id)
    return doc


def render_change(change: Change) -> Doc:
    """Return a change as a watch event."""
    if change.after is not None:
        return {"kv": render_item(change.after)}
    kv = {"key": base64.b64encode(change.key).decode(), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": kv}


@call("/v3/kv/range", "range", writes=False)
def answer_range(state: KvState, doc: Doc) -> Doc:
    """Read a key or a range."""
    revision = int(doc.get("revision", 0))
    items = state.select(read_key(doc, "key"), read_key(doc, "range_end"), revision)
    limit = int(doc.get("limit", 0)) or len(items)
    answer: Doc = {"header": header(state), "count": str(len(items))}
    if items:
        answer["kvs"] = [render_item(item) for item in items[:limit]]
    if len(items) > limit:
        answer["more"] = True
    return answer


@call("/v3/kv/put", "put", writes=True)
def answer_put(state: KvState, doc: Doc) -> Doc:
    """Write a key unconditionally."""
    put = (read_key(doc, "key"), read_key(doc, "value"), int(doc.get("lease", 0)))
    state.put(*put, state.revision + 1)
    return {"header": header(state)}


@call("/v3/kv/txn", "txn", writes=True)
def answer_txn(state: KvState, doc: Doc) -> Doc:
    """Run a transaction: compare mod revisions and apply the operations of one branch."""
    for compare in doc.get("compare", []):
        if compare.get("target") != "MOD" or compare.get("result") != "EQUAL":
            raise KvError("the stand-in compares mod_revision for equality only")
    succeeded = all(
        state.mod_revision(read_key(item, "key")) == int(item.get("mod_revision", 0))
        for item in doc.get("compare", [])
    )
    ops = doc.get("success" if succeeded else "failure", [])
    if len(ops) > MAX_TXN_OPS:
        raise KvError("etcdserver: too many operations in txn request")
    check_ops(state, ops)
    revision = state.revision + 1
    for op in ops:
        apply_op(state, op, revision)
    answer: Doc = {"header": header(state)}
    if succeeded:
        answer["succeeded"] = True
    return answer


def check_ops(state: KvState, ops: list[Doc]) -> None:
    """Validate all operations of a transaction before any of them is applied."""
    seen: set[bytes] = set()
    for op in ops:
        body = op.get("request_put") or op.get("request_delete_range")
        if body is None:
            raise KvError("the stand-in applies puts and deletes only")
        key = read_key(body, "key")
        if key in seen:
            raise KvError("etcdserver: duplicate key given in txn request")
        seen.add(key)
        lease_id = int(body.get("lease", 0))
        if lease_id and lease_id not in state.leases:
            raise KvError("etcdserver: requested lease not found")
        if len(read_key(body, "value")) > MAX_VALUE_BYTES:
            raise KvError("etcdserver: request is too large")


def apply_op(state: KvState, op: Doc, revision: int) -> None:
    """Apply one operation of a transaction."""
    if "request_put" in op:
        put = op["request_put"]
        lease_id = int(put.get("lease", 0))
        state.put(read_key(put, "key"), read_key(put, "value"), lease_id, revision)
        return
    state.delete(read_key(op["request_delete_range"], "key"), revision)


@call("/v3/lease/grant", "lease_grant", writes=True)
def answer_grant(state: KvState, doc: Doc) -> Doc:
    """Create a lease."""
    ttl_s = int(doc["TTL"])
    return {"header": header(state), "ID": str(state.grant(ttl_s)), "TTL": str(ttl_s)}


@call("/v3/lease/keepalive", "lease_keepalive", writes=True)
def answer_keepalive(state: KvState, doc: Doc) -> Doc:
    """Renew a lease; the answer has no TTL when the lease has expired."""
    result: Doc = {"header": header(state), "ID": doc["ID"]}
    ttl_s = state.keep_alive(int(doc["ID"]))
    if ttl_s:
        result["TTL"] = str(ttl_s)
    return {"result": result}


@call("/v3/lease/revoke", "lease_revoke", writes=True)
def answer_revoke(state: KvState, doc: Doc) -> Doc:
    """Revoke a lease and delete its keys."""
    if int(doc["ID"]) not in state.leases:
        raise KvError("etcdserver: requested lease not found")
    state.revoke(int(doc["ID"]))
    return {"header": header(state)}
