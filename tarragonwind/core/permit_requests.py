"""Define the permit requests of an entry host and the permits granted for them."""

from __future__ import annotations

import math
from dataclasses import field

from tarragonwind.records import dataclass


@dataclass(slots=True)
class PermitRequest:
    """Describe a request that needs a permit.

    Attributes
    ----------
    pool, route, organisation : str
        Names in the catalogue.
    tier : int
        Priority tier, 0 the highest.
    cost_tokens, prompt_tokens : int
        Estimated work, in output tokens, and length of the prompt.
    deadline : float
        Deadline of the first byte, in seconds on this host's clock.
    prefixes : list of int
        32-bit hashes of prompt prefixes, the shortest first.
    avoid : list of str
        Names of upstreams that have failed this request.
    target : float or None
        Latest time of a first byte that is on time, in seconds on this host's clock.
    rank : int
        Priority within the tier, 0 the highest.
    output_tokens : int
        Expected length of the response, in tokens.
    deadline_is_total : bool
        Whether `deadline` is the deadline of the complete response instead of its first byte.
    first_byte_deadline : float
        Time at which the caller disconnects without a first byte, in seconds on this host's clock.
    keys : list of int
        Keys of the prompt's shared parts and of the request, see `Suspicions`.
    memory_tokens : int
        Memory that it needs at an engine, in tokens: its prompt and the maximum of its output.
    part_tokens : tuple of int
        Tokens of the prompt's shared parts and of its last part; empty if they are too short to be
        worth following.
    last_part : int
        Key of the prompt's last part.
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
    keys: list[int] = field(default_factory=list)
    memory_tokens: int = 0
    part_tokens: tuple[int, ...] = ()
    last_part: int = 0

    @property
    def wait_deadline(self) -> float:
        """Return the time at which the wait for a permit ends, in seconds."""
        return min(self.deadline, self.first_byte_deadline)


@dataclass(frozen=True, slots=True)
class Permit:
    """Allow the dispatch of one request to one upstream.

    Attributes
    ----------
    permit_id : int
        Unique on this host.
    pool, upstream, version : str
        Upstream to dispatch to, with its pool and version.
    granted_by : str
        Host that granted the permit; empty for the local share.
    """

    permit_id: int
    pool: str
    upstream: str
    version: str
    granted_by: str
