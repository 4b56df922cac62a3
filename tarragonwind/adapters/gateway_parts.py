"""Hold what the gateway sees requests through with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from tarragonwind.adapters.caller_dialects import CallerDialect, NativeDialect
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import Loop
from tarragonwind.claims import Claims
from tarragonwind.core.classifications import CatalogueView
from tarragonwind.core.entries import TIER_COUNT, OrganisationEntry
from tarragonwind.core.organisation_limits import OrganisationLimits
from tarragonwind.core.retry_budgets import RetryBudget, RetryBudgetSettings
from tarragonwind.core.schedulers import Scheduler
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.settings import LimitSettings, UpstreamSettings
from tarragonwind.telemetry import Telemetry, create_unexported_telemetry


class Allotments(Protocol):
    """Admit what organisations ask within their allotments over all hosts."""

    def take(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Count a request's tokens, or refuse it."""

    def refund(self, now: float, organisation: OrganisationEntry, tokens: int) -> None:
        """Take back the tokens of a request that was not dispatched."""


class GatewayCatalogue(CatalogueView, Protocol):
    """Answer what the gateway asks of the catalogue in force."""

    number: int

    def entry(self, key: str) -> object:
        """Return the entry of a key, ``kind/name``, or None."""


@dataclass(slots=True)
class GatewayParts:
    """Hold what requests are seen through with.

    Attributes
    ----------
    loop : Loop
        Loop of the daemon.
    client : HttpClient
        Client towards upstreams.
    catalogue : callable
        Returns the catalogue in force, or None before there is one.
    scheduler : Scheduler
        Source of permits.
    claims : Claims or None
        Claims of idempotency keys; without it a request with a key is refused.
    telemetry : Telemetry
        Instruments and traces.
    times : UpstreamSettings
        Bounds for exchanges with upstreams.
    host_limits : LimitSettings
        Bounds for this host.
    id_prefix : str
        Begins the ids of requests whose callers name none; unique to this run of this host.
    dialect : CallerDialect
        How callers and upstreams are spoken to.
    limits : OrganisationLimits
        Requests in progress on this host.
    retries : RetryBudget
        Bound on repeated dispatches.
    allotments : Allotments or None
        Token allotments of organisations over all hosts; None where there are none.
    sheds : list of int
        Requests shed since the start, by tier.
    stopping : bool
        Whether new requests are refused.
    waiting_requests, waiting_bytes : int
        Requests that wait for a permit, and the bytes of their bodies.
    dispatched_requests : int
        Requests that are dispatched and not ended.
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
    sheds: list[int] = field(default_factory=lambda: [0] * TIER_COUNT)
    stopping: bool = False
    waiting_requests: int = 0
    waiting_bytes: int = 0
    dispatched_requests: int = 0

    def require_room(self, body_bytes: int) -> None:
        """Refuse a request that this host has no room for."""
        limits = self.host_limits
        full = (
            self.waiting_requests >= limits.max_waiting_requests
            or self.waiting_bytes + body_bytes > limits.max_waiting_bytes
            or self.dispatched_requests >= limits.max_in_progress
        )
        if full:
            raise RequestError(ErrorKind.OVER_LIMIT, "this host holds as many requests as it may")
