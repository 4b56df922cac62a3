"""Write log lines to a file descriptor without blocking, with limits on rate and buffer size.

Lines up to level INFO, such as those of successful requests, are dropped first: they may use only
half of the lines in each second and half of the buffer. The number of dropped lines is logged.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Message

MAX_LINES_PER_S = 1_000
"""Maximum lines written in one second; limits the share of logging in the host's CPU time."""
MAX_BUFFER_BYTES = 262_144
"""Maximum size of the buffer for lines that the reader has not taken yet, in bytes."""
LOW_PRIORITY_MAX_LEVEL = 20
"""Highest loguru level number, that of INFO, whose lines have low priority."""
LOW_PRIORITY_FRACTION = 0.5
"""Fraction of the rate and buffer limits available to low-priority lines."""


class BoundedSink:
    """Buffer log lines and write them to a non-blocking descriptor, dropping excess lines.

    Parameters
    ----------
    fileno : int
        Descriptor to write to; it is set to non-blocking mode.
    now : callable
        Clock that returns monotonic seconds.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last report.
    """

    def __init__(self, fileno: int, now: Callable[[], float] = time.monotonic) -> None:
        self.dropped = 0
        self._fileno = fileno
        self._now = now
        self._buffer = bytearray()
        self._second = 0
        self._lines = 0
        os.set_blocking(fileno, False)

    def write(self, message: Message) -> None:
        """Buffer one line and flush, or drop the line when a limit is reached."""
        fraction = (
            1.0 if message.record["level"].no > LOW_PRIORITY_MAX_LEVEL else LOW_PRIORITY_FRACTION
        )
        if not self._has_capacity(fraction):
            self.dropped += 1
            return
        self._lines += 1
        self._buffer += message.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if not self._buffer:
            return
        try:
            written = os.write(self._fileno, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log; discard the buffer, since no other output is left.
            written = len(self._buffer)
        del self._buffer[:written]

    def _has_capacity(self, fraction: float) -> bool:
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._lines = 0
            self._report_dropped()
        return (
            self._lines < fraction * MAX_LINES_PER_S
            and len(self._buffer) < fraction * MAX_BUFFER_BYTES
        )

    def _report_dropped(self) -> None:
        if self.dropped and len(self._buffer) < MAX_BUFFER_BYTES:
            self._buffer += b"event=log_lines_dropped count=%d\n" % self.dropped
            self.dropped = 0
