"""Track the requests of a move on one host and count their outcomes."""

from __future__ import annotations

import enum

from tarragonwind.core.evidence import (
    Cell,
    CellKey,
    HostEvidence,
    LatencyBaseline,
    LoadLevel,
    Side,
    Signal,
)
from tarragonwind.records import dataclass

OVERDUE_RATIO = 2.0
"""Ratio to the limit for slow requests after which one without a first byte is unanswered."""

DURATION_WINDOW_S = 30.0
"""Time after which the longest time of a request is forgotten, at most twice this, in seconds."""

BaselineKey = tuple[str | None, LoadLevel | None, Signal]


class Outcome(enum.Enum):
    """Classify how a request ended, as evidence on the version that served it."""

    OK = "ok"
    FAILED = "failed"
    """The upstream answered with a failure."""
    UNANSWERED = "unanswered"
    """No complete response came."""
    IGNORED = "ignored"
    """Ended for a reason unrelated to the version, such as a caller disconnect."""


class LatencyHistory:
    """Hold the times of a version by route and load level, also from before a move."""

    __slots__ = ("_baselines", "_longest_s", "_window")

    def __init__(self) -> None:
        self._baselines: dict[BaselineKey, LatencyBaseline] = {}
        self._window = 0
        self._longest_s = (0.0, 0.0)

    def add_duration(self, now: float, time_s: float) -> None:
        """Add the time of a request that ended well, in seconds."""
        self._turn_window(now)
        before, current = self._longest_s
        self._longest_s = (before, max(current, time_s))

    def longest_s(self, now: float) -> float:
        """Return the longest time of a request that ended well lately, in seconds; 0 for none."""
        self._turn_window(now)
        return max(self._longest_s)

    def _turn_window(self, now: float) -> None:
        window = int(now / DURATION_WINDOW_S)
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._longest_s = (self._longest_s[1] if is_next else 0.0, 0.0)
        self._window = window

    def limit_s(self, key: CellKey, signal: Signal) -> float | None:
        """Return the time above which a request is slow, None without enough samples."""
        for baseline in self._baselines_of(key, signal):
            limit_s = baseline.limit_s()
            if limit_s is not None:
                return limit_s
        return None

    def add(self, now: float, key: CellKey, signal: Signal, time_s: float) -> None:
        """Add a time of the version, in seconds."""
        for baseline in self._baselines_of(key, signal):
            baseline.add(now, time_s)

    def _baselines_of(self, key: CellKey, signal: Signal) -> list[LatencyBaseline]:
        """Return the baselines for a request, the most specific first."""
        found = []
        for group in ((key.route, key.level), (key.route, None), (None, None)):
            baseline_key = (*group, signal)
            baseline = self._baselines.get(baseline_key)
            if baseline is None:
                baseline = self._baselines[baseline_key] = LatencyBaseline()
            found.append(baseline)
        return found


@dataclass(slots=True, eq=False)
class Trial:
    """Hold one dispatched request of a move.

    Attributes
    ----------
    move_id : str
        Move for which it is counted, empty without one.
    key : CellKey
        Cell in which it is counted.
    started_at : float
        Time of dispatch, in seconds since the epoch.
    first_byte_at : float or None
        Time of the first response byte, in seconds since the epoch; None before it.
    overdue : bool
        Whether it was counted as unanswered before its end.
    history : LatencyHistory or None
        Where its times are added if it is not evidence for a move.
    """

    move_id: str
    key: CellKey
    started_at: float
    first_byte_at: float | None = None
    overdue: bool = False
    history: LatencyHistory | None = None

    def add_first_byte(self, now: float) -> None:
        """Add the time to the first byte to the history, once."""
        if self.history is not None and self.first_byte_at is None:
            self.first_byte_at = now
            self.history.add(now, self.key, Signal.FIRST_BYTE, now - self.started_at)

    def add_end(self, now: float, outcome: Outcome, tokens: int) -> None:
        """Add the time of a request and, of a streamed one, per token to the history."""
        if self.history is not None and outcome is Outcome.OK:
            self.history.add_duration(now, now - self.started_at)
        if self.history is not None and self.first_byte_at is not None and tokens > 1:
            token_s = (now - self.first_byte_at) / (tokens - 1)
            self.history.add(now, self.key, Signal.PER_TOKEN, token_s)


