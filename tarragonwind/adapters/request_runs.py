"""See one request through: classify it, wait for its permit, dispatch it once, answer it once."""

from __future__ import annotations

from loguru import logger

from tarragonwind.adapters.caller_dialects import (
    Forwarding,
    Headers,
    HeadVerdict,
)
from tarragonwind.adapters.gateway_parts import GatewayParts
from tarragonwind.adapters.http_servers import AnswerEvents, CallerExchange
from tarragonwind.adapters.relays import FIRST_FAILURE_STATUS, HeldAnswer, Relay, RelayRules
from tarragonwind.claims import Claim
from tarragonwind.core.classifications import RequestClass
from tarragonwind.core.dispatches import PERMIT_OUTCOMES, DispatchOutcome, RetryPolicy
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.organisation_limits import Admission
from tarragonwind.core.permit_clients import Permit
from tarragonwind.core.permit_messages import Outcome as PermitOutcome
from tarragonwind.core.prompt_prefixes import hash_prefixes
from tarragonwind.core.request_lifecycles import LifecycleState, Outcome, RequestLifecycle
from tarragonwind.core.schedulers import DispatchReport, SchedulingRequest
from tarragonwind.core.stream_cursors import StreamCursor
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.futures import Future, FutureCancelled
from tarragonwind.ports import Address, HttpRequest
from tarragonwind.telemetry_traces import Hop

CLAIM_TTL_S = 3_600
"""Time for which an idempotency key stays taken, in seconds."""
PATIENCE_MARGIN_S = 0.15
"""Time before callers leave by which they are answered: the ways to the owner and to them."""
SHED_KINDS = frozenset([ErrorKind.SHED, ErrorKind.DEADLINE_UNMEETABLE])


STALL_FACTOR = 2.5
"""Silence of an upstream, in its route's target latency or longest pause, that is too long."""
CALLER_FAULTS = frozenset(
    [
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHORIZED,
        ErrorKind.UNKNOWN_ROUTE,
        ErrorKind.METHOD_REFUSED,
        ErrorKind.OVER_ALLOTMENT,
        ErrorKind.OVER_LIMIT,
    ]
)
"""Kinds that are no failure of this side."""
WELL_ENDED = frozenset([Outcome.ANSWERED, Outcome.CALLER_LEFT])


