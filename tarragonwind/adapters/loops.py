"""Provide the daemon's event loop: an epoll poller with direct callbacks, and a timer service.

`circuits` queues an event for each ready socket and for each poll, which is too slow for relayed
streams. The poller here keeps that path for circuits' own components, but calls a method directly
for sockets that are registered with a `SocketHandler`, and goes on polling until circuits has
something to dispatch.
"""

from __future__ import annotations

import heapq
import itertools
import math
import select
import time
from collections.abc import Callable
from typing import Any

from circuits import Component, handler
from circuits.core.pollers import EPoll
from loguru import logger

from tarragonwind.records import dataclass

POLL_READ = select.EPOLLIN
POLL_WRITE = select.EPOLLOUT
IDLE_WAIT_S = 10.0
"""Longest wait of one poll, in seconds."""
PAUSE_S = 1.0
"""Delay of a poll from which the process counts as paused, in seconds."""
PERIOD_ROUNDING = 1e-6
"""Fraction of a period by which a due time may be rounded down."""
MIN_SWEPT_TIMERS = 1_000
"""Cancelled timers from which on they are removed once they are half of all."""


def _do_nothing() -> None:
    """Do nothing; callback of a timer that has run or was cancelled."""


class SocketHandler:
    """Receive the readiness events of a registered socket."""

    __slots__ = ()

    def on_ready(self, events: int) -> None:
        """Handle readiness; `events` is a mask of epoll flags."""
        raise NotImplementedError


@dataclass(slots=True)
class LoopLoad:
    """Hold how long an event loop has handled events.

    Attributes
    ----------
    total_s : float
        Time between polls, in seconds.
    longest_s : float
        Longest time between two polls, in seconds.
    """

    total_s: float = 0.0
    longest_s: float = 0.0


class DirectPoller(EPoll):
    """Poll the sockets of circuits' components and of direct handlers with one epoll instance."""

    channel = "direct-poller"

    def __init__(self, timers: TimerService) -> None:
        super().__init__(channel=self.channel)
        self._socket_handlers: dict[int, SocketHandler] = {}
        self._timers = timers
        self._polled_at: float | None = None
        self._load = LoopLoad()
        self._resume_listeners: list[Callable[[float], None]] = []

    def subscribe_resumed(self, listener: Callable[[float], None]) -> None:
        """Call `listener` with the length of each pause of the process, in seconds, after it.

        It is called before the sockets that became ready during the pause are read.
        """
        self._resume_listeners.append(listener)

    def take_busy(self) -> LoopLoad:
        """Return how long the loop has handled events since the last call."""
        load = self._load
        self._load = LoopLoad()
        return load

    def add_handler(self, fileno: int, socket_handler: SocketHandler, events: int) -> None:
        """Call `socket_handler` when `fileno` is ready for `events`."""
        self._socket_handlers[fileno] = socket_handler
        self._poller.register(fileno, events)

    def change_events(self, fileno: int, events: int) -> None:
        """Replace the event mask of a registered socket."""
        self._poller.modify(fileno, events)

    def remove_handler(self, fileno: int) -> None:
        """Unregister a socket; call this before the socket is closed."""
        if self._socket_handlers.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def _generate_events(self, event: Any) -> None:
        """Poll, and run timers in between, until circuits has work."""
        self._poll(event.time_left)
        while not self._circuits_has_work():
            wait_s = self._timers.run_due()
            if self._circuits_has_work():
                return
            self._poll(wait_s)

    def _poll(self, wait_s: float) -> None:
        begin = self._timers.now()
        ready = self._poller.poll(wait_s)
        self._detect_pause(begin, wait_s)
        for fileno, events in ready:
            self._process(fileno, events)

    def _detect_pause(self, begin: float, wait_s: float) -> None:
        """Call the listeners if this poll, or what ran before it, took much too long."""
        now = self._timers.now()
        busy_s = begin - self._polled_at if self._polled_at is not None else 0.0
        self._load.total_s += busy_s
        self._load.longest_s = max(self._load.longest_s, busy_s)
        late_s = busy_s + max(0.0, now - begin - wait_s)
        self._polled_at = now
        if late_s < PAUSE_S:
            return
        logger.warning("event=process_was_paused late_s={:.3f}", late_s)
        for listener in self._resume_listeners:
            listener(late_s)

    def _circuits_has_work(self) -> bool:
        """Return whether circuits has an event to dispatch, a task to step, or is to stop."""
        root = self.root
        return len(root) > 0 or bool(root._tasks) or not root.running

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
    """Represent one timer of the timer service; `period_s` is 0 for a timer that fires once.

    Its callback is dropped with its last call or its cancellation, since it often refers to a
    request and so to a body.
    """

    __slots__ = ("_callback", "_service", "cancelled", "ended", "period_s")

    def __init__(
        self, service: TimerService, callback: Callable[[], None], period_s: float
    ) -> None:
        self._service = service
        self._callback = callback
        self.period_s = period_s
        self.cancelled = False
        self.ended = False

    def cancel(self) -> None:
        """Cancel the timer; has no effect if it has run or was cancelled."""
        if self.ended:
            return
        self.cancelled = self.ended = True
        self._callback = _do_nothing
        self._service.count_cancelled()

    def take_callback(self) -> Callable[[], None]:
        """Return the callback for a call that is due."""
        callback = self._callback
        if not self.period_s:
            self.ended = True
            self._callback = _do_nothing
        return callback


