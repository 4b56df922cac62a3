"""Keep organisations within their allotments of tokens, summed over all hosts.

Each host counts what it admits in sliding windows of several lengths, which together bound rate and
burst. One live host an organisation, found by
rendezvous hashing, adds the counts up and tells each host what the others have admitted. Reports
state whole windows, so that a lost one or a new adder needs no repair. Hosts that lose one another
keep to their side's part of the fleet: the parts add up to the whole, whichever hosts live.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.messages import Message, message

BUCKET_S = 0.1
"""Width of a window's buckets, in seconds."""
WINDOW_PARTS = (1.0, 0.5, 0.25, 0.125)
"""Lengths of the windows, as parts of the longest: the short ones keep a whole window's tokens from
being taken at once."""
QUIET_PART = 0.25
"""Part of an equal share of the allotment below which a host reports nothing."""
STALE_S = 1.0
"""Age above which what the adder has told is no longer used, in seconds."""
REPORT_STALE_S = 2.5
"""Age above which a host's report is no longer added up, in seconds: longer than it takes to notice
that a host is lost, as its part is taken off the limit from then on."""
START_BURST = 0.5
"""Part of the burst that is admitted at once while nothing is known of before the start."""
TOLERANCE_PART = 0.25
"""Part of the tolerance that is admitted, so that nobody below its limit is refused for a late
count; the rest is for what other hosts admit until they hear of it."""
MIN_RETRY_AFTER_S = 0.2
"""Shortest time to come back that is given, in seconds."""


@dataclass(frozen=True, slots=True)
class AllotmentSettings:
    """Set how allotments are counted.

    Attributes
    ----------
    window_s : float
        Time over which tokens are counted, in seconds.
    overage : float
        Part beyond an allotment that is tolerated.
    slack_tokens : float
        Tokens in each window that are tolerated beyond that.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack_tokens: float = 0.0


@message(70)
@dataclass(slots=True)
class UsageReport(Message):
    """State what a host has admitted in the window.

    Attributes
    ----------
    rows : list of list
        Organisation and tokens in each window, the longest first.
    """

    rows: list[list]


@message(71)
@dataclass(slots=True)
class UsageTotals(Message):
    """Tell a host what the others have admitted in the window.

    Attributes
    ----------
    rows : list of list
        Organisation and tokens in each window, the longest first.
    """

    rows: list[list]


Totals = tuple[int, ...]
"""Tokens in each window, the longest first."""
NO_FINDING: Totals = (0,) * len(WINDOW_PARTS)


def add_totals(left: Totals, right: Totals) -> Totals:
    """Return the sums window by window."""
    return tuple(one + other for one, other in zip(left, right, strict=True))


class UsageWindow:
    """Sum tokens over sliding windows."""

    __slots__ = ("_buckets", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: deque[list[float]] = deque()

    def add(self, now: float, tokens: int) -> None:
        """Count tokens; a negative number takes back."""
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append([now, 0.0])
        self._buckets[-1][1] += tokens

    def totals(self, now: float) -> Totals:
        """Return the tokens in each window, and forget what the longest has passed."""
        while self._buckets and self._buckets[0][0] <= now - self._window_s - BUCKET_S:
            self._buckets.popleft()
        return tuple(
            int(sum(amount for at, amount in self._buckets if at > now - part * self._window_s))
            for part in WINDOW_PARTS
        )


@dataclass(slots=True)
class _Heard:
    """Hold counts and when they came."""

    totals: Totals
    at: float


def whole_fleet(now: float) -> float:
    """Tell that this host's side is the whole fleet."""
    return 1.0


