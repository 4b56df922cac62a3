"""Describe what an entry host asks a pool's owner for, and what it is given."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class PermitRequest:
    """Describe the request that a permit is wanted for.

    Attributes
    ----------
    pool, route, organisation : str
        Names in the catalogue.
    tier : int
        Importance, 0 the highest.
    cost_tokens, prompt_tokens : int
        Estimated work and prompt length.
    deadline : float
        Time by which the first byte is due, in seconds on this host's clock.
    prefixes : list of int
        32-bit hashes of prompt prefixes, the shortest first.
    avoid : list of str
        Upstreams that have failed this request.
    target : float or None
        Time by which a first byte is on time, in seconds on this host's clock.
    rank : int
        Importance among the requests of its tier, 0 the highest.
    output_tokens : int
        Expected tokens of the answer.
    deadline_is_total : bool
        Whether `deadline` is for the whole answer.
    first_byte_deadline : float
        Time by which the first byte must come, since the caller leaves then, in seconds.
    """

    pool: str
    route: str
    organisation: str
    tier: int
    cost_tokens: int
    prompt_tokens: int
    deadline: float
    prefixes: list[int] = field(default_factory=list)
    avoid: list[str] = field(default_factory=list)
    target: float | None = None
    rank: int = 0
    output_tokens: int = 0
    deadline_is_total: bool = False
    first_byte_deadline: float = math.inf

    @property
    def wait_deadline(self) -> float:
        """Return the time at which waiting for a permit ends, in seconds."""
        return min(self.deadline, self.first_byte_deadline)


@dataclass(frozen=True, slots=True)
class Permit:
    """Name the upstream that one request may be dispatched to.

    Attributes
    ----------
    permit_id : int
        Names the permit on this host.
    pool, upstream, version : str
        Where to dispatch.
    granted_by : str
        Host that granted it; empty for the local share.
    """

    permit_id: int
    pool: str
    upstream: str
    version: str
    granted_by: str