class TimerService(Component):
    """Run timers that are due, from a heap ordered by monotonic time.

    Periodic timers are due at multiples of their period since the start of the service, so that
    timers of equal or related periods share the wake-ups of an idle process.
    """

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._started_at = self.now()
        self._heap: list[tuple[float, int, ScheduledTimer]] = []
        self._sequence = itertools.count()
        self._cancelled = 0

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall clock in seconds since the epoch."""
        return time.time()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> ScheduledTimer:
        """Call `callback` once after `delay_s` seconds."""
        timer = ScheduledTimer(self, callback, 0.0)
        self._push(self.now() + max(0.0, delay_s), timer)
        return timer

    def call_every(self, period_s: float, callback: Callable[[], None]) -> ScheduledTimer:
        """Call `callback` every `period_s` seconds, for the first time within one period."""
        timer = ScheduledTimer(self, callback, period_s)
        self._push(self._next_due(self.now(), period_s), timer)
        return timer

    def _next_due(self, now: float, period_s: float) -> float:
        periods = math.floor((now - self._started_at) / period_s + PERIOD_ROUNDING)
        return self._started_at + (periods + 1) * period_s

    def _push(self, due: float, timer: ScheduledTimer) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), timer))

    def count_cancelled(self) -> None:
        """Count a timer that was cancelled, and remove such timers once they are half of all."""
        self._cancelled += 1
        if self._cancelled >= MIN_SWEPT_TIMERS and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if not entry[2].cancelled]
            heapq.heapify(self._heap)
            self._cancelled = 0

    @handler("generate_events", priority=9)
    def _on_generate_events(self, event: Any) -> None:
        wait_s = self.run_due()
        event.reduce_time_left(wait_s if self.root.running else 0.0)

    def run_due(self) -> float:
        """Call the callback of each timer that is due.

        Returns
        -------
        float
            Time until the next timer is due, in seconds, at most `IDLE_WAIT_S`.
        """
        now = self.now()
        while self._heap and self._heap[0][0] <= now:
            _, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                self._cancelled -= 1
                continue
            if timer.period_s:
                self._push(self._next_due(now, timer.period_s), timer)
            try:
                timer.take_callback()()
            except Exception:
                logger.exception("event=timer_failed")
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        if not self._heap:
            return IDLE_WAIT_S
        return min(IDLE_WAIT_S, max(0.0, self._heap[0][0] - self.now()))


class Loop:
    """Bundle the event loop's root component, poller and timers.

    Attributes
    ----------
    root : circuits.Component
        Component that runs the event loop; circuits' own components register under it.
    poller : DirectPoller
        Poller of all sockets.
    timers : TimerService
        Clock and timers.
    """

    __slots__ = ("poller", "root", "timers")

    def __init__(self, root: Component) -> None:
        self.root = root
        self.timers = TimerService().register(root)
        self.poller = DirectPoller(self.timers).register(root)

    def run(self) -> None:
        """Run until `stop` is called."""
        self.root.run()

    def stop(self) -> None:
        """Make `run` return after the current iteration."""
        self.root.stop()


def create_loop() -> Loop:
    """Return an event loop with a new root component."""
    return Loop(Component(channel="root"))
