"""Hold new requests after a pause of this process until its copy of the store is current.

A key that was withdrawn or an upstream that left during the pause may still be in the copy.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine

from loguru import logger

from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Timers

MAX_HOLD_S = 1.0
"""Longest hold, in seconds. After it the store counts as unreachable, and the copy is used."""
RETRY_DELAY_S = 0.1
"""Time between two attempts to read the store, in seconds."""


class PauseGuard:
    """Hold new requests after each pause of the process.

    Parameters
    ----------
    catch_up : callable
        Returns a coroutine that ends when the copy has all that the store has accepted, and raises
        `StoreError` if the store can't be read.
    timers : Timers
        Clock and timers.
    """

    def __init__(self, catch_up: Callable[[], Coroutine], timers: Timers) -> None:
        self._read_changes = catch_up
        self._timers = timers
        self._held: Future[None] | None = None

    def held(self) -> Future[None] | None:
        """Return the end of the hold, None if requests need not wait; ask again after it."""
        return self._held

    def on_resumed(self, paused_s: float) -> None:
        """Hold new requests after a pause of `paused_s` seconds."""
        held: Future[None] = Future()
        self._held = held
        self._timers.call_later(MAX_HOLD_S, lambda: self._release(held, "the store did not answer"))
        spawn(self._catch_up(held))

    async def _catch_up(self, held: Future[None]) -> None:
        while not held.done():
            try:
                await self._read_changes()
            except StoreError as exc:
                logger.warning("event=store_unread_after_pause reason={!r}", str(exc))
                await delay(self._timers, RETRY_DELAY_S)
            except Exception:
                logger.exception("event=catch_up_failed")
                return
            else:
                self._release(held)

    def _release(self, held: Future[None], failure: str = "") -> None:
        if held.done():
            return
        if self._held is held:
            self._held = None
        level = "WARNING" if failure else "INFO"
        logger.log(level, "event=requests_released_after_pause failure={!r}", failure)
        held.set_result(None)
