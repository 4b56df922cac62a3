"""Wake the event loop when the process receives a signal."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable

from tarragonwind.adapters.loops import POLL_READ, DirectPoller, SocketHandler

READ_BYTES = 4_096


class SignalWaker(SocketHandler):
    """Call back on the event loop after the handler of a signal has run.

    Parameters
    ----------
    poller : DirectPoller
        Poller of the event loop.
    on_signal : callable
        Called after one or more signals.
    """

    __slots__ = ("_on_signal", "_reader", "_writer")

    def __init__(self, poller: DirectPoller, on_signal: Callable[[], None]) -> None:
        self._on_signal = on_signal
        self._reader, self._writer = socket.socketpair()
        for sock in (self._reader, self._writer):
            sock.setblocking(False)
        poller.add_handler(self._reader.fileno(), self, POLL_READ)
        # A full buffer loses no wake-up: the loop has not read the earlier ones yet.
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    def on_ready(self, events: int) -> None:
        """Discard the signal numbers and call back."""
        self._reader.recv(READ_BYTES)
        self._on_signal()
