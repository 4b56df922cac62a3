"""Hold one host's state of one move: its share, its outcomes and its final facts."""

from __future__ import annotations

import random

from tarragonwind.core.entries import MoveEntry, MoveState
from tarragonwind.core.evidence import CellKey, LoadLevel, Side
from tarragonwind.core.move_messages import MoveReport, MoveShare
from tarragonwind.core.move_steps import COMPLETE_STEP, FIRST_STEP, LAST_SMALL_STEP, STEPS
from tarragonwind.core.move_trials import LatencyHistory, Trial, TrialCounter
from tarragonwind.core.moves import (
    PAUSE_GAP_S,
    REPORT_MAX_AGE_PERIODS,
    MoveJudge,
    MoveResult,
    MoveStatus,
    move_identity,
)

RESUME_WAIT_S = 3.0
"""Maximum time that this host withholds the new version after a pause, in seconds."""

CANCELLED_WHY = "cancelled by an operator"


class ShareCredit:
    """Spread a share evenly over a route's requests.

    The new version never gets more than one request above its share of those seen so far.
    """

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        self._credit = 0.0

    def draw(self, rng: random.Random, share: float) -> bool:
        """Return whether to route the next request to the new version."""
        if share <= 0.0:
            self._credit = min(self._credit, 0.0)
            return False
        self._credit += share
        chosen = self._credit >= 1.0 or (self._credit > 0.0 and rng.random() < share)
        if chosen:
            self._credit -= 1.0
        return chosen


