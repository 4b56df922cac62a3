"""Remember the limits that upstreams name in their responses."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from tarragonwind.core.entries import UpstreamStart
from tarragonwind.records import dataclass

MAX_LIMITS = 1_024
"""Maximum number of upstreams that are remembered; the one heard of longest ago goes first."""

REPORT_PERIOD_S = 1.0
"""Time after which an unchanged limit is reported again, in seconds."""


@dataclass(slots=True)
class NamedLimit:
    """Hold the limit that an upstream has named.

    Attributes
    ----------
    per_s : float
        Requests per second that it takes from all hosts together.
    named_at, reported_at : float
        Time of the last response with it, and of the last report, in seconds.
    """

    per_s: float
    named_at: float
    reported_at: float


class UpstreamLimits:
    """Hold the limits of the upstreams that have named one in their last response."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: OrderedDict[UpstreamStart, NamedLimit] = OrderedDict()

    def __iter__(self) -> Iterator[tuple[UpstreamStart, NamedLimit]]:
        return iter(list(self._limits.items()))

    def find(self, start: UpstreamStart) -> float | None:
        """Return the limit of an upstream in requests per second, or None."""
        known = self._limits.get(start)
        return None if known is None else known.per_s

    def record_limit(self, now: float, start: UpstreamStart, per_s: float) -> bool:
        """Record a limit; return whether to report it: it is new, or the last report is old."""
        known = self._limits.get(start)
        due = known is None or known.per_s != per_s or now - known.reported_at >= REPORT_PERIOD_S
        reported_at = now if known is None or due else known.reported_at
        self._limits[start] = NamedLimit(per_s, now, reported_at)
        self._limits.move_to_end(start)
        while len(self._limits) > MAX_LIMITS:
            self._limits.popitem(last=False)
        return due

    def record_no_limit(self, start: UpstreamStart, dispatched_at: float) -> bool:
        """Record a response without a limit; return whether this ends one.

        A request that was dispatched before the limit was named may have been answered before.
        """
        known = self._limits.get(start)
        if known is None or dispatched_at <= known.named_at:
            return False
        del self._limits[start]
        return True