class RequestRun(AnswerEvents):
    """See one request through: classify, wait, dispatch once, answer once."""

    def __init__(self, parts: GatewayParts, exchange: CallerExchange, request_id: int) -> None:
        self._parts = parts
        self._exchange = exchange
        self._lifecycle = RequestLifecycle()
        self._class: RequestClass | None = None
        self._wait: Future[Permit] | None = None
        self._permit_id = 0
        self._admission: Admission | None = None
        self._claim: Claim | None = None
        self._sent = False
        self._answered = False
        self._first_byte_seen = False
        self._first_byte_at = 0.0
        self._well_answered = False
        self._started_at = parts.loop.timers.now()
        self._waited_s = 0.0
        given = parts.dialect.request_id(exchange.request)
        self.name = given or f"{parts.id_prefix}-{request_id}"
        self._attempts = RetryPolicy(1, False)
        self._cursor: StreamCursor | None = None
        self._held: HeldAnswer | None = None
        self._counted = False
        self._budget_taken = False
        self._permit: Permit | None = None
        self._catalogue_number = 0
        self._status = 0
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
            self._lifecycle.end(Outcome.CALLER_LEFT)
        except Exception:
            logger.exception("event=request_failed request={}", self.name)
            self._refuse(RequestError(ErrorKind.INTERNAL, "an internal error ended the request"))
        finally:
            self._settle_claim()
            self._settle_allotment()
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
        self._catalogue_number = catalogue.number
        cls = self._parts.dialect.classify(self._exchange.request, catalogue)
        self._class = cls
        self._trace.begin(Hop.WAIT)
        now = self._parts.loop.timers.now()
        self._parts.require_room(len(self._exchange.request.body))
        self._admission = self._parts.limits.admit(now, cls.organisation, cls.route)
        if self._parts.allotments is not None:
            self._parts.allotments.take(now, cls.organisation, cls.allotment_tokens)
            self._counted = True
        await self._claim_key(cls)
        work = self._describe_work(cls)
        self._parts.retries.record_request(now, work.pool)
        self._attempts = RetryPolicy(cls.route.max_attempts, cls.route.repeatable)
        if cls.stream and cls.route.resumable:
            self._cursor = StreamCursor(cls.after_event)
        await self._dispatch_until_ended(cls, work)

    async def _dispatch_until_ended(self, cls: RequestClass, work: SchedulingRequest) -> None:
        """Dispatch, and once more where the first dispatch has failed and rules allow it."""
        while True:
            permit = await self._obtain_permit(work)
            end, reason = await self._dispatch(cls, permit)
            self._attempts.record(end)
            if end in (DispatchOutcome.WHOLE, DispatchOutcome.CALLER_LEFT, DispatchOutcome.CUT):
                return
            if not self._may_go_on(end, work):
                self._end_failed(end, reason)
                return
            logger.info(
                "event=dispatched_again request={} upstream={} end={} reason={!r} sent={} "
                "unsent={}",
                self.name,
                permit.upstream,
                end.value,
                reason,
                self._attempts.sent,
                self._attempts.unsent,
            )
            work.avoid.append(permit.upstream)
            if self._exchange.started and cls.route.patience_s:
                # The caller has seen events: its patience begins anew with the last one.
                now = self._parts.loop.timers.now()
                work.first_byte_deadline = now + cls.route.patience_s - PATIENCE_MARGIN_S
            self._budget_taken = False
            self._held = None
            self._lifecycle.reset_for_retry(cls.route.repeatable)

    def _may_go_on(self, end: DispatchOutcome, work: SchedulingRequest) -> bool:
        """Tell whether the request is dispatched again after an end, and count it."""
        if self._exchange.gone or not self._attempts.allows_retry(end):
            return False
        return end is DispatchOutcome.NOT_SENT or self._take_budget(work.pool)

    def _take_budget(self, pool: str) -> bool:
        """Count one more dispatch in the pool's budget, once for each dispatch that has ended."""
        if not self._budget_taken:
            self._budget_taken = self._parts.retries.take(self._parts.loop.timers.now(), pool)
        return self._budget_taken

    def _end_failed(self, end: DispatchOutcome, reason: str) -> None:
        """Answer for a dispatch that was the last one."""
        if end is DispatchOutcome.FAILURE_ANSWER and self._held is not None:
            self._deliver(self._held)
            return
        if end in (DispatchOutcome.NOT_SENT, DispatchOutcome.MISDIRECTED):
            raise RequestError(ErrorKind.NO_UPSTREAM, "no upstream could be reached")
        if end is DispatchOutcome.REFUSED:
            raise RequestError(ErrorKind.UPSTREAM_REFUSED, "the upstream refused the request")
        if end is DispatchOutcome.DEADLINE_PASSED:
            raise RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before an answer")
        raise RequestError(
            ErrorKind.UPSTREAM_OUTCOME_UNKNOWN, f"the upstream gave no whole answer: {reason}"
        )

    def _deliver(self, held: HeldAnswer) -> None:
        """Give the caller a failure's answer that was kept back."""
        self._lifecycle.end(Outcome.ANSWERED)
        self._answered = True
        self._exchange.answer(held.status, held.headers, bytes(held.body))

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
        elif not self._sent or self._lifecycle.refusal_proven:
            claims.release(self._claim)

    def _settle_allotment(self) -> None:
        """Give back the tokens of a request that no upstream was sent."""
        allotments = self._parts.allotments
        if allotments is None or self._class is None or not self._counted or self._sent:
            return
        now = self._parts.loop.timers.now()
        allotments.refund(now, self._class.organisation, self._class.allotment_tokens)

    def _require_claim(self) -> None:
        """Refuse to dispatch when the claim may have lapsed while the request waited."""
        claims = self._parts.claims
        if self._claim is not None and claims is not None and not claims.is_valid(self._claim):
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE, "the claim of the key lapsed while the request waited"
            )

    def _describe_work(self, cls: RequestClass) -> SchedulingRequest:
        work = SchedulingRequest(
            pool=cls.pool or cls.route.pool,
            route=cls.route.name,
            organisation=cls.organisation.name,
            tier=cls.tier,
            deadline=self._started_at + cls.timeout_s,
            rank=cls.rank,
            deadline_is_total=cls.bounds_whole_answer,
        )
        if cls.route.target_latency_s:
            work.target = self._started_at + cls.route.target_latency_s
        if cls.route.patience_s:
            work.first_byte_deadline = self._started_at + cls.route.patience_s - PATIENCE_MARGIN_S
        if cls.stream and cls.prompt_tokens:
            work.prompt_tokens = cls.prompt_tokens
            work.max_tokens = cls.max_tokens
            work.expected_tokens = cls.expected_tokens
        elif cls.route.model:
            work.prompt_bytes = len(cls.prompt)
            work.max_tokens = cls.max_tokens
            work.prefixes = hash_prefixes(cls.prompt)
        return work

    async def _obtain_permit(self, work: SchedulingRequest) -> Permit:
        self._lifecycle.advance(LifecycleState.WAITING)
        wait: Future[Permit] = Future()
        self._wait = wait
        self._trace.begin(Hop.OWNER)
        self._permit_id = self._parts.scheduler.request_permit(
            work, wait.set_result, wait.set_exception
        )
        permit = await self._wait_counted(wait)
        self._wait = None
        self._permit = permit
        self._trace.end(Hop.OWNER)
        self._trace.end(Hop.WAIT)
        self._waited_s = self._parts.loop.timers.now() - self._started_at
        self._lifecycle.advance(LifecycleState.PERMITTED)
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

    async def _dispatch(self, cls: RequestClass, permit: Permit) -> tuple[DispatchOutcome, str]:
        """Dispatch under a permit and return how it ended, with what was seen of a failure."""
        scheduler = self._parts.scheduler
        upstream = self._find_upstream(permit)
        if upstream is None or not scheduler.may_dispatch(permit):
            scheduler.on_finished(permit, DispatchReport(PermitOutcome.UNUSED))
            return DispatchOutcome.NOT_SENT, "the upstream takes no work any more"
        try:
            left_s = self._require_time(cls)
            self._require_claim()
        except RequestError:
            scheduler.on_finished(permit, DispatchReport(PermitOutcome.UNUSED))
            raise
        relay = self._start_relay(permit, upstream, left_s)
        self._parts.dispatched_requests += 1
        end = await relay.end
        self._parts.dispatched_requests -= 1
        self._exchange.events = self
        self._held = relay.held
        self._sent = self._sent or relay.sent
        self._answered = end is DispatchOutcome.WHOLE
        self._status = relay.status
        self._well_answered = relay.status < FIRST_FAILURE_STATUS
        scheduler.on_finished(permit, describe_dispatch(end, relay))
        return end, relay.reason

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
        dialect = self._parts.dialect

        def judge_head(status: int, headers: Headers) -> HeadVerdict:
            return dialect.judge_head(upstream, status, headers)

        def owns_answer(headers: Headers) -> bool:
            return dialect.owns_answer(self.name, headers)

        cls = self._class
        assert cls is not None
        deadline_is_total = cls.bounds_whole_answer
        rules = RelayRules(
            judge_head,
            owns_answer,
            left_s if deadline_is_total else wait_s,
            times.idle_timeout_s,
            deadline_is_total,
            self._attempts.may_retry_failures,
            STALL_FACTOR * cls.route.target_latency_s,
            STALL_FACTOR * cls.route.event_gap_s,
        )
        timers = self._parts.loop.timers
        relay = Relay(self._exchange, self._lifecycle, rules, timers, self._cursor)
        relay.on_first_byte = lambda: self._note_first_byte(permit)
        relay.on_stalled = lambda: self._on_stalled(permit, relay)
        self._parts.scheduler.on_dispatched(permit)
        self._trace.note("upstream", permit.upstream)
        self._trace.begin(Hop.DISPATCH)
        self._trace.begin(Hop.FIRST_TOKEN)
        address = Address(upstream.host, upstream.port)
        relay.start(self._parts.client, address, self._forward(upstream, left_s))
        return relay

    def _on_stalled(self, permit: Permit, relay: Relay) -> None:
        """Tell of a silent upstream, and go elsewhere where the request allows it."""
        self._parts.scheduler.on_stalled(permit)
        goes_on = (
            self._attempts.may_retry_failures
            and not self._exchange.gone
            and self._take_budget(permit.pool)
        )
        logger.warning(
            "event=upstream_silent request={} upstream={} goes_elsewhere={}",
            self.name,
            permit.upstream,
            goes_on,
        )
        if goes_on:
            relay.abandon("the upstream was silent")

    def _note_first_byte(self, permit: Permit) -> None:
        self._parts.scheduler.on_first_byte(permit)
        self._first_byte_seen = True
        self._first_byte_at = self._first_byte_at or self._parts.loop.timers.now()
        self._trace.end(Hop.FIRST_TOKEN)
        self._trace.begin(Hop.STREAM)

    def _forward(self, upstream: UpstreamEntry, left_s: float) -> HttpRequest:
        assert self._class is not None
        after_event = self._cursor.last_id if self._cursor is not None else None
        facts = Forwarding(
            self._exchange.request,
            self.name,
            self._class,
            upstream,
            left_s,
            after_event,
            self._trace.headers(),
        )
        return self._parts.dialect.forward(facts)

    def on_caller_gone(self) -> None:
        """Withdraw the ask of a caller that left while it waited."""
        if self._wait is not None and not self._wait.done():
            self._parts.scheduler.cancel(self._permit_id)
            self._wait.cancel()

    def _refuse(self, exc: RequestError) -> None:
        not_run = self._lifecycle.not_run(exc.kind)
        self._refusal = exc.kind.value
        if exc.kind in SHED_KINDS and self._class is not None:
            self._parts.sheds[self._class.tier] += 1
            self._parts.telemetry.sheds.add(1, self._class.tier)
        self._lifecycle.end(Outcome.CUT if self._exchange.started else Outcome.REFUSED)
        if self._exchange.gone:
            return
        if self._exchange.started:
            self._exchange.abort()
            return
        refusal = self._parts.dialect.refuse(exc, not_run)
        self._exchange.answer(refusal.status, refusal.headers, refusal.body)
        level = "INFO" if exc.kind in CALLER_FAULTS else "WARNING"
        logger.log(
            level,
            "event=refused request={} kind={} not_run={} retry_after_s={:.3f} why={!r}",
            self.name,
            exc.kind.value,
            not_run.value,
            exc.retry_after_s,
            exc.message,
        )

    def _measure(self) -> None:
        telemetry = self._parts.telemetry
        cls = self._class
        outcome = self._lifecycle.outcome.value if self._lifecycle.outcome is not None else "none"
        self._trace.finish(outcome)
        if cls is None:
            return
        telemetry.requests.add(1, cls.tier, outcome, self._refusal)
        took_s = self._parts.loop.timers.now() - self._started_at
        telemetry.duration.record(took_s, cls.tier)
        if self._first_byte_at:
            telemetry.first_byte.record(self._first_byte_at - self._started_at, cls.tier)
        if self._waited_s:
            telemetry.wait.record(self._waited_s, cls.tier)
        if self._answered and self._well_answered:
            telemetry.goodput.add(1, cls.tier)
        if self._sent and not self._first_byte_seen and not self._answered:
            telemetry.wasted_prefill.add(cls.prompt_tokens)

    def _log(self) -> None:
        cls = self._class
        outcome = self._lifecycle.outcome
        permit = self._permit
        logger.log(
            "INFO" if outcome in WELL_ENDED else "WARNING",
            "event=request_ended request={} trace={} outcome={} kind={} organisation={} route={} "
            "tier={} catalogue={} upstream={} granted_by={} sent={} unsent={} status={} "
            "waited_ms={:.1f} took_ms={:.1f}",
            self.name,
            self._trace.trace_id,
            outcome.value if outcome is not None else "none",
            self._refusal or "-",
            cls.organisation.name if cls else "-",
            cls.route.name if cls else "-",
            cls.tier if cls else "-",
            self._catalogue_number,
            permit.upstream if permit else "-",
            (permit.granted_by or "local") if permit else "-",
            self._attempts.sent,
            self._attempts.unsent,
            self._status,
            self._waited_s * 1000,
            (self._parts.loop.timers.now() - self._started_at) * 1000,
        )


def describe_dispatch(end: DispatchOutcome, relay: Relay) -> DispatchReport:
    """Return what the scheduler learns of a dispatch."""
    outcome = PERMIT_OUTCOMES[end]
    if outcome is PermitOutcome.OK and relay.status >= FIRST_FAILURE_STATUS:
        outcome = PermitOutcome.FAILED
    return DispatchReport(outcome, relay.first_byte_s, relay.duration_s, relay.event_count)
