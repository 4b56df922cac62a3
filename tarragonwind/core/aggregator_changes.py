"""Track changes of the hosts that aggregate the counts of organisations.

Hosts notice that others are lost, or are back, at different times. Until all of them report to the
same aggregator, its sums are incomplete and it does not distribute what seems to be left.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from tarragonwind.records import dataclass

AGGREGATOR_SETTLE_S = 1.2
"""Time after a change of the aggregator until all live hosts have reported to the new one. Covers
the differences between the hosts' detection times and one report interval."""
RETURN_SETTLE_S = 1.7
"""Time after the return of a lost host until it has reported, or has nothing to report."""


@dataclass(slots=True)
class Assignment:
    """Hold the aggregator of an organisation and the time of its last change, in seconds."""

    aggregator: str
    changed_at: float


class AggregatorChanges:
    """Track the live hosts, the aggregators and the hosts that have returned.

    Parameters
    ----------
    name : str
        Name of this host.
    now : float
        Start time, in seconds.
    owner_of : callable
        Returns the live host that aggregates an organisation's counts.
    """

    __slots__ = ("_assignments", "_live_changed_at", "_lost", "_name", "_owner_of", "_returned_at")

    def __init__(self, name: str, now: float, owner_of: Callable[[str], str]) -> None:
        self._name = name
        self._owner_of = owner_of
        self._live_changed_at = now
        self._assignments: dict[str, Assignment] = {}
        self._lost: set[str] = set()
        self._returned_at: dict[str, float] = {}

    def on_live_changed(self, now: float, lost: Iterable[str], joined: Iterable[str]) -> None:
        """Update the aggregators after hosts were lost or have joined."""
        for host in lost:
            self._lost.add(host)
            self._returned_at.pop(host, None)
        for host in self._lost.intersection(joined):
            self._lost.discard(host)
            self._returned_at[host] = now
        self._live_changed_at = now
        for name in list(self._assignments):
            self._assign(now, name)

    def aggregates(self, name: str) -> bool:
        """Return whether this host aggregates an organisation's counts."""
        return self._owner_of(name) == self._name

    def is_settled(self, now: float, name: str) -> bool:
        """Return whether this host aggregates an organisation's counts and has all reports."""
        return self.counted_s(now, name) >= AGGREGATOR_SETTLE_S

    def counted_s(self, now: float, name: str) -> float:
        """Return for how long this host has aggregated an organisation's counts, in seconds."""
        assignment = self._assign(self._live_changed_at, name)
        return now - assignment.changed_at if assignment.aggregator == self._name else 0.0

    def returned_hosts(self, now: float) -> dict[str, float]:
        """Return the times of the returns of hosts that may not have reported since."""
        for host, returned_at in list(self._returned_at.items()):
            if now - returned_at > RETURN_SETTLE_S:
                del self._returned_at[host]
        return self._returned_at

    def _assign(self, now: float, name: str) -> Assignment:
        aggregator = self._owner_of(name)
        assignment = self._assignments.get(name)
        if assignment is None or assignment.aggregator != aggregator:
            assignment = Assignment(aggregator, now)
            self._assignments[name] = assignment
        return assignment