class TrialCounter:
    """Turn the requests of one move on one host into counts.

    Parameters
    ----------
    history : LatencyHistory
        Times of the old version.

    Attributes
    ----------
    evidence : HostEvidence
        Cumulative counts.
    urgent : bool
        Whether the new version had a failure, a slow first byte or no response since the last
        report.
    """

    __slots__ = ("_history", "_open", "evidence", "urgent")

    def __init__(self, history: LatencyHistory) -> None:
        self.evidence = HostEvidence()
        self.urgent = False
        self._open: dict[int, Trial] = {}
        self._history = history

    def longest_s(self, now: float) -> float:
        """Return the longest time of a request of the old version lately, in seconds."""
        return self._history.longest_s(now)

    def start(self, now: float, move_id: str, key: CellKey) -> Trial:
        """Start to track a dispatched request."""
        trial = Trial(move_id, key, now)
        self._open[id(trial)] = trial
        return trial

    def first_byte(self, now: float, trial: Trial) -> None:
        """Count the time to the first byte, once."""
        if trial.first_byte_at is not None:
            return
        trial.first_byte_at = now
        time_s = now - trial.started_at
        limit_s = self._history.limit_s(trial.key, Signal.FIRST_BYTE)
        if limit_s is not None:
            self._count_first_byte(trial, time_s > limit_s)
        self._add_to_history(now, trial, Signal.FIRST_BYTE, time_s)

    def finish(self, now: float, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Count the end of a request, once."""
        if self._open.pop(id(trial), None) is None or outcome is Outcome.IGNORED:
            return
        if not trial.overdue:
            self._count_answer(trial, outcome is not Outcome.UNANSWERED)
        if outcome is Outcome.UNANSWERED:
            return
        if trial.key.side is Side.OLD and outcome is Outcome.OK:
            self._history.add_duration(now, now - trial.started_at)
        cell = self._changed_cell(trial)
        cell.finished += 1
        if outcome is Outcome.FAILED:
            cell.failed += 1
            self.urgent = self.urgent or trial.key.side is Side.NEW
        elif tokens > 1 and trial.first_byte_at is not None:
            self._count_time_per_token(now, trial, cell, (now - trial.first_byte_at) / (tokens - 1))

    def count_overdue(self, now: float) -> None:
        """Count requests as unanswered that are far above the limit without a first byte."""
        for trial in self._open.values():
            if trial.overdue or trial.first_byte_at is not None:
                continue
            limit_s = self._history.limit_s(trial.key, Signal.FIRST_BYTE)
            if limit_s is not None and now - trial.started_at > OVERDUE_RATIO * limit_s:
                trial.overdue = True
                self._count_answer(trial, False)

    def _count_answer(self, trial: Trial, is_answered: bool) -> None:
        cell = self._changed_cell(trial)
        cell.answer_trials += 1
        cell.unanswered += not is_answered
        self.urgent = self.urgent or (not is_answered and trial.key.side is Side.NEW)

    def _count_first_byte(self, trial: Trial, is_slow: bool) -> None:
        cell = self._changed_cell(trial)
        cell.first_byte_trials += 1
        cell.first_byte_slow += is_slow
        self.urgent = self.urgent or (is_slow and trial.key.side is Side.NEW)

    def _count_time_per_token(self, now: float, trial: Trial, cell: Cell, token_s: float) -> None:
        limit_s = self._history.limit_s(trial.key, Signal.PER_TOKEN)
        if limit_s is not None:
            cell.per_token_trials += 1
            cell.per_token_slow += token_s > limit_s
        self._add_to_history(now, trial, Signal.PER_TOKEN, token_s)

    def _changed_cell(self, trial: Trial) -> Cell:
        return self.evidence.mark_changed(trial.key)

    def _add_to_history(self, now: float, trial: Trial, signal: Signal, time_s: float) -> None:
        if trial.key.side is Side.OLD:
            self._history.add(now, trial.key, signal, time_s)
