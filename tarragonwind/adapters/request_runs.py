"""See one request through: classify it, wait for its permit, dispatch it once, answer it once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.http_servers import AnswerEvents, CallerExchange
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.refusals import answer_refusal
from tarragonwind.adapters.relays import Relay, RelayEnd, RelayRules
from tarragonwind.claims import Claim, Claims
from tarragonwind.core.classifications import CatalogueView, RequestClass, classify_request
from tarragonwind.core.entries import TIER_COUNT, UpstreamEntry
from tarragonwind.core.organisation_limits import Admission, OrganisationLimits
from tarragonwind.core.permit_clients import Permit
from tarragonwind.core.permit_messages import Outcome as PermitOutcome
from tarragonwind.core.prompt_prefixes import hash_prefixes
from tarragonwind.core.request_lives import LifeState, Outcome, RequestLife
from tarragonwind.core.schedulers import DispatchReport, Scheduler, Work
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.futures import Future, FutureCancelled
from tarragonwind.ports import Address, HttpRequest
from tarragonwind.settings import LimitSettings, UpstreamSettings
from tarragonwind.telemetry import Telemetry, create_silent_telemetry
from tarragonwind.telemetry_traces import Hop

MAX_CONNECT_ATTEMPTS = 3
REQUEST_ID_HEADER = b"x-request-id"
MAX_REQUEST_ID_LENGTH = 128
CLAIM_TTL_S = 3_600
"""Time for which an idempotency key stays taken, in seconds."""
SHED_KINDS = frozenset([ErrorKind.SHED, ErrorKind.DEADLINE_UNMEETABLE])
DROPPED_REQUEST_HEADERS = frozenset(
    [
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"tarragonwind-tier",
        b"tarragonwind-timeout-ms",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"traceparent",
        b"tracestate",
        REQUEST_ID_HEADER,
    ]
)
"""Fields of a caller's request that stay on this side."""


class GatewayCatalogue(CatalogueView, Protocol):
    """Answer what the gateway asks of the catalogue in force."""

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
    limits : OrganisationLimits
        Requests in progress on this host.
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
    telemetry: Telemetry = field(default_factory=create_silent_telemetry)
    times: UpstreamSettings = field(default_factory=UpstreamSettings)
    host_limits: LimitSettings = field(default_factory=LimitSettings)
    id_prefix: str = "request"
    limits: OrganisationLimits = field(default_factory=OrganisationLimits)
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


