"""Measure what a pending operator request costs the event loop, as a callback or a generator task.

Run with ``python -m bench.operator_waits``; it uses only loopback and exits by itself.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from circuits import Component, Event, handler

from tarragonwind.adapters.loops import Loop, create_loop
from tarragonwind.futures import Future

WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class WaitRow:
    """Hold the cost of one wait.

    Attributes
    ----------
    case : str
        How the future was awaited.
    iterations : int
        Iterations of the event loop during the run.
    cpu_ms : float
        CPU time of the process, in milliseconds.
    latency_ms : float
        Time from the future's completion until the waiter saw it, in milliseconds.
    """

    case: str
    iterations: int
    cpu_ms: float
    latency_ms: float


class request_result(Event):  # noqa: N801
    """Request a result that is available later."""


class ResultWaiter(Component):
    """Await a future by callback or by generator task, and record when its result was seen."""

    channel = "waiter"

    def __init__(self, fut: Future[int], use_task: bool) -> None:
        super().__init__()
        self._fut = fut
        self._use_task = use_task
        self.result_seen_at = 0.0

    @handler("request_result")
    def _on_request_result(self) -> Any:
        if self._use_task:
            return self._poll()
        self._fut.add_callback(lambda _done: self._record_result_time())
        return None

    def _poll(self) -> Iterator[None]:
        while not self._fut.done():
            yield None
        self._record_result_time()

    def _record_result_time(self) -> None:
        self.result_seen_at = time.monotonic()


class IterationCounter(Component):
    """Count the iterations of the event loop."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.iterations = 0

    @handler("generate_events", priority=20)
    def _on_generate_events(self, event: Any) -> None:
        self.iterations += 1


def measure_wait(case: str, use_task: bool) -> WaitRow:
    """Run the loop with one wait of `WAIT_S` and return its cost."""
    loop: Loop = create_loop()
    counter = IterationCounter().register(loop.root)
    fut: Future[int] = Future()
    waiter = ResultWaiter(fut, use_task).register(loop.root)
    resolved_at = [0.0]

    def resolve() -> None:
        resolved_at[0] = time.monotonic()
        fut.set_result(1)

    loop.timers.call_later(0.0, lambda: loop.root.fire(request_result(), "waiter"))
    loop.timers.call_later(WAIT_S, resolve)
    loop.timers.call_later(WAIT_S + 0.5, loop.stop)
    started = time.process_time()
    loop.run()
    cpu_s = time.process_time() - started
    latency_s = waiter.result_seen_at - resolved_at[0]
    return WaitRow(case, counter.iterations, round(cpu_s * 1e3, 2), round(latency_s * 1e3, 3))


def main() -> None:
    """Measure both ways and print a line for each."""
    for case, use_task in (("callback of the future", False), ("generator task", True)):
        row = measure_wait(case, use_task)
        print(
            f"{row.case:24} {row.iterations:6} loop iterations in {WAIT_S:g} s, "
            f"{row.cpu_ms:8.2f} ms of CPU time, result seen after {row.latency_ms:.3f} ms"
        )


if __name__ == "__main__":
    main()
