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
    direct_timeout_s, relayed_timeout_s : float
        Time for the direct answer, and then for one through other members.
    suspicion_timeout_s : float
        Time in which a suspect must refute.
    recent_contact_s : float
        Time after a message of a member in which it isn't called dead.
    isolation_timeout_s : float
        Time without a message of anybody after which a daemon is isolated.
    pause_threshold_s : float
        Lateness of the own timer that is taken for a pause of the process.
    rejoin_period_s : float
        Shortest time between two attempts to reach a dead or unknown listed host.
    """

    period_s: float
    direct_timeout_s: float
    relayed_timeout_s: float
    suspicion_timeout_s: float
    recent_contact_s: float
    isolation_timeout_s: float
    pause_threshold_s: float
    rejoin_period_s: float


SMALL_FLEET_TIMES = ProbeTimes(
    period_s=0.25,
    direct_timeout_s=0.25,
    relayed_timeout_s=0.25,
    suspicion_timeout_s=0.4,
    recent_contact_s=0.4,
    isolation_timeout_s=1.0,
    pause_threshold_s=0.6,
    rejoin_period_s=0.5,
)
LARGE_FLEET_TIMES = ProbeTimes(
    period_s=0.5,
    direct_timeout_s=0.5,
    relayed_timeout_s=0.5,
    suspicion_timeout_s=2.0,
    recent_contact_s=1.0,
    isolation_timeout_s=2.5,
    pause_threshold_s=1.5,
    rejoin_period_s=2.0,
)


def choose_times(member_count: int) -> ProbeTimes:
    """Return the periods for a fleet of `member_count` daemons."""
    if member_count <= SMALL_FLEET_MEMBERS:
        return SMALL_FLEET_TIMES
    return LARGE_FLEET_TIMES
