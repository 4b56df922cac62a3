"""Detect regressions of a new version by route, load level, signal and time window."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from tarragonwind.core.evidence import (
    ERROR_SIGNALS,
    Cell,
    CellKey,
    Cells,
    LoadLevel,
    Side,
    Signal,
    Tally,
)
from tarragonwind.core.move_steps import LAST_CONTROLLED_STEP
from tarragonwind.core.sequential_tests import (
    Pair,
    binomial_cdf,
    inferiority_log_evidence,
    log_threshold,
    restart_alpha,
)
from tarragonwind.records import dataclass

REGRESSION_ALPHA = 0.01
"""Probability that a version equal to the old one is ever taken back (type I error)."""

REGRESSION_MARGINS = {
    Signal.FAILED: 0.005,
    Signal.FIRST_BYTE: 0.05,
    Signal.PER_TOKEN: 0.05,
    Signal.UNANSWERED: 0.005,
}
"""Tolerated excess rates over the old version at the same time."""

HISTORICAL_MARGINS = {
    Signal.FAILED: 0.03,
    Signal.FIRST_BYTE: 0.10,
    Signal.PER_TOKEN: 0.10,
    Signal.UNANSWERED: 0.03,
}
"""Tolerated excess rates over the old version's history."""

ANY_LEVEL_MARGIN = 0.01
"""Tolerated excess rate of errors when the loads of the two versions may differ."""

OTHER_LEVEL_MARGIN = 0.05
"""Tolerated excess rate of errors under high load over the old version at any load."""

SUSPICION_GAP = 4.0
"""Distance of the log evidence below its threshold within which a version is suspect."""

MIN_ROUTES = 4
"""Minimum number of routes among which the error rate is divided."""

SHARED_REGRESSION_P_VALUE = 0.02
"""P-value of the old version's outcomes at the new one's rate, at or below which they differ."""

RECENT_RESTARTS = 4
"""Number of latest restarts that are all kept; of older ones, one per doubling of age is."""

ALL_ROUTES = "*"

LEVEL_SIGNALS = (Signal.FAILED, Signal.FIRST_BYTE, Signal.PER_TOKEN)
"""Signals that are compared at each load level; the others are compared under any load only."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Hold the strongest evidence of a regression.

    Attributes
    ----------
    excess : float
        Log evidence minus its threshold; a regression if 0 or more.
    why : str
        What was compared, with the counts of both versions.
    """

    excess: float
    why: str


NO_FINDING = Finding(float("-inf"), "")


def _excess(finding: Finding) -> float:
    return finding.excess


@dataclass(slots=True)
class Stratum:
    """Hold the outcomes of both versions in one stratum: step, route and load level."""

    step: int
    route: str
    level: LoadLevel
    new: Cell
    old: Cell

    def pair(self, signal: Signal) -> Pair:
        """Return the tallies of one signal."""
        return Pair(self.new.tally(signal), self.old.tally(signal))


def find_regression(cells: Cells, alpha: float, margins: dict[Signal, float]) -> Finding:
    """Return the strongest evidence of a regression, at a familywise error rate of `alpha`.

    The comparison over all routes and levels gets half of `alpha`; the comparisons of single
    routes and levels divide the other half.
    """
    groups = _group(cells)
    findings = _compare_all_routes(groups, alpha / 2.0, margins)
    routes = {route for route, _ in groups}
    threshold = log_threshold(alpha / 2.0 / _comparison_count(len(routes)))
    for (route, level), strata in groups.items():
        for signal in LEVEL_SIGNALS:
            what = f"{signal.name.lower()} on {route} under {level.name.lower()} load"
            findings.append(_compare(strata, signal, margins[signal], threshold, what))
    high_margin = max(OTHER_LEVEL_MARGIN, margins[Signal.FAILED])
    for route in routes:
        findings += _compare_any_level(groups, route, margins, threshold)
        strata = _merge_levels(groups, route, LoadLevel.HIGH)
        what = f"failed on {route} under high load"
        findings.append(_compare(strata, Signal.FAILED, high_margin, threshold, what))
    return max(findings, key=_excess)


def _compare_any_level(
    groups: dict[tuple[str, LoadLevel], list[Stratum]],
    route: str,
    margins: dict[Signal, float],
    threshold: float,
) -> list[Finding]:
    """Compare the errors on a route, whatever the loads of the two versions are."""
    strata = _merge_levels(groups, route, LoadLevel.LIGHT)
    findings = []
    for signal in ERROR_SIGNALS:
        margin = max(ANY_LEVEL_MARGIN, margins[signal])
        what = f"{signal.name.lower()} on {route} under any load"
        findings.append(_compare(strata, signal, margin, threshold, what))
    return findings


