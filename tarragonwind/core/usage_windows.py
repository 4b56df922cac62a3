"""Count tokens in sliding windows of several lengths."""

from __future__ import annotations

import bisect
import math
from operator import add, sub

from tarragonwind.records import dataclass

BUCKET_WIDTH_S = 0.1
"""Width of the buckets of a sliding window."""
WINDOW_FRACTIONS = (1.0, 0.5, 0.25, 0.125)
"""Lengths of the windows as fractions of the longest. The short windows prevent the tokens of the
longest window from being used at once."""

AGE_STEPS = tuple(
    sorted(
        {
            longer - shorter
            for longer in WINDOW_FRACTIONS
            for shorter in (*WINDOW_FRACTIONS, 0.0)
            if longer > shorter
        }
    )
)
"""Ages at which counts leave a window, as fractions of the longest one."""

DROPPED_BUCKETS = 64
"""Buckets behind the longest window that are dropped together."""

Totals = tuple[int, ...]
"""Tokens in each window, the longest first."""
ZERO_TOTALS: Totals = (0,) * len(WINDOW_FRACTIONS)


def add_totals(left: Totals, right: Totals) -> Totals:
    """Return the sum for each window."""
    return tuple(map(add, left, right))


def subtract_totals(left: Totals, right: Totals) -> Totals:
    """Return the difference for each window."""
    return tuple(map(sub, left, right))


def max_totals(left: Totals, right: Totals) -> Totals:
    """Return the maximum for each window."""
    return tuple(map(max, left, right))


class UsageWindow:
    """Sum tokens over sliding windows; the sums are kept and adjusted as buckets leave a window.

    Times must not decrease from call to call.
    """

    __slots__ = ("_amounts", "_first", "_sums", "_times", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._times: list[float] = []
        self._amounts: list[int] = []
        self._first = [0] * len(WINDOW_FRACTIONS)
        self._sums = [0] * len(WINDOW_FRACTIONS)

    def add(self, now: float, tokens: int) -> None:
        """Add tokens."""
        if not self._times or now - self._times[-1] >= BUCKET_WIDTH_S:
            self._times.append(now)
            self._amounts.append(0)
        self._change(len(self._amounts) - 1, tokens)

    def refund(self, taken_at: float, tokens: int) -> None:
        """Remove tokens that were added at a time, unless they have left the longest window.

        Removed later, they would outlast the tokens that they make up for.
        """
        index = bisect.bisect_right(self._times, taken_at) - 1
        if index >= 0:
            self._change(index, -tokens)

    def _change(self, index: int, tokens: int) -> None:
        """Change the amount of a bucket, and the sums of the windows that contain it."""
        self._amounts[index] += tokens
        for number, first in enumerate(self._first):
            if index >= first:
                self._sums[number] += tokens

    def totals(self, now: float) -> Totals:
        """Return the tokens in each window and drop buckets that have left the longest window."""
        for number, fraction in enumerate(WINDOW_FRACTIONS):
            self._leave(number, now - BUCKET_WIDTH_S - fraction * self._window_s)
        if self._first[0] >= DROPPED_BUCKETS:
            self._drop(self._first[0])
        return tuple(self._sums)

    def _leave(self, number: int, start: float) -> None:
        """Take the buckets up to a time out of the sum of a window."""
        first = self._first[number]
        while first < len(self._times) and self._times[first] <= start:
            self._sums[number] -= self._amounts[first]
            first += 1
        self._first[number] = first

    def _drop(self, count: int) -> None:
        del self._times[:count]
        del self._amounts[:count]
        self._first = [first - count for first in self._first]


@dataclass(slots=True)
class ReceivedTotals:
    """Hold totals from another host, their time of receipt and the own totals at that time.

    Attributes
    ----------
    totals, own : tuple of int
        Tokens in each window, the longest first.
    received_at : float
        Time of receipt, in seconds.
    part_left : int
        Tokens that the host may add to the longest window if it receives no further totals.
    earlier : ReceivedTotals or None
        Last totals before the host restarted, if it has.
    fleet_share : float
        Reachable fraction of the fleet that the totals allow for, above 0 and at most 1.
    counted_s : float
        Time for which the other host had aggregated the counts then, in seconds.
    """

    totals: Totals
    received_at: float
    own: Totals = ZERO_TOTALS
    part_left: int = 0
    earlier: ReceivedTotals | None = None
    fleet_share: float = 1.0
    counted_s: float = 0.0

    def remaining(self, now: float, window_s: float) -> Totals:
        """Return the maximum of the counted tokens that can still be in each window."""
        counts = self._remaining(now - self.received_at, window_s)
        if self.earlier is None:
            return counts
        return add_totals(counts, self.earlier.remaining(now, window_s))

    def next_change_at(self, now: float, window_s: float) -> float:
        """Return the next time at which `remaining` returns something else, in seconds."""
        ages_s = (fraction * window_s for fraction in AGE_STEPS)
        times = (self.received_at + age_s for age_s in ages_s)
        at = min((at for at in times if at > now), default=math.inf)
        return at if self.earlier is None else min(at, self.earlier.next_change_at(now, window_s))

    def _remaining(self, age_s: float, window_s: float) -> Totals:
        if age_s < AGE_STEPS[0] * window_s:
            return self.totals
        return tuple(
            self._newer_than(fraction * window_s - age_s, window_s) for fraction in WINDOW_FRACTIONS
        )

    def _newer_than(self, age_s: float, window_s: float) -> int:
        """Return the count of the shortest window that is at least as long as an age."""
        if age_s <= 0:
            return 0
        return min(
            count
            for fraction, count in zip(WINDOW_FRACTIONS, self.totals, strict=True)
            if fraction * window_s >= age_s
        )
