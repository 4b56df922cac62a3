"""Evacuate zones of a run, and check that their back ends get nothing new."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from soak.checkers import Violation
from soak.histories import Evacuation, History
from standins.platform_fleets import PlatformFleet

ZONES = ("etna", "stromboli", "vulture")
"""Zones of the back ends of each pool, in turn."""
BOUND_S = 5.0
"""Time after the store's acknowledgement from which nothing may be sent there, in seconds."""


@dataclass(slots=True)
class ZoneEvacuations:
    """Evacuate zones, as often as faults ask for it, and keep when each was evacuated.

    Attributes
    ----------
    site : PlatformFleet
        Fleet whose store is written.
    spans : list of Evacuation
        Evacuations that have ended.
    """

    site: PlatformFleet
    spans: list[Evacuation] = field(default_factory=list)
    _begun: dict[str, list[float]] = field(default_factory=dict)

    def begin(self, zone: str) -> None:
        """Evacuate a zone; a second evacuation of it goes on until both have ended."""
        begun = self._begun.setdefault(zone, [])
        if not begun:
            self.site.evacuate(zone)
        begun.append(time.time())

    def end(self, zone: str) -> None:
        """End one evacuation of a zone; the last one takes it back."""
        begun = self._begun[zone]
        if len(begun) > 1:
            begun.pop()
            return
        first = begun.pop()
        # Recorded before the removal: from then on the zone may be used.
        self.spans.append(Evacuation(zone, first, time.time()))
        self.site.evacuate(zone, begin=False)


def check_evacuations(history: History) -> list[Violation]:
    """Check that back ends of an evacuated zone get nothing from hosts in touch with the store."""
    hosts = history.hosts()
    violations = []
    for span in history.evacuations:
        for run in history.runs():
            late_s = run["at"] - span.begin
            if history.zones.get(run["source"]) != span.zone or late_s <= BOUND_S:
                continue
            host = hosts.get(run["attempt-id"], "")
            # A disturbed link may have delayed a request that was sent before.
            delayed = history.is_disturbed(run["source"], span.begin, run["at"])
            if run["at"] < span.end and history.is_bound(host, run["at"]) and not delayed:
                detail = f"{late_s:.1f} s after the evacuation of {span.zone}, from {host}"
                violations.append(
                    Violation("an evacuated zone gets nothing new", run["attempt-id"], detail)
                )
    return violations
