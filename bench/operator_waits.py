"""Measure what a waiting operator's request costs the loop: a future's callback or a generator.

Run with ``python -m bench.operator_waits``; it talks to loopback only and ends by itself.
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
    """Hold the loop's passes and processor time while one answer was waited for."""

    case: str
    passes: int
    processor_ms: float
    answer_late_ms: float


class ask(Event):  # noqa: N801
    """Ask for an answer that comes later."""


class Waiter(Component):
    """Wait for a future in either way and note when its answer was seen."""

    channel = "waiter"

    def __init__(self, fut: Future[int], as_task: bool) -> None:
        super().__init__()
        self._fut = fut
        self._as_task = as_task
        self.answered_at = 0.0

    @handler("ask")
    def _on_ask(self) -> Any:
        if self._as_task:
            return self._poll()
        self._fut.add_callback(lambda _done: self._note())
        return None

    def _poll(self) -> Iterator[None]:
        while not self._fut.done():
            yield None
        self._note()

    def _note(self) -> None:
        self.answered_at = time.monotonic()


class PassCounter(Component):
    """Count the loop's passes."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.passes = 0

    @handler("generate_events", priority=20)
    def _on_generate_events(self, event: Any) -> None:
        self.passes += 1


def measure_wait(case: str, as_task: bool) -> WaitRow:
    """Return the cost of one wait."""
    loop: Loop = create_loop()
    counter = PassCounter().register(loop.root)
    fut: Future[int] = Future()
    waiter = Waiter(fut, as_task).register(loop.root)
    settled_at = [0.0]

    def settle() -> None:
        settled_at[0] = time.monotonic()
        fut.set_result(1)

    loop.timers.call_later(0.0, lambda: loop.root.fire(ask(), "waiter"))
    loop.timers.call_later(WAIT_S, settle)
    loop.timers.call_later(WAIT_S + 0.5, loop.stop)
    started = time.process_time()
    loop.run()
    spent = time.process_time() - started
    late = waiter.answered_at - settled_at[0]
    return WaitRow(case, counter.passes, round(spent * 1e3, 2), round(late * 1e3, 3))


def main() -> None:
    """Print a line a way."""
    for case, as_task in (("callback of the future", False), ("generator task", True)):
        row = measure_wait(case, as_task)
        print(
            f"{row.case:24} {row.passes:6} passes in {WAIT_S:g} s, "
            f"{row.processor_ms:8.2f} ms of processor, answered {row.answer_late_ms:.3f} ms late"
        )


if __name__ == "__main__":
    main()
