"""Stand in for the platform's key-value service: items, transactions, leases, waiting watches."""

from __future__ import annotations

import base64
import itertools
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import fire

from standins.servers import StandIn, answer_json, read_json
from tarragonwind.adapters.http_servers import CallerExchange

LEASE_SWEEP_S = 0.1
HISTORY_LENGTH = 10_000


class StoreFaults:
    """Hold what can go wrong; set through ``/control``."""

    def __init__(self) -> None:
        self.away = False
        self.refused_hosts: list[str] = []
        self.silent = False
        self.lose_answers = False
        self.forgotten_before = 0


@dataclass(slots=True)
class Waiter:
    """Hold one watch that waits for a change."""

    exchange: CallerExchange
    prefix: str
    after: int
    answered: bool = False


@dataclass(slots=True)
class StoreState:
    """Hold items by key, changes in order, and the ends of leases."""

    revision: int = 1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, list[float]] = field(default_factory=dict)

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key at the present revision."""
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
        """Remove a key at the present revision."""
        if self.items.pop(key, None) is not None:
            self.changes.append({"key": key, "revision": self.revision, "deleted": True})


class PlatformStore(StandIn):
    """Serve the store; ``POST /put`` writes a document as the operator or an upstream does."""

    def __init__(self, port: int) -> None:
        super().__init__(port, StoreFaults())
        self._state = StoreState()
        self._waiters: list[Waiter] = []
        self._lease_ids = itertools.count(100)
        self.routes.update(
            {
                "/put": self._put,
                "/kv-key": self._key,
                "/kv-range": self._range,
                "/kv-watch": self._watch,
                "/kv-txn": self._txn,
                "/kv-lease": self._lease,
            }
        )
        self.loop.timers.call_every(LEASE_SWEEP_S, self._end_leases)

    def handle_other(self, exchange: CallerExchange, path: str) -> None:
        """Renew or end a lease."""
        name, _, number = path[1:].partition("/")
        lease = int(number) if number.isdigit() else 0
        if self._fails(exchange):
            return
        if lease not in self._state.leases:
            answer_json(exchange, 404, {"error": "no such lease"})
        elif name == "kv-keep":
            ttl_s = self._state.leases[lease][1]
            self._state.leases[lease][0] = self.loop.timers.now() + ttl_s
            answer_json(exchange, 200, {"ttlMs": int(ttl_s * 1_000)})
        else:
            self._drop_lease(lease)
            answer_json(exchange, 200, {})

    def _fails(self, exchange: CallerExchange) -> bool:
        """Fail a call the way the faults say."""
        refused = exchange.peer.host in self.faults.refused_hosts
        if self.faults.silent:
            return True
        if self.faults.away or refused:
            answer_json(exchange, 503, {"error": "away"})
            return True
        return False

    def _put(self, exchange: CallerExchange) -> None:
        doc = read_json(exchange)
        self._state.revision += 1
        if doc.get("value") is None:
            self._state.remove(doc["key"])
        else:
            text = base64.b64encode(doc["value"].encode()).decode()
            self._state.put(doc["key"], text, 0)
        self._tell_waiters()
        answer_json(exchange, 200, {"revision": self._state.revision})

    def _key(self, exchange: CallerExchange) -> None:
        if self._fails(exchange):
            return
        item = self._state.items.get(query_of(exchange).get("key", ""))
        if item is None:
            answer_json(exchange, 404, {"at": self._state.revision})
        else:
            answer_json(exchange, 200, {**item, "at": self._state.revision})

    def _range(self, exchange: CallerExchange) -> None:
        if self._fails(exchange):
            return
        prefix = query_of(exchange).get("pathPrefix", "")
        items = [item for key, item in sorted(self._state.items.items()) if key.startswith(prefix)]
        doc = {"items": items, "hasMore": False, "at": self._state.revision}
        answer_json(exchange, 200, doc)

    def _watch(self, exchange: CallerExchange) -> None:
        if self._fails(exchange):
            return
        query = query_of(exchange)
        waiter = Waiter(exchange, query.get("pathPrefix", ""), int(query["after"]))
        if waiter.after < self.faults.forgotten_before:
            answer_json(exchange, 410, {"error": "history is gone"})
            return
        self._waiters.append(waiter)
        self._tell_waiters()
        wait_s = int(query["waitMs"]) / 1_000
        self.loop.timers.call_later(wait_s, lambda: self._answer_waiter(waiter, []))

    def _tell_waiters(self) -> None:
        for waiter in list(self._waiters):
            events = [
                change
                for change in self._state.changes
                if change["revision"] > waiter.after and change["key"].startswith(waiter.prefix)
            ]
            if events:
                self._answer_waiter(waiter, events)

    def _answer_waiter(self, waiter: Waiter, events: list[dict[str, Any]]) -> None:
        if waiter.answered:
            return
        waiter.answered = True
        self._waiters.remove(waiter)
        if not waiter.exchange.disconnected and not self.faults.silent:
            answer_json(waiter.exchange, 200, {"events": events, "at": self._state.revision})

    def _txn(self, exchange: CallerExchange) -> None:
        if self._fails(exchange):
            return
        doc = read_json(exchange)
        state = self._state
        held = {row["key"]: state.items.get(row["key"]) for row in doc.get("expectedRev", [])}
        for row in doc.get("expectedRev", []):
            item = held[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                answer_json(exchange, 412, {"items": [one for one in held.values() if one]})
                return
        state.revision += 1
        for write in doc.get("writes", []):
            state.put(write["key"], write["value"], write.get("lease", 0))
        for key in doc.get("remove", []):
            state.remove(key)
        self._tell_waiters()
        if self.faults.lose_answers:
            exchange.abort()
        else:
            answer_json(exchange, 200, {"revision": state.revision})

    def _lease(self, exchange: CallerExchange) -> None:
        if self._fails(exchange):
            return
        ttl_ms = int(read_json(exchange)["ttlMs"])
        lease = next(self._lease_ids)
        ttl_s = ttl_ms / 1_000
        self._state.leases[lease] = [self.loop.timers.now() + ttl_s, ttl_s]
        answer_json(exchange, 200, {"lease": lease, "ttlMs": ttl_ms})

    def _end_leases(self) -> None:
        now = self.loop.timers.now()
        for lease in [one for one, (end, _) in self._state.leases.items() if end <= now]:
            self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        del self._state.leases[lease]
        self._state.revision += 1
        keys = [key for key, item in self._state.items.items() if item["lease"] == lease]
        for key in keys:
            self._state.remove(key)
        self._tell_waiters()


def query_of(exchange: CallerExchange) -> dict[str, str]:
    """Return the query of a request, the last value of each name."""
    query = exchange.request.target.partition("?")[2]
    return {name: values[-1] for name, values in parse_qs(query, keep_blank_values=True).items()}


def main(port: int) -> None:
    """Run the stand-in until the process is ended."""
    PlatformStore(port).run()


if __name__ == "__main__":
    fire.Fire(main)
