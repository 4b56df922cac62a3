"""Follow the requests of a move on one host until their outcomes are counted."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tarragonwind.core.evidence import (
    Cell,
    CellKey,
    HostEvidence,
    LatencyBaseline,
    LoadLevel,
    Side,
    Signal,
)

BaselineKey = tuple[str | None, LoadLevel | None, Signal]


class Outcome(enum.Enum):
    """Tell how a request ended, as far as its version can be blamed."""

    OK = "ok"
    FAILED = "failed"
    IGNORED = "ignored"
    """Ended for another reason, such as a caller that left."""


@dataclass(slots=True, eq=False)
class Trial:
    """Hold one request of a move from its dispatch on.

    Attributes
    ----------
    move_id : str
        Move that it counts for.
    key : CellKey
        Cell that it counts in.
    started_at : float
        Time of dispatch, in seconds since the epoch.
    first_byte_at : float or None
        Time of the answer's first byte.
    judged : bool
        Whether its first byte was counted, in time or not.
    """

    move_id: str
    key: CellKey
    started_at: float
    first_byte_at: float | None = None
    judged: bool = False


class TrialCounter:
    """Turn the requests of one move on one host into counts.

    Attributes
    ----------
    evidence : HostEvidence
        Cumulative counts.
    urgent : bool
        Whether the new version did something that a judge should hear of soon.
    """

    __slots__ = ("_open", "_references", "evidence", "urgent")

    def __init__(self) -> None:
        self.evidence = HostEvidence()
        self.urgent = False
        self._open: dict[int, Trial] = {}
        self._references: dict[BaselineKey, LatencyBaseline] = {}

    def start(self, now: float, move_id: str, key: CellKey) -> Trial:
        """Follow a request from its dispatch on."""
        trial = Trial(move_id, key, now)
        self._open[id(trial)] = trial
        return trial

    def first_byte(self, now: float, trial: Trial) -> None:
        """Count the time to the first byte, once."""
        if trial.first_byte_at is not None:
            return
        trial.first_byte_at = now
        time_s = now - trial.started_at
        limit_s = self._limit_s(trial, Signal.FIRST_BYTE)
        if not trial.judged and limit_s is not None:
            self._judge_start(trial, time_s > limit_s)
        self._refer(now, trial, Signal.FIRST_BYTE, time_s)

    def finish(self, now: float, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Count the end of a request, once."""
        if self._open.pop(id(trial), None) is None or outcome is Outcome.IGNORED:
            return
        cell = self._touch(trial)
        cell.finished += 1
        if outcome is Outcome.FAILED:
            cell.failed += 1
            self.urgent = self.urgent or trial.key.side is Side.NEW
        elif tokens > 1 and trial.first_byte_at is not None:
            self._count_pace(now, trial, cell, (now - trial.first_byte_at) / (tokens - 1))

    def count_overdue(self, now: float) -> None:
        """Count requests as slow whose first byte is already late."""
        for trial in self._open.values():
            if trial.judged or trial.first_byte_at is not None:
                continue
            limit_s = self._limit_s(trial, Signal.FIRST_BYTE)
            if limit_s is not None and now - trial.started_at > limit_s:
                self._judge_start(trial, True)

    def _judge_start(self, trial: Trial, late: bool) -> None:
        trial.judged = True
        cell = self._touch(trial)
        cell.first_byte_trials += 1
        cell.first_byte_slow += late
        self.urgent = self.urgent or (late and trial.key.side is Side.NEW)

    def _count_pace(self, now: float, trial: Trial, cell: Cell, token_s: float) -> None:
        limit_s = self._limit_s(trial, Signal.PER_TOKEN)
        if limit_s is not None:
            cell.per_token_trials += 1
            cell.per_token_slow += token_s > limit_s
        self._refer(now, trial, Signal.PER_TOKEN, token_s)

    def _touch(self, trial: Trial) -> Cell:
        return self.evidence.touch(trial.key)

    def _references_of(self, trial: Trial, signal: Signal) -> list[LatencyBaseline]:
        """Return the references for a request, the most specific first."""
        found = []
        key = trial.key
        for name in ((key.route, key.level), (key.route, None), (None, None)):
            full_name = (*name, signal)
            reference = self._references.get(full_name)
            if reference is None:
                reference = self._references[full_name] = LatencyBaseline()
            found.append(reference)
        return found

    def _limit_s(self, trial: Trial, signal: Signal) -> float | None:
        """Return the time above which a request is slow, None while too little is known."""
        for reference in self._references_of(trial, signal):
            limit_s = reference.limit_s()
            if limit_s is not None:
                return limit_s
        return None

    def _refer(self, now: float, trial: Trial, signal: Signal, time_s: float) -> None:
        if trial.key.side is Side.OLD:
            for reference in self._references_of(trial, signal):
                reference.add(now, time_s)
