"""Simulate the platform's store and each host's access to it: away, slow, or from an older copy."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from bench.virtual_clocks import VirtualTimers
from tarragonwind.adapters.memory_stores import MemoryStore
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future
from tarragonwind.ports import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeResult,
    Store,
    Timers,
    TxnResult,
    Watch,
    WatchEvent,
)

CALL_TIMEOUT_S = 1.0
"""Time after which a call to a store that doesn't answer fails, in seconds."""
POLL_MARGIN_S = 0.5
"""Time added to the longest wait of a watch call for its timeout, in seconds."""


class SimulatedStore:
    """Hold the content of the store, and how it answers.

    Parameters
    ----------
    timers : VirtualTimers
        Clock of the simulation.
    rng : random.Random
        Random source of the latencies.

    Attributes
    ----------
    content : MemoryStore
        Keys and leases.
    era : int
        Era, which rises when the store comes back from an older copy.
    away : bool
        Whether calls are not answered.
    slowness : float
        Factor of the latencies.
    calls : int
        Calls so far.
    """

    def __init__(self, timers: VirtualTimers, rng: random.Random) -> None:
        self.content = MemoryStore(timers, lambda kind: None)
        self.era = 1
        self.away = False
        self.slowness = 1.0
        self.calls = 0
        self.timers = timers
        self._rng = rng
        self.watches: list[SimulatedWatch] = []

    def latency_s(self) -> float:
        """Return the time that one way of a call takes, in seconds."""
        return self.slowness * self._rng.uniform(0.001, 0.004)

    def put(self, key: str, value: bytes) -> None:
        """Write a key."""
        self.content.commit([], [Put(key, value)])

    def copy(self) -> tuple[dict[str, KeyValue], int]:
        """Return a copy of the keys without leases, and the revision."""
        kept = {key: item for key, item in self.content._items.items() if not item.lease_id}
        return kept, self.content.revision

    def restore(self, copy: tuple[dict[str, KeyValue], int]) -> None:
        """Come back from an older copy: a new era, in which all leases are gone."""
        items, revision = copy
        self.content._items = dict(items)
        self.content._sorted_keys = sorted(items)
        self.content._leases.clear()
        self.content.revision = revision
        self.era += 1
        for watch in list(self.watches):
            watch.end("the store has come back from an older copy")


class SimulatedWatch(Watch):
    """Pass on changes in batches, as a watch by long polling does."""

    def __init__(
        self,
        store: SimulatedStore,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
    ) -> None:
        super().__init__(self._cancel)
        self._store = store
        self._on_events = on_events
        self._on_end = on_end
        self._gathered: list[WatchEvent] = []
        self._sends = False
        self._active = True
        self._inner: Watch | None = None
        self._called_at = store.timers.now()
        store.watches.append(self)
        self._wait()

    def begin(self, inner: Watch) -> None:
        """Take the watch of the content."""
        self._inner = inner

    def gather(self, events: list[WatchEvent]) -> None:
        """Add changes, which go out together."""
        self._gathered += events
        if not self._sends and self._active:
            self._sends = True
            self._store.timers.call_later(self._store.latency_s(), self._send)

    def end(self, reason: str) -> None:
        """End the watch and tell its host."""
        if self._active:
            self._cancel()
            self._on_end(reason)

    def _cancel(self) -> None:
        self._active = False
        if self in self._store.watches:
            self._store.watches.remove(self)
        if self._inner is not None:
            self._inner.cancel()

    def _send(self) -> None:
        if not self._active:
            return
        if self._store.away:
            self._sends = False
            return
        events = [one for one in self._gathered if one.mod_revision > self.known_revision]
        self._gathered = []
        self._called_at = self._store.timers.now()
        self._store.timers.call_later(self.batch_delay_s, self._send_rest)
        if events:
            self._on_events(events)

    def _send_rest(self) -> None:
        self._sends = False
        if self._gathered:
            self.gather([])

    def _wait(self) -> None:
        """Call the store anew when a call has waited for its longest time, unless it is away."""
        if not self._active:
            return
        now = self._store.timers.now()
        waited_s = now - self._called_at
        if waited_s >= self.poll_s:
            if self._store.away:
                if waited_s >= self.poll_s + POLL_MARGIN_S:
                    self.end("timed out")
                    return
            else:
                self._called_at = now
                self._store.calls += 1
                if self._gathered and not self._sends:
                    self.gather([])
        self._store.timers.call_later(POLL_MARGIN_S, self._wait)