class RequestRun(AnswerEvents):
    """See one request through: classify, wait, dispatch once, answer once."""

    def __init__(self, parts: GatewayParts, exchange: CallerExchange, request_id: int) -> None:
        self._parts = parts
        self._exchange = exchange
        self._life = RequestLife()
        self._class: RequestClass | None = None
        self._wait: Future[Permit] | None = None
        self._ask_id = 0
        self._admission: Admission | None = None
        self._claim: Claim | None = None
        self._sent = False
        self._answered = False
        self._first_byte_seen = False
        self._well_answered = False
        self._started_at = parts.loop.timers.now()
        self._waited_s = 0.0
        given = exchange.request.header(REQUEST_ID_HEADER).decode("latin-1")
        usable = given.isascii() and given.isprintable() and len(given) <= MAX_REQUEST_ID_LENGTH
        self.name = given if given and usable else f"{parts.id_prefix}-{request_id}"
        self._trace = parts.telemetry.start_request(exchange.request.headers)
        self._refusal = ""
        exchange.events = self

    async def serve(self) -> None:
        """Run the request to its end."""
        try:
            await self._run()
        except RequestError as exc:
            self._refuse(exc)
        except FutureCancelled:
            self._life.end(Outcome.CALLER_LEFT)
        except Exception:
            logger.exception("event=request_failed request={}", self.name)
            self._refuse(RequestError(ErrorKind.INTERNAL, "an internal error ended the request"))
        finally:
            self._settle_claim()
            if self._admission is not None:
                self._parts.limits.end(self._parts.loop.timers.now(), self._admission)
            self._measure()
            self._log()

    async def _run(self) -> None:
        if self._parts.stopping:
            raise RequestError(ErrorKind.STOPPING, "this host is stopping; ask again")
        catalogue = self._parts.catalogue()
        if catalogue is None:
            raise RequestError(ErrorKind.NO_CATALOGUE, "no catalogue is in force yet")
        cls = classify_request(self._exchange.request, catalogue)
        self._class = cls
        self._trace.begin(Hop.WAIT)
        now = self._parts.loop.timers.now()
        self._parts.require_room(len(self._exchange.request.body))
        self._admission = self._parts.limits.admit(now, cls.organisation, cls.route)
        await self._claim_key(cls)
        work = self._describe_work(cls)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            permit = await self._obtain_permit(work)
            if await self._dispatch(cls, permit):
                return
            work.avoid.append(permit.upstream)
        raise RequestError(ErrorKind.NO_UPSTREAM, "no upstream could be reached")

    async def _claim_key(self, cls: RequestClass) -> None:
        """Claim the request's key, so that no other host dispatches work under it."""
        if not cls.idempotency_key:
            return
        claims = self._parts.claims
        if claims is None:
            raise RequestError(ErrorKind.STORE_UNAVAILABLE, "this host has no store for keys")
        self._claim = await claims.claim(
            cls.organisation.name, cls.route.name, cls.idempotency_key, CLAIM_TTL_S
        )
        if self._exchange.gone:
            raise FutureCancelled

    def _settle_claim(self) -> None:
        """Record what became of the claimed work; an unknown outcome keeps the key taken."""
        claims = self._parts.claims
        if self._claim is None or claims is None:
            return
        if self._answered:
            claims.finish(self._claim)
        elif not self._sent or self._life.refusal_proven:
            claims.release(self._claim)

    def _require_claim(self) -> None:
        """Refuse to dispatch when the claim may have lapsed while the request waited."""
        claims = self._parts.claims
        if self._claim is not None and claims is not None and not claims.still_held(self._claim):
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE, "the claim of the key lapsed while the request waited"
            )

    def _describe_work(self, cls: RequestClass) -> Work:
        work = Work(
            pool=cls.route.pool,
            route=cls.route.name,
            organisation=cls.organisation.name,
            tier=cls.tier,
            deadline=self._started_at + cls.timeout_s,
        )
        if cls.route.model:
            work.prompt_bytes = len(cls.prompt)
            work.max_tokens = cls.max_tokens
            work.prefixes = hash_prefixes(cls.prompt)
        return work

    async def _obtain_permit(self, work: Work) -> Permit:
        self._life.advance(LifeState.WAITING)
        wait: Future[Permit] = Future()
        self._wait = wait
        self._trace.begin(Hop.OWNER)
        self._ask_id = self._parts.scheduler.ask(work, wait.set_result, wait.set_exception)
        permit = await self._wait_counted(wait)
        self._wait = None
        self._trace.end(Hop.OWNER)
        self._trace.end(Hop.WAIT)
        self._waited_s = self._parts.loop.timers.now() - self._started_at
        self._life.advance(LifeState.PERMITTED)
        return permit

    async def _wait_counted(self, wait: Future[Permit]) -> Permit:
        size = len(self._exchange.request.body)
        self._parts.waiting_requests += 1
        self._parts.waiting_bytes += size
        try:
            return await wait
        finally:
            self._parts.waiting_requests -= 1
            self._parts.waiting_bytes -= size

    async def _dispatch(self, cls: RequestClass, permit: Permit) -> bool:
        """Dispatch under a permit; return False when nothing was sent and another may be tried."""
        scheduler = self._parts.scheduler
        upstream = self._find_upstream(permit)
        if upstream is None or not scheduler.may_dispatch(permit):
            scheduler.finished(permit, DispatchReport(PermitOutcome.UNUSED))
            return False
        try:
            left_s = self._require_time(cls)
            self._require_claim()
        except RequestError:
            scheduler.finished(permit, DispatchReport(PermitOutcome.UNUSED))
            raise
        relay = self._start_relay(permit, upstream, left_s)
        self._parts.dispatched_requests += 1
        end = await relay.end
        self._parts.dispatched_requests -= 1
        self._exchange.events = self
        self._sent = self._sent or relay.sent
        self._answered = end is RelayEnd.WHOLE
        self._well_answered = relay.status < FIRST_FAILURE_STATUS
        scheduler.finished(permit, describe_dispatch(end, relay))
        if end is RelayEnd.NOT_SENT:
            return False
        self._raise_for(end, relay)
        return True

    def _find_upstream(self, permit: Permit) -> UpstreamEntry | None:
        catalogue = self._parts.catalogue()
        entry = catalogue.entry(f"upstream/{permit.upstream}") if catalogue else None
        return entry if isinstance(entry, UpstreamEntry) else None

    def _require_time(self, cls: RequestClass) -> float:
        """Return the seconds left for the first byte; refuse to dispatch when there are none."""
        left_s = self._started_at + cls.timeout_s - self._parts.loop.timers.now()
        if left_s <= 0:
            raise RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before dispatch")
        return left_s

    def _start_relay(self, permit: Permit, upstream: UpstreamEntry, left_s: float) -> Relay:
        times = self._parts.times
        wait_s = min(left_s, times.first_byte_timeout_s)
        rules = RelayRules(upstream.refusal_not_run, wait_s, times.idle_timeout_s)
        relay = Relay(self._exchange, self._life, rules, self._parts.loop.timers)
        relay.on_first_byte = lambda: self._note_first_byte(permit)
        self._parts.scheduler.dispatched(permit)
        self._trace.note("upstream", permit.upstream)
        self._trace.begin(Hop.DISPATCH)
        self._trace.begin(Hop.FIRST_TOKEN)
        relay.start(self._parts.client, Address(upstream.host, upstream.port), self._forward())
        return relay

    def _note_first_byte(self, permit: Permit) -> None:
        self._parts.scheduler.first_byte(permit)
        self._first_byte_seen = True
        self._trace.end(Hop.FIRST_TOKEN)
        self._trace.begin(Hop.STREAM)

    def _raise_for(self, end: RelayEnd, relay: Relay) -> None:
        if end is RelayEnd.REFUSED:
            raise RequestError(ErrorKind.UPSTREAM_REFUSED, "the upstream refused the request")
        if end is RelayEnd.FAILED_BEFORE_ANSWER:
            raise RequestError(
                ErrorKind.UPSTREAM_OUTCOME_UNKNOWN, f"the upstream gave no answer: {relay.reason}"
            )
        if end is RelayEnd.DEADLINE_PASSED:
            raise RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before an answer")

    def _forward(self) -> HttpRequest:
        req = self._exchange.request
        named = {name.strip().lower() for name in req.header(b"connection").split(b",")}
        headers = [(REQUEST_ID_HEADER, self.name.encode("latin-1")), *self._trace.headers()]
        for name, value in req.headers:
            lowered = name.lower()
            if lowered not in DROPPED_REQUEST_HEADERS and lowered not in named:
                headers.append((name, value))
        return HttpRequest(req.method, req.target, headers, req.body)

    def on_caller_gone(self) -> None:
        """Withdraw the ask of a caller that left while it waited."""
        if self._wait is not None and not self._wait.done():
            self._parts.scheduler.cancel(self._ask_id)
            self._wait.cancel()

    def _refuse(self, exc: RequestError) -> None:
        not_run = self._life.not_run(exc.kind)
        self._refusal = exc.kind.value
        if exc.kind in SHED_KINDS and self._class is not None:
            self._parts.sheds[self._class.tier] += 1
            self._parts.telemetry.sheds.add(1, self._class.tier)
        self._life.end(Outcome.REFUSED)
        if self._exchange.gone:
            return
        if self._exchange.started:
            self._exchange.abort()
            return
        answer_refusal(self._exchange, exc, not_run)
        logger.info(
            "event=refused request={} kind={} not_run={}",
            self.name,
            exc.kind.value,
            not_run.value,
        )

    def _measure(self) -> None:
        telemetry = self._parts.telemetry
        cls = self._class
        outcome = self._life.outcome.value if self._life.outcome is not None else "none"
        self._trace.finish(outcome)
        if cls is None:
            return
        telemetry.requests.add(1, cls.tier, outcome, self._refusal)
        if self._waited_s:
            telemetry.wait.record(self._waited_s, cls.tier)
        if self._answered and self._well_answered:
            telemetry.goodput.add(1, cls.tier)
        if self._sent and not self._first_byte_seen and not self._answered:
            telemetry.wasted_prefill.add(cls.prompt_tokens)

    def _log(self) -> None:
        cls = self._class
        outcome = self._life.outcome
        logger.info(
            "event=request_ended request={} trace={} outcome={} organisation={} route={} tier={} "
            "waited_ms={:.1f} took_ms={:.1f}",
            self.name,
            self._trace.trace_id,
            outcome.value if outcome is not None else "none",
            cls.organisation.name if cls else "-",
            cls.route.name if cls else "-",
            cls.tier if cls else "-",
            self._waited_s * 1000,
            (self._parts.loop.timers.now() - self._started_at) * 1000,
        )


RELAY_OUTCOMES: dict[RelayEnd, PermitOutcome] = {
    RelayEnd.WHOLE: PermitOutcome.OK,
    RelayEnd.NOT_SENT: PermitOutcome.CONNECT_FAILED,
    RelayEnd.REFUSED: PermitOutcome.REFUSED,
    RelayEnd.FAILED_BEFORE_ANSWER: PermitOutcome.FAILED,
    RelayEnd.CUT: PermitOutcome.FAILED,
    RelayEnd.CALLER_LEFT: PermitOutcome.CANCELLED,
    RelayEnd.DEADLINE_PASSED: PermitOutcome.TIMED_OUT,
}
FIRST_FAILURE_STATUS = 500


def describe_dispatch(end: RelayEnd, relay: Relay) -> DispatchReport:
    """Return what the scheduler learns of a dispatch."""
    outcome = RELAY_OUTCOMES[end]
    if outcome is PermitOutcome.OK and relay.status >= FIRST_FAILURE_STATUS:
        outcome = PermitOutcome.FAILED
    return DispatchReport(outcome, relay.first_byte_s, relay.duration_s, relay.event_count)