class HostMove:
    """Hold the state of one move on one host.

    Parameters
    ----------
    entry : MoveEntry
        Current catalogue entry.
    now : float
        Seconds since the epoch.
    history : LatencyHistory
        Times of the old version on this host.

    Attributes
    ----------
    entry : MoveEntry
        Current catalogue entry.
    judge : MoveJudge
        Evidence of this host, and of the other hosts if this host is a judge.
    result : MoveResult or None
        Recorded result, None if there is none.
    result_why : str
        Reason recorded with the result.
    in_doubt : bool
        Whether the owner's judge doubts the new version, which then gets the first step's share.
    others : int
        Requests of this host that hold a permit for another version than the new one.
    must_report : bool
        Whether the judges must soon learn that this host has reached the last step, or that it has
        begun or ended to use other versions there.
    """

    __slots__ = (
        "_judge_seen_at",
        "_last_tick_at",
        "_reported_step",
        "_resumed_at",
        "_share_credits",
        "acknowledged",
        "counter",
        "entry",
        "in_doubt",
        "judge",
        "judge_why",
        "judging_until",
        "move_id",
        "must_report",
        "others",
        "read_deadline",
        "record_read",
        "report_often",
        "reported_at",
        "requested_at",
        "result",
        "result_why",
    )

    def __init__(self, entry: MoveEntry, now: float, history: LatencyHistory) -> None:
        self.entry = entry
        self.move_id = move_identity(entry)
        self.judge = MoveJudge(entry, now)
        self.counter = TrialCounter(history)
        self.result: MoveResult | None = None
        self.result_why = ""
        self.acknowledged: dict[str, tuple[int, int]] = {}
        self.reported_at = float("-inf")
        self.requested_at = float("-inf")
        self.read_deadline = float("inf")
        self.record_read = False
        self.report_often = False
        self.judge_why = "not started"
        self.judging_until = float("-inf")
        self._share_credits: dict[str, ShareCredit] = {}
        self._judge_seen_at = float("-inf")
        self.in_doubt = False
        self.others = 0
        self.must_report = False
        self._reported_step = 0
        self._last_tick_at = now
        self._resumed_at = float("-inf")

    def set_entry(self, entry: MoveEntry) -> None:
        """Apply a changed entry of the same move; a cancellation is final."""
        self.entry = entry
        self.judge.move = entry
        if entry.state is MoveState.CANCELLED and self.result is None:
            self.judge.take_back(CANCELLED_WHY)

    @property
    def is_withheld(self) -> bool:
        """Return whether "done" is recorded although the move was taken back."""
        return self.result is MoveResult.DONE and bool(self.judge.taken_back)

    @property
    def moved(self) -> bool:
        """Return whether the move is done and the new version serves all requests."""
        return self.result is MoveResult.DONE and not self.judge.taken_back

    @property
    def replaces_all(self) -> bool:
        """Return whether the new version gets all requests of a move in progress."""
        return self.judge.step == COMPLETE_STEP and not self.in_doubt

    def detect_pause(self, now: float) -> None:
        """Detect a pause of this host or a jump of its clock."""
        if now - self._last_tick_at > PAUSE_GAP_S or now < self._last_tick_at:
            self._resumed_at = now
        self._last_tick_at = now

    def lacks_judge(self, now: float, report_period_s: float) -> bool:
        """Return whether no judge has sent a share recently."""
        return now - self._judge_seen_at > REPORT_MAX_AGE_PERIODS * report_period_s

    def apply_share(self, now: float, msg: MoveShare, is_owner: bool) -> None:
        """Apply the share that a judge has sent; only the owner's reason is stored."""
        self.judge.adopt_step(msg.step, msg.step_since)
        self._judge_seen_at = now
        self.report_often = msg.report_often
        if is_owner:
            self.judge_why = msg.why
            self.in_doubt = msg.in_doubt

    def count_others(self, others: int) -> None:
        """Note how many requests of this host hold a permit for another version."""
        is_new = self._reported_step != COMPLETE_STEP or bool(others) != bool(self.others)
        if self.judge.step == COMPLETE_STEP and is_new:
            self.must_report = True
        self.others = others

    def share(self, now: float, report_period_s: float) -> float:
        """Return the fraction of requests to route to the new version.

        While its judge doubts the version, it gets the share of the first step.
        """
        if self.judge.taken_back or self.result is MoveResult.TAKEN_BACK:
            return 0.0
        if self.result is MoveResult.DONE:
            return 1.0
        if self._judge_seen_at <= self._resumed_at and now - self._resumed_at < RESUME_WAIT_S:
            return 0.0
        if self.judge.step <= LAST_SMALL_STEP and self.lacks_judge(now, report_period_s):
            return 0.0
        step = min(self.judge.step, FIRST_STEP) if self.in_doubt else self.judge.step
        return STEPS[step].share

    def draw(self, now: float, rng: random.Random, route: str, report_period_s: float) -> bool:
        """Return whether to route the next request of a route to the new version."""
        self.detect_pause(now)
        credit = self._share_credits.setdefault(route, ShareCredit())
        return credit.draw(rng, self.share(now, report_period_s))

    def start(self, now: float, route: str, version: str, level: LoadLevel) -> Trial | None:
        """Track a request; return None if its outcome is not evidence."""
        if self.judge.taken_back or self.result is not None or not self.judge.step:
            return None
        if version == self.entry.to_version:
            side = Side.NEW
        elif version == self.entry.from_version:
            side = Side.OLD
        else:
            return None
        key = CellKey(self.judge.step, side, route, level)
        return self.counter.start(now, self.move_id, key)

    def report_for(self, now: float, judge_host: str, incarnation: int) -> MoveReport:
        """Return a report of the cells that a judge has not acknowledged."""
        self._reported_step = self.judge.step
        _, acknowledged = self.acknowledged.get(judge_host, (0, 0))
        evidence = self.counter.evidence
        return MoveReport(
            move_id=self.move_id,
            incarnation=incarnation,
            sequence=evidence.sequence,
            sent_at=now,
            step=self.judge.step,
            step_since=self.judge.step_since,
            taken_back=self.judge.taken_back,
            rows=evidence.rows_after(acknowledged),
            others=self.others,
            longest_ms=round(1_000 * self.counter.longest_s(now)),
        )

    def acknowledge(self, judge_host: str, incarnation: int, sequence: int) -> None:
        """Store the sequence that a judge has received; a restarted judge begins at 0."""
        known, highest = self.acknowledged.get(judge_host, (0, 0))
        highest = max(highest, sequence) if known == incarnation else 0
        self.acknowledged[judge_host] = (incarnation, highest)

    def fact(self) -> list[str] | None:
        """Return the final fact about the move, None while there is none."""
        if not self.judge.taken_back and self.result is None:
            return None
        result = self.result.value if self.result else ""
        return [self.move_id, self.judge.taken_back, result, self.result_why]

    def merge_facts(self, taken_back: str, result: MoveResult | None, why: str) -> bool:
        """Merge a final fact; return whether it changed anything."""
        before = self.fact()
        if result is not None and self.result is None:
            self.result = result
            self.result_why = why
        if taken_back:
            self.judge.take_back(taken_back)
        return self.fact() != before

    def status(self, now: float, report_period_s: float, waits_for: str) -> MoveStatus:
        """Return the move's status; `waits_for` is why it is not in progress, empty if it is."""
        return MoveStatus(
            move_id=self.move_id,
            name=self.entry.name,
            result=self.result,
            share=0.0 if waits_for else self.share(now, report_period_s),
            why=self._why(now, report_period_s, waits_for),
            withheld=self.is_withheld,
        )

    def _why(self, now: float, report_period_s: float, waits_for: str) -> str:
        if self.is_withheld:
            return f"{self.result_why}; withheld: {self.judge.taken_back}"
        if self.result is not None:
            return self.result_why
        if self.judge.taken_back:
            return f"taken back, waiting for the store's record: {self.judge.taken_back}"
        if waits_for:
            return waits_for
        if self.lacks_judge(now, report_period_s):
            return "no judge has been heard lately"
        return self.judge_why
