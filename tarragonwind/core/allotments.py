"""Enforce the token allotments of organisations over the sum of all hosts.

Each host counts the tokens that it admits in sliding windows of several lengths, which together
limit rate and burst. For each organisation, one live host, selected by rendezvous hashing, is the
aggregator: it sums up the counts of all hosts and returns to each host the sum of the others.
Reports contain complete windows rather than increments, so a lost report or a change of the
aggregator needs no recovery. During a network partition each side enforces its share of the fleet;
the shares add up to the whole allotment, whichever hosts are live.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf

from tarragonwind.core.aggregator_changes import AGGREGATOR_SETTLE_S, AggregatorChanges
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.core.reported_usage import REPORT_LATE_S, ReportedUsage
from tarragonwind.core.usage_windows import (
    WINDOW_FRACTIONS,
    ZERO_TOTALS,
    ReceivedTotals,
    Totals,
    UsageWindow,
    add_totals,
    max_totals,
)
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.messages import Message, message
from tarragonwind.records import dataclass

REPORT_THRESHOLD = 0.25
"""Fraction of an equal share of the allotment below which a host does not report."""
TOTALS_FRESH_S = 0.3
"""Age of the aggregator's totals up to which a host may use all that is left. Beyond it, all hosts
may be without totals, and each may use its part."""
STARTUP_BURST_FRACTION = 0.25
"""Minimum fraction of the burst admitted from the start on, while earlier usage is unknown."""
STARTUP_SLACK_FRACTION = 0.8
"""Fraction of the slack admitted then, as the overage covers what the hosts admit at once."""
TOLERANCE_FRACTION = 0.15
"""Fraction of the tolerance that is admitted, so that a delayed count does not cause refusals below
the limit. The rest covers what other hosts admit until they receive the count."""
MIN_RETRY_AFTER_S = 0.2
"""Minimum retry-after time of a refusal."""


@dataclass(frozen=True, slots=True)
class AllotmentSettings:
    """Configure the enforcement of allotments.

    Attributes
    ----------
    window_s : float
        Length of the longest sliding window, in seconds.
    overage : float
        Tolerated excess as a fraction of the allotment.
    slack_tokens : float
        Additional tolerated tokens per window.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack_tokens: float = 0.0


@message(70)
@dataclass(slots=True)
class UsageReport(Message):
    """Report the tokens that a host has admitted in each window to the aggregator.

    Attributes
    ----------
    rows : list of list
        Organisation and tokens in each window, the longest first.
    started_at : float
        Start time on the sender's clock, which tells its counts from those before a restart.
    """

    rows: list[list]
    started_at: float = 0.0


@message(71)
@dataclass(slots=True)
class UsageTotals(Message):
    """Return the tokens that the other hosts have admitted in each window.

    Attributes
    ----------
    rows : list of list
        Organisation, time for which the sender has aggregated its counts in seconds, and tokens in
        each window, the longest first.
    fleet_share : float
        Reachable fraction of the fleet that the sender allows for, above 0 and at most 1.
    """

    rows: list[list]
    fleet_share: float = 1.0


def full_fleet_share(now: float) -> float:
    """Return 1.0: the reachable hosts are the whole fleet."""
    return 1.0


