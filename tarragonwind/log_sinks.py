"""Write log lines to a descriptor without ever blocking, within a bound on lines and bytes.

Lines of requests that ended well are dropped first: they may take half of each second's lines and
half of the buffer. What was dropped is counted in a line of its own.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Message

MAX_LINES_PER_S = 1_000
"""Lines a second that are written at most, so that logs stay a small part of a host's work."""
MAX_BUFFER_BYTES = 262_144
"""Bytes that wait for a reader of the log at most."""
ORDINARY_LEVEL = 20
"""Severity up to which a line is ordinary, that of INFO."""
ORDINARY_PART = 0.5
"""Part of the bounds that ordinary lines may use."""


class BoundedSink:
    """Take log lines and write what fits.

    Parameters
    ----------
    fileno : int
        Descriptor that the lines go to.
    now : callable
        Returns seconds on the monotonic clock.
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
        """Take one line."""
        part = 1.0 if message.record["level"].no > ORDINARY_LEVEL else ORDINARY_PART
        if not self._has_room(part):
            self.dropped += 1
            return
        self._lines += 1
        self._buffer += message.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the descriptor takes it."""
        if not self._buffer:
            return
        try:
            written = os.write(self._fileno, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; there is no place left to say so.
            written = len(self._buffer)
        del self._buffer[:written]

    def _has_room(self, part: float) -> bool:
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._lines = 0
            self._tell_dropped()
        return self._lines < part * MAX_LINES_PER_S and len(self._buffer) < part * MAX_BUFFER_BYTES

    def _tell_dropped(self) -> None:
        if self.dropped and len(self._buffer) < MAX_BUFFER_BYTES:
            self._buffer += b"event=log_lines_dropped count=%d\n" % self.dropped
            self.dropped = 0
