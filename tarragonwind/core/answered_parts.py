"""Choose which answered parts of long prompts a host tells to the owner of their pool.

An owner learns the first parts of a prompt from the permit request. Of the others it has to know
those of each prompt on which an upstream crashed, and, to tell the cause among them, which parts
are answered. Conversations repeat most of their parts, so each is told once in a while.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

MAX_ASKED_PARTS = 64
"""Maximum number of a prompt's parts that a permit request names, counted from its beginning."""
TELL_PERIOD_S = 10.0
"""Time for which an answered part is not told again, in seconds."""
MAX_TOLD = 64
"""Maximum number of parts that are told with one answer; the next answers tell the others."""
MAX_REMEMBERED = 16_384
"""Maximum number of parts that are remembered as told; the one told longest ago is dropped."""


class AnsweredParts:
    """Remember which parts were told as answered lately."""

    __slots__ = ("_told_at",)

    def __init__(self) -> None:
        self._told_at: OrderedDict[int, float] = OrderedDict()

    def select(self, now: float, parts: Sequence[int]) -> list[int]:
        """Return the parts of an answered prompt to tell now.

        Parameters
        ----------
        now : float
            Time in seconds.
        parts : sequence of int
            Keys of the parts that the owner doesn't know from the permit request.
        """
        oldest = now - TELL_PERIOD_S
        selected = [part for part in parts if self._told_at.get(part, oldest) <= oldest][:MAX_TOLD]
        for part in selected:
            self._told_at[part] = now
            self._told_at.move_to_end(part)
        while len(self._told_at) > MAX_REMEMBERED:
            self._told_at.popitem(last=False)
        return selected