class AllotmentLedger:
    """Admit tokens on one host and aggregate the counts of organisations assigned to this host.

    Parameters
    ----------
    name : str
        Name of this host.
    settings : AllotmentSettings
        Windows and tolerances.
    now : float
        Start time, in seconds.
    owner_of : callable
        Returns the live host that aggregates an organisation's counts.
    fleet_share : callable
        Returns the reachable fraction of the fleet at a time, above 0 and at most 1.
    """

    __slots__ = (
        "_changes",
        "_fleet_share",
        "_limits",
        "_live",
        "_name",
        "_other_totals",
        "_owner_of",
        "_reported",
        "_reports",
        "_settings",
        "_started_at",
        "_starts",
        "_window_s",
        "_windows",
    )

    def __init__(
        self,
        name: str,
        settings: AllotmentSettings,
        now: float,
        owner_of: Callable[[str], str],
        fleet_share: Callable[[float], float] = full_fleet_share,
    ) -> None:
        self._name = name
        self._settings = settings
        self._window_s = settings.window_s
        self._started_at = now
        self._owner_of = owner_of
        self._changes = AggregatorChanges(name, now, owner_of)
        self._fleet_share = fleet_share
        self._windows: dict[str, UsageWindow] = {}
        self._limits: dict[str, tuple[float, ...]] = {}
        self._other_totals: dict[str, ReceivedTotals] = {}
        self._reports: dict[str, ReportedUsage] = {}
        self._reported: set[str] = set()
        self._live: frozenset[str] = frozenset([name])
        self._starts: dict[str, float] = {}

    def set_live(self, now: float, live: Iterable[str]) -> None:
        """Set the live hosts."""
        previous = self._live
        self._live = frozenset(live) or frozenset([self._name])
        if self._live == previous:
            return
        self._changes.on_live_changed(now, previous - self._live, self._live - previous)

    def take(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Count the tokens of a request against its organisation's allotment.

        Raises
        ------
        RequestError
            Of kind ``over_allotment`` if the allotment is used up.
        """
        if not organisation.tokens_per_s:
            return
        name = organisation.name
        whole_limits = self._window_limits(now, organisation)
        self._limits[name] = whole_limits
        share = self._admitted_share(now, name)
        limits = tuple(share * limit for limit in whole_limits)
        window = self._window(name)
        own = window.totals(now)
        used = self._used(now, name, own, limits)
        excess = max(count + tokens - limit for count, limit in zip(used, limits, strict=True))
        if excess > 0 and (any(used) or not self._may_exceed(share, tokens, whole_limits)):
            wait_s = max(MIN_RETRY_AFTER_S, excess / organisation.tokens_per_s)
            raise RequestError(
                ErrorKind.OVER_ALLOTMENT,
                f"the request's {tokens} tokens exceed the allotment: own {own[0]}, "
                f"used {used[0]:.0f}, limit {limits[0]:.0f}",
                wait_s,
            )
        window.add(now, tokens)

    def _may_exceed(self, share: float, tokens: int, whole_limits: tuple[float, ...]) -> bool:
        """Return whether a request beyond the limit may be admitted where nothing was used.

        It would never be admitted otherwise. Of hosts that are apart from each other, those that
        reach no majority of the fleet may not each admit one.
        """
        return share > 0.5 and any(tokens > limit for limit in whole_limits)

    def refund(self, organisation: OrganisationEntry, tokens: int, taken_at: float) -> None:
        """Refund the tokens of a request that was not dispatched, as of the time of its `take`."""
        window = self._windows.get(organisation.name)
        if window is not None:
            window.refund(taken_at, tokens)

    def reports(self, now: float) -> dict[str, UsageReport]:
        """Return the reports to send now, by receiving host."""
        rows: dict[str, list[list]] = {}
        for name in list(self._windows):
            totals = self._windows[name].totals(now)
            if not any(totals):
                del self._windows[name]
            aggregator = self._owner_of(name)
            if aggregator != self._name and self._needs_report(now, name, totals):
                rows.setdefault(aggregator, []).append([name, *totals])
        return {host: UsageReport(host_rows, self._started_at) for host, host_rows in rows.items()}

    def on_report(self, now: float, host: str, msg: UsageReport) -> UsageTotals:
        """Store a host's counts and return the totals of the other hosts.

        Organisations that another host aggregates are left out.
        """
        if self._starts.setdefault(host, msg.started_at) != msg.started_at:
            self._starts[host] = msg.started_at
            self._keep_earlier_reports(now, host)
        rows: list[list] = []
        for name, *totals in msg.rows:
            reports = self._reports_of(name)
            earlier = self._earlier_report(now, reports.find(host))
            received = ReceivedTotals(tuple(totals), now, earlier=earlier)
            reports.put(now, host, received)
            usage = self._fleet_usage(now, name)
            received.part_left = self._part_left(now, name, usage)
            if self._changes.aggregates(name):
                counted_s = self._changes.counted_s(now, name)
                others = (max(0, int(used) - own) for used, own in zip(usage, totals, strict=True))
                rows.append([name, counted_s, *others])
        return UsageTotals(rows, self._fleet_share(now))

    def _part_left(self, now: float, name: str, usage: tuple[float, ...]) -> int:
        """Return what a host may add to the longest window if it gets no further totals."""
        limits = self._limits.get(name)
        if limits is None:
            return 0
        return int(max(0.0, self._fleet_share(now) * limits[0] - usage[0]) / len(self._live))

    def _earlier_report(self, now: float, previous: ReceivedTotals | None) -> ReceivedTotals | None:
        earlier = previous.earlier if previous is not None else None
        if earlier is None or now - earlier.received_at >= self._window_s:
            return None
        return earlier

    def _keep_earlier_reports(self, now: float, host: str) -> None:
        """Let the last reports of a host that has restarted count beside its next ones."""
        for reports in self._reports.values():
            reports.keep_earlier(now, host)

    def _reports_of(self, name: str) -> ReportedUsage:
        reports = self._reports.get(name)
        if reports is None:
            reports = ReportedUsage(self._window_s)
            self._reports[name] = reports
        return reports

    def on_totals(self, now: float, msg: UsageTotals) -> None:
        """Store the totals of the other hosts."""
        for name, counted_s, *totals in msg.rows:
            own = self._windows[name].totals(now) if name in self._windows else ZERO_TOTALS
            self._other_totals[name] = ReceivedTotals(
                tuple(totals),
                now,
                own,
                fleet_share=msg.fleet_share,
                counted_s=counted_s,
            )

    def _needs_report(self, now: float, name: str, totals: Totals) -> bool:
        """Return whether to report totals: from the threshold on, until they are zero again."""
        if not any(totals):
            reported = name in self._reported
            self._reported.discard(name)
            return reported
        if name not in self._reported and self._exceeds_report_threshold(now, name, totals):
            self._reported.add(name)
        return name in self._reported

    def _exceeds_report_threshold(self, now: float, name: str, totals: Totals) -> bool:
        limits = self._limits.get(name)
        if limits is None:
            return True
        threshold = REPORT_THRESHOLD * self._fleet_share(now) / len(self._live)
        return any(count > threshold * limit for count, limit in zip(totals, limits, strict=True))

    def _used(
        self, now: float, name: str, own: Totals, limits: tuple[float, ...]
    ) -> tuple[float, ...]:
        """Return the usage to compare with an organisation's limits on this host."""
        if self._changes.is_settled(now, name):
            return self._fleet_usage(now, name)
        received = self._other_totals.get(name)
        if (
            received is not None
            and received.counted_s >= AGGREGATOR_SETTLE_S
            and now - received.received_at <= TOTALS_FRESH_S
        ):
            return add_totals(own, received.totals)
        if received is None and not self._exceeds_report_threshold(now, name, own):
            return own
        bound = self._bound_without_fresh_totals(now, received, limits[0])
        return (own[0] + limits[0] - bound, *own[1:])

    def _admitted_share(self, now: float, name: str) -> float:
        """Return the fraction of an organisation's limits that the reachable hosts may use.

        Totals are compared with the share of the fleet that they allow for.
        """
        share = self._fleet_share(now)
        received = self._other_totals.get(name)
        if received is None or now - received.received_at >= self._window_s:
            return share
        if self._changes.is_settled(now, name):
            return share
        return min(share, received.fleet_share)

    def _bound_without_fresh_totals(
        self, now: float, received: ReceivedTotals | None, limit: float
    ) -> float:
        """Return the tokens that this host may admit in the longest window without fresh totals.

        While the tokens of the last totals are in the window, the host adds an equal part of what
        they left. One window later, what hosts above their equal share admitted has left it too.
        The equal share of a shorter window can be less than one request.
        """
        equal_part = 1.0 / len(self._live)
        if received is None:
            return limit * equal_part
        own_then = received.own[0]
        bound = own_then + max(0.0, limit - received.totals[0] - own_then) * equal_part
        age_s = now - received.received_at
        if age_s >= 2.0 * self._window_s:
            return limit * equal_part
        if age_s >= self._window_s:
            return min(bound, limit * equal_part)
        return bound

    def _window_limits(self, now: float, organisation: OrganisationEntry) -> tuple[float, ...]:
        """Return the tokens that the whole fleet may admit in each window."""
        settings = self._settings
        counted_s = self._counted_s(now, organisation.name)
        if counted_s < self._window_s:
            return self._startup_limits(organisation, counted_s)
        is_new = now - self._started_at < self._window_s
        tolerance = 0.0 if is_new else TOLERANCE_FRACTION
        limits = []
        for fraction in WINDOW_FRACTIONS:
            limit = organisation.tokens_per_s * fraction * self._window_s + organisation.token_burst
            limit += tolerance * (limit * settings.overage + settings.slack_tokens)
            limits.append(limit)
        return tuple(limits)

    def _startup_limits(
        self, organisation: OrganisationEntry, counted_s: float
    ) -> tuple[float, ...]:
        """Return the limits while only the usage of the last `counted_s` seconds is known."""
        extra = max(
            STARTUP_BURST_FRACTION * organisation.token_burst,
            STARTUP_SLACK_FRACTION * self._settings.slack_tokens,
        )
        lengths = (min(fraction * self._window_s, counted_s) for fraction in WINDOW_FRACTIONS)
        return tuple(organisation.tokens_per_s * length_s + extra for length_s in lengths)

    def _counted_s(self, now: float, name: str) -> float:
        """Return for how long the usage of the fleet is known here, in seconds.

        The totals of an aggregator contain all that was used since it became one.
        """
        since = self._started_at
        received = self._other_totals.get(name)
        if received is None or received.counted_s < AGGREGATOR_SETTLE_S:
            return now - since
        if now - received.received_at <= TOTALS_FRESH_S:
            since = min(since, received.received_at - received.counted_s)
        return now - since

    def _fleet_usage(self, now: float, name: str) -> tuple[float, ...]:
        """Return the usage of the live hosts, and what lost hosts have used beyond their share.

        The share of the lost hosts is already subtracted from the limit.
        """
        own = self._windows[name].totals(now) if name in self._windows else ZERO_TOTALS
        sums = self._reports_of(name).sums(now, self._live)
        live, known = add_totals(own, sums.live), add_totals(own, sums.known)
        lost_share = 1.0 - self._fleet_share(now)
        limits = self._limits.get(name)
        if limits is None and lost_share > 0.0:
            return live
        known = max_totals(known, add_totals(own, self._previous_others(now, name, lost_share)))
        unreported = self._unreported(now, name)
        live, known = add_totals(live, unreported), add_totals(known, unreported)
        return tuple(
            max(count, known_count - lost_share * limit)
            for count, known_count, limit in zip(live, known, limits or ZERO_TOTALS, strict=True)
        )

    def _unreported(self, now: float, name: str) -> Totals:
        """Return what hosts that have not reported here yet may have used.

        Hosts that have returned may have used their share apart from the others. After a change of
        the aggregator, each host may have used its part of what the last totals left.
        """
        limits = self._limits.get(name)
        settled = self._changes.is_settled(now, name)
        returned = self._changes.returned_hosts(now)
        if limits is None or (settled and not returned):
            return ZERO_TOTALS
        share = limits[0] / len(self._live)
        part = 0.0 if settled else self._last_part(now, name, limits)
        reports = self._reports_of(name)
        tokens = 0.0
        for host in self._live:
            reported_at = reports.reported_at(host)
            if reported_at < returned.get(host, -inf):
                tokens += share
            elif host != self._name and now - reported_at > REPORT_LATE_S:
                tokens += part
        return (int(tokens), *ZERO_TOTALS[1:])

    def _last_part(self, now: float, name: str, limits: tuple[float, ...]) -> float:
        """Return what each host could add to the last totals from the previous aggregator."""
        received = self._other_totals.get(name)
        if received is None:
            return 0.0
        left = received.fleet_share * limits[0] - received.totals[0] - received.own[0]
        return max(0.0, left) * self._fleet_share(now) / len(self._live)

    def _previous_others(self, now: float, name: str, lost_share: float) -> Totals:
        """Return what can remain of the last totals from the previous aggregator.

        They contain hosts that have not reported here yet, and hosts that were lost with it.
        """
        received = self._other_totals.get(name)
        if received is None:
            return ZERO_TOTALS
        if lost_share <= 0.0 and self._changes.is_settled(now, name):
            return ZERO_TOTALS
        return received.remaining(now, self._window_s)

    def _window(self, name: str) -> UsageWindow:
        window = self._windows.get(name)
        if window is None:
            window = UsageWindow(self._window_s)
            self._windows[name] = window
        return window
