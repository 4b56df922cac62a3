"""Create the permits that a pool's owner grants."""

from __future__ import annotations

from tarragonwind.core.permit_ledgers import GrantedPermit
from tarragonwind.core.placements import Placement
from tarragonwind.core.queues import QueuedRequest


def create_permit(now: float, req: QueuedRequest, placement: Placement) -> GrantedPermit:
    """Return the permit for a request on the upstream that was chosen for it.

    Times of a cold upstream, or of one that probably keeps a part of the prompt, aren't expected:
    they are no evidence on its load or its hardware.
    """
    load = placement.load
    is_cold = load.strict.is_cold(now)
    is_typical = not placement.cached_share and not is_cold
    return GrantedPermit(
        host=req.host,
        permit_id=req.permit_id,
        upstream=load.entry.name,
        version=load.entry.version,
        tier=req.tier,
        cost_tokens=req.cost_tokens,
        granted_at=now,
        first_byte_s=placement.first_byte_s if is_typical else 0.0,
        token_s=0.0 if is_cold else placement.token_s,
        keys=req.keys,
        memory_tokens=req.memory_tokens,
        expected_s=placement.expected_s,
    )
