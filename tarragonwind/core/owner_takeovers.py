"""Decide when the owner of a pool knows enough of the permits in use to grant its own.

A host that becomes the owner learns from the reports of hosts what they hold, and so does an owner
when hosts are back from the other side of a partition. Grants beside permits that it doesn't know
exceed the room of the upstreams.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from tarragonwind.core.host_trackers import HostTracker
from tarragonwind.core.owner_settings import Send
from tarragonwind.core.permit_messages import PermitQuery
from tarragonwind.core.upstream_conditions import UpstreamConditions

FIRST_REPORT_S = 0.5
"""Time for which a new owner waits for the report of any other host, in seconds. It tells whether
the pool is brittle, which a process that has just started doesn't know."""
FIRST_QUERIES = 8
"""Number of other hosts that a new owner asks for their reports at once."""
ALL_REPORTS_S = 5.0
"""Time for which the owner of a brittle pool waits for the reports of all hosts after the last of
them has come, in seconds; the permits of lost hosts are freed after the same time."""
PARTITION_SHARE = 0.75
"""Share of the fleet below which the other hosts are taken for another side of a partition."""
QUERY_PERIOD_S = 0.3
"""Interval at which it asks the hosts that have not reported, in seconds."""


class OwnerTakeover:
    """Hold back the grants of an owner until hosts have reported.

    Parameters
    ----------
    pool : str
        Name of the pool.
    send : callable
        Sends a message to a host.
    hosts : HostTracker
        Hosts that have reported in this epoch.
    conditions : UpstreamConditions
        Which pools are brittle or short of memory.
    is_local : bool
        Whether this owner grants a local share. It doesn't grant in a brittle pool, since the
        owner may have granted all of its room to others.
    """

    __slots__ = (
        "_began_at",
        "_brittle",
        "_changed_at",
        "_conditions",
        "_hosts",
        "_is_complete",
        "_is_local",
        "_pool",
        "_queried_at",
        "_running",
        "_send",
    )

    def __init__(
        self,
        pool: str,
        send: Send,
        hosts: HostTracker,
        conditions: UpstreamConditions,
        is_local: bool,
    ) -> None:
        self._pool = pool
        self._send = send
        self._hosts = hosts
        self._brittle = conditions.brittle
        self._conditions = conditions
        self._is_local = is_local
        self._is_complete = False
        self._running: frozenset[str] = frozenset()
        self._began_at = -math.inf
        self._changed_at = -math.inf
        self._queried_at = -math.inf

    def set_running(self, now: float, running: Iterable[str]) -> bool:
        """Set the running hosts; return whether some have come, whose permits are not known."""
        hosts = frozenset(running)
        self._is_complete = False
        have_come = bool(hosts - self._running)
        if have_come:
            self._changed_at = now
            self._queried_at = -math.inf
        self._running = hosts
        return have_come

    def begin(self, now: float) -> None:
        """Begin to wait for reports."""
        self._began_at = self._changed_at = now
        self._is_complete = False
        self._queried_at = -math.inf

    def may_grant(self, now: float, share: float) -> bool:
        """Return whether enough is known to grant, with a share of the strict limits."""
        if now < self._brittle.until and self._brittle.is_brittle(now, self._pool):
            is_over = now - self._changed_at >= ALL_REPORTS_S
            return not self._is_local and (is_over or self.knows_all(now, share))
        is_settled = now - self._began_at >= FIRST_REPORT_S
        if self._is_local or is_settled or len(self._running) < 2:
            return True
        return len(self._missing()) < len(self._running) - 1

    def knows_all(self, now: float, share: float) -> bool:
        """Return whether the permits of all hosts are known, with a share of the strict limits.

        A new owner with a low share may be on one side of a partition. What the other side holds
        beyond its share ends or is counted by its own owner within some seconds.
        """
        if self._is_local:
            return True
        if share < PARTITION_SHARE and now - self._began_at < ALL_REPORTS_S:
            return False
        if not self._is_complete:
            self._is_complete = not self._missing()
        return self._is_complete

    def known_fraction(self, now: float) -> float:
        """Return the part of strict limits that the hosts which have reported may use, 0 to 1.

        Below 1 only where hosts are still silent after `ALL_REPORTS_S`: they follow another owner.
        """
        if self._is_local or now - self._changed_at < ALL_REPORTS_S or not self._running:
            return 1.0
        if not self._conditions.needs_all_reports(now, self._pool):
            return 1.0
        return 1.0 - len(self._missing()) / len(self._running)

    def tick(self, now: float) -> None:
        """Ask some hosts for their reports, or all that have sent none if that may matter."""
        if self._is_local or now - self._changed_at >= ALL_REPORTS_S:
            return
        asks_all = self._conditions.needs_all_reports(now, self._pool)
        if self._queried_at > -math.inf and not asks_all:
            return
        if now - self._queried_at < QUERY_PERIOD_S:
            return
        self._queried_at = now
        missing = sorted(self._missing())
        for host in missing if asks_all else missing[:FIRST_QUERIES]:
            self._send(host, PermitQuery(self._pool))

    def _missing(self) -> set[str]:
        return {host for host in self._running if not self._hosts.has_reported(host)}
