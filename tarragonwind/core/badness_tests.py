"""Look for badness of a new version in every route, load level, signal and window of time."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonwind.core.evidence import Cell, CellKey, Cells, LoadLevel, Side, Signal, Tally
from tarragonwind.core.move_steps import COMPLETE_STEP, CONTROLLED_STEP
from tarragonwind.core.sequential_tests import (
    Pair,
    bad_log_evidence,
    log_threshold,
    restart_alpha,
)

BAD_ALPHA = 0.002
"""Probability that a version like the old one is ever taken back."""

BAD_MARGINS = {Signal.FAILED: 0.005, Signal.FIRST_BYTE: 0.05, Signal.PER_TOKEN: 0.05}
"""Excess rates beside the old version at the same time that are put up with."""

PAST_MARGINS = {Signal.FAILED: 0.03, Signal.FIRST_BYTE: 0.10, Signal.PER_TOKEN: 0.10}
"""Excess rates over the old version's past that are put up with."""

OTHER_LEVEL_MARGIN = 0.05
"""Excess failure rate under high load over the old version at any load that is put up with."""

SUSPICION_GAP = 4.0
"""Distance of the log evidence to its threshold from which a version is under suspicion."""

MIN_ROUTES = 4
"""Least number of routes that the error rate is divided by."""

ALL_ROUTES = "*"


@dataclass(frozen=True, slots=True)
class Finding:
    """Hold the strongest sign of badness.

    Attributes
    ----------
    excess : float
        Log evidence minus its threshold; bad from 0 on.
    why : str
        What was compared and seen.
    """

    excess: float
    why: str


NOTHING = Finding(float("-inf"), "")


def _excess(finding: Finding) -> float:
    return finding.excess


@dataclass(frozen=True, slots=True)
class Stratum:
    """Name outcomes of both versions that are comparable."""

    step: int
    route: str
    level: LoadLevel


@dataclass(slots=True)
class Sides:
    """Hold the outcomes of both versions in one stratum."""

    new: Cell
    old: Cell

    def pair(self, signal: Signal) -> Pair:
        """Return the tallies of one signal."""
        return Pair(self.new.tally(signal), self.old.tally(signal))


def find_in_cells(cells: Cells, alpha: float, margins: dict[Signal, float]) -> Finding:
    """Return the strongest sign in cells, where all comparisons together may spend `alpha`."""
    strata = _group(cells)
    routes = sorted({stratum.route for stratum in strata})
    threshold = log_threshold(alpha / _comparison_count(len(routes)))
    best = NOTHING
    for signal in Signal:
        for what, pairs in _comparisons(strata, routes, signal):
            best = max(best, _weigh(pairs, margins[signal], threshold, what), key=_excess)
    for route in routes:
        pairs = _pairs_across_levels(strata, route)
        what = f"failed on {route} under high load"
        best = max(best, _weigh(pairs, OTHER_LEVEL_MARGIN, threshold, what), key=_excess)
    return best


def find_beside_past(cells: Cells, alpha: float) -> Finding:
    """Return the strongest sign of a complete move, beside the old version's past."""
    return find_in_cells(_with_past(cells, cells), alpha, PAST_MARGINS)


def _group(cells: Cells) -> dict[Stratum, Sides]:
    """Return the cells by stratum, with one more route for the sum of all."""
    strata: dict[Stratum, Sides] = {}
    for key, cell in cells.items():
        for route in (key.route, ALL_ROUTES):
            sides = strata.setdefault(Stratum(key.step, route, key.level), Sides(Cell(), Cell()))
            if key.side is Side.NEW:
                sides.new = sides.new.plus(cell)
            else:
                sides.old = sides.old.plus(cell)
    return strata


def _comparison_count(route_count: int) -> int:
    """Return how many comparisons are made for a number of routes, the sum of all included."""
    routes = max(MIN_ROUTES, route_count - 1) + 1
    return len(Signal) * (routes * len(LoadLevel) + 1) + routes


def _comparisons(
    strata: dict[Stratum, Sides], routes: list[str], signal: Signal
) -> Iterable[tuple[str, list[Pair]]]:
    """Yield what is compared for a signal, and the pairs for it."""
    for route in routes:
        for level in LoadLevel:
            pairs = _select(strata, signal, route, level)
            yield f"{signal.name.lower()} on {route} under {level.name.lower()} load", pairs
    yield f"{signal.name.lower()} on all routes", _select(strata, signal, ALL_ROUTES, None)


