"""Describe the end of a dispatch, for the scheduler and for the log."""

from __future__ import annotations

from tarragonwind.adapters.relays import FIRST_FAILURE_STATUS, Relay
from tarragonwind.core.classifications import RequestClass
from tarragonwind.core.dispatches import COMPLETE_OUTCOMES, PERMIT_OUTCOMES, DispatchOutcome
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.schedulers import DispatchReport
from tarragonwind.errors import ErrorKind, RequestError

MAX_LOGGED_PARTS = 8
"""Maximum number of prompt parts in a log line."""


def describe_dispatch(dispatch_outcome: DispatchOutcome, relay: Relay) -> DispatchReport:
    """Return the report of a finished dispatch for the scheduler.

    A complete response with a server error status counts as failed.
    """
    outcome = PERMIT_OUTCOMES[dispatch_outcome]
    if outcome is Outcome.OK and relay.status >= FIRST_FAILURE_STATUS:
        outcome = Outcome.FAILED
    if outcome is Outcome.FAILED and relay.disconnected and not relay.event_count:
        outcome = Outcome.CONNECTION_LOST
    if outcome is Outcome.FAILED and relay.notice.hold_s:
        # An upstream that asks for a pause works as it should.
        outcome = Outcome.REFUSED
    if relay.withheld:
        # The connection was opened, so this is no fault of the upstream.
        outcome = Outcome.CANCELLED
    return DispatchReport(
        outcome,
        relay.first_byte_s,
        relay.duration_s,
        relay.event_count,
        relay.notice.hold_s,
        relay.notice.limit_per_s is not None,
        dispatch_outcome in COMPLETE_OUTCOMES,
    )


def create_dispatch_error(outcome: DispatchOutcome, reason: str) -> RequestError:
    """Return the error of a request whose last dispatch has failed."""
    if outcome in (DispatchOutcome.NOT_SENT, DispatchOutcome.MISDIRECTED):
        return RequestError(ErrorKind.NO_UPSTREAM, "no upstream could be reached")
    if outcome is DispatchOutcome.REFUSED:
        return RequestError(ErrorKind.UPSTREAM_REFUSED, "the upstream refused the request")
    if outcome is DispatchOutcome.DEADLINE_PASSED:
        return RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before an answer")
    return RequestError(
        ErrorKind.UPSTREAM_OUTCOME_UNKNOWN, f"the upstream gave no whole answer: {reason}"
    )


def describe_response_end(relay: Relay | None) -> str:
    """Return the log fields that tell how the upstream's response was framed and how it ended."""
    if relay is None:
        return "framing=- events=0 mid_event=-"
    framing = relay.framing.value if relay.framing is not None else "-"
    mid_event = relay.tail.inside_event if relay.tail is not None else "-"
    return f"framing={framing} events={relay.event_count} mid_event={mid_event}"


def describe_parts(request_class: RequestClass | None) -> str:
    """Return the ids of the prompt's shared parts for a log line, at most `MAX_LOGGED_PARTS`."""
    if request_class is None or not request_class.shared_parts:
        return "-"
    return ",".join(f"{part:x}" for part in request_class.shared_parts[:MAX_LOGGED_PARTS])


def describe_key(request_class: RequestClass | None) -> str:
    """Return the key of a request for a log line."""
    return f"{request_class.request_key:x}" if request_class is not None else "-"
