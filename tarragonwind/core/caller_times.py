"""Tell how much of their time callers have spent in earlier tries, by the longest time they name.

A caller that comes back after a refusal names what is left of its time. Its answer can no longer be
on time once its first try has passed the target, so it must not go before callers that ask for the
first time.
"""

from __future__ import annotations

from dataclasses import dataclass

REMEMBERED_S = 20.0
"""Time for which a longest time counts at least, in seconds; callers may shorten theirs."""
LEAST_SPENT_S = 0.05
"""Time that counts as spent, in seconds; less is the way from the caller."""


@dataclass(slots=True)
class _LongestTimes:
    """Hold the longest time of one route in this period and in the one before."""

    since: float
    former_s: float = 0.0
    present_s: float = 0.0


class CallerTimes:
    """Remember the longest time that callers of each route have named lately."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, _LongestTimes] = {}

    def note(self, now: float, route: str, left_s: float) -> float:
        """Take in the time that a caller has left and return what it has spent, in seconds."""
        times = self._routes.setdefault(route, _LongestTimes(now))
        if now - times.since >= REMEMBERED_S:
            times.former_s = times.present_s
            times.present_s = 0.0
            times.since = now
        times.present_s = max(times.present_s, left_s)
        spent_s = max(times.former_s, times.present_s) - left_s
        return spent_s if spent_s >= LEAST_SPENT_S else 0.0
