"""Follow a stream of server-sent events, so that it can go on after its last whole event."""

from __future__ import annotations

import re

EVENT_END = b"\n\n"
_ID_LINE = re.compile(rb"^id:[ ]?([0-9]{1,18})\r?$", re.MULTILINE)


class StreamCursor:
    """Split a stream into whole events and remember the last one's id.

    Attributes
    ----------
    last_id : int or None
        Id of the last whole event, None before there is one.
    event_count : int
        Whole events seen.
    """

    __slots__ = ("_partial", "event_count", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.event_count = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events so far and keep the rest."""
        data = self._partial + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._partial = data[end:]
        whole = data[:end]
        if whole:
            self.event_count += whole.count(EVENT_END)
            self._note_id(whole)
        return whole

    def drop_partial(self) -> None:
        """Forget the event that broke off."""
        self._partial = b""

    def take_rest(self) -> bytes:
        """Return what follows the last whole event."""
        rest = self._partial
        self._partial = b""
        return rest

    def _note_id(self, whole: bytes) -> None:
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = int(ids[-1])
