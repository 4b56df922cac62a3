"""Name what the entry side needs to get a permit, and give it back."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonwind.errors import RequestError


@dataclass(slots=True)
class PermitRequest:
    """Describe a request that waits for an upstream.

    Attributes
    ----------
    request_id : int
        Unique on this host.
    pool, route, organisation : str
        Names of catalogue entries.
    tier : int
        Importance, 0 the highest.
    weight : float
        Weight of the organisation.
    prompt_tokens, max_tokens : int
        Estimated size of the work.
    deadline : float
        Time for the first byte, on the monotonic clock.
    prefix_hashes : list of int
        Hashes of growing prefixes of the prompt.
    avoid : list of str
        Upstreams that could not be reached for this request.
    """

    request_id: int
    pool: str
    route: str
    organisation: str
    tier: int
    weight: float
    prompt_tokens: int
    max_tokens: int
    deadline: float
    prefix_hashes: list[int] = field(default_factory=list)
    avoid: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Permit:
    """Allow one dispatch of one request to one upstream."""

    request_id: int
    upstream: str
    version: str


@dataclass(slots=True)
class PermitReport:
    """Tell how a permitted dispatch ended.

    Attributes
    ----------
    request_id : int
        Request of the permit.
    upstream : str
        Upstream of the permit.
    dispatched : bool
        Whether it was used.
    ok : bool
        Whether the upstream did its part; true when only the caller left.
    reachable : bool
        Whether the upstream could be connected to.
    first_byte_s, duration_s : float
        Times since the dispatch, 0 when not seen.
    output_tokens : int
        Tokens seen in the answer.
    """

    request_id: int
    upstream: str
    dispatched: bool
    ok: bool
    reachable: bool
    first_byte_s: float = 0.0
    duration_s: float = 0.0
    output_tokens: int = 0


class PermitSource(ABC):
    """Grant permits to this host's requests."""

    @abstractmethod
    def ask(
        self,
        req: PermitRequest,
        on_grant: Callable[[Permit], object],
        on_refusal: Callable[[RequestError], object],
    ) -> None:
        """Ask for a permit; exactly one callback is called, unless the ask is cancelled."""

    @abstractmethod
    def cancel(self, request_id: int) -> None:
        """Withdraw an ask whose caller has left."""

    @abstractmethod
    def finish(self, report: PermitReport) -> None:
        """Give a permit back and tell how its dispatch ended."""
