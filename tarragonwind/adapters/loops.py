"""Run the daemon's loop: one poller that calls socket handlers directly, and one timer service.

`circuits` queues an event for each ready socket; a relayed stream can't afford that. The poller
here keeps that path for circuits' own components and calls a method for sockets that register a
`SocketHandler`.
"""

from __future__ import annotations

import heapq
import itertools
import select
import time
from collections.abc import Callable
from typing import Any

from circuits import Component, handler
from circuits.core.pollers import EPoll
from loguru import logger

POLL_READ = select.EPOLLIN
POLL_WRITE = select.EPOLLOUT
IDLE_WAIT_S = 10.0
"""Longest wait of the poller when no timer is due, in seconds."""


class SocketHandler:
    """Name the calls that a registered socket's owner receives."""

    __slots__ = ()

    def on_ready(self, events: int) -> None:
        """Handle readiness; `events` is a mask of epoll flags."""
        raise NotImplementedError


class DirectPoller(EPoll):
    """Poll sockets for circuits' components and for direct handlers in one wait."""

    channel = "direct-poller"

    def __init__(self) -> None:
        super().__init__(channel=self.channel)
        self._socket_handlers: dict[int, SocketHandler] = {}

    def add_handler(self, fileno: int, socket_handler: SocketHandler, events: int) -> None:
        """Call `socket_handler` when `fileno` is ready for `events`."""
        self._socket_handlers[fileno] = socket_handler
        self._poller.register(fileno, events)

    def change_events(self, fileno: int, events: int) -> None:
        """Replace the events that a registered socket waits for."""
        self._poller.modify(fileno, events)

    def remove_handler(self, fileno: int) -> None:
        """Forget a socket; call it before the socket is closed."""
        if self._socket_handlers.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def _process(self, fileno: int, event: int) -> None:
        socket_handler = self._socket_handlers.get(fileno)
        if socket_handler is None:
            super()._process(fileno, event)
            return
        try:
            socket_handler.on_ready(event)
        except Exception:
            logger.exception("event=handler_failed fileno={}", fileno)


class ScheduledTimer:
    """Hold one subscription to the timer service."""

    __slots__ = ("callback", "cancelled", "period_s")

    def __init__(self, callback: Callable[[], None], period_s: float) -> None:
        self.callback = callback
        self.period_s = period_s
        self.cancelled = False

    def cancel(self) -> None:
        """End the subscription."""
        self.cancelled = True


class TimerService(Component):
    """Call subscribers when their time has come, by the monotonic clock and one heap."""

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, ScheduledTimer]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> ScheduledTimer:
        """Call `callback` once after `delay_s` seconds."""
        timer = ScheduledTimer(callback, 0.0)
        self._push(self.now() + max(0.0, delay_s), timer)
        return timer

    def call_every(self, period_s: float, callback: Callable[[], None]) -> ScheduledTimer:
        """Call `callback` every `period_s` seconds."""
        timer = ScheduledTimer(callback, period_s)
        self._push(self.now() + period_s, timer)
        return timer

    def _push(self, due: float, timer: ScheduledTimer) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), timer))

    @handler("generate_events", priority=9)
    def _on_generate_events(self, event: Any) -> None:
        self.run_due()
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        wait_s = IDLE_WAIT_S
        if self._heap:
            wait_s = min(wait_s, max(0.0, self._heap[0][0] - self.now()))
        if not self.root.running:
            wait_s = 0.0
        event.reduce_time_left(wait_s)

    def run_due(self) -> None:
        """Run every subscriber whose time has come."""
        now = self.now()
        while self._heap and self._heap[0][0] <= now:
            due, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                continue
            if timer.period_s:
                self._push(max(due + timer.period_s, now), timer)
            try:
                timer.callback()
            except Exception:
                logger.exception("event=timer_failed")


class Loop:
    """Bundle the poller and the timers that every adapter needs.

    Attributes
    ----------
    root : circuits.Component
        Component that runs the loop; circuits' own components register under it.
    poller : DirectPoller
        Poller of every socket.
    timers : TimerService
        Clock and timer subscriptions.
    """

    __slots__ = ("poller", "root", "timers")

    def __init__(self, root: Component) -> None:
        self.root = root
        self.poller = DirectPoller().register(root)
        self.timers = TimerService().register(root)

    def run(self) -> None:
        """Run until `stop` is called."""
        self.root.run()

    def stop(self) -> None:
        """Let `run` return after the current pass."""
        self.root.stop()


def create_loop() -> Loop:
    """Return a loop with a root component of its own."""
    return Loop(Component(channel="root"))
