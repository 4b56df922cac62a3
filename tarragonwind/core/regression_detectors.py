"""Look for badness of a new version in every route, load level, signal and window of time."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from dataclasses import dataclass

from tarragonwind.core.evidence import Cell, CellKey, Cells, LoadLevel, Side, Signal, Tally
from tarragonwind.core.move_steps import LAST_CONTROLLED_STEP
from tarragonwind.core.sequential_tests import (
    Pair,
    binomial_cdf,
    inferiority_log_evidence,
    log_threshold,
    restart_alpha,
)

REGRESSION_ALPHA = 0.01
"""Probability that a version like the old one is ever taken back."""

REGRESSION_MARGINS = {Signal.FAILED: 0.005, Signal.FIRST_BYTE: 0.05, Signal.PER_TOKEN: 0.05}
"""Excess rates beside the old version at the same time that are put up with."""

HISTORICAL_MARGINS = {Signal.FAILED: 0.03, Signal.FIRST_BYTE: 0.10, Signal.PER_TOKEN: 0.10}
"""Excess rates over the old version's past that are put up with."""

ANY_LEVEL_MARGIN = 0.01
"""Excess failure rate that is put up with when both versions' loads may differ."""

OTHER_LEVEL_MARGIN = 0.05
"""Excess failure rate under high load over the old version at any load that is put up with."""

SUSPICION_GAP = 4.0
"""Distance of the log evidence to its threshold from which a version is under suspicion."""

MIN_ROUTES = 4
"""Least number of routes that the error rate is divided by."""

SHARED_REGRESSION_P_VALUE = 0.02
"""Chance of the old version's outcomes at the new one's rate below which the rates differ."""

RECENT_RESTARTS = 4
"""Latest restarts of which each is kept; of older ones, one for each doubling of age."""

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


NO_FINDING = Finding(float("-inf"), "")


def _excess(finding: Finding) -> float:
    return finding.excess


@dataclass(slots=True)
class Sides:
    """Hold the comparable outcomes of both versions in one step, on one route, at one level."""

    step: int
    route: str
    level: LoadLevel
    new: Cell
    old: Cell

    def pair(self, signal: Signal) -> Pair:
        """Return the tallies of one signal."""
        return Pair(self.new.tally(signal), self.old.tally(signal))


def find_regression(cells: Cells, alpha: float, margins: dict[Signal, float]) -> Finding:
    """Return the strongest sign in cells, where all comparisons together may spend `alpha`.

    The sum of all routes and levels spends half of it, each route at each level a part of the rest.
    """
    groups = _group(cells)
    findings = _find_in_everything(groups, alpha / 2.0, margins)
    routes = {route for route, _ in groups}
    threshold = log_threshold(alpha / 2.0 / _comparison_count(len(routes)))
    for (route, level), sides in groups.items():
        for signal in Signal:
            what = f"{signal.name.lower()} on {route} under {level.name.lower()} load"
            findings.append(_weigh(sides, signal, margins[signal], threshold, what))
    any_margin = max(ANY_LEVEL_MARGIN, margins[Signal.FAILED])
    high_margin = max(OTHER_LEVEL_MARGIN, margins[Signal.FAILED])
    for route in routes:
        sides = _merge_levels(groups, route, LoadLevel.LIGHT)
        what = f"failed on {route} under any load"
        findings.append(_weigh(sides, Signal.FAILED, any_margin, threshold, what))
        sides = _merge_levels(groups, route, LoadLevel.HIGH)
        what = f"failed on {route} under high load"
        findings.append(_weigh(sides, Signal.FAILED, high_margin, threshold, what))
    return max(findings, key=_excess)


def _find_in_everything(
    groups: dict[tuple[str, LoadLevel], list[Sides]], alpha: float, margins: dict[Signal, float]
) -> list[Finding]:
    everything: list[Sides] = []
    for level in LoadLevel:
        everything += groups.get((ALL_ROUTES, level), [])
    threshold = log_threshold(alpha / (len(Signal) + 1))
    merged = _merge_levels(groups, ALL_ROUTES, LoadLevel.LIGHT)
    what = "failed on all routes under any load"
    margin = max(ANY_LEVEL_MARGIN, margins[Signal.FAILED])
    findings = [_weigh(merged, Signal.FAILED, margin, threshold, what)]
    for signal in Signal:
        what = f"{signal.name.lower()} on all routes"
        findings.append(_weigh(everything, signal, margins[signal], threshold, what))
    return findings


def find_regression_vs_history(recent: Cells, cells: Cells, step: int, alpha: float) -> Finding:
    """Return the strongest sign in recent outcomes of a step, beside the old version's past.

    A signal is left out while the old version may have become as bad itself.
    """
    mixed: Cells = {}
    new_keys = [key for key in recent if key.step == step and key.side is Side.NEW]
    for key in new_keys:
        mixed[key] = recent[key]
    for key, cell in cells.items():
        if key.side is Side.OLD:
            past_key = dataclasses.replace(key, step=step)
            mixed[past_key] = mixed.get(past_key, Cell()).plus(cell)
    finding = find_regression(mixed, alpha, HISTORICAL_MARGINS)
    if finding.excess < -SUSPICION_GAP or step > LAST_CONTROLLED_STEP:
        return finding
    margins = dict(HISTORICAL_MARGINS)
    for signal in Signal:
        if may_be_shared_regression(recent, step, signal):
            margins[signal] = 1.0
    return find_regression(mixed, alpha, margins)


