"""Judge a move (a canary rollout): advance its share step by step, or take it back (roll back)."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable
from typing import Protocol

from tarragonwind.core.entries import MoveEntry
from tarragonwind.core.evidence import (
    ERROR_SIGNALS,
    Cell,
    Cells,
    LoadLevel,
    MergedEvidence,
    Side,
    Signal,
    Tally,
)
from tarragonwind.core.move_capacities import CapacityWatch
from tarragonwind.core.move_completions import SETTLE_S, OldVersionUse
from tarragonwind.core.move_doubts import DoubtWindow
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
from tarragonwind.records import dataclass

NONINFERIORITY_ALPHA = 0.05
"""Probability of advancing a step early although the excess rate is at its margin."""

RESTART_FRACTION = 0.025
"""Time between restarts of the comparison, as a fraction of the move's duration."""

MIN_RESTART_S = 2.0
"""Minimum time between restarts of the comparison, in seconds."""

PAUSE_GAP_S = 1.5
"""Gap between two ticks above which the process is treated as paused, in seconds."""

MIN_REPORTING_FRACTION = 0.75
"""Fraction of live hosts that must have reported recently before the share may grow."""

REPORT_MAX_AGE_PERIODS = 3.0
"""Maximum age of a report that counts as recent, in report periods."""

DOUBT_STD_ERRORS = 1.5
"""Standard errors by which an excess of answered failures or slow responses must stand out."""

UNANSWERED_DOUBT_STD_ERRORS = 2.5
"""Standard errors for missing responses, which faults outside of both versions cause as well."""

REPORT_MARGIN_S = 1.0
"""Time that a step takes to reach all hosts, and their reports on it the judge, in seconds."""

MIN_LEVEL_TRIALS = 20
"""Outcomes under high load that the new version needs before a step is taken early."""


class MoveResult(enum.Enum):
    """Enumerate the final results of a move."""

    DONE = "done"
    TAKEN_BACK = "taken_back"


class VerdictRecorder(Protocol):
    """Read and write recorded results; replies arrive through `MoveTable.apply_result`."""

    def read(self, move_id: str) -> None:
        """Request the recorded result."""

    def record(self, move_id: str, result: MoveResult, why: str) -> None:
        """Record a result unless one is recorded already; the first writer wins."""


@dataclass(frozen=True, slots=True)
class MoveStatus:
    """Describe a move to operators.

    Attributes
    ----------
    move_id, name : str
        Identity of the move, and the name of its catalogue entry.
    result : MoveResult or None
        Recorded result, the same on every host; None while the move is not settled.
    share : float
        Fraction of requests that this host routes to the new version, from 0 to 1.
    why : str
        Reason for the result, or why the move is not settled.
    withheld : bool
        Whether a regression was found before the result "done" was known, so that the old version
        keeps serving.
    """

    move_id: str
    name: str
    result: MoveResult | None
    share: float
    why: str
    withheld: bool


def move_identity(move: MoveEntry) -> str:
    """Return the identity of a move; changing its versions or start makes a different move."""
    start = int(move.starts_at * 1000)
    return f"{move.name}:{move.pool}:{move.from_version}:{move.to_version}:{start}"


@dataclass(slots=True)
class HostReport:
    """Hold the send time of a host's latest report and the step in force there."""

    sent_at: float
    step: int


