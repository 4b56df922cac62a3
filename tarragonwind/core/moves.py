"""Judge one move between versions: how far its share goes, and whether it is taken back."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

from tarragonwind.core.entries import MoveEntry
from tarragonwind.core.evidence import Cell, LoadLevel, MergedEvidence, Side, Signal, Tally
from tarragonwind.core.move_messages import MoveReport
from tarragonwind.core.move_steps import (
    COMPLETE_STEP,
    FIRST_LOADED_STEP,
    FIRST_STEP,
    LAST_CONTROLLED_STEP,
    MIN_DWELL_FRACTION,
    STEPS,
    duration_s,
    earliest_at,
    latest_at,
    noninferiority_margin,
)
from tarragonwind.core.regression_detectors import (
    NO_FINDING,
    REGRESSION_ALPHA,
    REGRESSION_MARGINS,
    SUSPICION_GAP,
    Finding,
    LateRegressionDetector,
    find_regression,
    find_regression_vs_history,
    may_be_shared_regression,
)
from tarragonwind.core.sequential_tests import (
    Pair,
    excess_lower_bound,
    log_threshold,
    noninferiority_log_evidence,
)

NONINFERIORITY_ALPHA = 0.05
"""Probability that a step is taken early though the excess rate is at its margin."""

RESTART_FRACTION = 0.025
MIN_RESTART_S = 2.0
"""Least time between restarts of the comparison, in seconds."""

PAUSE_GAP_S = 1.5
"""Time between two looks from which a judge counts as paused, in seconds."""

MIN_REPORTING_FRACTION = 0.75
"""Fraction of the live hosts whose fresh reports a growing share needs."""

REPORT_MAX_AGE_PERIODS = 3.0
"""Report periods for which a report is fresh."""

MIN_LEVEL_TRIALS = 20
"""Outcomes at the high load level after which a step is taken early."""


class MoveResult(enum.Enum):
    """Answer whether a move is done or has been taken back."""

    DONE = "done"
    TAKEN_BACK = "taken_back"


class VerdictRecorder(Protocol):
    """Reach the record of answers; what it learns is handed to `MoveTable.apply_result`."""

    def read(self, move_id: str) -> None:
        """Ask for the recorded answer."""

    def record(self, move_id: str, result: MoveResult, why: str) -> None:
        """Record an answer unless one is recorded; the first writer wins."""


@dataclass(frozen=True, slots=True)
class MoveStatus:
    """Describe a move to operators.

    Attributes
    ----------
    move_id, name : str
        Identity of the move, and the name of its catalogue entry.
    result : MoveAnswer or None
        Recorded answer, the same on every host; None while the move is not settled.
    share : float
        Fraction of requests that this host gives to the new version.
    why : str
        Reason of the answer, or why the move is not settled.
    withheld : bool
        Whether badness showed before the answer "done" was known, so that the old version serves.
    """

    move_id: str
    name: str
    result: MoveResult | None
    share: float
    why: str
    withheld: bool


def move_identity(move: MoveEntry) -> str:
    """Return the identity of a move: an entry with other versions or start is another move."""
    start = int(move.starts_at * 1000)
    return f"{move.name}:{move.pool}:{move.from_version}:{move.to_version}:{start}"


@dataclass(slots=True)
class HostReport:
    """Hold when a host last reported and the step in force there."""

    sent_at: float
    step: int


class MoveJudge:
    """Weigh the merged evidence of one move.

    Parameters
    ----------
    move : MoveEntry
        Move to judge.
    now : float
        Seconds since the epoch.

    Attributes
    ----------
    step : int
        Index into `STEPS`; it never falls.
    taken_back : str
        Why the move was taken back, empty while it wasn't; never cleared.
    why : str
        Why the step is what it is.
    """

    __slots__ = (
        "_changed",
        "_detector",
        "_reports",
        "_evaluated_at",
        "_valid_from",
        "evidence",
        "finding",
        "incarnation",
        "move",
        "step",
        "step_since",
        "taken_back",
        "why",
    )

    def __init__(self, move: MoveEntry, now: float) -> None:
        self.move = move
        self.incarnation = int(now * 1000)
        self.evidence = MergedEvidence()
        self.step = 0
        self.step_since = now
        self.taken_back = ""
        self.why = "not started"
        self.finding: Finding = NO_FINDING
        period_s = max(MIN_RESTART_S, RESTART_FRACTION * duration_s(move))
        expected = math.ceil(duration_s(move) / period_s)
        self._detector = LateRegressionDetector(move.starts_at, period_s, expected)
        self._reports: dict[str, HostReport] = {}
        self._evaluated_at = now
        self._valid_from = 0.0
        self._changed = False

    def receive(self, host: str, report: MoveReport) -> None:
        """Take in a host's report; a repeated or outdated one changes nothing."""
        self.take_back(report.taken_back)
        self.adopt_step(report.step, report.step_since)
        if not self.evidence.apply(host, report.incarnation, report.sequence, report.rows):
            return
        self._changed = self._changed or bool(report.rows)
        self._reports[host] = HostReport(report.sent_at, report.step)

    def merge_rows(self, host: str, sequence: int, rows: list[list]) -> None:
        """Take in cumulative cells of a host without a report around them."""
        self._changed = self.evidence.apply(host, 0, sequence, rows) or self._changed

    def take_back(self, why: str) -> None:
        """Note that the move is taken back, when a reason is given; the first reason stays."""
        self.taken_back = self.taken_back or why

    def adopt_step(self, step: int, since: float) -> None:
        """Join a step that is in force elsewhere; the larger step and the earlier time win."""
        if step > self.step:
            self.step = step
            self.step_since = since
        elif step == self.step:
            self.step_since = min(self.step_since, since)

    def evaluate(self, now: float) -> None:
        """Note the time and look for badness in what has changed since."""
        if now - self._evaluated_at > PAUSE_GAP_S or now < self._evaluated_at:
            self._valid_from = now
        self._evaluated_at = now
        if self.taken_back or not self._changed:
            return
        self._changed = False
        self.finding = self._find(now)
        if self.finding.excess >= 0.0:
            self.take_back(self.finding.why)

    def _find(self, now: float) -> Finding:
        totals = self.evidence.totals
        findings = [
            find_regression(totals, REGRESSION_ALPHA / 2.0, REGRESSION_MARGINS),
            self._detector.find(now, totals, self.step),
        ]
        if self.step >= LAST_CONTROLLED_STEP:
            findings.append(
                find_regression_vs_history(totals, totals, self.step, REGRESSION_ALPHA / 8.0)
            )
        return max(findings, key=lambda finding: finding.excess)

    def advance_step(self, now: float, live: Collection[str], report_period_s: float) -> None:
        """Go to the next step when evidence or time asks for it; only the pool's owner calls it.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        live : collection of str
            Names of the live hosts.
        report_period_s : float
            Time between two reports of a host, in seconds.
        """
        if self.taken_back or self.step == COMPLETE_STEP:
            return
        self.why = self._obstacle(now, live, report_period_s)
        if not self.why:
            self.step += 1
            self.step_since = now
            self.why = f"step {self.step} of {COMPLETE_STEP} in force"

    def can_complete(self, now: float, live: Collection[str], report_period_s: float) -> bool:
        """Tell whether "done" may be recorded: all traffic moved, nothing bad seen since."""
        if self.taken_back or self.step != COMPLETE_STEP or self.is_suspect():
            return False
        dwelt = now - self.step_since >= MIN_DWELL_FRACTION * duration_s(self.move)
        if not dwelt or self._doubt(COMPLETE_STEP):
            return False
        return self.has_enough_reports(now, live, report_period_s, COMPLETE_STEP)

    def _obstacle(self, now: float, live: Collection[str], report_period_s: float) -> str:
        """Return what keeps the move from its next step, empty for nothing."""
        step = self.step + 1
        if now < self.move.starts_at:
            return "not started"
        if not self.has_enough_reports(now, live, report_period_s, 0):
            return "too few hosts have reported"
        if self.is_suspect():
            return f"under suspicion: {self.finding.why}"
        if step == FIRST_STEP:
            return ""
        doubt = self._doubt(step)
        if doubt:
            return doubt
        if now - self.step_since < MIN_DWELL_FRACTION * duration_s(self.move):
            return f"step {self.step} of {COMPLETE_STEP} in force"
        trials = self._trials()
        if trials < STEPS[step].min_trials:
            needed = STEPS[step].min_trials
            return f"too little traffic: {trials} of {needed} requests seen"
        unloaded = self._missing_load()
        if now >= latest_at(self.move, min(step + 1, COMPLETE_STEP) if unloaded else step):
            return ""
        if now < earliest_at(self.move, step):
            return f"step {self.step} of {COMPLETE_STEP} in force, as planned"
        return unloaded or self._missing_evidence(step)

    def has_enough_reports(
        self, now: float, live: Collection[str], report_period_s: float, step: int
    ) -> bool:
        """Tell whether most live hosts have reported lately, from a step on.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        live : collection of str
            Names of the live hosts.
        report_period_s : float
            Time between two reports of a host, in seconds.
        step : int
            Step that must be in force at a host for it to count.
        """
        since = max(self._valid_from, now - REPORT_MAX_AGE_PERIODS * report_period_s)
        heard = 0
        for host in live:
            report = self._reports.get(host)
            if report is not None and report.sent_at >= since and report.step >= step:
                heard += 1
        return heard >= MIN_REPORTING_FRACTION * len(live)

    def is_suspect(self) -> bool:
        """Tell whether the evidence of badness is near its threshold."""
        return self.finding.excess > -SUSPICION_GAP

    def _trials(self) -> int:
        """Return the finished requests of the new version since the move's start."""
        total = 0
        for key, cell in self.evidence.totals.items():
            if key.side is Side.NEW:
                total += cell.finished
        return total

    def _pairs(self, signal: Signal, steps: Iterable[int]) -> list[Pair]:
        """Return a signal's tallies, one pair for each step and load level."""
        pairs = []
        for step in steps:
            for level in LoadLevel:
                new = self._sum(step, Side.NEW, level, level).tally(signal)
                old = self._sum(step, Side.OLD, level, level).tally(signal)
                if new.trials and old.trials:
                    pairs.append(Pair(new, old))
        return pairs

    def _sum(self, step: int, side: Side, lowest: LoadLevel, highest: LoadLevel) -> Cell:
        total = Cell()
        for key, cell in self.evidence.totals.items():
            if key.step == step and key.side is side and lowest <= key.level <= highest:
                total = total.plus(cell)
        return total

    def _doubt(self, step: int) -> str:
        """Return which signal looks worse than a step allows, empty for none."""
        for signal in Signal:
            excess = max(excess_lower_bound(pairs) for pairs in self._views(signal))
            if excess > noninferiority_margin(signal, step):
                return f"in doubt: {signal.name.lower()} higher by {excess:.3f} or more"
        return ""

    def _views(self, signal: Signal) -> list[list[Pair]]:
        """Return the pairs of all steps, of this step, and of this step beside the past."""
        views = [self._pairs(signal, range(FIRST_STEP, self.step + 1))]
        views.append(self._pairs(signal, [self.step]))
        totals = self.evidence.totals
        is_alone = self.step > LAST_CONTROLLED_STEP
        if is_alone or not may_be_shared_regression(totals, self.step, signal):
            views.append(self._pairs_beside_past(signal))
        return views

    def _pairs_beside_past(self, signal: Signal) -> list[Pair]:
        pairs = []
        for level in LoadLevel:
            new = self._sum(self.step, Side.NEW, level, level).tally(signal)
            old = Tally(0, 0)
            for step in range(FIRST_STEP, self.step + 1):
                old = old + self._sum(step, Side.OLD, level, level).tally(signal)
            if new.trials and old.trials:
                pairs.append(Pair(new, old))
        return pairs

    def _missing_evidence(self, step: int) -> str:
        """Return which evidence a step before its latest time lacks, empty for none."""
        for signal in Signal:
            pairs = self._pairs(signal, [self.step])
            if signal is not Signal.FAILED and not pairs:
                continue
            evidence = noninferiority_log_evidence(pairs, noninferiority_margin(signal, step))
            if evidence < log_threshold(NONINFERIORITY_ALPHA):
                return f"gathering evidence: {signal.name.lower()}, {self._trials()} requests seen"
        return ""

    def _missing_load(self) -> str:
        """Return that the new version lacks outcomes under high load, empty if it has them."""
        if self.step < FIRST_LOADED_STEP:
            return ""
        old = self._sum(self.step, Side.OLD, LoadLevel.HIGH, LoadLevel.FULL)
        new = self._sum(self.step, Side.NEW, LoadLevel.HIGH, LoadLevel.FULL)
        if old.finished >= MIN_LEVEL_TRIALS > new.finished:
            return f"gathering evidence under high load, {new.finished} requests seen"
        return ""
