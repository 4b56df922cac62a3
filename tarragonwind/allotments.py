"""Exchange the usage reports of allotments between hosts."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.core.allotments import (
    AllotmentLedger,
    AllotmentSettings,
    UsageReport,
    UsageTotals,
    full_fleet_share,
)
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.ports import Members, Peers, Timers

REPORT_PERIOD_S = 0.2
"""Report interval, in seconds. What one burst admits within it stays within the slack."""


class AllotmentRunner:
    """Connect an allotment ledger to the peers, the membership and the timers of a host.

    Parameters
    ----------
    members : Members
        Live hosts.
    peers : Peers
        Transport for messages between hosts.
    timers : Timers
        Clock and timers.
    settings : AllotmentSettings
        Windows and tolerances.
    fleet_share : callable
        Returns the reachable fraction of the fleet at a time, above 0 and at most 1.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        timers: Timers,
        settings: AllotmentSettings,
        fleet_share: Callable[[float], float] = full_fleet_share,
    ) -> None:
        self._members = members
        self._peers = peers
        self._timers = timers
        self.ledger = AllotmentLedger(
            members.name, settings, timers.now(), members.owner_of, fleet_share
        )
        members.subscribe(self._on_members)
        peers.subscribe(UsageReport, self._on_report)
        peers.subscribe(UsageTotals, self._on_totals)
        timers.call_every(REPORT_PERIOD_S, self._report)

    def take(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Count the tokens of a request against its organisation's allotment, or refuse it."""
        self.ledger.take(now, organisation, tokens)

    def refund(self, organisation: OrganisationEntry, tokens: int, taken_at: float) -> None:
        """Refund the tokens of a request that was not dispatched, as of the time of its `take`."""
        self.ledger.refund(organisation, tokens, taken_at)

    def _on_members(self) -> None:
        self.ledger.set_live(self._timers.now(), self._members.live())

    def _report(self) -> None:
        now = self._timers.now()
        for host, msg in self.ledger.reports(now).items():
            self._peers.send(host, msg)

    def _on_report(self, sender: str, msg: UsageReport) -> None:
        totals = self.ledger.on_report(self._timers.now(), sender, msg)
        if totals.rows:
            self._peers.send(sender, totals)

    def _on_totals(self, sender: str, msg: UsageTotals) -> None:
        self.ledger.on_totals(self._timers.now(), msg)
