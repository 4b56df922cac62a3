"""Find parts of prompts that crash one upstream after another.

An upstream that crashes breaks the responses of all its requests. Those that had not begun may have
caused it; their prompts' parts become suspects. A part that was answered anywhere is sound. A part
is convicted when several upstreams have crashed on it and it was never answered in between. Where
several parts of one prompt could be the cause, only one is convicted: the one that was never
answered, or longest ago.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from tarragonwind.core.entries import UpstreamStart

CRASHES_TO_CONVICT = 3
"""Crashes of upstreams that convict a part which was never answered."""

CRASHES_TO_CONVICT_ANSWERED = 6
"""Crashes, without an answer in between, that convict a part which was answered once."""

SAME_MOMENT_S = 0.25
"""Time within which broken connections may have one cause outside of the upstreams, in seconds."""

CONFIRMED_S = 2.0
"""Time without an answer after which an upstream has certainly crashed, in seconds."""

MEMORY_S = 120.0
"""Time for which a crash counts, in seconds."""

MAX_ANSWERED = 4_096
"""Maximum number of parts whose last answer is remembered."""

MAX_SUSPECTS = 1_024
"""Maximum number of parts under suspicion; the one suspected longest ago is dropped first."""


class Suspect:
    """Hold the crashes of upstreams on one part since it was last answered.

    Attributes
    ----------
    crashes : dict of UpstreamStart to float
        Time at which each upstream crashed, in seconds.
    convicted : bool
        Whether the part was convicted; it is convicted again at the next crash on it.
    position : int
        Last position at which a prompt had the part; later parts are more specific.
    """

    __slots__ = ("convicted", "crashes", "position")

    def __init__(self) -> None:
        self.crashes: dict[UpstreamStart, float] = {}
        self.convicted = False
        self.position = 0

    def add(self, now: float, start: UpstreamStart, position: int) -> None:
        """Add the crash of an upstream; a second one of the same start has no effect."""
        self.drop_before(now - MEMORY_S)
        self.crashes.setdefault(start, now)
        self.position = position

    def drop_starts(self, starts: Iterable[UpstreamStart]) -> None:
        """Drop crashes that another part has caused."""
        for start in starts:
            self.crashes.pop(start, None)

    def drop_before(self, at: float) -> None:
        """Drop crashes that are older than a time."""
        self.crashes = {
            start: crashed_at for start, crashed_at in self.crashes.items() if crashed_at >= at
        }

    def count_moments(self) -> int:
        """Return the number of crashes that are at least `SAME_MOMENT_S` apart."""
        count = 0
        last_at = float("-inf")
        for at in sorted(self.crashes.values()):
            if at - last_at >= SAME_MOMENT_S:
                count += 1
                last_at = at
        return count

    def count_crashes(self, now: float) -> int:
        """Return the number of upstreams that have certainly crashed on the part."""
        confirmed = sum(1 for at in self.crashes.values() if now - at >= CONFIRMED_S)
        return max(self.count_moments(), confirmed)


class Suspicions:
    """Collect the evidence on the parts of the prompts that one pool gets."""

    __slots__ = ("_answered_at", "_suspects")

    def __init__(self) -> None:
        self._suspects: OrderedDict[int, Suspect] = OrderedDict()
        self._answered_at: OrderedDict[int, float] = OrderedDict()

    def on_crash(self, now: float, start: UpstreamStart, parts: Sequence[int]) -> list[int]:
        """Suspect the parts of a request that an upstream had not answered when it crashed.

        Parameters
        ----------
        now : float
            Time in seconds.
        start : UpstreamStart
            Upstream that has crashed.
        parts : sequence of int
            Parts of the prompt, in order.

        Returns
        -------
        list of int
            Parts that this crash has convicted.
        """
        known = [part for part in parts if self._is_convicted(part)]
        if known:
            return known
        for position, part in enumerate(parts):
            self._suspect(part).add(now, start, position)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return self._convict_one(now, parts)

    def on_answered(
        self, now: float, granted_at: float, start: UpstreamStart, parts: Iterable[int]
    ) -> None:
        """Clear the parts of a request that was answered, and what is held against its upstream.

        Parameters
        ----------
        now, granted_at : float
            Time, and time of the request's grant, in seconds; the upstream has not crashed before.
        start : UpstreamStart
            Upstream that has answered.
        parts : iterable of int
            Parts of the answered prompt.
        """
        for part in parts:
            self._suspects.pop(part, None)
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        for suspect in self._suspects.values():
            if suspect.crashes.get(start, granted_at) < granted_at:
                del suspect.crashes[start]

    def take_confirmed(self, now: float) -> list[int]:
        """Convict a part whose crashes are confirmed by now, if any; forget old suspects."""
        for part, suspect in list(self._suspects.items()):
            suspect.drop_before(now - MEMORY_S)
            if not suspect.crashes and not suspect.convicted:
                del self._suspects[part]
        return self._convict_one(now, self._suspects)

    def _suspect(self, part: int) -> Suspect:
        suspect = self._suspects.setdefault(part, Suspect())
        self._suspects.move_to_end(part)
        return suspect

    def _is_convicted(self, part: int) -> bool:
        suspect = self._suspects.get(part)
        return suspect is not None and suspect.convicted

    def _has_evidence(self, now: float, part: int) -> bool:
        suspect = self._suspects[part]
        needed = CRASHES_TO_CONVICT_ANSWERED if part in self._answered_at else CRASHES_TO_CONVICT
        return not suspect.convicted and suspect.count_crashes(now) >= needed

    def _convict_one(self, now: float, parts: Iterable[int]) -> list[int]:
        """Convict the likeliest part with enough evidence; its crashes then count for no other."""
        candidates = [part for part in parts if self._has_evidence(now, part)]
        if not candidates:
            return []
        part = max(candidates, key=self._likelihood)
        convict = self._suspects[part]
        convict.convicted = True
        for suspect in self._suspects.values():
            if suspect is not convict:
                suspect.drop_starts(convict.crashes)
        return [part]

    def _likelihood(self, part: int) -> tuple[float, int]:
        """Rank parts: the one answered longest ago or never first, then the later in its prompt."""
        answered_at = self._answered_at.get(part, float("-inf"))
        return (-answered_at, self._suspects[part].position)
