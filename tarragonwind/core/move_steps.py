"""Define the traffic share of each step of a move, and its earliest and latest times."""

from __future__ import annotations

from tarragonwind.core.entries import MoveEntry
from tarragonwind.core.evidence import ERROR_SIGNALS, Signal
from tarragonwind.records import dataclass

FIRST_STEP = 1
LAST_CONTROLLED_STEP = 5
"""Last step at which the old version keeps enough traffic to compare with."""

COMPLETE_STEP = 6
LAST_SMALL_STEP = 2
"""Last step at which a host that gets no shares from a judge withholds the new version."""

FIRST_LOADED_STEP = 3
"""First step that requires outcomes under high load, if the old version has any."""


@dataclass(frozen=True, slots=True)
class Step:
    """Describe one step of a move.

    Attributes
    ----------
    share : float
        Fraction of the pool's requests routed to the new version.
    earliest, latest : float
        Fractions of the move's duration: the step is never taken before `earliest`, and from
        `latest` on it is taken unless there is evidence of a regression.
    min_trials : int
        Finished requests of the new version that the step requires.
    """

    share: float
    earliest: float
    latest: float
    min_trials: int


STEPS = (
    Step(0.0, 0.0, 0.0, 0),
    Step(0.05, 0.0, 0.0, 0),
    Step(0.10, 0.10, 0.40, 5),
    Step(0.25, 0.25, 0.52, 10),
    Step(0.50, 0.40, 0.62, 20),
    Step(0.90, 0.55, 0.72, 30),
    Step(1.0, 0.70, 0.88, 50),
)

MIN_DWELL_FRACTION = 0.05
"""Minimum time at a step, as a fraction of the move's duration."""

FAILED_HARM = 0.01
"""Largest excess of failed requests from an undetected bad version, as a fraction of all."""

SLOW_HARM = 0.03
"""Largest excess of slow requests from an undetected bad version, as a fraction of all."""

FAILED_NONINFERIORITY_MARGIN = 0.02
"""Smallest excess failure rate that must be ruled out before a step is taken early."""

SLOW_NONINFERIORITY_MARGIN = 0.10
"""Smallest excess rate of slow requests that must be ruled out before a step is taken early."""

MIN_PACE = 0.6
"""Smallest factor by which the times of all steps are shortened."""


def duration_s(move: MoveEntry) -> float:
    """Return a move's planned duration in seconds, at least 1."""
    return max(1.0, move.done_by - move.starts_at)


def pace_of(move: MoveEntry, reserve_s: float) -> float:
    """Return the factor for the times of all steps that leaves a reserve after the last of them.

    Parameters
    ----------
    move : MoveEntry
        Move whose steps are planned.
    reserve_s : float
        Time that requests of the old version take to end, in seconds.
    """
    total_s = duration_s(move)
    pace = (total_s - reserve_s) / (STEPS[COMPLETE_STEP].latest * total_s)
    return min(1.0, max(MIN_PACE, pace))


def earliest_at(move: MoveEntry, step: int, reserve_s: float = 0.0) -> float:
    """Return the earliest time of a step, in seconds since the epoch."""
    planned_s = STEPS[step].earliest * duration_s(move)
    return move.starts_at + pace_of(move, reserve_s) * planned_s


def latest_at(move: MoveEntry, step: int, reserve_s: float = 0.0) -> float:
    """Return the planned latest time of a step, in seconds since the epoch.

    From then on, the step is taken unless there is evidence of a regression.
    """
    planned_s = STEPS[step].latest * duration_s(move)
    return move.starts_at + pace_of(move, reserve_s) * planned_s


def noninferiority_margin(signal: Signal, step: int) -> float:
    """Return the excess rate that must be ruled out before a step is taken early."""
    if signal in ERROR_SIGNALS:
        return max(FAILED_NONINFERIORITY_MARGIN, FAILED_HARM / STEPS[step].share)
    return max(SLOW_NONINFERIORITY_MARGIN, SLOW_HARM / STEPS[step].share)
