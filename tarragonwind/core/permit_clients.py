"""Request permits on an entry host, falling back to a local share without the owner."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence

from tarragonwind.core.condition_reports import ConditionReports
from tarragonwind.core.entries import UpstreamStart
from tarragonwind.core.permit_messages import (
    REFUSAL_KINDS,
    Outcome,
    PermitBeat,
    PermitCancel,
    PermitDone,
    PermitGrant,
    PermitQuery,
    PermitRefusal,
    PermitStalled,
    PermitSync,
)
from tarragonwind.core.permit_requests import Permit, PermitRequest
from tarragonwind.core.permit_states import (
    OnGranted,
    OnRefused,
    PendingRequest,
    PermitInUse,
    PoolState,
    create_permit_ask,
    create_upstream_limit,
)
from tarragonwind.core.permits import PoolOwner
from tarragonwind.core.sync_schedules import ClientSettings, SyncSchedule
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.errors import ErrorKind
from tarragonwind.messages import Message

CLIENT_MESSAGES = (PermitGrant, PermitRefusal, PermitBeat, PermitQuery)
"""Classes of the messages that owners send to clients."""

LOCAL_OWNER = ""
"""Host name that stands for the local owner."""


class PermitClient:
    """Request permits from pool owners and track those in use.

    Parameters
    ----------
    name : str
        Name of this host.
    send : callable
        Sends a message to a host; returns False when the host can't be reached.
    rng : random.Random
        Source of randomness.
    owner_of : callable
        Returns the live host that owns a pool.
    create_local_owner : callable
        Creates a configured owner of a pool that is limited to this host's share of the pool's
        capacity and sends its messages with the given callable.
    settings : ClientSettings
        Timeouts and retry intervals.
    conditions : UpstreamConditions, optional
        What this host knows of the condition of upstreams.

    Attributes
    ----------
    local_shares_begun : int
        How often this host has begun to use its local share of a pool.
    """

    def __init__(
        self,
        name: str,
        send: Callable[[str, Message], object],
        rng: random.Random,
        owner_of: Callable[[str], str],
        create_local_owner: Callable[[float, str, Callable[[str, Message], object]], PoolOwner],
        settings: ClientSettings | None = None,
        conditions: UpstreamConditions | None = None,
    ) -> None:
        self.conditions = ConditionReports(send, owner_of, conditions)
        self.local_shares_begun = 0
        self._name = name
        self._send = send
        self._owner_of = owner_of
        self._create_local_owner = create_local_owner
        self._settings = settings or ClientSettings()
        self._pools: dict[str, PoolState] = {}
        self._pool_of: dict[int, str] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._next_id = rng.getrandbits(30)
        self._rng = rng
        self._local_inbox: deque[Message] = deque()
        self._delivering = False

    # Requests

    def request_permit(
        self, now: float, request: PermitRequest, on_granted: OnGranted, on_refused: OnRefused
    ) -> int:
        """Request a permit; exactly one callback is called once, unless the request is cancelled.

        Returns
        -------
        int
            Identifies the permit request, and the permit once granted.
        """
        self._next_id += 1
        permit_id = self._next_id
        state = self._state_of(now, request.pool)
        if not state.pending:
            state.schedule.on_owner_seen(now)
        pending = PendingRequest(request, on_granted, on_refused)
        state.pending[permit_id] = pending
        self._pool_of[permit_id] = request.pool
        heapq.heappush(self._deadlines, (request.wait_deadline, permit_id))
        if self.conditions.has_memory_limit(state.pool):
            self._send_sizes(now, state, {permit_id: request})
        msg = create_permit_ask(now, permit_id, request)
        if state.local is not None:
            state.local.on_message(now, self._name, msg)
            self._deliver_local(now)
        else:
            pending.owner_knows = True
            self._send_to_owner(state, msg)
        return permit_id

    def cancel(self, now: float, permit_id: int) -> bool:
        """Cancel a waiting request; return whether it was waiting."""
        state = self._find(permit_id)
        pending = state.pending.pop(permit_id, None) if state is not None else None
        if state is None or pending is None:
            return False
        del self._pool_of[permit_id]
        self._cancel_everywhere(now, state, permit_id, pending)
        return True

    def release(
        self,
        now: float,
        permit_id: int,
        outcome: Outcome,
        first_byte_ms: int = 0,
        duration_ms: int = 0,
        output_tokens: int = 0,
        cached_tokens: int = 0,
        hold_ms: int = 0,
        limited: bool = False,
        later_parts: Sequence[int] = (),
    ) -> None:
        """Release a permit with the outcome of its use; has no effect on a released permit."""
        state = self._find(permit_id)
        held = state.held.pop(permit_id, None) if state is not None else None
        if state is None or held is None:
            return
        msg = PermitDone(
            pool=self._pool_of.pop(permit_id),
            permit_id=permit_id,
            outcome=outcome,
            first_byte_ms=first_byte_ms,
            duration_ms=duration_ms,
            output_tokens=output_tokens,
            cached_tokens=cached_tokens,
            hold_ms=hold_ms,
            upstream=held.permit.upstream if hold_ms else "",
            limited=limited,
            later_parts=later_parts,
        )
        if held.owner_knows or hold_ms:
            self._send_to_owner(state, msg)
        if state.local is not None:
            state.local.on_message(now, self._name, msg)
            self._deliver_local(now)

    def report_stalled(self, now: float, permit_id: int) -> None:
        """Report to the owner that the upstream of a permit in use has stalled."""
        state = self._find(permit_id)
        if state is None or permit_id not in state.held:
            return
        msg = PermitStalled(state.pool, permit_id)
        self._send(state.owner, msg)
        if state.local is not None:
            state.local.on_message(now, self._name, msg)

    def report_limit(
        self, now: float, pool: str, start: UpstreamStart, per_s: float | None, dispatched_at: float
    ) -> bool:
        """Record the limit in an upstream's response, or that it has none, and tell the owner.

        Parameters
        ----------
        now, dispatched_at : float
            Time, and time of the dispatch of the answered request, in seconds.
        pool : str
            Pool of the upstream.
        start : UpstreamStart
            Upstream that has responded.
        per_s : float or None
            Requests per second that it takes from all hosts together; None for no limit.

        Returns
        -------
        bool
            Whether this differs from its last word.
        """
        state = self._state_of(now, pool)
        if per_s is None:
            return state.limits.record_no_limit(start, dispatched_at)
        changed = state.limits.find(start) != per_s
        if state.limits.record_limit(now, start, per_s):
            msg = create_upstream_limit(pool, start, per_s, 0.0)
            self._send_to_owner(state, msg)
            if state.local is not None:
                state.local.on_message(now, self._name, msg)
        return changed

    # Events of the daemon

    def on_message(self, now: float, host: str, msg: Message) -> None:
        """Handle a message of an owner; messages of other classes are ignored."""
        if isinstance(msg, PermitGrant):
            self._on_grant(now, host, msg)
        elif isinstance(msg, PermitRefusal):
            self._on_refusal(now, host, msg)
        elif isinstance(msg, PermitBeat):
            self._on_heartbeat(now, host, msg)
        elif isinstance(msg, PermitQuery):
            self._on_query(now, host, msg)

    def on_members_changed(self, now: float) -> None:
        """Synchronise with the new owner of each pool whose owner has changed."""
        for state in self._pools.values():
            owner = self._owner_of(state.pool)
            if owner == state.owner:
                continue
            state.owner = owner
            state.epoch = None
            state.schedule.on_owner_changed(now)
            state.local = None
            self._sync(now, state)

    def on_resumed(self, now: float) -> None:
        """Synchronise with every owner after a pause of this process."""
        for state in self._pools.values():
            state.schedule.on_owner_changed(now)
            self._sync(now, state)
        self._expire_requests(now)

    def tick(self, now: float) -> None:
        """Expire requests, fall back to local shares for unresponsive owners, and synchronise."""
        self._expire_requests(now)
        for state in list(self._pools.values()):
            self._check_owner(now, state)
            if state.local is not None:
                state.local.tick(now)
            if self._is_sync_due(now, state):
                self._sync(now, state)
        self._deliver_local(now)

    # State

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(state.pending) for state in self._pools.values())

    def held(self) -> int:
        """Return the number of permits in use."""
        return sum(len(state.held) for state in self._pools.values())

    def uses_local_shares(self) -> bool:
        """Return whether the local share of any pool is used."""
        return any(state.local is not None for state in self._pools.values())

    def uses_local_share(self, pool: str) -> bool:
        """Return whether the local share of a pool is used because its owner is unresponsive."""
        state = self._pools.get(pool)
        return state is not None and state.local is not None

    # Messages of owners

    def _on_grant(self, now: float, host: str, msg: PermitGrant) -> None:
        state = self._pools.get(msg.pool)
        if state is None or (host == LOCAL_OWNER and state.local is None):
            self._return_unused(now, host, msg)
            return
        is_withdrawn = _is_withdrawn(state, host, msg.permit_id)
        self._record_owner_seen(now, state, host)
        held = state.held.get(msg.permit_id)
        if held is not None and held.permit.upstream == msg.upstream:
            return
        is_from_owner = host in (state.owner, LOCAL_OWNER)
        if not self.conditions.may_use(now, msg.pool, msg.upstream, is_from_owner):
            self._return_unused(now, host, msg)
            return
        pending = None if is_withdrawn else state.pending.pop(msg.permit_id, None)
        if pending is None:
            self._return_unused(now, host, msg)
            return
        if pending.request.wait_deadline <= now:
            self._return_unused(now, host, msg)
            self._refuse(msg.permit_id, pending, ErrorKind.DEADLINE_PASSED, 1.0)
            return
        permit = Permit(msg.permit_id, msg.pool, msg.upstream, msg.version, host)
        owner_knows = pending.owner_knows or host != LOCAL_OWNER
        state.held[msg.permit_id] = PermitInUse(permit, pending.request, owner_knows)
        self._cancel_elsewhere(now, state, host, msg.permit_id, pending)
        pending.on_granted(permit)

    def _on_refusal(self, now: float, host: str, msg: PermitRefusal) -> None:
        state = self._pools.get(msg.pool)
        if state is None or host not in (state.owner, LOCAL_OWNER):
            return
        if host == LOCAL_OWNER and state.local is None:
            return
        is_withdrawn = _is_withdrawn(state, host, msg.permit_id)
        self._record_owner_seen(now, state, host)
        pending = None if is_withdrawn else state.pending.pop(msg.permit_id, None)
        if pending is None:
            return
        self._cancel_elsewhere(now, state, host, msg.permit_id, pending)
        self._refuse(msg.permit_id, pending, REFUSAL_KINDS[msg.kind], msg.retry_after_ms / 1_000)

    def _on_heartbeat(self, now: float, host: str, msg: PermitBeat) -> None:
        state = self._pools.get(msg.pool)
        if state is None or host != state.owner:
            return
        self._record_owner_seen(now, state, host)
        if msg.epoch != state.epoch:
            state.epoch = msg.epoch
            self._sync(now, state)
            return
        matches = msg.waiting == len(state.pending)
        if state.local is None and state.schedule.on_heartbeat(now, matches):
            self._sync(now, state)

    def _on_query(self, now: float, host: str, msg: PermitQuery) -> None:
        state = self._pools.get(msg.pool)
        if state is None:
            self._reply(now, host, PermitSync(msg.pool))
            return
        if host != state.owner and self.conditions.needs_all_reports(now, msg.pool):
            # A second owner must not grant beside the one that this host follows.
            return
        self._record_owner_seen(now, state, host)
        if host != LOCAL_OWNER:
            self.conditions.send_all(now, host, state.pool)
        self._send_sizes(now, state, state.requests(), host)
        withdraws = host != LOCAL_OWNER and self._withdraws(now, state)
        self._reply(now, host, state.create_sync(now, withdraws))
        if host == state.owner:
            state.mark_told(withdraws)

    def _refuse(
        self, permit_id: int, pending: PendingRequest, kind: ErrorKind, retry_after_s: float
    ) -> None:
        del self._pool_of[permit_id]
        pending.on_refused(kind, retry_after_s)

    def _return_unused(self, now: float, host: str, msg: PermitGrant) -> None:
        self._reply(now, host, PermitDone(msg.pool, msg.permit_id, Outcome.UNUSED))

    def _reply(self, now: float, host: str, msg: PermitSync | PermitDone) -> None:
        """Send a message to the owner that has asked: over the network, or to the local owner."""
        if host != LOCAL_OWNER:
            self._send(host, msg)
            return
        state = self._pools.get(msg.pool)
        if state is not None and state.local is not None:
            state.local.on_message(now, self._name, msg)

    def _cancel_everywhere(
        self, now: float, state: PoolState, permit_id: int, pending: PendingRequest
    ) -> None:
        self._cancel_elsewhere(now, state, None, permit_id, pending)

    def _cancel_elsewhere(
        self,
        now: float,
        state: PoolState,
        host: str | None,
        permit_id: int,
        pending: PendingRequest,
    ) -> None:
        """Cancel a request at the owners that know of it, except at `host`."""
        msg = PermitCancel(state.pool, permit_id)
        if host != state.owner and pending.owner_knows:
            self._send_to_owner(state, msg)
        if state.local is not None and host != LOCAL_OWNER:
            state.local.on_message(now, self._name, msg)

    # Owners

    def _record_owner_seen(self, now: float, state: PoolState, host: str) -> None:
        if host != state.owner:
            return
        state.schedule.on_owner_seen(now)
        if state.local is None:
            return
        if state.schedule.has_answered(now):
            state.local = None
            self._sync(now, state)
        elif state.schedule.take_doubt(now):
            self._sync(now, state)

    def _check_owner(self, now: float, state: PoolState) -> None:
        if state.local is not None or not state.pending or not state.schedule.is_silent(now):
            return

        def send_local(_host: str, msg: Message) -> bool:
            self._local_inbox.append(msg)
            return True

        self.local_shares_begun += 1
        state.local = self._create_local_owner(now, state.pool, send_local)
        self._send_sizes(now, state, state.requests())
        state.local.on_message(now, self._name, state.create_sync(now))
        self._sync(now, state)

    def _deliver_local(self, now: float) -> None:
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._local_inbox:
                msg = self._local_inbox.popleft()
                if not isinstance(msg, PermitBeat):
                    self.on_message(now, LOCAL_OWNER, msg)
        finally:
            self._delivering = False

    def _is_sync_due(self, now: float, state: PoolState) -> bool:
        if state.local is not None:
            return state.schedule.take_doubt(now)
        has_content = bool(state.pending or state.held)
        return state.schedule.is_due(now, bool(state.pending), has_content)

    def _sync(self, now: float, state: PoolState) -> None:
        state.schedule.on_synced(now)
        withdraws = self._withdraws(now, state)
        state.mark_told(withdraws)
        self.conditions.send_all(now, state.owner, state.pool)
        self._send_sizes(now, state, state.requests(), state.owner)
        self._send_to_owner(state, state.create_sync(now, withdraws))

    def _withdraws(self, now: float, state: PoolState) -> bool:
        """Return whether requests that wait for the local share are withdrawn from the owner.

        A busy owner would order them for nothing. Of a pool with strict limits there is hardly any
        local share, so that they wait for the owner after all.
        """
        return state.local is not None and not self.conditions.needs_all_reports(now, state.pool)

    def _send_sizes(
        self, now: float, state: PoolState, requests: dict[int, PermitRequest], host: str = ""
    ) -> None:
        """Tell an owner the sizes of requests; the local owner, or else the owner, for none."""
        msg = self.conditions.create_sizes(state.pool, requests)
        if msg is None:
            return
        if host == LOCAL_OWNER and state.local is not None:
            state.local.on_message(now, self._name, msg)
        else:
            self._send(host or state.owner, msg)

    def _send_to_owner(self, state: PoolState, msg: Message) -> None:
        if self._send(state.owner, msg) is False:
            state.schedule.needs_sync = True

    # Bookkeeping

    def _state_of(self, now: float, pool: str) -> PoolState:
        state = self._pools.get(pool)
        if state is None:
            schedule = SyncSchedule(now, self._settings, self._rng)
            state = PoolState(pool, self._owner_of(pool), schedule)
            self._pools[pool] = state
        return state

    def _find(self, permit_id: int) -> PoolState | None:
        pool = self._pool_of.get(permit_id)
        return self._pools[pool] if pool is not None else None

    def _expire_requests(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, permit_id = heapq.heappop(self._deadlines)
            state = self._find(permit_id)
            pending = state.pending.pop(permit_id, None) if state is not None else None
            if state is None or pending is None:
                continue
            self._cancel_everywhere(now, state, permit_id, pending)
            self._refuse(permit_id, pending, ErrorKind.DEADLINE_PASSED, 1.0)


def _is_withdrawn(state: PoolState, host: str, permit_id: int) -> bool:
    """Return whether the owner answers a waiting request that was withdrawn from it."""
    pending = state.pending.get(permit_id)
    return host == state.owner and pending is not None and not pending.owner_knows
