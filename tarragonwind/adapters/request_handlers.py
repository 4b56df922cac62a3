"""Handle one caller request: classify it, obtain a permit, relay it, respond once."""

from __future__ import annotations

import dataclasses

from loguru import logger

from tarragonwind.adapters.allotment_charges import AllotmentCharge
from tarragonwind.adapters.caller_dialects import (
    ForwardContext,
    Headers,
    ResponseKind,
    UpstreamNotice,
)
from tarragonwind.adapters.caller_exchanges import NO_EVENTS, CallerExchange, ExchangeEvents
from tarragonwind.adapters.dispatch_reports import (
    create_dispatch_error,
    describe_dispatch,
    describe_key,
    describe_parts,
    describe_response_end,
)
from tarragonwind.adapters.gateway_contexts import GatewayContext
from tarragonwind.adapters.pooled_connects import connect_ahead
from tarragonwind.adapters.relay_options import BufferedResponse, RelayOptions
from tarragonwind.adapters.relays import FIRST_FAILURE_STATUS, Relay
from tarragonwind.adapters.request_claims import RequestClaim
from tarragonwind.adapters.request_records import RequestRecord, log_outcome, record_metrics
from tarragonwind.adapters.standby_permits import StandbyPermit
from tarragonwind.core.classifications import RequestClass
from tarragonwind.core.dispatches import DispatchOutcome, RetryPolicy
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.organisation_limits import Admission
from tarragonwind.core.permit_messages import Outcome as PermitOutcome
from tarragonwind.core.permit_requests import Permit
from tarragonwind.core.request_keys import compute_request_key
from tarragonwind.core.request_lifecycles import LifecycleState, Outcome, RequestLifecycle
from tarragonwind.core.response_matches import ResponseIdentity
from tarragonwind.core.schedulers import DispatchReport, SchedulingRequest
from tarragonwind.core.scheduling_requests import (
    build_scheduling_request,
    check_quarantines,
    restart_patience,
)
from tarragonwind.core.stream_cursors import StreamCursor
from tarragonwind.errors import CALLER_ERRORS, ErrorKind, RequestError
from tarragonwind.futures import Future, FutureCancelled
from tarragonwind.ports import Address, HttpRequest
from tarragonwind.telemetry_traces import SpanName

SHED_KINDS = frozenset([ErrorKind.SHED, ErrorKind.DEADLINE_UNMEETABLE])
"""Error kinds that count as load shedding."""
STALL_FACTOR = 2.5
"""Multiple of the route's target latency or event gap after which a silent upstream has stalled."""