def _select(
    strata: dict[Stratum, Sides], signal: Signal, route: str, level: LoadLevel | None
) -> list[Pair]:
    pairs = []
    for stratum, sides in strata.items():
        if stratum.route == route and level in (None, stratum.level):
            pairs.append(sides.pair(signal))
    return _usable(pairs)


def _pairs_across_levels(strata: dict[Stratum, Sides], route: str) -> list[Pair]:
    """Return failures under high load beside those of the old version at any load."""
    pairs = []
    for stratum, sides in strata.items():
        if stratum.route != route or stratum.level is not LoadLevel.HIGH:
            continue
        old = Tally(0, 0)
        for level in LoadLevel:
            other = strata.get(Stratum(stratum.step, route, level))
            if other is not None:
                old = old + other.old.tally(Signal.FAILED)
        pairs.append(Pair(sides.new.tally(Signal.FAILED), old))
    return _usable(pairs)


def _usable(pairs: list[Pair]) -> list[Pair]:
    return [pair for pair in pairs if pair.new.trials and pair.old.trials]


def _weigh(pairs: list[Pair], margin: float, threshold: float, what: str) -> Finding:
    evidence = bad_log_evidence(pairs, margin)
    if evidence <= 0.0:
        return NOTHING
    new = sum((pair.new for pair in pairs), Tally(0, 0))
    old = sum((pair.old for pair in pairs), Tally(0, 0))
    return Finding(evidence - threshold, f"{what}: new version {new}, old version {old}")


def _with_past(recent: Cells, cells: Cells) -> Cells:
    """Return the recent cells of a complete move beside the last controlled step's old cells."""
    mixed: Cells = {}
    for key, cell in recent.items():
        if key.step == COMPLETE_STEP and key.side is Side.NEW:
            mixed[key] = cell
    for key, cell in cells.items():
        if key.step == CONTROLLED_STEP and key.side is Side.OLD:
            mixed[dataclasses.replace(key, step=COMPLETE_STEP)] = cell
    return mixed


@dataclass(slots=True)
class Restart:
    """Hold the state of a step's outcomes when the comparison was started anew."""

    started_at: float
    number: int
    cells: Cells


class LateDetector:
    """Start the comparison anew at a steady pace, so that a good past doesn't hide badness.

    Each restart spends its own part of the error rate, so that the sum over any time is bounded.

    Parameters
    ----------
    period_s : float
        Time between restarts, in seconds.
    """

    __slots__ = ("_number", "_period_s", "_restarts", "_step")

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._restarts: list[Restart] = []
        self._number = 0
        self._step = 0

    def find(self, now: float, cells: Cells, step: int) -> Finding:
        """Return the strongest sign in the windows that are kept, after adding one when due."""
        if step != self._step:
            self._step = step
            self._restarts.clear()
        recent = {key: cell for key, cell in cells.items() if key.step == step}
        best = NOTHING
        for restart in self._restarts:
            finding = self._find_since(restart, recent, cells)
            best = max(best, finding, key=_excess)
        self._restart(now, recent)
        return best

    def _find_since(self, restart: Restart, recent: Cells, cells: Cells) -> Finding:
        alpha = restart_alpha(BAD_ALPHA / 4.0, restart.number)
        window = _subtract(recent, restart.cells)
        if self._step == COMPLETE_STEP:
            return find_in_cells(_with_past(window, cells), alpha, PAST_MARGINS)
        return find_in_cells(window, alpha, BAD_MARGINS)

    def _restart(self, now: float, recent: Cells) -> None:
        if self._restarts and now - self._restarts[-1].started_at < self._period_s:
            return
        self._number += 1
        self._restarts.append(Restart(now, self._number, recent))
        kept: dict[int, Restart] = {}
        for restart in self._restarts:
            periods = int((now - restart.started_at) / self._period_s)
            kept.setdefault(periods.bit_length(), restart)
        self._restarts = sorted(kept.values(), key=lambda restart: restart.started_at)


def _subtract(cells: Cells, earlier: Cells) -> Cells:
    """Return what was added to cells since an earlier state."""
    changes: dict[CellKey, Cell] = {}
    for key, cell in cells.items():
        changes[key] = cell.plus(earlier[key], -1) if key in earlier else cell
    return changes
