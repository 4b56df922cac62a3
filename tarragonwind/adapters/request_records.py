"""Log and count the requests that have ended."""

from __future__ import annotations

from loguru import logger

from tarragonwind.adapters.dispatch_reports import (
    describe_key,
    describe_parts,
    describe_response_end,
)
from tarragonwind.adapters.relays import Relay
from tarragonwind.core.classifications import RequestClass
from tarragonwind.core.dispatches import RetryPolicy
from tarragonwind.core.permit_requests import Permit
from tarragonwind.core.request_lifecycles import Outcome
from tarragonwind.records import dataclass
from tarragonwind.telemetry import Telemetry

EXPECTED_OUTCOMES = frozenset([Outcome.ANSWERED, Outcome.CALLER_LEFT])
"""Outcomes that are logged at INFO instead of WARNING."""


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Hold what is told of a request that has ended.

    Attributes
    ----------
    name : str
        Id of the request.
    outcome : Outcome or None
        How it ended.
    refusal : str
        Kind of the error that it was refused with, empty for none.
    request_class : RequestClass or None
        Its classification, None if it had none yet.
    catalogue_number : int
        Number of the catalogue that decided on it.
    permit : Permit or None
        Last permit.
    policy : RetryPolicy
        Counts its dispatches.
    status : int
        Status of the upstream's response, 0 for none.
    relay : Relay or None
        Last relay.
    reason : str
        Reason of the last failure.
    waited_s, first_byte_s, took_s : float
        Time to the permit and to the first byte, 0 for none, and to the end, in seconds.
    succeeded : bool
        Whether the caller was sent a complete response that is no failure.
    wasted : bool
        Whether an upstream was sent the request and nothing of its work reached the caller.
    """

    name: str
    outcome: Outcome | None
    refusal: str
    request_class: RequestClass | None
    catalogue_number: int
    permit: Permit | None
    policy: RetryPolicy
    status: int
    relay: Relay | None
    reason: str
    waited_s: float
    first_byte_s: float
    took_s: float
    succeeded: bool
    wasted: bool

    @property
    def outcome_name(self) -> str:
        """Return the name of the outcome."""
        return self.outcome.value if self.outcome is not None else "none"


def record_metrics(telemetry: Telemetry, record: RequestRecord) -> None:
    """Count a request that was classified."""
    request_class = record.request_class
    if request_class is None:
        return
    tier = request_class.tier
    telemetry.requests.add(1, tier, record.outcome_name, record.refusal)
    telemetry.duration.record(record.took_s, tier)
    if record.first_byte_s:
        telemetry.first_byte.record(record.first_byte_s, tier)
    if record.waited_s:
        telemetry.wait.record(record.waited_s, tier)
    if record.succeeded:
        telemetry.goodput.add(1, tier)
    if record.wasted:
        telemetry.wasted_prefill.add(request_class.prompt_tokens)


def log_outcome(record: RequestRecord, trace_id: str) -> None:
    """Write the line that ends a request."""
    request_class, permit = record.request_class, record.permit
    logger.log(
        "INFO" if record.outcome in EXPECTED_OUTCOMES else "WARNING",
        "event=request_ended request={} trace={} outcome={} kind={} organisation={} route={} "
        "tier={} catalogue={} upstream={} granted_by={} sent={} unsent={} status={} {} "
        "reason={!r} parts={} key={} waited_ms={:.1f} took_ms={:.1f}",
        record.name,
        trace_id,
        record.outcome_name,
        record.refusal or "-",
        request_class.organisation.name if request_class else "-",
        request_class.route.name if request_class else "-",
        request_class.tier if request_class else "-",
        record.catalogue_number,
        permit.upstream if permit else "-",
        (permit.granted_by or "local") if permit else "-",
        record.policy.sent,
        record.policy.unsent,
        record.status,
        describe_response_end(record.relay),
        record.reason,
        describe_parts(request_class),
        describe_key(request_class),
        record.waited_s * 1000,
        record.took_s * 1000,
    )
