"""Track the position in a stream of server-sent events: its last whole event and its tail."""

from __future__ import annotations

import re

EVENT_END = b"\n\n"
_ID_LINE = re.compile(rb"(?:\A|[\r\n])id:[ ]?([0-9]{1,18})(?=[\r\n])")
_BLANK_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_BLANK_LINE_AT_END = re.compile(_BLANK_LINE.pattern + rb"\Z")
LONGEST_EVENT_END_BYTES = 4


class EventTail:
    """Track whether a stream has ended inside an event.

    An event ends with a blank line; lines end with LF, CR LF or CR.
    """

    __slots__ = ("_last_bytes",)

    def __init__(self) -> None:
        self._last_bytes = b""

    def feed(self, data: bytes) -> bool:
        """Append data of the stream; return whether an event ends in it."""
        known = len(self._last_bytes)
        joined = self._last_bytes + data
        self._last_bytes = joined[-LONGEST_EVENT_END_BYTES:]
        return any(match.end() > known for match in _BLANK_LINE.finditer(joined))

    @property
    def empty(self) -> bool:
        """Return whether no data has come."""
        return not self._last_bytes

    @property
    def inside_event(self) -> bool:
        """Return whether data has come since the last blank line."""
        if not self._last_bytes.strip(b"\r\n"):
            return False
        return not _BLANK_LINE_AT_END.search(self._last_bytes)


class StreamCursor:
    """Split a stream into complete events and track the id of the last one.

    Attributes
    ----------
    last_id : int or None
        Id of the last complete event, None if there is none yet.
    event_count : int
        Number of complete events.
    """

    __slots__ = ("_partial", "event_count", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.event_count = 0
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Append data and return the complete events; buffer the rest.

        What is buffered holds no blank line, so only the end of it is searched again.
        """
        partial = self._partial
        begin = max(0, len(partial) - LONGEST_EVENT_END_BYTES + 1)
        partial += data
        ends = [match.end() for match in _BLANK_LINE.finditer(partial, begin)]
        if not ends:
            return b""
        complete = bytes(partial[: ends[-1]])
        del partial[: ends[-1]]
        self.event_count += len(ends)
        self._update_last_id(complete)
        return complete

    @property
    def partial_bytes(self) -> int:
        """Return the size of the buffered part of an incomplete event."""
        return len(self._partial)

    def drop_partial(self) -> None:
        """Discard the buffered part of an incomplete event."""
        self._partial.clear()

    def take_rest(self) -> bytes:
        """Return and clear the buffered data after the last complete event."""
        rest = bytes(self._partial)
        self._partial.clear()
        return rest

    def _update_last_id(self, complete: bytes) -> None:
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = int(ids[-1])
