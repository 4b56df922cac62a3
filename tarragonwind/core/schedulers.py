"""Define the interface between the gateway and the scheduler."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import field

from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.homes import ANY_REGION, Homes
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.permit_requests import Permit
from tarragonwind.errors import RequestError
from tarragonwind.records import dataclass


@dataclass(slots=True)
class SchedulingRequest:
    """Describe a request to be scheduled on an upstream of its pool.

    Attributes
    ----------
    pool, route, organisation : str
        Names of catalogue entries.
    tier : int
        Priority tier, 0 the highest.
    deadline : float
        Deadline of the first byte, in seconds on the monotonic clock.
    prompt_bytes : int
        Length of the prompt's text in bytes, 0 for services.
    prompt_tokens : int or None
        Length of the prompt in tokens, if the caller has counted them.
    max_tokens : int or None
        Maximum length of the response in tokens, None for services.
    expected_tokens : int or None
        The caller's estimate of the response's length in tokens.
    prefixes : list of int
        Hashes of prefixes of the prompt, the shortest first.
    avoid : list of str
        Names of upstreams that have failed this request.
    target : float or None
        Latest time of a first byte that is on time, in seconds on the monotonic clock.
    rank : int
        Priority within the tier, 0 the highest.
    deadline_is_total : bool
        Whether `deadline` is the deadline of the complete response instead of its first byte.
    first_byte_deadline : float
        Time at which the caller disconnects without a first byte, in seconds on the monotonic
        clock.
    keys : list of int
        Keys of the prompt's shared parts and of the request, see `Suspicions`.
    memory_tokens : int
        Memory that it needs at an engine, in tokens: its prompt and the maximum of its output.
    homes : tuple of str
        Regions whose upstreams may get the request; empty for all.
    part_tokens : tuple of int
        Tokens of the prompt's shared parts and of its last part; empty if they are too short to be
        worth following.
    last_part : int
        Key of the prompt's last part.
    later_parts : tuple of int
        Keys of further shared parts, which a permit request doesn't name.
    """

    pool: str
    route: str
    organisation: str
    tier: int
    deadline: float
    prompt_bytes: int = 0
    max_tokens: int | None = None
    prefixes: list[int] = field(default_factory=list)
    avoid: list[str] = field(default_factory=list)
    target: float | None = None
    rank: int = 0
    deadline_is_total: bool = False
    first_byte_deadline: float = math.inf
    prompt_tokens: int | None = None
    expected_tokens: int | None = None
    keys: list[int] = field(default_factory=list)
    memory_tokens: int = 0
    homes: Homes = ANY_REGION
    part_tokens: tuple[int, ...] = ()
    last_part: int = 0
    later_parts: tuple[int, ...] = ()


@dataclass(slots=True)
class DispatchReport:
    """Report the end of a permitted dispatch.

    Attributes
    ----------
    outcome : Outcome
        Result of the dispatch.
    first_byte_s, duration_s : float
        Times since the dispatch, in seconds; 0 if unknown.
    event_count : int
        Number of stream events in the response.
    hold_s : float
        Time for which the upstream wants no requests of this host, in seconds.
    limited : bool
        Whether the upstream named a limit in its response.
    complete : bool
        Whether a complete response came, possibly a failure or a refusal.
    """

    outcome: Outcome
    first_byte_s: float = 0.0
    duration_s: float = 0.0
    event_count: int = 0
    hold_s: float = 0.0
    limited: bool = False
    complete: bool = True


class Scheduler(ABC):
    """Obtain permits for this host's requests and process the results of their dispatches."""

    @abstractmethod
    def request_permit(
        self,
        request: SchedulingRequest,
        on_granted: Callable[[Permit], object],
        on_refused: Callable[[RequestError], object],
    ) -> int:
        """Request a permit; exactly one callback is called once, unless the request is cancelled.

        Returns
        -------
        int
            Identifies the permit request, and the permit once granted.
        """

    @abstractmethod
    def cancel(self, permit_id: int) -> None:
        """Cancel a permit request whose caller has disconnected."""

    @abstractmethod
    def may_dispatch(self, permit: Permit) -> bool:
        """Return whether a permit still holds: its upstream may have left since the grant."""

    def is_open(self, permit: Permit) -> bool:
        """Return whether the upstream of a permit is in use and open to its request.

        An owner may not know yet that a data centre is evacuated, or which regions a request may go
        to.
        """
        return True

    def quarantine_left_s(self, keys: Iterable[int]) -> float:
        """Return the time for which any of these keys is in quarantine, in seconds."""
        return 0.0

    def hold_left_s(self, upstream: str) -> float:
        """Return the time for which an upstream wants no requests of this host, in seconds."""
        return 0.0

    @abstractmethod
    def on_dispatched(self, permit: Permit) -> None:
        """Record the start of a dispatch."""

    @abstractmethod
    def on_limit(
        self, upstream: UpstreamEntry, limit_per_s: float | None, dispatched_at: float
    ) -> None:
        """Record the limit that an upstream named in a response, or that it named none.

        Parameters
        ----------
        upstream : UpstreamEntry
            Upstream that has responded.
        limit_per_s : float or None
            Requests per second that it takes from all hosts together; None for no limit.
        dispatched_at : float
            Time at which the answered request was dispatched, in seconds.
        """

    @abstractmethod
    def on_condition(
        self, upstream: UpstreamEntry, rejections_per_s: int | None, cold_s: float | None
    ) -> None:
        """Record the condition that an upstream named in a response.

        Parameters
        ----------
        upstream : UpstreamEntry
            Upstream that has responded.
        rejections_per_s : int or None
            Rejected requests per second beyond which it falls over; None if it is not brittle.
        cold_s : float or None
            Time for which it stays cold, in seconds; None if it doesn't tell.
        """

    @abstractmethod
    def on_first_byte(self, permit: Permit) -> None:
        """Record the first byte of the response."""

    @abstractmethod
    def on_stalled(self, permit: Permit) -> None:
        """Record that the upstream has stalled."""

    @abstractmethod
    def on_finished(self, permit: Permit, report: DispatchReport) -> None:
        """Release a permit and record the result of its dispatch."""