def _compare_all_routes(
    groups: dict[tuple[str, LoadLevel], list[Stratum]], alpha: float, margins: dict[Signal, float]
) -> list[Finding]:
    total: list[Stratum] = []
    for level in LoadLevel:
        total += groups.get((ALL_ROUTES, level), [])
    threshold = log_threshold(alpha / (len(LEVEL_SIGNALS) + 1))
    merged = _merge_levels(groups, ALL_ROUTES, LoadLevel.LIGHT)
    what = "failed on all routes under any load"
    margin = max(ANY_LEVEL_MARGIN, margins[Signal.FAILED])
    findings = [_compare(merged, Signal.FAILED, margin, threshold, what)]
    for signal in LEVEL_SIGNALS:
        what = f"{signal.name.lower()} on all routes"
        findings.append(_compare(total, signal, margins[signal], threshold, what))
    return findings


def find_regression_vs_history(recent: Cells, cells: Cells, step: int, alpha: float) -> Finding:
    """Return the strongest evidence of a regression over the old version's history.

    Compares the new version's recent outcomes in a step with the old version's outcomes in all
    steps. Skips a signal if the old version may have regressed as well.
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
    """Return whether the old version's recent outcomes are consistent with the new one's rate."""
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


def _group(cells: Cells) -> dict[tuple[str, LoadLevel], list[Stratum]]:
    """Return the outcomes of all steps by route and level, with `ALL_ROUTES` for their sum."""
    found: dict[tuple[int, str, LoadLevel], Stratum] = {}
    for key, cell in cells.items():
        for route in (key.route, ALL_ROUTES):
            name = (key.step, route, key.level)
            stratum = found.get(name)
            if stratum is None:
                stratum = found[name] = Stratum(key.step, route, key.level, Cell(), Cell())
            if key.side is Side.NEW:
                stratum.new = stratum.new.plus(cell)
            else:
                stratum.old = stratum.old.plus(cell)
    groups: dict[tuple[str, LoadLevel], list[Stratum]] = {}
    for stratum in found.values():
        groups.setdefault((stratum.route, stratum.level), []).append(stratum)
    return groups


def _comparison_count(route_count: int) -> int:
    """Return the number of comparisons for a number of routes that includes `ALL_ROUTES`."""
    routes = max(MIN_ROUTES, route_count - 1) + 1
    return (len(LEVEL_SIGNALS) * len(LoadLevel) + len(ERROR_SIGNALS) + 1) * routes


def _merge_levels(
    groups: dict[tuple[str, LoadLevel], list[Stratum]], route: str, lowest: LoadLevel
) -> list[Stratum]:
    """Return, for each step, the new version from a load level up and the old one at any load."""
    steps: dict[int, Stratum] = {}
    for level in LoadLevel:
        for stratum in groups.get((route, level), ()):
            merged = steps.setdefault(
                stratum.step, Stratum(stratum.step, route, lowest, Cell(), Cell())
            )
            merged.old = merged.old.plus(stratum.old)
            if level >= lowest:
                merged.new = merged.new.plus(stratum.new)
    return list(steps.values())


def _compare(
    strata: Sequence[Stratum], signal: Signal, margin: float, threshold: float, what: str
) -> Finding:
    """Return the evidence of a regression of one signal over strata, described by `what`."""
    if not any(stratum.new.hits(signal) for stratum in strata):
        return NO_FINDING
    pairs = []
    for stratum in strata:
        pair = stratum.pair(signal)
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
    """Hold a snapshot of a step's outcomes, from which a comparison was restarted."""

    number: int
    cells: Cells


class LateRegressionDetector:
    """Restart the comparison periodically, so that good history can't mask a late regression.

    Restarts are due at the same times for every judge of a move. Each has its own part of the
    error rate, so that their sum is bounded over any time.

    Parameters
    ----------
    starts_at : float
        Start of the move, in seconds since the epoch.
    period_s : float
        Time between restarts, in seconds.
    expected : int
        Number of restarts within the move's duration.
    """

    __slots__ = ("_expected", "_period_s", "_restarts", "_starts_at", "_step")

    def __init__(self, starts_at: float, period_s: float, expected: int) -> None:
        self._starts_at = starts_at
        self._period_s = period_s
        self._expected = expected
        self._restarts: list[Restart] = []
        self._step = 0

    def find(self, now: float, cells: Cells, step: int) -> Finding:
        """Return the strongest evidence over the open windows, and open a window if due."""
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
        window = subtract_cells(recent, restart.cells)
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


def subtract_cells(cells: Cells, earlier: Cells) -> Cells:
    """Return the counts added to cells since an earlier snapshot."""
    changes: dict[CellKey, Cell] = {}
    for key, cell in cells.items():
        changes[key] = cell.plus(earlier[key], -1) if key in earlier else cell
    return changes
