"""Sum up what the hosts of a fleet report of one organisation's tokens.

Every host reports several times a second, so the sums are kept and adjusted by each report, and by
each one that has reached an age at which it counts differently. They are built anew from all
reports only when the live hosts have changed.
"""

from __future__ import annotations

import heapq
import itertools
from math import inf
from typing import NamedTuple

from tarragonwind.core.usage_windows import (
    ZERO_TOTALS,
    ReceivedTotals,
    Totals,
    add_totals,
    subtract_totals,
)
from tarragonwind.records import dataclass

REPORT_LATE_S = 0.5
"""Age of a live host's report from which that host may be without totals."""


@dataclass(frozen=True, slots=True)
class UsageSums:
    """Hold the sums of the reports of other hosts.

    Attributes
    ----------
    known, live : tuple of int
        Tokens of all hosts and of the live ones in each window, the longest first.
    """

    known: Totals
    live: Totals


class ReportChange(NamedTuple):
    """Hold the time at which a report will count differently, and a number to order equal times."""

    at: float
    number: int
    host: str
    received: ReceivedTotals


class ReportedUsage:
    """Keep the reports of one organisation's tokens and their sums.

    Parameters
    ----------
    window_s : float
        Length of the longest sliding window, in seconds.
    """

    __slots__ = (
        "_changes",
        "_counted",
        "_known",
        "_live",
        "_live_sum",
        "_numbers",
        "_reports",
        "_window_s",
    )

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._reports: dict[str, ReceivedTotals] = {}
        self._counted: dict[str, Totals] = {}
        self._live: frozenset[str] = frozenset()
        self._known = ZERO_TOTALS
        self._live_sum = ZERO_TOTALS
        self._changes: list[ReportChange] = []
        self._numbers = itertools.count()

    def find(self, host: str) -> ReceivedTotals | None:
        """Return the last report of a host, None if it has sent none lately."""
        return self._reports.get(host)

    def reported_at(self, host: str) -> float:
        """Return the time of a host's last report, in seconds; minus infinity for none."""
        received = self._reports.get(host)
        return -inf if received is None else received.received_at

    def put(self, now: float, host: str, received: ReceivedTotals) -> None:
        """Replace the report of a host, which has come now."""
        self._reports[host] = received
        self._count_again(now, host, received)

    def keep_earlier(self, now: float, host: str) -> None:
        """Let the last report of a host that has restarted count beside its next ones."""
        previous = self._reports.get(host)
        if previous is not None:
            received = ReceivedTotals(ZERO_TOTALS, previous.received_at, earlier=previous)
            self.put(now, host, received)

    def sums(self, now: float, live: frozenset[str]) -> UsageSums:
        """Return the sums of the reports that can still be in a window.

        Parameters
        ----------
        now : float
            Time in seconds.
        live : frozenset of str
            Live hosts.
        """
        while self._changes and self._changes[0].at <= now:
            change = heapq.heappop(self._changes)
            if self._reports.get(change.host) is change.received:
                self._count_again(now, change.host, change.received)
        if live is not self._live:
            self._live = live
            self._live_sum = ZERO_TOTALS
            for host in live & self._counted.keys():
                self._live_sum = add_totals(self._live_sum, self._counted[host])
        return UsageSums(self._known, self._live_sum)

    def _count_again(self, now: float, host: str, received: ReceivedTotals) -> None:
        """Adjust the sums to what a report counts now, and note when that changes."""
        before = self._counted.get(host, ZERO_TOTALS)
        if now - received.received_at < self._window_s:
            counted = self._counted[host] = self._count(now, received)
            at = self._next_change(now, received)
            change = ReportChange(at, next(self._numbers), host, received)
            heapq.heappush(self._changes, change)
        else:
            counted = ZERO_TOTALS
            self._reports.pop(host, None)
            self._counted.pop(host, None)
        added = subtract_totals(counted, before)
        self._known = add_totals(self._known, added)
        if host in self._live:
            self._live_sum = add_totals(self._live_sum, added)

    def _count(self, now: float, received: ReceivedTotals) -> Totals:
        """Return what a host has used in each window, with what it may have used since."""
        remaining = received.remaining(now, self._window_s)
        if now < received.received_at + REPORT_LATE_S:
            return remaining
        return (remaining[0] + received.part_left, *remaining[1:])

    def _next_change(self, now: float, received: ReceivedTotals) -> float:
        """Return the next time at which a report counts differently, in seconds."""
        at = received.next_change_at(now, self._window_s)
        late_at = received.received_at + REPORT_LATE_S
        return min(at, late_at) if now < late_at else at
