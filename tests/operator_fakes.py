"""Fake operator service with injectable faults, and a server that runs in a thread."""

import contextlib
import threading

from tarragonwind.adapters.loops import create_loop
from tarragonwind.adapters.operators import create_operator_server
from tarragonwind.core.upstream_statuses import UpstreamReport
from tarragonwind.futures import Future
from tarragonwind.operator_services import (
    CatalogueItem,
    CatalogueListing,
    ChangePropagation,
    ChangeResult,
    DaemonReport,
    DrainResult,
    EntryDiff,
    HistoryItem,
    HostReport,
    MoveOutcome,
    MoveReport,
    OperatorError,
    OperatorErrorKind,
    OperatorService,
    Readiness,
    WriteOutcome,
)
from tarragonwind.settings import OperatorSettings

TOKEN = "correct-horse-battery"
THREAD_TIMEOUT_S = 10.0


class FakeOperatorService(OperatorService):
    """Keep a catalogue in memory and inject faults.

    Attributes
    ----------
    lose_answers : int
        Number of coming changes that are applied but reported as of unknown outcome.
    drop_writes : int
        Number of coming changes that are not applied and reported as of unknown outcome.
    propagation_polls : int
        Number of polls until the second host has applied a change.
    store_away : bool
        Whether changes fail because the store is unavailable.
    hold_answers : bool
        Whether futures of changes are left pending and collected in `held`.
    before_apply : callable
        Called before a change is applied.
    """

    def __init__(self):
        self.items = {}
        self.changes = []
        self.ready = Readiness(True)
        self.lose_answers = 0
        self.drop_writes = 0
        self.propagation_polls = 0
        self.store_away = False
        self.hold_answers = False
        self.held = []
        self.move_reports = []
        self.drained_by = []
        self.before_apply = lambda: None

    def readiness(self):
        return self.ready

    def status(self):
        return DaemonReport("a1", "etna", True, False, len(self.changes), 0.0, 2, 3, [0, 0, 1, 2])

    def hosts(self):
        return [HostReport("a1", "etna", "10.0.0.1:7400", "live", len(self.changes), 0.1)]

    def upstreams(self):
        return [UpstreamReport("e1", "chat", "v1", "live", 3, 16, 812.5, 0, 0.4)]

    def list_entries(self, kind):
        items = [item for item in self.items.values() if kind in ("", item.entry.kind)]
        return CatalogueListing(len(self.changes), items)

    def find_entry(self, key):
        return self.items.get(key)

    def apply_change(self, change):
        fut = Future()
        self.before_apply()
        if self.hold_answers:
            self.held.append(fut)
            return fut
        try:
            fut.set_result(self.write(change))
        except OperatorError as exc:
            fut.set_exception(exc)
        return fut

    def write(self, change):
        if self.store_away:
            raise OperatorError(OperatorErrorKind.STORE_UNAVAILABLE, "the store does not answer")
        for number, known in enumerate(self.changes, start=1):
            if known.write_id == change.write_id:
                return ChangeResult(number, True)
        if self.drop_writes:
            self.drop_writes -= 1
            raise OperatorError(OperatorErrorKind.OUTCOME_UNKNOWN, "the answer was lost")
        found = [self.items[key] for key in change.touched_keys() if key in self.items]
        current = [item for item in found if item.number > change.expected]
        if current:
            raise OperatorError(OperatorErrorKind.CONFLICT, "written since", current)
        self.changes.append(change)
        for entry in change.puts:
            self.items[entry.key] = CatalogueItem(entry, len(self.changes))
        for key in change.deletes:
            self.items.pop(key, None)
        if self.lose_answers:
            self.lose_answers -= 1
            raise OperatorError(OperatorErrorKind.OUTCOME_UNKNOWN, "the answer was lost")
        return ChangeResult(len(self.changes))

    def change_propagation(self, number):
        self.propagation_polls -= 1
        if self.propagation_polls > 0:
            return ChangePropagation(number, ["a1"], ["a2"])
        return ChangePropagation(number, ["a1", "a2"], [])

    def find_write(self, write_id):
        fut = Future()
        ids = [change.write_id for change in self.changes]
        if write_id in ids:
            fut.set_result(WriteOutcome(True, ids.index(write_id) + 1))
        else:
            fut.set_result(WriteOutcome(False))
        return fut

    def history(self, key, limit):
        fut = Future()
        items = [
            HistoryItem(
                number, 0.0, change.who, change.write_id, change.touched_keys(), change.deletes
            )
            for number, change in enumerate(self.changes, start=1)
            if key in ("", *change.touched_keys())
        ]
        fut.set_result(items[::-1][:limit])
        return fut

    def diff(self, since, until):
        fut = Future()
        if since == 0:
            fut.set_exception(OperatorError(OperatorErrorKind.GONE, "not kept"))
            return fut
        items = [item for item in self.items.values() if since < item.number <= until]
        fut.set_result([EntryDiff(item.entry.key, None, item.entry) for item in items])
        return fut

    def moves(self):
        return self.move_reports

    def drain(self, who):
        self.drained_by.append(who)
        return DrainResult("a1", 3)


def move_report(outcome=MoveOutcome.NOT_SETTLED):
    return MoveReport("m1", "chat", "v1", "v2", outcome, 0.05, "too little evidence", 0.0, False)


class ThreadedOperatorServer:
    """Run the operator server on an event loop in a separate thread."""

    def __init__(self, service, token_file, **limits):
        self.service = service
        self.loop = create_loop()
        cfg = OperatorSettings(token_file=token_file, **limits)
        cfg.listen_port = 0
        self.server = create_operator_server(self.loop, cfg, service)
        self.port = self.server.port
        self._stopping = threading.Event()
        self._calls = []
        self.loop.timers.call_every(0.002, self._run_calls)
        self._thread = threading.Thread(target=self.loop.run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_exc):
        self._stopping.set()
        self._thread.join(THREAD_TIMEOUT_S)
        assert not self._thread.is_alive()

    def _run_calls(self):
        while self._calls:
            self._calls.pop(0)()
        if self._stopping.is_set():
            self.loop.stop()

    def call(self, function):
        """Run a function in the loop's thread and return its result."""
        done = threading.Event()
        results = []

        def run():
            with contextlib.suppress(Exception):
                results.append(function())
            done.set()

        self._calls.append(run)
        assert done.wait(THREAD_TIMEOUT_S)
        return results[0]