class AllotmentLedger:
    """Count and admit on one host, and add up for the organisations that this host is chosen for.

    Parameters
    ----------
    name : str
        Name of this host.
    settings : AllotmentSettings
        How tokens are counted.
    now : float
        Time of the start, in seconds.
    owner_of : callable
        Gives the live host that adds up for an organisation.
    part : callable
        Gives the part of the fleet that this host's side is.
    """

    __slots__ = (
        "_limits",
        "_live",
        "_name",
        "_others",
        "_owner_of",
        "_part",
        "_reports",
        "_settings",
        "_started_at",
        "_window_s",
        "_windows",
    )

    def __init__(
        self,
        name: str,
        settings: AllotmentSettings,
        now: float,
        owner_of: Callable[[str], str],
        part: Callable[[float], float] = whole_fleet,
    ) -> None:
        self._name = name
        self._settings = settings
        self._window_s = settings.window_s
        self._started_at = now
        self._owner_of = owner_of
        self._part = part
        self._windows: dict[str, UsageWindow] = {}
        self._limits: dict[str, tuple[float, ...]] = {}
        self._others: dict[str, _Heard] = {}
        self._reports: dict[str, dict[str, _Heard]] = {}
        self._live: tuple[str, ...] = (name,)

    def set_live(self, live: Iterable[str]) -> None:
        """Take in which hosts live."""
        self._live = tuple(live) or (self._name,)

    def take(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Count a request's tokens.

        Raises
        ------
        RequestError
            Of kind ``over_allotment`` when the organisation has used its allotment.
        """
        if not organisation.tokens_per_s:
            return
        name = organisation.name
        limits = self._window_limits(now, organisation)
        self._limits[name] = limits
        window = self._window(name)
        own = window.totals(now)
        used = self._used(now, name, own, limits)
        excess = max(have + tokens - limit for have, limit in zip(used, limits, strict=True))
        if excess > 0 and any(used):
            wait_s = max(MIN_RETRY_AFTER_S, excess / organisation.tokens_per_s)
            raise RequestError(
                ErrorKind.OVER_ALLOTMENT,
                f"the request's {tokens} tokens exceed the allotment: own {own[0]}, "
                f"used {used[0]:.0f}, limit {limits[0]:.0f}",
                wait_s,
            )
        window.add(now, tokens)

    def give_back(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Take back the tokens of a request that was not dispatched."""
        if organisation.tokens_per_s:
            self._window(organisation.name).add(now, -tokens)

    def reports(self, now: float) -> dict[str, UsageReport]:
        """Return the reports that are due, by the host that they go to."""
        rows: dict[str, list[list]] = {}
        for name in list(self._windows):
            totals = self._windows[name].totals(now)
            if not any(totals):
                del self._windows[name]
                continue
            owner = self._owner_of(name)
            if owner != self._name and self._is_worth_telling(name, totals):
                rows.setdefault(owner, []).append([name, *totals])
        return {host: UsageReport(part) for host, part in rows.items()}

    def on_report(self, now: float, host: str, msg: UsageReport) -> UsageTotals:
        """Add a host's counts up and return what the others have admitted."""
        rows: list[list] = []
        for name, *totals in msg.rows:
            counts = self._reports.setdefault(name, {})
            counts[host] = _Heard(tuple(totals), now)
            others = self._sum_reports(now, name, host)
            own = self._windows[name].totals(now) if name in self._windows else NO_FINDING
            rows.append([name, *add_totals(others, own)])
        return UsageTotals(rows)

    def on_totals(self, now: float, msg: UsageTotals) -> None:
        """Take in what the others have admitted."""
        for name, *totals in msg.rows:
            self._others[name] = _Heard(tuple(totals), now)

    def _is_worth_telling(self, name: str, totals: Totals) -> bool:
        limits = self._limits.get(name)
        if limits is None:
            return True
        part = QUIET_PART / max(1, len(self._live))
        return any(have > part * limit for have, limit in zip(totals, limits, strict=True))

    def _used(
        self, now: float, name: str, own: Totals, limits: tuple[float, ...]
    ) -> tuple[float, ...]:
        """Return what counts against an organisation's limits on this host."""
        if self._owner_of(name) == self._name:
            return add_totals(own, self._sum_reports(now, name, self._name))
        heard = self._others.get(name)
        if heard is not None and now - heard.at <= STALE_S:
            return add_totals(own, heard.totals)
        if not self._is_worth_telling(name, own):
            return own
        # Nobody has added up lately: this host keeps to an equal share.
        others = 1.0 - 1.0 / max(1, len(self._live))
        return tuple(have + others * limit for have, limit in zip(own, limits, strict=True))

    def _window_limits(self, now: float, organisation: OrganisationEntry) -> tuple[float, ...]:
        """Return the tokens that this host's side of the fleet may admit in each window."""
        age_s = now - self._started_at
        burst = organisation.token_burst
        if age_s < self._window_s:
            burst *= START_BURST
        settings = self._settings
        limits = []
        for part in WINDOW_PARTS:
            whole = organisation.tokens_per_s * min(part * self._window_s, age_s) + burst
            whole += TOLERANCE_PART * (whole * settings.overage + settings.slack_tokens)
            limits.append(whole * self._part(now))
        return tuple(limits)

    def _sum_reports(self, now: float, name: str, without: str) -> Totals:
        counts = self._reports.get(name, {})
        for host in [host for host, heard in counts.items() if now - heard.at > REPORT_STALE_S]:
            del counts[host]
        total = NO_FINDING
        for host, heard in counts.items():
            if host != without:
                total = add_totals(total, heard.totals)
        return total

    def _window(self, name: str) -> UsageWindow:
        window = self._windows.get(name)
        if window is None:
            window = UsageWindow(self._window_s)
            self._windows[name] = window
        return window
