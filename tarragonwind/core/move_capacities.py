"""Decide whether the new version of a move can carry the requests that its next step gives it.

The invariant: a step is neither taken nor held out, and "done" not recorded, while the new version
has no live upstream, has far fewer slots than its requests need, or has not answered lately on a
route that is in use.
"""

from __future__ import annotations

from collections.abc import Mapping

from tarragonwind.core.evidence import Cell, CellKey, Side
from tarragonwind.core.move_steps import LAST_CONTROLLED_STEP, STEPS
from tarragonwind.records import dataclass

MAX_NEED_RATIO = 2.0
"""Largest ratio of requests, with those that wait, to the slots of the new version, unless it has
as many slots as the others: some waiting is usual, refusals follow from more."""
MIN_FRESH_S = 3.0
"""Shortest time for which an answer of the new version counts as recent, in seconds."""


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
    """Hold the counts of one route, and when they rose, in seconds since the epoch."""

    outcomes: int = 0
    outcome_at: float = float("-inf")
    answers: int = 0
    answered_at: float = float("-inf")


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
        self._count(now, totals)
        fresh_s = max(MIN_FRESH_S, 3.0 * report_period_s)
        obstacle = describe_shortage(step, capacity)
        if not obstacle and step >= LAST_CONTROLLED_STEP:
            obstacle = self._unanswered_route(now, fresh_s)
        if obstacle:
            self.steady_since = now
        self.obstacle = obstacle

    def _count(self, now: float, totals: Mapping[CellKey, Cell]) -> None:
        outcomes: dict[str, int] = {}
        answers: dict[str, int] = {}
        for key, cell in totals.items():
            ended = cell.answer_trials + cell.first_byte_trials
            outcomes[key.route] = outcomes.get(key.route, 0) + ended
            if key.side is Side.NEW:
                good = cell.finished - cell.failed + cell.first_byte_trials
                answers[key.route] = answers.get(key.route, 0) + good
        for route, count in outcomes.items():
            known = self._routes.setdefault(route, RouteAnswers())
            if count > known.outcomes:
                known.outcomes, known.outcome_at = count, now
            if answers.get(route, 0) > known.answers:
                known.answers, known.answered_at = answers[route], now

    def _unanswered_route(self, now: float, fresh_s: float) -> str:
        """Return which route in use has no recent answer of the new version, empty if none."""
        for route, known in self._routes.items():
            in_use = now - known.outcome_at <= fresh_s
            if in_use and known.outcome_at - known.answered_at > fresh_s:
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