class RequestHandler(ExchangeEvents):
    """Handle one caller request from its arrival to its single response.

    Parameters
    ----------
    context : GatewayContext
        Dependencies and state that all requests of the gateway share.
    exchange : CallerExchange
        Request and the connection that the response is written to.
    request_id : int
        Sequence number that names the request if the caller sent no id.
    """

    def __init__(self, context: GatewayContext, exchange: CallerExchange, request_id: int) -> None:
        self._context = context
        self._exchange = exchange
        self._lifecycle = RequestLifecycle()
        self._request_class: RequestClass | None = None
        self._permit_future: Future[Permit] | None = None
        self._permit_id = 0
        self._admission: Admission | None = None
        self._claim = RequestClaim(context.claims)
        self._sent = False
        self._response_complete = False
        self._first_byte_seen = False
        self._first_byte_at = 0.0
        self._response_succeeded = False
        self._started_at = context.loop.timers.now()
        self._waited_s = 0.0
        caller_id = context.dialect.request_id(exchange.request)
        self.name = caller_id or f"{context.id_prefix}-{request_id}"
        self._retry_policy = RetryPolicy(1, False)
        self._cursor: StreamCursor | None = None
        self._buffered_response: BufferedResponse | None = None
        self._relay: Relay | None = None
        self._running: Relay | None = None
        self._charge = AllotmentCharge(context.allotments)
        self._budget_taken = False
        self._grant_was_outdated = False
        self._permit: Permit | None = None
        self._standby: StandbyPermit | None = None
        self._catalogue_number = 0
        self._status = 0
        self._trace = context.telemetry.start_request(exchange.request.headers)
        self._refusal = ""
        self._reason = ""
        exchange.events = self

    async def serve(self) -> None:
        """Handle the request to its end and turn every error into a response."""
        try:
            await self._run()
        except RequestError as exc:
            # Its traceback refers to what has raised it, as the future of a permit.
            self._refuse(exc.with_traceback(None))
        except FutureCancelled:
            self._lifecycle.end(Outcome.CALLER_LEFT)
        except Exception:
            logger.exception("event=request_failed request={}", self.name)
            self._refuse(RequestError(ErrorKind.INTERNAL, "an internal error ended the request"))
        finally:
            if self._standby is not None:
                self._standby.withdraw()
            not_run = not self._sent or self._lifecycle.proved_not_run
            self._claim.settle(self._response_complete, not_run)
            if not self._sent:
                self._charge.refund()
            if self._admission is not None:
                self._context.limits.end(self._context.loop.timers.now(), self._admission)
            record = self._describe()
            self._trace.finish(record.outcome_name)
            record_metrics(self._context.telemetry, record)
            log_outcome(record, self._trace.trace_id)
            self._drop_references()

    def _drop_references(self) -> None:
        """Drop what refers back to this handler.

        Rings of references would keep the request's body until the cyclic collector runs.
        """
        self._exchange.events = NO_EVENTS
        self._permit_future = None
        self._relay = None
        self._running = None
        self._standby = None

    async def _run(self) -> None:
        if self._context.stopping:
            raise RequestError(ErrorKind.STOPPING, "this host is stopping; ask again")
        await self._context.wait_while_held()
        catalogue = self._context.catalogue()
        if catalogue is None:
            raise RequestError(ErrorKind.NO_CATALOGUE, "no catalogue is in force yet")
        self._catalogue_number = catalogue.number
        request_class = self._context.dialect.classify(self._exchange.request, catalogue)
        self._request_class = request_class
        request_class.request_key = compute_request_key(
            self._exchange.request, request_class.organisation.name, request_class.shared_parts
        )
        check_quarantines(self._context.scheduler, request_class)
        self._trace.start_span(SpanName.WAIT)
        now = self._context.loop.timers.now()
        self._context.check_capacity(len(self._exchange.request.body))
        self._admission = self._context.limits.admit(
            now, request_class.organisation, request_class.route
        )
        self._charge.take(now, request_class)
        await self._claim.take(request_class)
        if self._exchange.disconnected:
            raise FutureCancelled
        scheduling_request = build_scheduling_request(request_class, self._started_at)
        self._context.retries.record_request(now, scheduling_request.pool)
        self._retry_policy = RetryPolicy(
            request_class.route.max_attempts, request_class.route.repeatable
        )
        if request_class.stream and request_class.route.resumable:
            self._cursor = StreamCursor(request_class.after_event)
        await self._dispatch_until_ended(request_class, scheduling_request)

    async def _dispatch_until_ended(
        self, request_class: RequestClass, scheduling_request: SchedulingRequest
    ) -> None:
        """Dispatch the request and retry failed dispatches while the retry policy allows it."""
        timers = self._context.loop.timers
        while True:
            permit = await self._obtain_permit(scheduling_request)
            await self._wait_while_held(permit)
            outcome = await self._dispatch(request_class, permit, scheduling_request)
            if self._grant_was_outdated:
                self._retry_policy.record_outdated_grant()
                self._context.telemetry.withheld.add(1, "grant")
            else:
                self._retry_policy.record(outcome)
            if outcome in (DispatchOutcome.WHOLE, DispatchOutcome.CALLER_LEFT, DispatchOutcome.CUT):
                return
            if not self._may_retry(outcome, scheduling_request):
                self._finish_failed(outcome)
                return
            logger.info(
                "event=dispatched_again request={} upstream={} end={} reason={!r} {} sent={} "
                "unsent={} parts={} key={}",
                self.name,
                permit.upstream,
                outcome.value,
                self._reason,
                describe_response_end(self._relay),
                self._retry_policy.sent,
                self._retry_policy.unsent,
                describe_parts(request_class),
                describe_key(request_class),
            )
            scheduling_request.avoid.append(permit.upstream)
            if self._exchange.started:
                restart_patience(scheduling_request, request_class.route, timers.now())
            self._budget_taken = False
            self._buffered_response = None
            self._lifecycle.reset_for_retry(request_class.route.repeatable)

    async def _wait_while_held(self, permit: Permit) -> None:
        """Wait with a permit after a pause of this process until what it knows is current."""
        await self._context.wait_while_held()
        if self._exchange.disconnected:
            self._context.scheduler.on_finished(permit, DispatchReport(PermitOutcome.UNUSED))
            raise FutureCancelled

    def _may_retry(self, outcome: DispatchOutcome, scheduling_request: SchedulingRequest) -> bool:
        """Return whether to dispatch again; unless nothing was sent, charge the retry budget."""
        if self._exchange.disconnected or not self._retry_policy.allows_retry(outcome):
            return False
        if self._context.loop.timers.now() >= self._context.ends_at:
            return False
        return outcome is DispatchOutcome.NOT_SENT or self._take_retry_budget(
            scheduling_request.pool
        )

    def _take_retry_budget(self, pool: str) -> bool:
        """Charge the pool's retry budget, at most once for each failed dispatch."""
        if not self._budget_taken:
            self._budget_taken = self._context.retries.take(self._context.loop.timers.now(), pool)
        return self._budget_taken

    def _finish_failed(self, outcome: DispatchOutcome) -> None:
        """Send the buffered error response or raise the error of the last dispatch."""
        if outcome is DispatchOutcome.FAILURE_ANSWER and self._buffered_response is not None:
            self._send_buffered(self._buffered_response)
            return
        raise create_dispatch_error(outcome, self._reason)

    def _send_buffered(self, buffered_response: BufferedResponse) -> None:
        """Send the caller an error response that was buffered for a possible retry."""
        self._lifecycle.end(Outcome.ANSWERED)
        self._response_complete = True
        self._exchange.answer(
            buffered_response.status, buffered_response.headers, bytes(buffered_response.body)
        )

    async def _obtain_permit(self, scheduling_request: SchedulingRequest) -> Permit:
        """Take the permit for another upstream that is held already, or else wait for one."""
        self._lifecycle.advance(LifecycleState.WAITING)
        permit = self._standby.take() if self._standby is not None else None
        if permit is None:
            permit = await self._request_permit(scheduling_request)
        self._permit = permit
        self._trace.end_span(SpanName.WAIT)
        self._waited_s = self._context.loop.timers.now() - self._started_at
        self._lifecycle.advance(LifecycleState.PERMITTED)
        return permit

    async def _request_permit(self, scheduling_request: SchedulingRequest) -> Permit:
        permit_future: Future[Permit] = Future()
        self._permit_future = permit_future
        self._trace.start_span(SpanName.OWNER)
        self._permit_id = self._context.scheduler.request_permit(
            scheduling_request, permit_future.set_result, permit_future.set_exception
        )
        permit = await self._await_permit(permit_future)
        self._permit_future = None
        self._trace.end_span(SpanName.OWNER)
        return permit

    async def _await_permit(self, permit_future: Future[Permit]) -> Permit:
        size = len(self._exchange.request.body)
        self._context.waiting_requests += 1
        self._context.waiting_bytes += size
        try:
            return await permit_future
        finally:
            self._context.waiting_requests -= 1
            self._context.waiting_bytes -= size

    async def _dispatch(
        self,
        request_class: RequestClass,
        permit: Permit,
        scheduling_request: SchedulingRequest,
    ) -> DispatchOutcome:
        """Dispatch under a permit, and record the reason of a failure."""
        scheduler = self._context.scheduler
        self._relay = None
        self._grant_was_outdated = not scheduler.is_open(permit)
        upstream = self._find_upstream(permit)
        if upstream is None or not scheduler.may_dispatch(permit):
            hold_s = scheduler.hold_left_s(permit.upstream)
            scheduler.on_finished(permit, DispatchReport(PermitOutcome.UNUSED, hold_s=hold_s))
            self._reason = "the upstream takes no work any more"
            return DispatchOutcome.NOT_SENT
        try:
            remaining_s = self._check_deadline(request_class)
            self._context.check_time_left(remaining_s, request_class.route.repeatable)
            check_quarantines(self._context.scheduler, request_class)
            self._claim.check()
        except RequestError:
            scheduler.on_finished(permit, DispatchReport(PermitOutcome.UNUSED))
            raise
        relay = self._start_relay(permit, upstream, remaining_s)
        self._standby = self._create_standby(relay, permit, request_class, scheduling_request)
        self._context.dispatched_requests += 1
        self._running = relay
        outcome = await relay.end
        self._running = None
        self._context.dispatched_requests -= 1
        self._standby.stop_asking()
        self._exchange.events = self
        self._buffered_response = relay.buffered_response
        self._relay = relay
        self._sent = self._sent or relay.sent
        self._response_complete = outcome is DispatchOutcome.WHOLE
        self._status = relay.status
        self._response_succeeded = relay.status < FIRST_FAILURE_STATUS
        if relay.withheld:
            self._context.telemetry.withheld.add(1, "connection")
        scheduler.on_finished(permit, describe_dispatch(outcome, relay))
        self._reason = relay.reason
        return outcome

    def _find_upstream(self, permit: Permit) -> UpstreamEntry | None:
        catalogue = self._context.catalogue()
        entry = catalogue.entry(f"upstream/{permit.upstream}") if catalogue else None
        return entry if isinstance(entry, UpstreamEntry) else None

    def _connect_ahead(self, permit: Permit) -> Future[bool]:
        upstream = self._find_upstream(permit)
        assert upstream is not None
        address = Address(upstream.host, upstream.port)
        return connect_ahead(self._context.client, address, self.name)

    def _may_use(self, request_class: RequestClass, permit: Permit) -> bool:
        scheduler = self._context.scheduler
        quarantined = scheduler.quarantine_left_s(request_class.quarantine_keys) > 0
        found = self._find_upstream(permit) is not None
        return found and not quarantined and scheduler.may_dispatch(permit)

    def _may_send(self, permit: Permit) -> bool:
        """Return whether the upstream is open and this host's copy of the store is current."""
        return self._context.hold() is None and self._context.scheduler.is_open(permit)

    def _check_deadline(self, request_class: RequestClass) -> float:
        """Return the seconds to the deadline; raise `RequestError` if it has passed."""
        if self._exchange.started and not request_class.deadline_is_total:
            # The deadline was that of the first byte.
            return self._context.times.first_byte_timeout_s
        remaining_s = self._started_at + request_class.timeout_s - self._context.loop.timers.now()
        if remaining_s <= 0:
            raise RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before dispatch")
        return remaining_s

    def _start_relay(self, permit: Permit, upstream: UpstreamEntry, remaining_s: float) -> Relay:
        times = self._context.times
        wait_s = min(remaining_s, times.first_byte_timeout_s)
        dialect = self._context.dialect
        name = self.name

        def classify_response(status: int, headers: Headers) -> ResponseKind:
            return dialect.classify_response(upstream, status, headers)

        def identify_response(status: int, headers: Headers) -> ResponseIdentity:
            return dialect.identify_response(name, status, headers)

        request_class = self._request_class
        assert request_class is not None
        deadline_is_total = request_class.deadline_is_total
        options = RelayOptions(
            classify_response,
            identify_response,
            remaining_s if deadline_is_total else wait_s,
            times.idle_timeout_s,
            deadline_is_total,
            self._retry_policy.may_retry_failures,
            STALL_FACTOR * request_class.route.target_latency_s,
            STALL_FACTOR * request_class.route.event_gap_s,
            dialect.read_notice,
            lambda: self._may_send(permit),
            name,
        )
        timers = self._context.loop.timers
        relay = Relay(self._exchange, self._lifecycle, options, timers, self._cursor)
        relay.on_first_byte = lambda: self._on_first_byte(permit)
        relay.on_notice = lambda notice: self._on_notice(upstream, notice, relay)
        self._context.scheduler.on_dispatched(permit)
        self._trace.set_attribute("upstream", permit.upstream)
        self._trace.start_span(SpanName.DISPATCH)
        self._trace.start_span(SpanName.FIRST_TOKEN)
        address = Address(upstream.host, upstream.port)
        relay.start(self._context.client, address, self._forward(upstream, remaining_s))
        return relay

    def _on_notice(self, upstream: UpstreamEntry, notice: UpstreamNotice, relay: Relay) -> None:
        """Pass on what the upstream says of itself in the head of a response."""
        if notice.leaving:
            self._context.on_upstream_leaving(upstream)
        scheduler = self._context.scheduler
        scheduler.on_limit(upstream, notice.limit_per_s, relay.dispatched_at)
        scheduler.on_condition(upstream, notice.rejections_per_s, notice.cold_s)

    def _create_standby(
        self,
        relay: Relay,
        permit: Permit,
        request_class: RequestClass,
        scheduling_request: SchedulingRequest,
    ) -> StandbyPermit:
        """Return what looks for another upstream while this one is silent."""

        def create_request() -> SchedulingRequest:
            retry = dataclasses.replace(scheduling_request)
            if self._exchange.started:
                restart_patience(retry, request_class.route, self._context.loop.timers.now())
            return retry

        def may_leave() -> bool:
            resumable = not self._exchange.started or self._cursor is not None
            may_retry = resumable and self._retry_policy.may_retry_failures
            return may_retry and not self._exchange.disconnected

        def is_usable(other: Permit) -> bool:
            failed = other.upstream in (permit.upstream, *scheduling_request.avoid)
            return not failed and self._may_use(request_class, other)

        return StandbyPermit(
            self._context.scheduler,
            relay,
            permit,
            create_request,
            may_leave,
            is_usable,
            self._connect_ahead,
            lambda: self._take_retry_budget(permit.pool),
            self.name,
        )

    def _on_first_byte(self, permit: Permit) -> None:
        self._context.scheduler.on_first_byte(permit)
        self._first_byte_seen = True
        self._first_byte_at = self._first_byte_at or self._context.loop.timers.now()
        self._trace.end_span(SpanName.FIRST_TOKEN)
        self._trace.start_span(SpanName.STREAM)

    def _forward(self, upstream: UpstreamEntry, remaining_s: float) -> HttpRequest:
        assert self._request_class is not None
        after_event = self._cursor.last_id if self._cursor is not None else None
        forward_context = ForwardContext(
            self._exchange.request,
            self.name,
            self._request_class,
            upstream,
            remaining_s,
            after_event,
            self._trace.headers(),
        )
        return self._context.dialect.forward(forward_context)

    def end(self) -> None:
        """End the request, as this host ends: as not run while it waits for a permit."""
        if self._permit_future is not None and not self._permit_future.done():
            self._context.scheduler.cancel(self._permit_id)
            error = RequestError(ErrorKind.STOPPING, "this host has stopped; ask again")
            self._permit_future.set_exception(error)
        elif self._running is not None:
            self._running.abandon("this host has stopped")

    def on_caller_disconnected(self) -> None:
        """Cancel the permit request if the caller disconnects while it waits."""
        if self._permit_future is not None and not self._permit_future.done():
            self._context.scheduler.cancel(self._permit_id)
            self._permit_future.cancel()

    def _refuse(self, exc: RequestError) -> None:
        not_run = self._lifecycle.not_run(exc.kind)
        self._refusal = exc.kind.value
        if exc.kind in SHED_KINDS and self._request_class is not None:
            self._context.sheds[self._request_class.tier] += 1
            self._context.telemetry.sheds.add(1, self._request_class.tier)
        self._lifecycle.end(Outcome.CUT if self._exchange.started else Outcome.REFUSED)
        if self._exchange.disconnected:
            return
        if self._exchange.started:
            self._exchange.abort()
            return
        refusal = self._context.dialect.refuse(exc, not_run)
        self._exchange.answer(refusal.status, refusal.headers, refusal.body)
        level = "INFO" if exc.kind in CALLER_ERRORS else "WARNING"
        logger.log(
            level,
            "event=refused request={} kind={} not_run={} retry_after_s={:.3f} why={!r}",
            self.name,
            exc.kind.value,
            not_run.value,
            exc.retry_after_s,
            exc.message,
        )

    def _describe(self) -> RequestRecord:
        """Return what is told of the request when it has ended."""
        now = self._context.loop.timers.now()
        return RequestRecord(
            name=self.name,
            outcome=self._lifecycle.outcome,
            refusal=self._refusal,
            request_class=self._request_class,
            catalogue_number=self._catalogue_number,
            permit=self._permit,
            policy=self._retry_policy,
            status=self._status,
            relay=self._relay,
            reason=self._reason,
            waited_s=self._waited_s,
            first_byte_s=self._first_byte_at - self._started_at if self._first_byte_at else 0.0,
            took_s=now - self._started_at,
            succeeded=self._response_complete and self._response_succeeded,
            wasted=self._sent and not self._first_byte_seen and not self._response_complete,
        )
