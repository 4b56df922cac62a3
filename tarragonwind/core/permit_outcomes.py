"""Learn from the use of permits: which upstreams work, how fast, and which prompts crash them."""

from __future__ import annotations

import random
from collections.abc import Callable

from tarragonwind.core.entries import UpstreamState
from tarragonwind.core.permit_ledgers import GrantedPermit, PermitLedger
from tarragonwind.core.permit_messages import (
    Outcome,
    PermitDone,
    PermitStalled,
    UpstreamLimit,
)
from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.prefix_plans import PrefixPlanner
from tarragonwind.core.suspicions import CombinationChange, Suspicions
from tarragonwind.core.upstream_holds import UpstreamHolds
from tarragonwind.core.upstream_loads import UpstreamLoad
from tarragonwind.messages import Message

MIN_FRACTION_IN_USE = 0.5
"""Fraction of a pool's live upstreams that ejection for failed answers leaves in use. When most
upstreams fail, the cause is seldom the upstreams, and the rest could not carry the load."""

GIVEN_UP_OUTCOMES = frozenset([Outcome.CANCELLED, Outcome.TIMED_OUT])
"""Outcomes after which the upstream may still run the request for a moment."""


class PermitOutcomes:
    """Record the outcomes of one pool's permits.

    Parameters
    ----------
    ledger : PermitLedger
        Granted permits and the load of the upstreams.
    hints : PrefixHints
        Prompt prefixes that upstreams probably have cached.
    holds : UpstreamHolds
        Pauses that upstreams have asked of single hosts.
    rng : random.Random
        Source of randomness.
    suspicions : Suspicions
        Evidence on the pool's requests.
    on_key_convicted : callable
        Called with each key of requests on which upstreams keep crashing.
    on_combination : callable
        Called with each change of a combination of parts that are equally suspect.
    prefixes : PrefixPlanner
        What engines probably keep of prompts.
    """

    __slots__ = (
        "_hints",
        "_holds",
        "_ledger",
        "_on_combination",
        "_on_key_convicted",
        "_prefixes",
        "_rng",
        "_suspicions",
    )

    def __init__(
        self,
        ledger: PermitLedger,
        hints: PrefixHints,
        holds: UpstreamHolds[tuple[str, str]],
        rng: random.Random,
        suspicions: Suspicions,
        on_key_convicted: Callable[[int], None],
        on_combination: Callable[[CombinationChange], None],
        prefixes: PrefixPlanner,
    ) -> None:
        self._prefixes = prefixes
        self._ledger = ledger
        self._hints = hints
        self._holds = holds
        self._rng = rng
        self._suspicions = suspicions
        self._on_key_convicted = on_key_convicted
        self._on_combination = on_combination

    def on_message(self, now: float, host: str, msg: Message) -> bool:
        """Handle a message on the use of a permit; return whether an upstream is ejected now."""
        if isinstance(msg, PermitDone):
            return self.record(now, host, msg)
        if isinstance(msg, PermitStalled):
            return self.on_stalled(now, host, msg)
        if isinstance(msg, UpstreamLimit):
            self.on_limit(now, msg)
        return False

    def record(self, now: float, host: str, msg: PermitDone) -> bool:
        """Release a permit and learn of its upstream; return whether that is ejected now."""
        self._holds.put(now, (host, msg.upstream), msg.hold_ms / 1_000)
        permit = self._ledger.release(now, (host, msg.permit_id))
        if permit is None:
            return False
        load = self._ledger.loads.get(permit.upstream)
        if load is None:
            return False
        if permit.prefix is not None:
            self._prefixes.on_done(now, load, permit, msg)
        if msg.outcome in GIVEN_UP_OUTCOMES:
            load.strict.on_given_up(now)
        self._observe_keys(now, load, permit, msg)
        if msg.outcome == Outcome.OK:
            if not msg.limited:
                load.on_no_limit(now, permit.granted_at)
            load.on_success(now)
            self._observe_durations(now, load, permit, msg)
        elif msg.outcome == Outcome.CONNECT_FAILED:
            load.on_connect_failed(now, self._rng)
            self._hints.invalidate(permit.upstream)
            self._prefixes.invalidate(permit.upstream)
        elif msg.outcome == Outcome.REFUSED:
            load.on_refused(now)
        elif msg.outcome in (Outcome.FAILED, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST):
            load.on_failed(now, self._rng, self._may_eject(load))
        return load.ejected

    def on_stalled(self, now: float, host: str, msg: PermitStalled) -> bool:
        """Eject the upstream of a stalled permit until a probe succeeds; return whether it did."""
        permit = self._ledger.find((host, msg.permit_id))
        load = self._ledger.loads.get(permit.upstream) if permit is not None else None
        if load is None:
            return False
        load.on_connect_failed(now, self._rng)
        return True

    def on_limit(self, now: float, msg: UpstreamLimit) -> None:
        """Limit the grants for an upstream as it has asked, unless it has started again since."""
        load = self._ledger.loads.get(msg.upstream)
        if load is not None and load.entry.incarnation == msg.incarnation:
            load.on_limit(now, msg.limit_mps / 1_000, now - msg.age_ms / 1_000)

    def check_suspicions(self, now: float) -> None:
        """Convict what crashes have confirmed by now, if anything."""
        self._convict(self._suspicions.take_confirmed(now))

    def _observe_keys(
        self, now: float, load: UpstreamLoad, permit: GrantedPermit, msg: PermitDone
    ) -> None:
        """Record whether the upstream has begun to answer the prompt or has crashed on it."""
        start = load.entry.start
        keys = (*permit.keys, *msg.later_parts)
        if msg.outcome == Outcome.OK or msg.output_tokens > 0:
            self._convict(self._suspicions.on_answered(now, permit.granted_at, start, keys))
        elif msg.outcome == Outcome.CONNECTION_LOST:
            self._convict(self._suspicions.on_crash(now, start, keys))

    def _convict(self, keys: list[int]) -> None:
        """Pass on convicted keys, and what has changed for combinations."""
        for key in keys:
            self._on_key_convicted(key)
        for change in self._suspicions.take_combinations():
            self._on_combination(change)

    def _may_eject(self, load: UpstreamLoad) -> bool:
        """Return whether enough other upstreams of the pool are available to eject this one."""
        loads = self._ledger.loads.values()
        live = [other for other in loads if other.entry.state is UpstreamState.LIVE]
        others = [other for other in live if other is not load and other.is_available()]
        return len(others) >= MIN_FRACTION_IN_USE * len(live)

    def _observe_durations(
        self, now: float, load: UpstreamLoad, permit: GrantedPermit, msg: PermitDone
    ) -> None:
        first_byte_s = msg.first_byte_ms / 1_000
        load.on_first_byte(now, permit.first_byte_s, first_byte_s)
        if msg.output_tokens > 1:
            rest_s = msg.duration_ms / 1_000 - first_byte_s
            load.on_tokens(now, permit.token_s * (msg.output_tokens - 1), rest_s)
