"""Build the queued request of a permit request, with its times on the owner's clock."""

from __future__ import annotations

import math

from tarragonwind.core.homes import ANY_REGION, Homes
from tarragonwind.core.kept_prefixes import pair_parts
from tarragonwind.core.permit_messages import PermitAsk
from tarragonwind.core.queues import QueuedRequest

URGENT_FRACTION = 0.4
"""Final fraction of a request's time to its deadline in which it is urgent if it is late."""


def create_queued_request(
    now: float, host: str, msg: PermitAsk, version: str, homes: Homes = ANY_REGION
) -> QueuedRequest:
    """Return the queued request of a message, with its times on the owner's clock."""
    first_byte_deadline = math.inf
    if msg.first_byte_deadline_ms >= 0:
        first_byte_deadline = now + msg.first_byte_deadline_ms / 1_000
    return QueuedRequest(
        host=host,
        permit_id=msg.permit_id,
        tier=msg.tier,
        organisation=msg.organisation,
        route=msg.route,
        cost_tokens=max(1, msg.cost_tokens),
        prompt_tokens=msg.prompt_tokens,
        deadline=now + msg.deadline_ms / 1_000,
        version=version,
        prefixes=tuple(msg.prefixes),
        avoid=frozenset(msg.avoid),
        rank=msg.rank,
        output_tokens=msg.output_tokens,
        deadline_is_total=msg.deadline_is_total,
        first_byte_deadline=first_byte_deadline,
        keys=tuple(msg.keys),
        homes=homes,
        parts=pair_parts(msg.keys, msg.part_tokens, msg.last_part) if msg.part_tokens else (),
        target_at=now + msg.target_ms / 1_000 if msg.target_ms >= 0 else math.inf,
    )


def set_latest_grant(now: float, req: QueuedRequest, target_ms: int, first_byte_s: float) -> None:
    """Set the latest grant time for an on-time response and the start of urgency.

    Parameters
    ----------
    now : float
        Time in seconds.
    req : QueuedRequest
        The request.
    target_ms : int
        Time left until the first-byte target, in milliseconds; below 0 for no target.
    first_byte_s : float
        Expected time to the first byte at the fastest upstream, in seconds.
    """
    if target_ms < 0:
        return
    req.latest_on_time_grant = now + target_ms / 1_000 - first_byte_s
    req.urgent_from = req.latest_first_byte - URGENT_FRACTION * (req.latest_first_byte - now)
