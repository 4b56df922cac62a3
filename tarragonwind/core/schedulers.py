"""Name what the entry side needs to have a request scheduled."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.permit_requests import Permit
from tarragonwind.errors import RequestError


@dataclass(slots=True)
class SchedulingRequest:
    """Describe a request that waits for an upstream.

    Attributes
    ----------
    pool, route, organisation : str
        Names of catalogue entries.
    tier : int
        Importance, 0 the highest.
    deadline : float
        Time for the first byte, on the monotonic clock.
    prompt_bytes : int
        Length of the prompt's text, 0 for services.
    prompt_tokens : int or None
        Tokens of the prompt where the caller has counted them.
    max_tokens : int or None
        Most tokens of the answer, None for services.
    expected_tokens : int or None
        The caller's estimate of the answer's tokens.
    prefixes : list of int
        Hashes of growing prefixes of the prompt, the shortest first.
    avoid : list of str
        Upstreams that could not be reached for this request.
    target : float or None
        Time by which a first byte is on time, on the monotonic clock.
    rank : int
        Importance among the requests of its tier, 0 the highest.
    deadline_is_total : bool
        Whether `deadline` is for the whole answer.
    first_byte_deadline : float
        Time by which the first byte must come, since the caller leaves then, on the monotonic
        clock.
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


@dataclass(slots=True)
class DispatchReport:
    """Tell how a permitted dispatch ended.

    Attributes
    ----------
    outcome : Outcome
        How it ended.
    first_byte_s, duration_s : float
        Times since the dispatch, 0 when not seen.
    event_count : int
        Events of a stream seen in the answer.
    """

    outcome: Outcome
    first_byte_s: float = 0.0
    duration_s: float = 0.0
    event_count: int = 0


class Scheduler(ABC):
    """Grant permits to this host's requests and hear how their dispatches end."""

    @abstractmethod
    def request_permit(
        self,
        work: SchedulingRequest,
        on_granted: Callable[[Permit], object],
        on_refused: Callable[[RequestError], object],
    ) -> int:
        """Ask for a permit; one callback is called once, unless the ask is cancelled.

        Returns
        -------
        int
            Names the ask, and the permit once granted.
        """

    @abstractmethod
    def cancel(self, permit_id: int) -> None:
        """Withdraw an ask whose caller has left."""

    @abstractmethod
    def may_dispatch(self, permit: Permit) -> bool:
        """Tell whether a permit may still be used; it was granted a moment ago by another host."""

    @abstractmethod
    def on_dispatched(self, permit: Permit) -> None:
        """Note that a permit is being used."""

    @abstractmethod
    def on_first_byte(self, permit: Permit) -> None:
        """Note the first byte of the answer."""

    @abstractmethod
    def on_stalled(self, permit: Permit) -> None:
        """Note that the upstream has been silent for too long."""

    @abstractmethod
    def on_finished(self, permit: Permit, report: DispatchReport) -> None:
        """Give a permit back and tell how its dispatch ended."""
