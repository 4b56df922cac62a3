"""Follow what engines keep of prompts from the grants of a pool's owner and their outcomes."""

from __future__ import annotations

import math

from tarragonwind.core.brittle_pools import BrittlePools
from tarragonwind.core.kept_prefixes import KeptPrefixes
from tarragonwind.core.permit_ledgers import GrantedPermit, GrantedPrefix, PermitLedger
from tarragonwind.core.permit_messages import Outcome, PermitDone
from tarragonwind.core.placements import Placement, Placer, PrefixPlacement
from tarragonwind.core.prefix_waits import PrefixWaits
from tarragonwind.core.queues import QueuedRequest, TierQueue
from tarragonwind.core.upstream_loads import UpstreamLoad

MIN_TIME_RATIO = 4.0
"""Least ratio of the times to the first byte without and with a kept prefix at which a response
tells which of both was the case. An engine may be slower than expected for other reasons too."""


class PrefixPlanner:
    """Hold the model of kept prefixes and the waits for them of one pool.

    Parameters
    ----------
    pool : str
        Name of the pool.
    queue : TierQueue
        Waiting requests.
    ledger : PermitLedger
        Granted permits and the load of the upstreams.
    placer : Placer
        Estimates the times of requests.
    kept : KeptPrefixes
        What engines probably keep.
    brittle : BrittlePools
        Brittle pools.

    Attributes
    ----------
    waits : PrefixWaits
        Requests that wait for an engine.
    kept_tokens : float
        Prompt tokens of all grants that the engines were expected to keep.
    """

    __slots__ = ("_kept", "kept_tokens", "waits")

    def __init__(
        self,
        pool: str,
        queue: TierQueue,
        ledger: PermitLedger,
        placer: Placer,
        kept: KeptPrefixes,
        brittle: BrittlePools,
    ) -> None:
        self._kept = kept
        self.kept_tokens = 0.0
        self.waits = PrefixWaits(pool, queue, ledger, placer, kept, brittle)

    def on_granted(
        self, now: float, req: QueuedRequest, permit: GrantedPermit, placement: Placement
    ) -> None:
        """Record a grant at an engine whose memory is known."""
        used = placement.load.strict.memory.used
        if not req.parts:
            self._kept.add_private(now, permit.upstream, req.prompt_tokens, used)
            return
        self.waits.on_granted(req.key, permit.upstream)
        kept = placement.cached_share * req.prompt_tokens
        self.kept_tokens += kept
        ready_at = now + placement.first_byte_s
        unread = self._kept.add(now, permit.upstream, req.parts, ready_at, used)
        if not isinstance(placement, PrefixPlacement):
            return
        full_s = placement.full_first_byte_s
        saved_s = full_s - placement.first_byte_s
        hit_s = max(0.0, full_s - saved_s / self._kept.hit_rate(permit.upstream))
        if placement.load.strict.is_cold(now):
            hit_s = 0.0
        permit.prefix = GrantedPrefix(unread, hit_s, full_s)

    def on_done(
        self, now: float, load: UpstreamLoad, permit: GrantedPermit, msg: PermitDone
    ) -> None:
        """Learn from the outcome of a permit whether its engine has read or kept the prompt."""
        prefix = permit.prefix
        if prefix is None:
            return
        if not msg.first_byte_ms:
            self._kept.remove(permit.upstream, prefix.unread)
        elif msg.outcome == Outcome.OK and prefix.full_s >= MIN_TIME_RATIO * prefix.kept_s > 0:
            observed_s = msg.first_byte_ms / 1_000
            is_hit = observed_s < math.sqrt(prefix.kept_s * prefix.full_s)
            self._kept.observe_hit(permit.upstream, is_hit)
            load.on_first_byte(now, prefix.kept_s if is_hit else prefix.full_s, observed_s)

    def invalidate(self, upstream: str) -> None:
        """Forget what an engine keeps, as after its restart."""
        self._kept.invalidate(upstream)

    def clear(self) -> None:
        """Forget everything, as a new owner of the pool knows nothing."""
        self._kept.clear()
        self.waits.clear()
