"""Hold the periods of the membership protocol for small and for large fleets."""

from __future__ import annotations

from dataclasses import dataclass

SMALL_FLEET_MEMBERS = 16


@dataclass(frozen=True, slots=True)
class ProbeTimes:
    """Hold the periods of probing, all in seconds.

    Attributes
    ----------
    period_s : float
        Time between two probes that one daemon starts.
    direct_s, relayed_s : float
        Time for the direct answer, and then for one through other members.
    suspicion_s : float
        Time in which a suspect must refute.
    fresh_s : float
        Time after a message of a member in which it isn't called dead.
    alone_s : float
        Time without a message of anybody after which a daemon is isolated.
    pause_s : float
        Lateness of the own timer that is taken for a pause of the process.
    rejoin_s : float
        Shortest time between two attempts to reach a dead or unknown listed host.
    """

    period_s: float
    direct_s: float
    relayed_s: float
    suspicion_s: float
    fresh_s: float
    alone_s: float
    pause_s: float
    rejoin_s: float


SMALL_FLEET_TIMES = ProbeTimes(
    period_s=0.25,
    direct_s=0.25,
    relayed_s=0.25,
    suspicion_s=0.4,
    fresh_s=0.4,
    alone_s=1.0,
    pause_s=0.6,
    rejoin_s=0.5,
)
LARGE_FLEET_TIMES = ProbeTimes(
    period_s=0.5,
    direct_s=0.5,
    relayed_s=0.5,
    suspicion_s=2.0,
    fresh_s=1.0,
    alone_s=2.5,
    pause_s=1.5,
    rejoin_s=2.0,
)


def choose_times(member_count: int) -> ProbeTimes:
    """Return the periods for a fleet of `member_count` daemons."""
    if member_count <= SMALL_FLEET_MEMBERS:
        return SMALL_FLEET_TIMES
    return LARGE_FLEET_TIMES
