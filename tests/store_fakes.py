"""Provide a store with injected faults and a blocking HTTP transport for tests."""

from __future__ import annotations

import http.client
from collections import Counter

from tarragonwind.adapters.memory_stores import MemoryStore
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future
from tarragonwind.ports import HttpError, HttpResponse, HttpTransport, Store


class BlockingHttp(HttpTransport):
    """Send each request over its own connection, blocking and without an event loop."""

    def fetch(self, address, req, timeout_s):
        fut = Future()
        conn = http.client.HTTPConnection(address.host, address.port, timeout=timeout_s)
        sent = False
        try:
            conn.connect()
            sent = True
            headers = {name.decode(): value.decode() for name, value in req.headers}
            conn.request(req.method, req.target, req.body, headers)
            response = conn.getresponse()
            fut.set_result(HttpResponse(response.status, [], response.read()))
        except (OSError, http.client.HTTPException) as exc:
            fut.set_exception(HttpError(repr(exc), sent))
        finally:
            conn.close()
        return fut

    def stream(self, address, req, on_data, on_end):
        raise NotImplementedError


class FaultyStore(Store):
    """Wrap a memory store and inject faults."""

    def __init__(self, timers):
        self.timers = timers
        self.inner = MemoryStore(timers, lambda kind: None)
        self.away = False
        self.drop_answers = 0
        self.late_writes = 0
        self.before_commit = []
        self.watches = []
        self.calls = Counter()

    def _call(self, kind, function, *args):
        self.calls[kind] += 1
        if self.away:
            fut = Future()
            fut.set_exception(StoreError("the store is unavailable"))
            return fut
        return function(*args)

    def get(self, key):
        return self._call("get", self.inner.get, key)

    def read_range(self, prefix):
        return self._call("range", self.inner.read_range, prefix)

    def commit(self, compares, ops):
        return self._call("txn", self._commit, compares, ops)

    def _commit(self, compares, ops):
        if self.before_commit:
            self.before_commit.pop(0)()
        fut = Future()
        if self.late_writes:
            self.late_writes -= 1
            self.timers.call_later(0.3, lambda: self.inner.commit(compares, ops))
        elif self.drop_answers:
            self.drop_answers -= 1
            self.inner.commit(compares, ops)
        else:
            return self.inner.commit(compares, ops)
        fut.set_exception(StoreError("the answer was lost", maybe_applied=True))
        return fut

    def grant_lease(self, ttl_s):
        return self._call("lease_grant", self.inner.grant_lease, ttl_s)

    def renew_lease(self, lease_id):
        return self._call("lease_keepalive", self.inner.renew_lease, lease_id)

    def revoke_lease(self, lease_id):
        return self._call("lease_revoke", self.inner.revoke_lease, lease_id)

    def subscribe_era(self, listener):
        self.inner.subscribe_era(listener)

    def watch(self, prefix, from_revision, on_events, on_end, era=0):
        self.calls["watch"] += 1
        watch = self.inner.watch(prefix, from_revision, on_events, on_end)
        self.watches.append((watch, on_end))
        return watch

    def cut_watches(self):
        """End all watches and report their end."""
        watches, self.watches = self.watches, []
        for watch, on_end in watches:
            watch.cancel()
            on_end("cut")

    def freeze_watches(self):
        """Stop all watches without reporting their end."""
        for watch, _ in self.watches:
            watch.cancel()

    def snapshot(self):
        """Return a copy of the current content."""
        return dict(self.inner._items)

    def restore(self, items, revision=None):
        """Replace the content by an older one; the revision continues unless one is given."""
        self.cut_watches()
        self.inner._items = dict(items)
        self.inner._sorted_keys = sorted(items)
        self.inner.revision = revision or self.inner.revision


def settle(timers, fut, limit_s=60.0):
    """Advance virtual time until a future is done, and return its result."""
    end = timers.now() + limit_s
    while not fut.done() and timers.now() < end:
        timers.advance(0.05)
    return fut.result()
