"""Limit what callers send by the widest limits that may be in force while a change spreads."""

from __future__ import annotations

from tarragonwind.core.configurations import CallerLimits

SPREAD_S = 3.0
"""Time after a change for which callers may go by the limits before it, in seconds."""


class SpreadingLimits:
    """Hold the newest limits, and those that they have replaced within `SPREAD_S`."""

    __slots__ = ("_newest", "_replaced")

    def __init__(self) -> None:
        self._newest: CallerLimits | None = None
        self._replaced: list[tuple[float, CallerLimits]] = []

    def replace(self, now: float, limits: CallerLimits) -> bool:
        """Set the newest limits; return whether they differ from those before."""
        if limits == self._newest:
            return False
        if self._newest is not None:
            self._replaced.append((now, self._newest))
        self._newest = limits
        return True

    def widest(self, now: float) -> CallerLimits:
        """Return the largest value of each limit that may be in force.

        Raises
        ------
        ValueError
            If no limits were set.
        """
        if self._newest is None:
            raise ValueError("no limits were set")
        self._replaced = [row for row in self._replaced if now < row[0] + SPREAD_S]
        limits = [self._newest, *(replaced for _, replaced in self._replaced)]
        return CallerLimits(
            max_header_bytes=max(one.max_header_bytes for one in limits),
            max_body_bytes=max(one.max_body_bytes for one in limits),
            header_timeout_s=max(one.header_timeout_s for one in limits),
            idle_timeout_s=max(one.idle_timeout_s for one in limits),
        )
