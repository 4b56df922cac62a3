"""Define the dependencies and state that all requests of a gateway share."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import field
from typing import TYPE_CHECKING, Protocol

from tarragonwind.adapters.caller_dialects import CallerDialect, NativeDialect
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import Loop
from tarragonwind.core.classifications import CatalogueView
from tarragonwind.core.entries import TIER_COUNT, OrganisationEntry, UpstreamEntry
from tarragonwind.core.organisation_limits import OrganisationLimits
from tarragonwind.core.retry_budgets import RetryBudget, RetryBudgetSettings
from tarragonwind.core.schedulers import Scheduler
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.futures import Future
from tarragonwind.records import dataclass
from tarragonwind.settings import LimitSettings, UpstreamSettings
from tarragonwind.telemetry import Telemetry, create_unexported_telemetry

if TYPE_CHECKING:
    # Hosts without claims start without importing them.
    from tarragonwind.claims import Claims


REPEATABLE_LEFT_S = 2.0
"""Time before the end of a stop from which on nothing that may be repeated is begun, in seconds."""


class Allotments(Protocol):
    """Enforce the token allotments of organisations over all hosts."""

    def take(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Charge a request's tokens, or raise `RequestError` when the allotment is used up."""

    def refund(self, organisation: OrganisationEntry, tokens: int, taken_at: float) -> None:
        """Refund the tokens of a request that was not dispatched, as of the time of its `take`."""


class GatewayCatalogue(CatalogueView, Protocol):
    """Look up entries of the catalogue in force."""

    number: int

    def entry(self, key: str) -> object:
        """Return the entry of a key, ``kind/name``, or None."""


@dataclass(slots=True)
class GatewayContext:
    """Provide the dependencies and state that all requests of a gateway share.

    Attributes
    ----------
    loop : Loop
        Event loop of the daemon.
    client : HttpClient
        HTTP client for upstreams.
    catalogue : callable
        Returns the catalogue in force, or None before there is one.
    scheduler : Scheduler
        Grants the permits to dispatch.
    claims : Claims or None
        Claims of idempotency keys; without them a request with a key is refused.
    telemetry : Telemetry
        Instruments and traces.
    times : UpstreamSettings
        Timeouts for exchanges with upstreams.
    host_limits : LimitSettings
        Limits on waiting and dispatched requests of this host.
    id_prefix : str
        Prefix of the ids of requests whose callers sent none; unique to this run of the host.
    dialect : CallerDialect
        Reads and writes the header fields of callers and upstreams.
    limits : OrganisationLimits
        Limits on the requests of organisations and routes on this host.
    retries : RetryBudget
        Limits the retries of each pool.
    allotments : Allotments or None
        Token allotments of organisations over all hosts; None if not configured.
    on_upstream_leaving : callable
        Called with the entry of an upstream that has announced its leaving in a response.
    hold : callable
        Returns a future that new requests wait for, or None if they need not wait.
    sheds : list of int
        Number of requests shed since the start, by tier.
    stopping : bool
        Whether new requests are refused.
    ends_at : float
        Time at which requests in progress are ended, in seconds; infinite until it is known.
    waiting_requests, waiting_bytes : int
        Number of requests that wait for a permit, and the total size of their bodies.
    dispatched_requests : int
        Number of requests that are dispatched and not finished.
    """

    loop: Loop
    client: HttpClient
    catalogue: Callable[[], GatewayCatalogue | None]
    scheduler: Scheduler
    claims: Claims | None = None
    telemetry: Telemetry = field(default_factory=create_unexported_telemetry)
    times: UpstreamSettings = field(default_factory=UpstreamSettings)
    host_limits: LimitSettings = field(default_factory=LimitSettings)
    id_prefix: str = "request"
    dialect: CallerDialect = field(default_factory=NativeDialect)
    limits: OrganisationLimits = field(default_factory=OrganisationLimits)
    retries: RetryBudget = field(default_factory=lambda: RetryBudget(RetryBudgetSettings()))
    allotments: Allotments | None = None
    on_upstream_leaving: Callable[[UpstreamEntry], None] = lambda entry: None
    hold: Callable[[], Future[None] | None] = lambda: None
    sheds: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    stopping: bool = False
    ends_at: float = math.inf
    waiting_requests: int = 0
    waiting_bytes: int = 0
    dispatched_requests: int = 0

    def check_time_left(self, remaining_s: float, repeatable: bool) -> None:
        """Raise `RequestError` if a request that may take some time would be cut by a stop.

        Parameters
        ----------
        remaining_s : float
            Time that the request may take, in seconds.
        repeatable : bool
            Whether it may be repeated. One that may begins while most of its kind still end.
        """
        needed_s = min(remaining_s, REPEATABLE_LEFT_S) if repeatable else remaining_s
        if self.loop.timers.now() + needed_s > self.ends_at:
            raise RequestError(ErrorKind.STOPPING, "this host stops before the request can end")

    async def wait_while_held(self) -> None:
        """Return when new requests are not held."""
        while (held := self.hold()) is not None:
            await held

    def check_capacity(self, body_bytes: int) -> None:
        """Raise `RequestError` if another request would exceed the limits of this host."""
        limits = self.host_limits
        full = (
            self.waiting_requests >= limits.max_waiting_requests
            or self.waiting_bytes + body_bytes > limits.max_waiting_bytes
            or self.dispatched_requests >= limits.max_in_progress
        )
        if full:
            raise RequestError(ErrorKind.OVER_LIMIT, "this host holds as many requests as it may")
