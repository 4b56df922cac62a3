"""Follow whether a caller reads what is sent to it."""

from __future__ import annotations


class SendProgress:
    """Remember how much had been sent at the last check, and when more was sent last."""

    __slots__ = ("_changed_at", "_sent_bytes")

    def __init__(self) -> None:
        self._sent_bytes = 0
        self._changed_at = 0.0

    def restart(self, now: float, sent_bytes: int) -> None:
        """Begin to follow a caller that has read all so far."""
        self._sent_bytes = sent_bytes
        self._changed_at = now

    def begin_check(self, sent_bytes: int) -> None:
        """Count from now on what the next check asks for."""
        self._sent_bytes = sent_bytes

    def since_check(self, sent_bytes: int) -> int:
        """Return the number of bytes that were sent since the last check began."""
        return sent_bytes - self._sent_bytes

    def is_reading(self, now: float, sent_bytes: int, unsent: int, stall_timeout_s: float) -> bool:
        """Return whether the caller has read since the last call, or still has time to.

        A caller to which nothing is left to be sent, or which has stalled, is not waited for.
        """
        if sent_bytes != self._sent_bytes:
            self.restart(now, sent_bytes)
            return True
        return bool(unsent) and now - self._changed_at < stall_timeout_s
