"""Set the steps by which the share of a new version grows, and the times between which it may."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.core.entries import MoveEntry
from tarragonwind.core.evidence import Signal

FIRST_STEP = 1
LAST_CONTROLLED_STEP = 5
"""Last step at which the old version keeps enough traffic to compare with."""

COMPLETE_STEP = 6
LAST_SMALL_STEP = 2
"""Last step of a version that has proved nothing yet."""


FIRST_LOADED_STEP = 3
"""First step that waits for outcomes under high load, if the old version has them."""


@dataclass(frozen=True, slots=True)
class Step:
    """Describe one step of a move.

    Attributes
    ----------
    share : float
        Fraction of the pool's requests that goes to the new version.
    earliest, latest : float
        Fractions of the move's time: before the first no evidence leads to the step, from the
        second on the absence of bad evidence does.
    min_trials : int
        Finished requests of the new version without which the step isn't taken.
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
"""Least time at a step, as a fraction of the move's time."""

FAILED_HARM = 0.01
"""Fraction of all requests that an undetected bad version may fail beyond the old one."""

SLOW_HARM = 0.03
"""Fraction of all requests that an undetected bad version may slow beyond the old one."""

FAILED_NONINFERIORITY_MARGIN = 0.02
SLOW_NONINFERIORITY_MARGIN = 0.10


def duration_s(move: MoveEntry) -> float:
    """Return the time that a move has, in seconds."""
    return max(1.0, move.done_by - move.starts_at)


def earliest_at(move: MoveEntry, step: int) -> float:
    """Return the time before which a step isn't taken, in seconds since the epoch."""
    return move.starts_at + STEPS[step].earliest * duration_s(move)


def latest_at(move: MoveEntry, step: int) -> float:
    """Return the time from which a step is taken unless evidence is bad."""
    return move.starts_at + STEPS[step].latest * duration_s(move)


def noninferiority_margin(signal: Signal, step: int) -> float:
    """Return the excess rate that must be ruled out before a step is taken early."""
    if signal is Signal.FAILED:
        return max(FAILED_NONINFERIORITY_MARGIN, FAILED_HARM / STEPS[step].share)
    return max(SLOW_NONINFERIORITY_MARGIN, SLOW_HARM / STEPS[step].share)
