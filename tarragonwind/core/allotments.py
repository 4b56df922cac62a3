"""Keep organisations within their allotments of tokens, summed over all hosts.

Each host counts what it admits in a sliding window. One live host an organisation, found by
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
QUIET_PART = 0.25
"""Part of an equal share of the allotment below which a host reports nothing."""
STALE_S = 1.0
"""Age above which a count of other hosts is no longer used, in seconds."""
START_BURST = 0.5
"""Part of the burst that is admitted at once while nothing is known of before the start."""
TOLERANCE_PART = 0.4
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
        Organisation and tokens.
    """

    rows: list[list]


@message(71)
@dataclass(slots=True)
class UsageTotals(Message):
    """Tell a host what the others have admitted in the window.

    Attributes
    ----------
    rows : list of list
        Organisation and tokens.
    """

    rows: list[list]


class UsageWindow:
    """Sum tokens over a sliding window."""

    __slots__ = ("_buckets", "_window_s", "total")

    def __init__(self, window_s: float) -> None:
        self.total = 0
        self._window_s = window_s
        self._buckets: deque[list[float]] = deque()

    def add(self, now: float, tokens: int) -> None:
        """Count tokens; a negative number takes back."""
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append([now, 0.0])
        self._buckets[-1][1] += tokens
        self.total += tokens

    def forget(self, now: float) -> None:
        """Leave out what the window has passed."""
        while self._buckets and self._buckets[0][0] <= now - self._window_s - BUCKET_S:
            self.total -= int(self._buckets.popleft()[1])

    def room_after_s(self, now: float, tokens: float) -> float:
        """Return the time until an amount has left the window, in seconds."""
        for at, amount in self._buckets:
            tokens -= amount
            if tokens <= 0:
                return max(0.0, at + self._window_s - now)
        return self._window_s


@dataclass(slots=True)
class _Heard:
    """Hold a count and when it came."""

    tokens: int
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
        self._limits: dict[str, float] = {}
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
        limit = self._limit(now, organisation)
        self._limits[organisation.name] = limit
        window = self._window(now, organisation.name)
        excess = self._used(now, organisation.name, window, limit) + tokens - limit
        if excess > 0 and window.total + self._heard(now, organisation.name) > 0:
            wait_s = max(MIN_RETRY_AFTER_S, excess / organisation.tokens_per_s)
            raise RequestError(
                ErrorKind.OVER_ALLOTMENT,
                f"the request's {tokens} tokens exceed the allotment: own {window.total}, "
                f"others {self._heard(now, organisation.name)}, limit {limit:.0f}",
                wait_s,
            )
        window.add(now, tokens)

    def give_back(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Take back the tokens of a request that was not dispatched."""
        if organisation.tokens_per_s:
            self._window(now, organisation.name).add(now, -tokens)

    def reports(self, now: float) -> dict[str, UsageReport]:
        """Return the reports that are due, by the host that they go to."""
        rows: dict[str, list[list]] = {}
        for name in list(self._windows):
            window = self._window(now, name)
            if not window.total:
                del self._windows[name]
                continue
            quiet = QUIET_PART * self._limits.get(name, 0.0) / max(1, len(self._live))
            owner = self._owner_of(name)
            if owner != self._name and window.total > quiet:
                rows.setdefault(owner, []).append([name, window.total])
        return {host: UsageReport(part) for host, part in rows.items()}

    def on_report(self, now: float, host: str, msg: UsageReport) -> UsageTotals:
        """Add a host's counts up and return what the others have admitted."""
        rows: list[list] = []
        for name, tokens in msg.rows:
            counts = self._reports.setdefault(name, {})
            counts[host] = _Heard(int(tokens), now)
            others = self._sum_reports(now, name, host) + self._window(now, name).total
            rows.append([name, others])
        return UsageTotals(rows)

    def on_totals(self, now: float, msg: UsageTotals) -> None:
        """Take in what the others have admitted."""
        for name, tokens in msg.rows:
            self._others[name] = _Heard(int(tokens), now)

    def _used(self, now: float, name: str, window: UsageWindow, limit: float) -> float:
        """Return what counts against an organisation's limit on this host."""
        if self._owner_of(name) == self._name:
            return window.total + self._sum_reports(now, name, self._name)
        heard = self._others.get(name)
        if heard is not None and now - heard.at <= STALE_S:
            return window.total + heard.tokens
        # Nobody has added up lately: this host keeps to an equal share.
        share = limit / max(1, len(self._live))
        small = window.total <= QUIET_PART * share
        return window.total if small else window.total + limit - share

    def _heard(self, now: float, name: str) -> int:
        heard = self._others.get(name)
        return heard.tokens if heard is not None and now - heard.at <= STALE_S else 0

    def _limit(self, now: float, organisation: OrganisationEntry) -> float:
        """Return the tokens that this host's side of the fleet may admit in a window."""
        seen_s = min(self._window_s, now - self._started_at)
        burst = organisation.token_burst
        if seen_s < self._window_s:
            burst *= START_BURST
        whole = organisation.tokens_per_s * seen_s + burst
        whole += TOLERANCE_PART * (whole * self._settings.overage + self._settings.slack_tokens)
        return whole * self._part(now)

    def _sum_reports(self, now: float, name: str, without: str) -> int:
        counts = self._reports.get(name, {})
        for host in [host for host, heard in counts.items() if now - heard.at > STALE_S]:
            del counts[host]
        return sum(heard.tokens for host, heard in counts.items() if host != without)

    def _window(self, now: float, name: str) -> UsageWindow:
        window = self._windows.get(name)
        if window is None:
            window = UsageWindow(self._window_s)
            self._windows[name] = window
        window.forget(now)
        return window
