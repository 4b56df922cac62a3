"""Provide timed delays for coroutines."""

from __future__ import annotations

from tarragonwind.futures import Future
from tarragonwind.ports import Timers


def delay(timers: Timers, seconds: float) -> Future[None]:
    """Return a future that completes `seconds` from now."""
    fut: Future[None] = Future()

    def end() -> None:
        fut.set_result(None)

    timers.call_later(seconds, end)
    return fut
