"""Hold what is known after a run: requests, journals, disturbances and configurations."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import zip_longest
from typing import Any

from soak.callers import CallerRecord
from standins.platform_fleets import WrittenVersion

CONTACT_S = 3.0
"""Time without a disturbance after which a promise binds a host, in seconds."""
SPREAD_S = 2.0
"""Time in which a configuration comes into force on all hosts, in seconds."""


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Hold the time in which a host, a back end's link or the store was disturbed.

    Attributes
    ----------
    host : str
        Name of the host or of the back end, empty for the store.
    begin, end : float
        Wall-clock times, in seconds.
    planned : bool
        Whether it is a graceful stop of a host.
    """

    host: str
    begin: float
    end: float
    planned: bool = False

    def touches(self, begin: float, end: float) -> bool:
        """Return whether it falls into a time."""
        return self.begin <= end and self.end >= begin


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Hold the time in which a zone was evacuated.

    Attributes
    ----------
    zone : str
        Zone whose back ends may get nothing new.
    begin, end : float
        Wall-clock times of the store's acknowledgement and of the removal, in seconds.
    """

    zone: str
    begin: float
    end: float


@dataclass(slots=True)
class History:
    """Hold what is known after a run.

    Attributes
    ----------
    records : list of CallerRecord
        Requests of all callers.
    lines : list of dict
        Events of the journals of all back ends.
    disturbances : list of Disturbance
        Disturbances of hosts and the store.
    resets : list of Disturbance
        Moments at which all connections of a back end's link were reset.
    versions : list of WrittenVersion
        Configurations, in order.
    evacuations : list of Evacuation
        Evacuations of zones.
    zones : dict of str to str
        Zone of each back end.
    """

    records: list[CallerRecord]
    lines: list[dict[str, Any]]
    disturbances: list[Disturbance] = field(default_factory=list)
    resets: list[Disturbance] = field(default_factory=list)
    versions: list[WrittenVersion] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)

    def runs(self) -> list[dict[str, Any]]:
        """Return the executions, in order."""
        return sorted(
            (line for line in self.lines if line["event"] == "run"), key=lambda line: line["at"]
        )

    def hosts(self) -> dict[str, str]:
        """Return the host that each request was sent to."""
        return {record.attempt: record.host for record in self.records}

    def is_bound(self, host: str, at: float) -> bool:
        """Return whether neither the host nor the store was disturbed within `CONTACT_S`."""
        begin = at - CONTACT_S
        return not (self.is_disturbed(host, begin, at) or self.is_disturbed("", begin, at))

    def is_disturbed(self, host: str, begin: float, end: float) -> bool:
        """Return whether a host, a back end's link or the store was disturbed in a time."""
        return any(one.host == host and one.touches(begin, end) for one in self.disturbances)

    def version_spans(self) -> Iterator[tuple[WrittenVersion, float]]:
        """Return each configuration, and until when it may have been in force on some host."""
        for version, following in zip_longest(self.versions, self.versions[1:]):
            yield version, math.inf if following is None else following.at + SPREAD_S

    def versions_in_force(self, begin: float, end: float) -> list[WrittenVersion]:
        """Return the configurations that may have been in force on some host in a time."""
        spans = self.version_spans()
        return [version for version, until in spans if version.at <= end and until >= begin]
