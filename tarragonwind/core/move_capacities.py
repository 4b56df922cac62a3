"""Decide whether the new version of a move can carry the requests that its next step gives it.

The invariant: a step is neither taken nor held out, and "done" not recorded, while the new version
has no live upstream, has far fewer slots than its requests need, or no longer answers on a route
in use. Whether its answers are good is not decided here but by the comparison of the versions.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from tarragonwind.core.evidence import Cell, CellKey, Side
from tarragonwind.core.move_steps import LAST_CONTROLLED_STEP, STEPS
from tarragonwind.records import dataclass

MAX_NEED_RATIO = 2.0
"""Largest ratio of requests, with those that wait, to the slots of the new version, unless it has
as many slots as the others: some waiting is usual, refusals follow from more."""
MIN_RECENT_S = 3.0
"""Shortest time for which a route counts as in use after a request has ended, in seconds."""
MAX_UNANSWERED = 5
"""Requests of a route that may end one after another without an answer of the new version while it
gets nearly all of them."""


@dataclass(frozen=True, slots=True)
class VersionCapacity:
    """Hold what a pool's owner knows of the capacity of a move's new version.

    Attributes
    ----------
    new_slots, other_slots : int
        Slots of the live upstreams of the new version, and of all others.
    needed : int
        Requests of the pool that run or wait.
    """

    new_slots: int
    other_slots: int
    needed: int


@dataclass(slots=True)
class RouteAnswers:
    """Hold what ended on one route.

    Attributes
    ----------
    ended : int
        Requests that have ended or are overdue.
    ended_at : float
        Time at which `ended` rose, in seconds since the epoch.
    answers : int
        Answers of the new version that have begun or ended, whatever their status.
    unanswered : int
        Requests that ended since the new version has answered one.
    """

    ended: int = 0
    ended_at: float = float("-inf")
    answers: int = 0
    unanswered: int = 0

    def update(self, now: float, ended: int, answers: int) -> None:
        """Apply new counts."""
        if ended > self.ended:
            self.unanswered += ended - self.ended
            self.ended, self.ended_at = ended, now
        if answers > self.answers:
            self.answers = answers
            self.unanswered = 0


class CapacityWatch:
    """Follow whether the new version of a move can carry its requests.

    Parameters
    ----------
    now : float
        Seconds since the epoch.

    Attributes
    ----------
    steady_since : float
        Time since which it can, in seconds since the epoch.
    obstacle : str
        Why it can't, empty if it can.
    """

    __slots__ = ("_routes", "obstacle", "steady_since")

    def __init__(self, now: float) -> None:
        self.steady_since = now
        self.obstacle = ""
        self._routes: dict[str, RouteAnswers] = {}

    def observe(
        self,
        now: float,
        step: int,
        capacity: VersionCapacity | None,
        totals: Mapping[CellKey, Cell],
        report_period_s: float,
    ) -> None:
        """Evaluate what is known now.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        step : int
            Step that is in force.
        capacity : VersionCapacity or None
            Capacity of the new version, None if it isn't known.
        totals : mapping of CellKey to Cell
            Merged evidence.
        report_period_s : float
            Time between two reports of a host, in seconds.
        """
        self._count(now, totals, may_be_unanswered=step >= LAST_CONTROLLED_STEP)
        recent_s = max(MIN_RECENT_S, 3.0 * report_period_s)
        obstacle = describe_shortage(step, capacity) or self._unanswered_route(now, recent_s)
        if obstacle:
            self.steady_since = now
        self.obstacle = obstacle

    def _count(self, now: float, totals: Mapping[CellKey, Cell], may_be_unanswered: bool) -> None:
        ended: Counter[str] = Counter()
        answers: Counter[str] = Counter()
        for key, cell in totals.items():
            ended[key.route] += cell.answer_trials
            if key.side is Side.NEW:
                answers[key.route] += cell.finished + cell.first_byte_trials
        for route, count in ended.items():
            known = self._routes.setdefault(route, RouteAnswers())
            known.update(now, count, answers[route])
            if not may_be_unanswered:
                known.unanswered = 0

    def _unanswered_route(self, now: float, recent_s: float) -> str:
        """Return which route in use has no recent answer of the new version, empty if none."""
        for route, known in self._routes.items():
            if known.unanswered > MAX_UNANSWERED and now - known.ended_at <= recent_s:
                return f"no recent answer of the new version on route {route}"
        return ""


def describe_shortage(step: int, capacity: VersionCapacity | None) -> str:
    """Return why the new version can't carry its share after a step, empty if it can."""
    if capacity is None:
        return ""
    if not capacity.new_slots:
        return "the new version has no live upstream"
    share = STEPS[min(step + 1, len(STEPS) - 1)].share
    needed = share * capacity.needed
    enough = min(capacity.other_slots, needed / MAX_NEED_RATIO)
    if capacity.new_slots < enough:
        return (
            f"the new version has {capacity.new_slots} live slots for {needed:.0f} of "
            f"{capacity.needed} requests"
        )
    return ""
