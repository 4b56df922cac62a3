"""Emulate the platform's key-value store: items, transactions, leases, long-polling watches."""

from __future__ import annotations

import base64
import copy
import itertools
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import fire

from standins.servers import JSON_HEADERS, StandIn, read_json
from tarragonwind.adapters.caller_exchanges import CallerExchange

LEASE_SWEEP_PERIOD_S = 0.1
REWRITE_DELAY_S = 0.3
"""Time after a return from a copy until the operator and the back ends have written again."""


class StoreFaults:
    """Hold the store's faults, set through ``/control``."""

    def __init__(self) -> None:
        self.away = False
        self.refused_hosts: list[str] = []
        self.silent = False
        self.lose_answers = False
        self.forgotten_before = 0


@dataclass(slots=True)
class PendingWatch:
    """Hold one long-polling watch that is not answered yet."""

    exchange: CallerExchange
    prefix: str
    after: int
    answered: bool = False


@dataclass(slots=True)
class StoreState:
    """Hold items by key, the change log, and leases as pairs of expiry and time to live."""

    era: int = 1
    revision: int = 1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, list[float]] = field(default_factory=dict)

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key at the current revision."""
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.changes.append(item)

    def remove(self, key: str) -> None:
        """Remove a key at the current revision."""
        if self.items.pop(key, None) is not None:
            self.changes.append({"key": key, "revision": self.revision, "deleted": True})


class PlatformStore(StandIn):
    """Serve the store; ``POST /put`` writes or removes a key as the operator or a back end.

    ``POST /copy`` keeps a copy of the state, and ``POST /restore`` returns to it in a new era. What
    the operator and the back ends have written since is then written again.
    """

    def __init__(self, port: int) -> None:
        super().__init__(port, StoreFaults())
        self._state = StoreState()
        self._copy = copy.deepcopy(self._state)
        self._outside: dict[str, str | None] = {}
        self._pending_watches: list[PendingWatch] = []
        self._lease_ids = itertools.count(100)
        self.routes.update(
            {
                "/put": self._put,
                "/copy": self._keep_copy,
                "/restore": self._restore,
                "/kv-key": self._key,
                "/kv-range": self._range,
                "/kv-watch": self._watch,
                "/kv-txn": self._txn,
                "/kv-lease": self._lease,
            }
        )
        self.loop.timers.call_every(LEASE_SWEEP_PERIOD_S, self._expire_leases)

    def handle_other(self, exchange: CallerExchange, path: str) -> None:
        """Renew or revoke a lease."""
        name, _, number = path[1:].partition("/")
        lease = int(number) if number.isdigit() else 0
        if self._apply_faults(exchange):
            return
        if lease not in self._state.leases:
            self._answer(exchange, 404, {"error": "no such lease"})
        elif name == "kv-keep":
            ttl_s = self._state.leases[lease][1]
            self._state.leases[lease][0] = self.loop.timers.now() + ttl_s
            self._answer(exchange, 200, {"ttlMs": int(ttl_s * 1_000)})
        else:
            self._remove_lease(lease)
            self._answer(exchange, 200, {})

    def _apply_faults(self, exchange: CallerExchange) -> bool:
        """Apply the active faults to a call; return whether it was failed."""
        refused = exchange.peer.host in self.faults.refused_hosts
        if self.faults.silent:
            return True
        if self.faults.away or refused:
            self._answer(exchange, 503, {"error": "away"})
            return True
        return False

    def _answer(self, exchange: CallerExchange, status: int, doc: Any) -> None:
        """Answer with a JSON document and the era."""
        headers = [*JSON_HEADERS, (b"Store-Era", b"%d" % self._state.era)]
        exchange.answer(status, headers, json.dumps(doc).encode() + b"\n")

    def _put(self, exchange: CallerExchange) -> None:
        doc = read_json(exchange)
        self._write_outside(doc["key"], doc.get("value"))
        self._answer(exchange, 200, {"revision": self._state.revision})

    def _write_outside(self, key: str, value: str | None) -> None:
        """Write or remove a key of the operator or a back end."""
        self._outside[key] = value
        self._state.revision += 1
        if value is None:
            self._state.remove(key)
        else:
            self._state.put(key, base64.b64encode(value.encode()).decode(), 0)
        self._notify_watches()

    def _keep_copy(self, exchange: CallerExchange) -> None:
        self._copy = copy.deepcopy(self._state)
        self._answer(exchange, 200, {"revision": self._state.revision})

    def _restore(self, exchange: CallerExchange) -> None:
        """Return to the copy; waiting watches are cut."""
        era = self._state.era + 1
        self._state = copy.deepcopy(self._copy)
        self._state.era = era
        for lease in self._state.leases.values():
            lease[0] = self.loop.timers.now() + lease[1]
        for watch in self._pending_watches:
            watch.answered = True
            watch.exchange.abort()
        self._pending_watches.clear()
        self.loop.timers.call_later(REWRITE_DELAY_S, self._write_again)
        self._answer(exchange, 200, {"era": era, "revision": self._state.revision})

    def _write_again(self) -> None:
        for key, value in self._outside.items():
            item = self._state.items.get(key)
            held = base64.b64decode(item["value"]).decode() if item is not None else None
            if held != value:
                self._write_outside(key, value)

    def _key(self, exchange: CallerExchange) -> None:
        if self._apply_faults(exchange):
            return
        item = self._state.items.get(parse_query(exchange).get("key", ""))
        if item is None:
            self._answer(exchange, 404, {"at": self._state.revision})
        else:
            self._answer(exchange, 200, {**item, "at": self._state.revision})

    def _range(self, exchange: CallerExchange) -> None:
        if self._apply_faults(exchange):
            return
        prefix = parse_query(exchange).get("pathPrefix", "")
        items = [item for key, item in sorted(self._state.items.items()) if key.startswith(prefix)]
        doc = {"items": items, "hasMore": False, "at": self._state.revision}
        self._answer(exchange, 200, doc)

    def _watch(self, exchange: CallerExchange) -> None:
        if self._apply_faults(exchange):
            return
        query = parse_query(exchange)
        watch = PendingWatch(exchange, query.get("pathPrefix", ""), int(query["after"]))
        if watch.after < self.faults.forgotten_before or watch.after > self._state.revision:
            self._answer(exchange, 410, {"error": "history is gone"})
            return
        self._pending_watches.append(watch)
        self._notify_watches()
        wait_s = int(query["waitMs"]) / 1_000
        self.loop.timers.call_later(wait_s, lambda: self._answer_watch(watch, []))

    def _notify_watches(self) -> None:
        for watch in list(self._pending_watches):
            events = [
                change
                for change in self._state.changes
                if change["revision"] > watch.after and change["key"].startswith(watch.prefix)
            ]
            if events:
                self._answer_watch(watch, events)

    def _answer_watch(self, watch: PendingWatch, events: list[dict[str, Any]]) -> None:
        if watch.answered:
            return
        watch.answered = True
        self._pending_watches.remove(watch)
        if not watch.exchange.disconnected and not self.faults.silent:
            self._answer(watch.exchange, 200, {"events": events, "at": self._state.revision})

    def _txn(self, exchange: CallerExchange) -> None:
        if self._apply_faults(exchange):
            return
        doc = read_json(exchange)
        state = self._state
        current = {row["key"]: state.items.get(row["key"]) for row in doc.get("expectedRev", [])}
        for row in doc.get("expectedRev", []):
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                self._answer(
                    exchange, 412, {"items": [found for found in current.values() if found]}
                )
                return
        state.revision += 1
        for write in doc.get("writes", []):
            state.put(write["key"], write["value"], write.get("lease", 0))
        for key in doc.get("remove", []):
            state.remove(key)
        self._notify_watches()
        if self.faults.lose_answers:
            exchange.abort()
        else:
            self._answer(exchange, 200, {"revision": state.revision})

    def _lease(self, exchange: CallerExchange) -> None:
        if self._apply_faults(exchange):
            return
        ttl_ms = int(read_json(exchange)["ttlMs"])
        lease = next(self._lease_ids)
        ttl_s = ttl_ms / 1_000
        self._state.leases[lease] = [self.loop.timers.now() + ttl_s, ttl_s]
        self._answer(exchange, 200, {"lease": lease, "ttlMs": ttl_ms})

    def _expire_leases(self) -> None:
        now = self.loop.timers.now()
        for lease in [lease_id for lease_id, (end, _) in self._state.leases.items() if end <= now]:
            self._remove_lease(lease)

    def _remove_lease(self, lease: int) -> None:
        del self._state.leases[lease]
        self._state.revision += 1
        keys = [key for key, item in self._state.items.items() if item["lease"] == lease]
        for key in keys:
            self._state.remove(key)
        self._notify_watches()


def parse_query(exchange: CallerExchange) -> dict[str, str]:
    """Parse the query of a request, keeping the last value of each parameter."""
    query = exchange.request.target.partition("?")[2]
    return {name: values[-1] for name, values in parse_qs(query, keep_blank_values=True).items()}


def main(port: int) -> None:
    """Run the store until the process is terminated."""
    PlatformStore(port).run()


if __name__ == "__main__":
    fire.Fire(main)
