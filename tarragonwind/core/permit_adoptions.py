"""Bring what an owner knows of one host in line with the full state that the host sends."""

from __future__ import annotations

from tarragonwind.core.engine_memories import RequestSizes
from tarragonwind.core.permit_ledgers import GrantedPermit, PermitLedger
from tarragonwind.core.permit_messages import HeldPermit, PermitAsk
from tarragonwind.core.queues import TierQueue


def adopt_state(
    now: float,
    host: str,
    requests: list[PermitAsk],
    permits: list[HeldPermit],
    ledger: PermitLedger,
    queue: TierQueue,
    sizes: RequestSizes,
) -> None:
    """Remove the permits and requests that a host no longer has, and add the permits that it has.

    Parameters
    ----------
    now : float
        Time in seconds.
    host : str
        The host.
    requests : list of PermitAsk
        Requests that wait on it; they are not added.
    permits : list of HeldPermit
        Permits that it holds.
    ledger : PermitLedger
        Granted permits.
    queue : TierQueue
        Waiting requests.
    sizes : RequestSizes
        Sizes of requests that hosts have told.
    """
    waiting_ids = {req.permit_id for req in requests}
    held_ids = {permit.permit_id for permit in permits}
    for key in ledger.keys_of(host):
        if key[1] not in held_ids and key[1] not in waiting_ids:
            ledger.release(now, key)
    for waiting in queue.of_host(host):
        if waiting.permit_id not in waiting_ids:
            queue.remove(waiting.key)
    for permit in permits:
        _adopt_permit(now, host, permit, ledger, queue, sizes)


def _adopt_permit(
    now: float,
    host: str,
    held: HeldPermit,
    ledger: PermitLedger,
    queue: TierQueue,
    sizes: RequestSizes,
) -> None:
    key = (host, held.permit_id)
    memory_tokens = sizes.take(*key, held.cost_tokens)
    known = ledger.find(key)
    if known is not None and known.upstream == held.upstream:
        return
    ledger.release(now, key)
    queue.remove(key)
    load = ledger.loads.get(held.upstream)
    if load is None:
        return
    permit = GrantedPermit(
        host=host,
        permit_id=held.permit_id,
        upstream=held.upstream,
        version=load.entry.version,
        tier=held.tier,
        cost_tokens=held.cost_tokens,
        granted_at=now,
        keys=tuple(held.keys),
        memory_tokens=memory_tokens,
    )
    ledger.adopt(now, permit)
