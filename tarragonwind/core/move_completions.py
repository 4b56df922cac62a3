"""Decide when the old version of a move may end: nothing must run on it, and nothing begin on it.

The invariant: "done" is recorded only while each host that may send requests has reported, at the
last step, that none of its requests holds a permit for another version than the new one, and has
gone on reporting so for `SETTLE_S`; the pool's owner has granted no such permit all the while. A
host that has vanished without such a report is waited for until its requests must have ended.
"""

from __future__ import annotations

from collections.abc import Collection

from tarragonwind.core.move_messages import UNKNOWN_COUNT, MoveReport
from tarragonwind.core.move_steps import COMPLETE_STEP
from tarragonwind.records import dataclass

SETTLE_S = 1.0
"""Time for which no request must have held a permit for the old version, in seconds: longer than a
grant takes to its host and the host's report to the judge, with the difference of two clocks."""
MAX_GAP_S = 1.5
"""Time without an observation after which hosts that vanished may have been missed, in seconds."""
LATE_START_S = 3.0
"""Time after the start of a move from which on a judge that begins may have missed hosts that have
vanished before, in seconds."""


@dataclass(slots=True)
class HostUse:
    """Hold what a host has reported last about its use of other versions than the new one.

    Attributes
    ----------
    heard_at : float
        Time of the report, or at which the host was last among the running ones, in seconds since
        the epoch.
    others : int
        Requests that held a permit for another version, `UNKNOWN_COUNT` if it doesn't tell.
    is_last_step : bool
        Whether the last step was in force there.
    unused_since : float or None
        Time of the first of the latest reports without such a request at the last step, in seconds
        since the epoch; None if the latest report was no such one.
    longest_s : float
        Longest time of a request of the old version that ended well lately, in seconds.
    """

    heard_at: float
    others: int = UNKNOWN_COUNT
    is_last_step: bool = False
    unused_since: float | None = None
    longest_s: float = 0.0


class OldVersionUse:
    """Follow which hosts may still use another version than the new one of a move.

    Parameters
    ----------
    now : float
        Time from which on hosts are followed, in seconds since the epoch.
    starts_at : float
        Start of the move, in seconds since the epoch.
    """

    __slots__ = ("_granted_until", "_hosts", "_observed_at", "_since", "_starts_at")

    def __init__(self, now: float, starts_at: float) -> None:
        self._since = now
        self._observed_at = now
        self._starts_at = starts_at
        self._hosts: dict[str, HostUse] = {}
        self._granted_until = now

    def on_report(self, host: str, report: MoveReport) -> None:
        """Take over a host's report, which is newer than all before."""
        use = self._hosts.setdefault(host, HostUse(report.sent_at))
        use.heard_at = report.sent_at
        use.others = report.others
        use.longest_s = report.longest_ms / 1_000
        use.is_last_step = report.step >= COMPLETE_STEP
        if not use.is_last_step or report.others != 0:
            use.unused_since = None
        elif use.unused_since is None:
            use.unused_since = report.sent_at

    def longest_s(self) -> float:
        """Return the time that requests of the old version may take to end, in seconds."""
        return max((use.longest_s for use in self._hosts.values()), default=0.0)

    def observe(
        self, now: float, running: Collection[str], granted_others: int, isolated: bool = False
    ) -> None:
        """Note the running hosts, and the permits for other versions at the pool's owner here.

        A host that was paused, or cut off from most others, may have missed hosts that vanished.
        """
        if isolated or not 0.0 <= now - self._observed_at <= MAX_GAP_S:
            self._since = now
        self._observed_at = now
        for host in running:
            use = self._hosts.setdefault(host, HostUse(now))
            use.heard_at = max(use.heard_at, now)
        if granted_others:
            self._granted_until = now

    def obstacle(
        self, now: float, running: Collection[str], step_since: float, time_limit_s: float
    ) -> str:
        """Return why the old version may still be in use, empty if it isn't.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        running : collection of str
            Hosts that may send requests.
        step_since : float
            Time from which the last step is in force, in seconds since the epoch.
        time_limit_s : float
            Longest time that a request may take, in seconds.
        """
        if now - self._granted_until < SETTLE_S:
            return "requests of the old version hold permits"
        if self._since > self._starts_at + LATE_START_S and now - self._since < time_limit_s:
            return "hosts that have vanished may have requests on the old version"
        for host, use in self._hosts.items():
            if host in running:
                blocking = self._blocks_running(now, use, step_since, time_limit_s)
            else:
                blocking = use.unused_since is None and now - use.heard_at < time_limit_s
            if blocking:
                return f"requests on the old version: {self._describe(host, use)}"
        return ""

    @staticmethod
    def _blocks_running(now: float, use: HostUse, step_since: float, time_limit_s: float) -> bool:
        """Return whether a running host may have requests on another version."""
        if use.is_last_step and use.others == UNKNOWN_COUNT:
            return now - step_since < time_limit_s
        return use.unused_since is None or now - use.unused_since < SETTLE_S

    @staticmethod
    def _describe(host: str, use: HostUse) -> str:
        count = "an unknown number" if use.others == UNKNOWN_COUNT else str(use.others)
        return f"{count} at {host}"