class MoveJudge:
    """Decide on a move's next step or rollback from the merged evidence.

    Parameters
    ----------
    move : MoveEntry
        Move to judge.
    now : float
        Seconds since the epoch.

    Attributes
    ----------
    step : int
        Index into `STEPS`; never decreases.
    taken_back : str
        Why the move was taken back, empty if it was not; never cleared.
    why : str
        Why the move is at its current step.
    doubt : str
        Why the new version seems worse than its step allows, empty if it does not.
    old_use : OldVersionUse
        Which hosts may still use another version than the new one.
    capacity : CapacityWatch
        Whether the new version can carry its requests.
    """

    __slots__ = (
        "_changed",
        "_detector",
        "_doubt_window",
        "_evaluated_at",
        "_reports",
        "_valid_from",
        "capacity",
        "doubt",
        "evidence",
        "finding",
        "incarnation",
        "move",
        "old_use",
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
        self.doubt = ""
        self.old_use = OldVersionUse(now, move.starts_at)
        self.capacity = CapacityWatch(now)
        self.finding: Finding = NO_FINDING
        period_s = max(MIN_RESTART_S, RESTART_FRACTION * duration_s(move))
        expected = math.ceil(duration_s(move) / period_s)
        self._detector = LateRegressionDetector(move.starts_at, period_s, expected)
        self._doubt_window = DoubtWindow()
        self._reports: dict[str, HostReport] = {}
        self._evaluated_at = now
        self._valid_from = 0.0
        self._changed = False

    def receive(self, host: str, report: MoveReport) -> None:
        """Merge a host's report; a duplicate or outdated one adds no evidence."""
        self.take_back(report.taken_back)
        self.adopt_step(report.step, report.step_since)
        if not self.evidence.apply(host, report.incarnation, report.sequence, report.rows):
            return
        self._changed = self._changed or bool(report.rows)
        self._reports[host] = HostReport(report.sent_at, report.step)
        self.old_use.on_report(host, report)

    def merge_rows(self, host: str, sequence: int, rows: list[list]) -> None:
        """Merge cumulative cells of a host that come without a `MoveReport`."""
        self._changed = self.evidence.apply(host, 0, sequence, rows) or self._changed

    def take_back(self, why: str) -> None:
        """Mark the move as taken back if `why` is not empty; the first reason is kept."""
        self.taken_back = self.taken_back or why

    def adopt_step(self, step: int, since: float) -> None:
        """Merge a step in force on another host; the larger step and the earlier time win."""
        if step > self.step:
            self.step = step
            self.step_since = since
        elif step == self.step:
            self.step_since = min(self.step_since, since)

    def evaluate(self, now: float) -> None:
        """Test for a regression if evidence was added; take the move back if one is found."""
        if now - self._evaluated_at > PAUSE_GAP_S or now < self._evaluated_at:
            self._valid_from = now
        self._evaluated_at = now
        if self.taken_back or not self._changed:
            return
        self._changed = False
        self.finding = self._find(now)
        if self.finding.excess >= 0.0:
            self.take_back(self.finding.why)
        self.doubt = self._current_doubt()

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
        """Advance to the next step when evidence or the schedule allows.

        Only the pool's owner calls this.

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
        """Return whether "done" may be recorded: all traffic moved, no sign of a regression."""
        if self.taken_back or self.step != COMPLETE_STEP:
            return False
        if self.capacity.obstacle or not self._has_dwelt(now) or self._doubt(COMPLETE_STEP):
            return False
        return self.has_enough_reports(now, live, report_period_s, COMPLETE_STEP)

    def _has_dwelt(self, now: float) -> bool:
        """Return whether the new version has carried its step for the shortest time of a step."""
        since = max(self.step_since, self.capacity.steady_since)
        return now - since >= MIN_DWELL_FRACTION * duration_s(self.move)

    def _obstacle(self, now: float, live: Collection[str], report_period_s: float) -> str:
        """Return why the move can't advance to its next step, empty if it can."""
        step = self.step + 1
        if now < self.move.starts_at:
            return "not started"
        if not self.has_enough_reports(now, live, report_period_s, 0):
            return "too few hosts have reported"
        if step == FIRST_STEP or self.capacity.obstacle:
            return self.capacity.obstacle
        doubt = self._doubt(step)
        if doubt:
            return doubt
        if not self._has_dwelt(now):
            return f"step {self.step} of {COMPLETE_STEP} in force"
        trials = self._trials()
        if trials < STEPS[step].min_trials:
            needed = STEPS[step].min_trials
            return f"too little traffic: {trials} of {needed} requests seen"
        unloaded = self._missing_load()
        reserve_s = self._reserve_s()
        last = min(step + 1, COMPLETE_STEP) if unloaded else step
        if now >= latest_at(self.move, last, reserve_s):
            return ""
        if now < earliest_at(self.move, step, reserve_s):
            return f"step {self.step} of {COMPLETE_STEP} in force, as planned"
        return unloaded or self._missing_evidence(step)

    def _reserve_s(self) -> float:
        """Return the time from the last step until the old version is unused, in seconds."""
        longest_s = self.old_use.longest_s()
        return longest_s + SETTLE_S + REPORT_MARGIN_S if longest_s else 0.0

    def has_enough_reports(
        self, now: float, live: Collection[str], report_period_s: float, step: int
    ) -> bool:
        """Return whether enough live hosts have reported recently at a minimum step.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        live : collection of str
            Names of the live hosts.
        report_period_s : float
            Time between two reports of a host, in seconds.
        step : int
            Lowest step in force at a host for its report to count.
        """
        since = max(self._valid_from, now - REPORT_MAX_AGE_PERIODS * report_period_s)
        reporting = 0
        for host in live:
            report = self._reports.get(host)
            if report is not None and report.sent_at >= since and report.step >= step:
                reporting += 1
        return reporting >= MIN_REPORTING_FRACTION * len(live)

    def describe_evidence(self) -> str:
        """Return the tallies of both versions by signal, as fields of a log line."""
        fields = []
        for signal in Signal:
            new = self._total(Side.NEW, signal)
            old = self._total(Side.OLD, signal)
            fields.append(f"{signal.name.lower()}={new.hits}/{new.trials},{old.hits}/{old.trials}")
        return " ".join(fields)

    def _total(self, side: Side, signal: Signal) -> Tally:
        total = Tally(0, 0)
        for key, cell in self.evidence.totals.items():
            if key.side is side:
                total = total + cell.tally(signal)
        return total

    def is_suspect(self) -> bool:
        """Return whether the evidence of a regression is near its threshold."""
        return self.finding.excess > -SUSPICION_GAP

    def _trials(self) -> int:
        """Return the number of answered requests of the new version since the move's start.

        A long answer counts from its first byte on.
        """
        total = 0
        for key, cell in self.evidence.totals.items():
            if key.side is Side.NEW:
                total += max(cell.finished, cell.first_byte_trials)
        return total

    def _pairs(self, signal: Signal, steps: Iterable[int], totals: Cells) -> list[Pair]:
        """Return a signal's tallies as one pair for each step and load level."""
        pairs = []
        for step in steps:
            for level in LoadLevel:
                new = sum_cells(totals, step, Side.NEW, level, level).tally(signal)
                old = sum_cells(totals, step, Side.OLD, level, level).tally(signal)
                if new.trials and old.trials:
                    pairs.append(Pair(new, old))
        return pairs

    def _doubt(self, step: int) -> str:
        """Return why the new version seems worse than a step allows, empty if it does not."""
        return self._suspicion() or self._worse_signal(step, self.evidence.totals)

    def _current_doubt(self) -> str:
        """Return why the new version seems worse than its own step allows, empty if it does not.

        Outcomes from before a doubt that was cleared don't count, see `DoubtWindow`.
        """

        def doubt_of(cells: Cells) -> str:
            return self._worse_signal(self.step, cells)

        def excess_of(cells: Cells) -> str:
            return self._worse_signal(self.step, cells, std_errors_factor=0.0)

        totals = self.evidence.totals
        return self._suspicion() or self._doubt_window.find(self.step, totals, doubt_of, excess_of)

    def _suspicion(self) -> str:
        """Return why the new version is under suspicion of a regression, empty if it is not."""
        return f"under suspicion: {self.finding.why}" if self.is_suspect() else ""

    def _worse_signal(self, step: int, totals: Cells, std_errors_factor: float = 1.0) -> str:
        """Return which signal is worse than a step's margin allows, empty if none is.

        Parameters
        ----------
        step : int
            Step whose margin holds.
        totals : Cells
            Outcomes that count.
        std_errors_factor : float
            Factor of the standard errors by which an excess must stand out.
        """
        for signal in Signal:
            is_answered = signal is not Signal.UNANSWERED
            std_errors = DOUBT_STD_ERRORS if is_answered else UNANSWERED_DOUBT_STD_ERRORS
            comparisons = self._comparisons(signal, totals)
            needed = std_errors_factor * std_errors
            excess = max(excess_lower_bound(pairs, needed) for pairs in comparisons)
            if excess > noninferiority_margin(signal, step):
                return f"in doubt: {signal.name.lower()} higher by {excess:.3f} or more"
        return ""

    def _comparisons(self, signal: Signal, totals: Cells) -> list[list[Pair]]:
        """Return the pairs over all steps, over this step, and of this step against history."""
        comparisons = [self._pairs(signal, range(FIRST_STEP, self.step + 1), totals)]
        comparisons.append(self._pairs(signal, [self.step], totals))
        is_uncontrolled = self.step > LAST_CONTROLLED_STEP
        if is_uncontrolled or not may_be_shared_regression(totals, self.step, signal):
            comparisons.append(self._pairs_vs_history(signal, totals))
        return comparisons

    def _pairs_vs_history(self, signal: Signal, totals: Cells) -> list[Pair]:
        """Return this step's new version paired with the old version over all steps."""
        pairs = []
        for level in LoadLevel:
            new = sum_cells(totals, self.step, Side.NEW, level, level).tally(signal)
            old = Tally(0, 0)
            for step in range(FIRST_STEP, self.step + 1):
                old = old + sum_cells(totals, step, Side.OLD, level, level).tally(signal)
            if new.trials and old.trials:
                pairs.append(Pair(new, old))
        return pairs

    def _missing_evidence(self, step: int) -> str:
        """Return which evidence an early step still needs, empty if none."""
        for signal in Signal:
            pairs = self._pairs(signal, [self.step], self.evidence.totals)
            if signal not in ERROR_SIGNALS and not pairs:
                continue
            evidence = noninferiority_log_evidence(pairs, noninferiority_margin(signal, step))
            if evidence < log_threshold(NONINFERIORITY_ALPHA):
                return f"gathering evidence: {signal.name.lower()}, {self._trials()} requests seen"
        return ""

    def _missing_load(self) -> str:
        """Return a message if the new version lacks outcomes under high load, else empty."""
        if self.step < FIRST_LOADED_STEP:
            return ""
        totals = self.evidence.totals
        old = sum_cells(totals, self.step, Side.OLD, LoadLevel.HIGH, LoadLevel.FULL)
        new = sum_cells(totals, self.step, Side.NEW, LoadLevel.HIGH, LoadLevel.FULL)
        if old.finished >= MIN_LEVEL_TRIALS > new.finished:
            return f"gathering evidence under high load, {new.finished} requests seen"
        return ""


def sum_cells(cells: Cells, step: int, side: Side, lowest: LoadLevel, highest: LoadLevel) -> Cell:
    """Return the sum of the cells of a side at a step, from a load level up to another."""
    total = Cell()
    for key, cell in cells.items():
        if key.step == step and key.side is side and lowest <= key.level <= highest:
            total = total.plus(cell)
    return total