def may_be_shared_regression(recent: Cells, step: int, signal: Signal) -> bool:
    """Tell whether the old version's recent outcomes fit the new one's rate."""
    new = Tally(0, 0)
    old = Tally(0, 0)
    for key, cell in recent.items():
        if key.step != step:
            continue
        if key.side is Side.NEW:
            new = new + cell.tally(signal)
        else:
            old = old + cell.tally(signal)
    return binomial_cdf(old, new.rate) > SHARED_REGRESSION_P_VALUE


def _group(cells: Cells) -> dict[tuple[str, LoadLevel], list[Sides]]:
    """Return the outcomes of all steps by route and level, with one more route for the sum."""
    found: dict[tuple[int, str, LoadLevel], Sides] = {}
    for key, cell in cells.items():
        for route in (key.route, ALL_ROUTES):
            name = (key.step, route, key.level)
            sides = found.get(name)
            if sides is None:
                sides = found[name] = Sides(key.step, route, key.level, Cell(), Cell())
            if key.side is Side.NEW:
                sides.new = sides.new.plus(cell)
            else:
                sides.old = sides.old.plus(cell)
    groups: dict[tuple[str, LoadLevel], list[Sides]] = {}
    for sides in found.values():
        groups.setdefault((sides.route, sides.level), []).append(sides)
    return groups


def _comparison_count(route_count: int) -> int:
    """Return how many comparisons are made for a number of routes, the sum of all included."""
    routes = max(MIN_ROUTES, route_count - 1) + 1
    return (len(Signal) * len(LoadLevel) + 2) * routes


def _merge_levels(
    groups: dict[tuple[str, LoadLevel], list[Sides]], route: str, lowest: LoadLevel
) -> list[Sides]:
    """Return, for each step, the new version from a level on beside the old one at any level."""
    steps: dict[int, Sides] = {}
    for level in LoadLevel:
        for sides in groups.get((route, level), ()):
            merged = steps.setdefault(sides.step, Sides(sides.step, route, lowest, Cell(), Cell()))
            merged.old = merged.old.plus(sides.old)
            if level >= lowest:
                merged.new = merged.new.plus(sides.new)
    return list(steps.values())


def _weigh(
    sides: Sequence[Sides], signal: Signal, margin: float, threshold: float, what: str
) -> Finding:
    if not any(one.new.hits(signal) for one in sides):
        return NO_FINDING
    pairs = []
    for one in sides:
        pair = one.pair(signal)
        if pair.new.trials and pair.old.trials:
            pairs.append(pair)
    evidence = inferiority_log_evidence(pairs, margin)
    if evidence <= 0.0:
        return NO_FINDING
    new = sum((pair.new for pair in pairs), Tally(0, 0))
    old = sum((pair.old for pair in pairs), Tally(0, 0))
    return Finding(evidence - threshold, f"{what}: new version {new}, old version {old}")


@dataclass(slots=True)
class Restart:
    """Hold the state of a step's outcomes when the comparison was started anew."""

    number: int
    cells: Cells


class LateRegressionDetector:
    """Start the comparison anew at a steady pace, so that a good past doesn't hide badness.

    Restarts are due at the same times for every judge of a move. Each spends its own part of the
    error rate, so that the sum over any time is bounded.

    Parameters
    ----------
    starts_at : float
        Start of the move, in seconds since the epoch.
    period_s : float
        Time between restarts, in seconds.
    expected : int
        Restarts within the move's time.
    """

    __slots__ = ("_expected", "_period_s", "_restarts", "_starts_at", "_step")

    def __init__(self, starts_at: float, period_s: float, expected: int) -> None:
        self._starts_at = starts_at
        self._period_s = period_s
        self._expected = expected
        self._restarts: list[Restart] = []
        self._step = 0

    def find(self, now: float, cells: Cells, step: int) -> Finding:
        """Return the strongest sign in the windows that are kept, after adding one when due."""
        if step != self._step:
            self._step = step
            self._restarts.clear()
        recent = {key: cell for key, cell in cells.items() if key.step == step}
        best = NO_FINDING
        for restart in self._restarts:
            finding = self._find_since(restart, recent, cells)
            best = max(best, finding, key=_excess)
        self._restart(now, recent)
        return best

    def _find_since(self, restart: Restart, recent: Cells, cells: Cells) -> Finding:
        window = _subtract(recent, restart.cells)
        alpha = restart_alpha(REGRESSION_ALPHA / 4.0, restart.number, self._expected)
        best = find_regression(window, alpha, REGRESSION_MARGINS)
        if self._step >= LAST_CONTROLLED_STEP:
            finding = find_regression_vs_history(window, cells, self._step, alpha / 2.0)
            best = max(best, finding, key=_excess)
        return best

    def _restart(self, now: float, recent: Cells) -> None:
        number = max(0, int((now - self._starts_at) / self._period_s)) + 1
        if self._restarts and self._restarts[-1].number == number:
            return
        self._restarts.append(Restart(number, recent))
        kept: dict[int, Restart] = {}
        for restart in self._restarts:
            age = number - restart.number
            kept.setdefault(age if age <= RECENT_RESTARTS else -age.bit_length(), restart)
        self._restarts = sorted(kept.values(), key=lambda restart: restart.number)


def _subtract(cells: Cells, earlier: Cells) -> Cells:
    """Return what was added to cells since an earlier state."""
    changes: dict[CellKey, Cell] = {}
    for key, cell in cells.items():
        changes[key] = cell.plus(earlier[key], -1) if key in earlier else cell
    return changes
