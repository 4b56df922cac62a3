"""Let a new version in doubt clear itself by what it does from the begin of the doubt on.

A version in doubt gets the share of the first step. At that share the outcomes that have begun the
doubt, such as the first requests over new connections just after a step, outweigh later ones for
longer than a move may take. Outcomes since then that are as good as the old version's clear it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from tarragonwind.core.evidence import Cells, LoadLevel, Side
from tarragonwind.core.regression_detectors import subtract_cells

FIRST_CLEARING_TRIALS = 8
"""Outcomes of the new version that clear the first doubt at a step. Each further doubt at the step
takes twice as many, so that a bad version gains little by good spells."""

FindDoubt = Callable[[Cells], str]
"""Returns which signal is worse by some outcomes, empty if none is."""


class DoubtWindow:
    """Choose the outcomes that count for the doubt at the step in force.

    `_counted_from` are the outcomes of the step before a doubt that was cleared, which count no
    more, and `_begun_with` those before the doubt in force, None without one.
    """

    __slots__ = ("_begun_with", "_counted_from", "_needed", "_step")

    def __init__(self) -> None:
        self._step = 0
        self._begin_step(0)

    def _begin_step(self, step: int) -> None:
        self._step = step
        self._counted_from: Cells = {}
        self._begun_with: Cells | None = None
        self._needed = FIRST_CLEARING_TRIALS

    def find(self, step: int, totals: Cells, doubt_of: FindDoubt, excess_of: FindDoubt) -> str:
        """Return why the new version is in doubt, empty if it is not.

        Parameters
        ----------
        step : int
            Step in force.
        totals : Cells
            All outcomes.
        doubt_of : callable
            Returns which signal is clearly worse than the step allows by some outcomes, empty if
            none is.
        excess_of : callable
            The same for a signal that is worse at all, which keeps a doubt from being cleared.
        """
        if step != self._step:
            self._begin_step(step)
        doubt = doubt_of(self._since(totals, self._counted_from))
        if not doubt:
            self._begun_with = None
            return ""
        if self._begun_with is None:
            self._begun_with = self._of_step(totals)
            return doubt
        since = self._since(totals, self._begun_with)
        if count_trials(since, step) < self._needed or excess_of(since):
            return doubt
        self._counted_from, self._begun_with = self._begun_with, None
        self._needed *= 2
        return ""

    def _of_step(self, totals: Cells) -> Cells:
        return {key: cell for key, cell in totals.items() if key.step == self._step}

    def _since(self, totals: Cells, earlier: Cells) -> Cells:
        """Return all outcomes without those of the step that had come before."""
        return subtract_cells(totals, earlier) if earlier else totals


def count_trials(cells: Cells, step: int) -> int:
    """Return the number of answered requests of the new version at a step.

    Those at a load at which the old version has none can't be compared, and don't count.
    """
    counts: dict[Side, Counter[LoadLevel]] = {side: Counter() for side in Side}
    for key, cell in cells.items():
        if key.step == step:
            counts[key.side][key.level] += max(cell.finished, cell.first_byte_trials)
    return sum(new for level, new in counts[Side.NEW].items() if counts[Side.OLD][level])