class HostStore(Store):
    """Access the simulated store from one host.

    Parameters
    ----------
    store : SimulatedStore
        The store.
    timers : Timers
        Timers of the host, on which answers arrive.
    """

    def __init__(self, store: SimulatedStore, timers: Timers) -> None:
        self._store = store
        self._timers = timers
        self._era: int | None = None
        self._era_listeners: list[Callable[[int], None]] = []

    def subscribe_era(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with each era after the first."""
        self._era_listeners.append(listener)

    def get(self, key: str) -> Future[KeyValue | None]:
        """Read one key."""
        return self._call(lambda: self._store.content.get(key))

    def read_range(self, prefix: str) -> Future[RangeResult]:
        """Read all keys that begin with a prefix."""
        return self._call(lambda: self._read(prefix))

    def _read(self, prefix: str) -> Future[RangeResult]:
        result = self._store.content.read_range(prefix).result()
        fut: Future[RangeResult] = Future()
        fut.set_result(RangeResult(result.items, result.revision, self._store.era))
        return fut

    def commit(self, compares: list[Compare], ops: list[Put | Delete]) -> Future[TxnResult]:
        """Apply writes if all comparisons hold."""
        return self._call(lambda: self._store.content.commit(compares, ops))

    def grant_lease(self, ttl_s: int) -> Future[int]:
        """Create a lease."""
        return self._call(lambda: self._store.content.grant_lease(ttl_s))

    def renew_lease(self, lease_id: int) -> Future[float]:
        """Renew a lease."""
        return self._call(lambda: self._store.content.renew_lease(lease_id))

    def revoke_lease(self, lease_id: int) -> Future[None]:
        """End a lease."""
        return self._call(lambda: self._store.content.revoke_lease(lease_id))

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
        era: int = 0,
    ) -> Watch:
        """Watch changes under a prefix."""
        self._store.calls += 1

        def deliver(events: list[WatchEvent]) -> None:
            def take_changes_of_the_store() -> None:
                on_events(events)

            self._timers.call_later(self._store.latency_s(), take_changes_of_the_store)

        def deliver_end(reason: str) -> None:
            self._timers.call_later(self._store.latency_s(), lambda: on_end(reason))

        watch = SimulatedWatch(self._store, deliver, deliver_end)
        if era != self._store.era:
            self._timers.call_later(0.0, lambda: watch.end("of another era"))
        else:
            inner = self._store.content.watch(prefix, from_revision, watch.gather, on_end, era)
            watch.begin(inner)
        return watch

    def _call(self, function: Callable[[], Future[Any]]) -> Future[Any]:
        fut: Future[Any] = Future()
        self._store.calls += 1
        sent_s = self._store.latency_s()

        def arrive() -> None:
            if self._store.away:
                return
            try:
                answer: Any = function().result()
            except StoreError as exc:
                self._timers.call_later(self._store.latency_s(), failure(fut, exc))
                return
            era = self._store.era

            def take_answer_of_the_store() -> None:
                self._answer(fut, answer, era)

            self._timers.call_later(self._store.latency_s(), take_answer_of_the_store)

        self._store.timers.call_later(sent_s, arrive)
        self._timers.call_later(
            CALL_TIMEOUT_S, failure(fut, StoreError("timed out", maybe_applied=True))
        )
        return fut

    def _answer(self, fut: Future[Any], answer: Any, era: int) -> None:
        if fut.done():
            return
        first, before = self._era is None, self._era or 0
        if era < before:
            fut.set_exception(StoreError(f"the answer is of era {era}, expected {before}"))
            return
        self._era = era
        if not first and era > before:
            for listener in list(self._era_listeners):
                listener(era)
        fut.set_result(answer)


def failure(fut: Future[Any], exc: StoreError) -> Callable[[], None]:
    """Return a callback that fails a future unless it is done."""

    def fail() -> None:
        fut.set_exception(exc)

    return fail
