"""Sum up what the hosts of a fleet report of one organisation's tokens.

Every host reports several times a second, so the sums are kept and adjusted by each report. They
are built anew from all reports only when one has reached an age at which it counts differently.
"""

from __future__ import annotations

from math import inf

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


class ReportedUsage:
    """Keep the reports of one organisation's tokens and their sums.

    Parameters
    ----------
    window_s : float
        Length of the longest sliding window, in seconds.
    """

    __slots__ = ("_counted", "_live", "_reports", "_sums", "_valid_until", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._reports: dict[str, ReceivedTotals] = {}
        self._counted: dict[str, Totals] = {}
        self._live: frozenset[str] = frozenset()
        self._sums = UsageSums(ZERO_TOTALS, ZERO_TOTALS)
        self._valid_until = -inf

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
        counted = received.remaining(now, self._window_s)
        added = subtract_totals(counted, self._counted.get(host, ZERO_TOTALS))
        self._counted[host] = counted
        sums = self._sums
        live = add_totals(sums.live, added) if host in self._live else sums.live
        self._sums = UsageSums(add_totals(sums.known, added), live)
        self._valid_until = min(self._valid_until, self._next_change(now, received))

    def keep_earlier(self, host: str) -> None:
        """Let the last report of a host that has restarted count beside its next ones."""
        previous = self._reports.get(host)
        if previous is not None:
            self._reports[host] = ReceivedTotals(
                ZERO_TOTALS, previous.received_at, earlier=previous
            )
            self._valid_until = -inf

    def sums(self, now: float, live: frozenset[str]) -> UsageSums:
        """Return the sums of the reports that can still be in a window.

        Parameters
        ----------
        now : float
            Time in seconds.
        live : frozenset of str
            Live hosts.
        """
        if now >= self._valid_until or live is not self._live:
            self._live = live
            self._sum_up(now)
        return self._sums

    def _sum_up(self, now: float) -> None:
        """Build the sums anew, without the reports that have left the longest window."""
        self._reports = {
            host: received
            for host, received in self._reports.items()
            if now - received.received_at < self._window_s
        }
        self._counted = {
            host: self._count(now, received) for host, received in self._reports.items()
        }
        known, live = ZERO_TOTALS, ZERO_TOTALS
        for host, counted in self._counted.items():
            known = add_totals(known, counted)
            if host in self._live:
                live = add_totals(live, counted)
        self._sums = UsageSums(known, live)
        changes = (self._next_change(now, received) for received in self._reports.values())
        self._valid_until = min(changes, default=inf)

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
