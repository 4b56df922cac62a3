"""Find requests, and parts of prompts, that crash one upstream after another.

An upstream that crashes breaks the responses of all its requests. Those that had not begun may have
caused it; their keys become suspects: one for each part of a prompt that other prompts may have
too, and one for the request itself. A key that was answered anywhere is sound. A key is convicted
when several upstreams have crashed on it and it was never answered in between.

Each request with enough crashes is convicted, as that costs no other request. A part is convicted
only if the evidence fits no other part as well, and not if its crashes all belong to convicted
requests. A part that was never answered is suspected before one that was, one with more crashes
before one with fewer; where it stands in its prompt is no evidence.

Of parts that are equally suspect all that is known is that upstreams crash on the combination: only
prompts that hold all of them are kept from upstreams. Prompts with some of them go on: an answer
clears those, a crash shows that the cause is among them (adaptive group testing).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from tarragonwind.core.entries import UpstreamStart
from tarragonwind.core.request_keys import is_request_key
from tarragonwind.records import dataclass

CRASHES_TO_CONVICT = 3
"""Crashes of upstreams that convict a key which was never answered."""

CRASHES_TO_CONVICT_ANSWERED = 6
"""Crashes, without an answer in between, that convict a key which was answered once."""

SAME_MOMENT_S = 0.25
"""Time within which broken connections may have one cause outside of the upstreams, in seconds."""

CONFIRMED_S = 2.0
"""Time without an answer after which an upstream has certainly crashed, in seconds."""

MEMORY_S = 120.0
"""Time for which a crash counts, in seconds."""

MAX_ANSWERED = 16_384
"""Maximum number of keys whose last answer is remembered."""

MAX_SUSPECTS = 16_384
"""Maximum number of keys under suspicion, more than the head of a prompt of 64 KiB can name; the
one suspected longest ago is dropped first."""

MAX_COMBINED = 1_024
"""Maximum number of parts of a combination. Of more, prompts with these are kept back."""


class Suspect:
    """Hold the crashes of upstreams on one key since it was last answered.

    Attributes
    ----------
    crashes : dict of UpstreamStart to float
        Time at which each upstream crashed, in seconds.
    convicted : bool
        Whether the key was convicted; it is convicted again at the next crash on it.
    """

    __slots__ = ("convicted", "crashes")

    def __init__(self) -> None:
        self.crashes: dict[UpstreamStart, float] = {}
        self.convicted = False

    def add(self, now: float, start: UpstreamStart) -> None:
        """Add the crash of an upstream; a second one of the same start has no effect."""
        self.drop_before(now - MEMORY_S)
        self.crashes.setdefault(start, now)

    def drop_starts(self, starts: Iterable[UpstreamStart]) -> None:
        """Drop crashes that another key has caused."""
        for start in starts:
            self.crashes.pop(start, None)

    def drop_before(self, at: float) -> None:
        """Drop crashes that are older than a time."""
        if all(crashed_at >= at for crashed_at in self.crashes.values()):
            return
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
        """Return the number of upstreams that have certainly crashed on the key."""
        confirmed = sum(1 for at in self.crashes.values() if now - at >= CONFIRMED_S)
        return max(self.count_moments(), confirmed)


@dataclass(frozen=True, slots=True)
class CombinationChange:
    """Tell that a combination of parts is under suspicion, or no longer.

    Attributes
    ----------
    parts : frozenset of int
        Keys of parts that are equally suspect.
    is_cleared : bool
        Whether each of them was answered since.
    """

    parts: frozenset[int]
    is_cleared: bool


class Suspicions:
    """Collect the evidence on the keys of the requests that one pool gets."""

    __slots__ = ("_answered_at", "_changes", "_combinations", "_crashed_at", "_suspects")

    def __init__(self) -> None:
        self._combinations: dict[frozenset[int], frozenset[int]] = {}
        self._changes: list[CombinationChange] = []
        self._suspects: OrderedDict[int, Suspect] = OrderedDict()
        self._answered_at: OrderedDict[int, float] = OrderedDict()
        self._crashed_at: dict[UpstreamStart, float] = {}

    def on_crash(self, now: float, start: UpstreamStart, keys: Sequence[int]) -> list[int]:
        """Suspect the keys of a request that an upstream had not answered when it crashed.

        Parameters
        ----------
        now : float
            Time in seconds.
        start : UpstreamStart
            Upstream that has crashed.
        keys : sequence of int
            Keys of the prompt's parts, in order, and of the request.

        Returns
        -------
        list of int
            Keys that this crash has convicted.
        """
        crashed_at = self._crashed_at.setdefault(start, now)
        known = [key for key in keys if self._is_convicted(key)]
        if known:
            return known
        if now - crashed_at >= SAME_MOMENT_S:
            # It has not answered since it crashed, so this request found it gone.
            return []
        for key in keys:
            self._suspect(key).add(now, start)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return self._convict(now, keys)

    def take_combinations(self) -> list[CombinationChange]:
        """Return the changes of combinations since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def on_answered(
        self, now: float, granted_at: float, start: UpstreamStart, keys: Iterable[int]
    ) -> list[int]:
        """Clear the keys of a request that was answered, and what is held against its upstream.

        Parameters
        ----------
        now, granted_at : float
            Time, and time of the request's grant, in seconds; the upstream has not crashed before.
        start : UpstreamStart
            Upstream that has answered.
        keys : iterable of int
            Keys of the answered request.

        Returns
        -------
        list of int
            Keys that are convicted because the others of their combination are cleared.
        """
        keys = list(keys)
        for key in keys:
            self._suspects.pop(key, None)
            self._answered_at[key] = now
            self._answered_at.move_to_end(key)
        while len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        if start in self._crashed_at:
            self._drop_disproved(granted_at, start)
        return self._narrow(frozenset(keys)) if self._combinations else []

    def take_confirmed(self, now: float) -> list[int]:
        """Convict the keys whose crashes are confirmed by now; forget old suspects."""
        oldest = now - MEMORY_S
        self._crashed_at = {start: at for start, at in self._crashed_at.items() if at >= oldest}
        for key, suspect in list(self._suspects.items()):
            suspect.drop_before(oldest)
            if not suspect.crashes and not suspect.convicted:
                del self._suspects[key]
        self._combinations = {
            whole: rest
            for whole, rest in self._combinations.items()
            if all(part in self._suspects for part in rest)
        }
        return self._convict(now, self._suspects)

    def _suspect(self, key: int) -> Suspect:
        suspect = self._suspects.setdefault(key, Suspect())
        self._suspects.move_to_end(key)
        return suspect

    def _drop_disproved(self, granted_at: float, start: UpstreamStart) -> None:
        """Drop the crashes of an upstream that has answered a request granted after them."""
        for suspect in self._suspects.values():
            if suspect.crashes.get(start, granted_at) < granted_at:
                del suspect.crashes[start]
        if self._crashed_at[start] < granted_at:
            del self._crashed_at[start]

    def _is_convicted(self, key: int) -> bool:
        suspect = self._suspects.get(key)
        return suspect is not None and suspect.convicted

    def _has_evidence(self, now: float, key: int) -> bool:
        suspect = self._suspects[key]
        needed = CRASHES_TO_CONVICT_ANSWERED if key in self._answered_at else CRASHES_TO_CONVICT
        if suspect.convicted or len(suspect.crashes) < needed:
            return False
        return suspect.count_crashes(now) >= needed

    def _convict(self, now: float, keys: Iterable[int]) -> list[int]:
        """Convict the requests with enough evidence, and the likeliest part that they leave."""
        candidates = [key for key in keys if self._has_evidence(now, key)]
        if not candidates:
            return []
        convicts = [key for key in candidates if is_request_key(key)]
        for key in convicts:
            self._suspects[key].convicted = True
        caused = self._starts_of_convicted_requests()
        parts = [
            key
            for key in candidates
            if not is_request_key(key) and not self._suspects[key].crashes.keys() <= caused
        ]
        return convicts + self._convict_part(parts)

    def _convict_part(self, parts: list[int]) -> list[int]:
        """Convict the part that is more suspect than all others, or suspect equal ones together."""
        if not parts:
            return []
        suspects = self._most_suspect(parts)
        if len(suspects) > 1:
            self._suspect_together(suspects)
            return []
        (part,) = suspects
        self._suspects[part].convicted = True
        self._drop_caused_by(part)
        for whole, rest in list(self._combinations.items()):
            if part in rest:
                del self._combinations[whole]
        return [part]

    def _most_suspect(self, parts: list[int]) -> frozenset[int]:
        """Return the part with the most evidence, and those with the same evidence."""
        unanswered = [part for part in parts if part not in self._answered_at]
        parts = unanswered or parts
        first = max(parts, key=lambda part: len(self._suspects[part].crashes))
        starts = self._suspects[first].crashes.keys()
        return frozenset(part for part in parts if self._suspects[part].crashes.keys() == starts)

    def _suspect_together(self, parts: frozenset[int]) -> None:
        """Remember parts that are equally suspect; the next crash on them tells so again."""
        parts = frozenset(sorted(parts)[:MAX_COMBINED])
        self._combinations[parts] = parts
        self._changes.append(CombinationChange(parts, is_cleared=False))

    def _narrow(self, cleared: frozenset[int]) -> list[int]:
        """Take cleared parts from the combinations; return the parts that are left alone."""
        convicts = []
        for whole, rest in list(self._combinations.items()):
            left = frozenset(part for part in rest - cleared if part in self._suspects)
            if left == rest:
                continue
            self._combinations[whole] = left
            if not left:
                del self._combinations[whole]
                self._changes.append(CombinationChange(whole, is_cleared=True))
            elif len(left) == 1:
                convicts += self._convict_part(list(left))
        return convicts

    def _drop_caused_by(self, convict: int) -> None:
        """Let the crashes that a convicted part has caused count for no other key."""
        crashes = self._suspects[convict].crashes
        for suspect in self._suspects.values():
            if not suspect.convicted:
                suspect.drop_starts(crashes)

    def _starts_of_convicted_requests(self) -> set[UpstreamStart]:
        convicts = [key for key in self._suspects if is_request_key(key)]
        return {
            start
            for key in convicts
            if self._suspects[key].convicted
            for start in self._suspects[key].crashes
        }
