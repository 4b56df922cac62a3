"""Look for badness of a new version in every route, load level, signal and window of time."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.core.evidence import Cell, Cells, LoadLevel, Side, Signal, Tally
from tarragonwind.core.move_steps import COMPLETE_STEP, CONTROLLED_STEP, FIRST_STEP, STEPS
from tarragonwind.core.sequential_tests import bad_log_evidence, log_threshold, restart_alpha

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

StratumKey = tuple[Side, str, LoadLevel]
Strata = dict[StratumKey, Cell]


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


def group_cells(cells: Cells, step: int) -> Strata:
    """Return a step's cells by side, route and level, with sums over all routes."""
    strata: Strata = {}
    for key, cell in cells.items():
        if key.step != step:
            continue
        for route in (key.route, ALL_ROUTES):
            stratum = (key.side, route, key.level)
            strata[stratum] = strata.get(stratum, Cell()).plus(cell)
    return strata


def subtract_strata(strata: Strata, earlier: Strata) -> Strata:
    """Return what was added since an earlier state."""
    changes: Strata = {}
    for key, cell in strata.items():
        changes[key] = cell.plus(earlier[key], -1) if key in earlier else cell
    return changes


def find_in_step(cells: Cells, step: int) -> Finding:
    """Return the strongest sign in all outcomes of one step."""
    strata = group_cells(cells, step)
    margins = BAD_MARGINS
    if step == COMPLETE_STEP:
        strata = with_past(strata, cells)
        margins = PAST_MARGINS
    return find_in_strata(strata, BAD_ALPHA / 2.0 / (len(STEPS) - FIRST_STEP), margins)


def with_past(strata: Strata, cells: Cells) -> Strata:
    """Return strata of the new version beside the old one's at the last controlled step."""
    past = group_cells(cells, CONTROLLED_STEP)
    mixed = {key: cell for key, cell in strata.items() if key[0] is Side.NEW}
    mixed.update({key: cell for key, cell in past.items() if key[0] is Side.OLD})
    return mixed


def find_in_strata(strata: Strata, alpha: float, margins: dict[Signal, float]) -> Finding:
    """Return the strongest sign in a set of strata that may spend `alpha`."""
    routes = {route for _, route, _ in strata}
    parts = (max(MIN_ROUTES, len(routes) - 1) + 1) * (len(LoadLevel) * len(Signal) + 1)
    threshold = log_threshold(alpha / parts)
    best = NOTHING
    for side, route, level in strata:
        if side is not Side.NEW:
            continue
        for signal in Signal:
            finding = _compare(strata, route, level, signal, margins[signal], threshold)
            best = max(best, finding, key=_excess)
        if level is LoadLevel.HIGH:
            finding = _compare_levels(strata, route, threshold)
            best = max(best, finding, key=_excess)
    return best


def _excess(finding: Finding) -> float:
    return finding.excess


def _tally(strata: Strata, key: StratumKey, signal: Signal) -> Tally:
    cell = strata.get(key)
    return cell.tally(signal) if cell else Tally(0, 0)


def _compare(
    strata: Strata, route: str, level: LoadLevel, signal: Signal, margin: float, threshold: float
) -> Finding:
    new = _tally(strata, (Side.NEW, route, level), signal)
    old = _tally(strata, (Side.OLD, route, level), signal)
    return _weigh(new, old, margin, threshold, f"{signal.name}/{route}/{level.name}")


def _compare_levels(strata: Strata, route: str, threshold: float) -> Finding:
    new = _tally(strata, (Side.NEW, route, LoadLevel.HIGH), Signal.FAILED)
    old = Tally(0, 0)
    for level in LoadLevel:
        old = old + _tally(strata, (Side.OLD, route, level), Signal.FAILED)
    return _weigh(new, old, OTHER_LEVEL_MARGIN, threshold, f"FAILED/{route}/HIGH-ANY")


def _weigh(new: Tally, old: Tally, margin: float, threshold: float, what: str) -> Finding:
    evidence = bad_log_evidence(new, old, margin)
    if evidence <= 0.0:
        return NOTHING
    why = f"{what}: new {new.hits} of {new.trials}, old {old.hits} of {old.trials}"
    return Finding(evidence - threshold, why)


@dataclass(slots=True)
class Restart:
    """Hold the state of a step's outcomes when the comparison was started anew."""

    started_at: float
    number: int
    step: int
    strata: Strata


class LateDetector:
    """Start the comparison anew at a steady pace, so that a good past doesn't hide badness."""

    __slots__ = ("_number", "_period_s", "_restarts")

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._restarts: list[Restart] = []
        self._number = 0

    def find(self, now: float, cells: Cells, step: int) -> Finding:
        """Return the strongest sign in the windows that are kept, after adding one when due."""
        strata = group_cells(cells, step)
        self._restarts = [restart for restart in self._restarts if restart.step == step]
        best = NOTHING
        for restart in self._restarts:
            window = subtract_strata(strata, restart.strata)
            margins = BAD_MARGINS
            if step == COMPLETE_STEP:
                window = with_past(window, cells)
                margins = PAST_MARGINS
            alpha = restart_alpha(BAD_ALPHA / 2.0, restart.number)
            best = max(best, find_in_strata(window, alpha, margins), key=_excess)
        self._restart(now, step, strata)
        return best

    def _restart(self, now: float, step: int, strata: Strata) -> None:
        if self._restarts and now - self._restarts[-1].started_at < self._period_s:
            return
        self._number += 1
        self._restarts.append(Restart(now, self._number, step, strata))
        self._thin_out(now)

    def _thin_out(self, now: float) -> None:
        """Keep one window for each doubling of age."""
        kept: dict[int, Restart] = {}
        for restart in self._restarts:
            periods = int((now - restart.started_at) / self._period_s)
            kept.setdefault(periods.bit_length(), restart)
        self._restarts = sorted(kept.values(), key=lambda restart: restart.started_at)
