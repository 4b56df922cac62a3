"""Set how owners of pools work and what they call."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tarragonwind.messages import Message

Send = Callable[[str, Message], object]
"""Sends a message to a host, this one included."""


class VersionChooser(Protocol):
    """Choose the version that serves one request."""

    def __call__(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Return a version, or an empty text for any."""


@dataclass(frozen=True, slots=True)
class PermitSettings:
    """Set how an owner works.

    Attributes
    ----------
    settle_s : float
        Time without grants after becoming the owner, while hosts tell what they hold.
    pause_limit_s : float
        Time between two calls after which the owner takes what it knows for stale.
    lost_host_grace_s : float
        Time after which the permits of a lost host are free again.
    heartbeat_period_s : float
        Time between two signs of life to hosts with waiting asks.
    resend_after_s : float
        Time after which a permit that a host doesn't know of is granted to it again.
    query_after_s : float
        Time without a statement after which a host that holds permits is asked for one.
    max_waiting : int
        Most asks that wait.
    max_retry_after_s : float
        Longest time to come back that is given.
    """

    settle_s: float = 0.1
    pause_limit_s: float = 1.5
    lost_host_grace_s: float = 5.0
    heartbeat_period_s: float = 0.2
    resend_after_s: float = 0.4
    query_after_s: float = 15.0
    max_waiting: int = 2_000
    max_retry_after_s: float = 120.0
