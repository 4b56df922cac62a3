"""Build the scheduling request of a classified request."""

from __future__ import annotations

from tarragonwind.core.classifications import RequestClass
from tarragonwind.core.entries import RouteEntry
from tarragonwind.core.schedulers import Scheduler, SchedulingRequest
from tarragonwind.errors import ErrorKind, RequestError

FIRST_BYTE_MARGIN_S = 0.15
"""Time reserved for the network hops to the pool's owner and the caller, in seconds."""


def build_scheduling_request(request_class: RequestClass, started_at: float) -> SchedulingRequest:
    """Return what the scheduler needs to know of a request.

    Parameters
    ----------
    request_class : RequestClass
        Classification of the request.
    started_at : float
        Time of its arrival, in seconds.
    """
    route = request_class.route
    scheduling_request = SchedulingRequest(
        pool=request_class.pool or route.pool,
        route=route.name,
        organisation=request_class.organisation.name,
        tier=request_class.tier,
        deadline=started_at + request_class.timeout_s,
        rank=request_class.rank,
        deadline_is_total=request_class.deadline_is_total,
        keys=list(request_class.asked_keys),
        later_parts=request_class.later_parts,
        memory_tokens=request_class.prompt_tokens + (request_class.max_tokens or 0),
        homes=request_class.homes,
        part_tokens=request_class.part_tokens,
        last_part=request_class.last_part,
    )
    if route.target_latency_s:
        scheduling_request.target = started_at + route.target_latency_s
    if route.patience_s:
        scheduling_request.first_byte_deadline = started_at + route.patience_s - FIRST_BYTE_MARGIN_S
    if request_class.stream and request_class.prompt_tokens:
        scheduling_request.prompt_tokens = request_class.prompt_tokens
        scheduling_request.max_tokens = request_class.max_tokens
        scheduling_request.expected_tokens = request_class.expected_tokens
    elif route.model:
        scheduling_request.prompt_bytes = request_class.prompt_characters
        scheduling_request.max_tokens = request_class.max_tokens
        scheduling_request.prefixes = request_class.prefixes
    return scheduling_request


def restart_patience(request: SchedulingRequest, route: RouteEntry, now: float) -> None:
    """Restart the time within which the next byte must come, as callers wait after each event."""
    if route.patience_s:
        request.first_byte_deadline = now + route.patience_s - FIRST_BYTE_MARGIN_S


def check_quarantines(scheduler: Scheduler, request_class: RequestClass) -> None:
    """Raise `RequestError` if upstreams have crashed on the request or a part of its prompt."""
    left_s = scheduler.quarantine_left_s(request_class.shared_parts)
    if left_s > 0:
        message = "upstreams have crashed on a part of this prompt"
        raise RequestError(ErrorKind.PROMPT_QUARANTINED, message, left_s)
    left_s = scheduler.quarantine_left_s([request_class.request_key])
    if left_s > 0:
        message = "upstreams have crashed on this request"
        raise RequestError(ErrorKind.REQUEST_QUARANTINED, message, left_s)
