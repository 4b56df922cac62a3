"""Define the probe periods and timeouts of the membership protocol by fleet size."""

from __future__ import annotations

from tarragonwind.records import dataclass

SMALL_FLEET_MEMBERS = 16
"""Largest number of daemons that uses `SMALL_FLEET_TIMES`."""


@dataclass(frozen=True, slots=True)
class ProbeTimes:
    """Hold the probe periods and timeouts, all in seconds.

    Attributes
    ----------
    period_s : float
        Mean interval between two probes of one daemon.
    direct_timeout_s, relayed_timeout_s : float
        Timeouts of the direct probe and of the indirect probes that follow it.
    suspicion_timeout_s : float
        Time within which a suspect must refute before it is marked dead.
    recent_contact_s : float
        Time after a message from a member during which a received death record of it only makes
        it a suspect.
    isolation_timeout_s : float
        Time without a message from any member after which a daemon is isolated.
    pause_threshold_s : float
        Delay of the daemon's own timer that counts as a pause of the process.
    rejoin_period_s : float
        Mean interval between two attempts to reach a dead or unknown host.
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
    """Return the timings for a fleet of `member_count` daemons."""
    if member_count <= SMALL_FLEET_MEMBERS:
        return SMALL_FLEET_TIMES
    return LARGE_FLEET_TIMES
