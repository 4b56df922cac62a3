"""Define the settings of pool owners and the types of the callables that they use."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from tarragonwind.core.homes import ANY_REGION, Homes
from tarragonwind.core.suspicions import CombinationChange
from tarragonwind.messages import Message
from tarragonwind.records import dataclass

Send = Callable[[str, Message], object]
"""Sends a message to a host, which may be this one."""


class VersionChooser(Protocol):
    """Choose the version that serves a request."""

    def __call__(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Return a version, or an empty string for any version."""


@dataclass(frozen=True, slots=True)
class PermitSettings:
    """Set the timeouts and limits of a pool owner.

    Attributes
    ----------
    settle_s : float
        Time without grants after a host becomes the owner, in which hosts send their state, in
        seconds.
    pause_limit_s : float
        Time between two calls above which the process counts as paused and the owner discards its
        state as stale, in seconds.
    lost_host_grace_s : float
        Time after which the permits of a lost host are freed, in seconds.
    heartbeat_period_s : float
        Interval of heartbeats to hosts with waiting requests, in seconds.
    resend_after_s : float
        Time after which a grant is sent again when the host still requests the permit, in seconds.
    query_after_s : float
        Time without a `PermitSync` after which a host that holds permits is queried, in seconds.
    max_waiting : int
        Maximum number of waiting requests.
    max_retry_after_s : float
        Upper bound of the retry delay returned to callers, in seconds.
    is_local : bool
        Whether the owner grants the local share of one host.
    """

    settle_s: float = 0.1
    pause_limit_s: float = 1.5
    lost_host_grace_s: float = 5.0
    heartbeat_period_s: float = 0.2
    resend_after_s: float = 0.4
    query_after_s: float = 15.0
    max_waiting: int = 2_000
    max_retry_after_s: float = 120.0
    is_local: bool = False


def never_pack(pool: str, version: str) -> bool:
    """Return False: spread the requests of every version over its upstreams."""
    return False


def allow_any_region(route: str, organisation: str) -> Homes:
    """Return no homes: requests of every route and organisation may go to every region."""
    return ANY_REGION


def ignore_conviction(key: int) -> None:
    """Do nothing with a key on which upstreams keep crashing."""


def ignore_combination(change: CombinationChange) -> None:
    """Do nothing with parts that are equally suspect."""
