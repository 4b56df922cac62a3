"""Admission control of a pool: its owner queues permit requests and grants permits to dispatch."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

from tarragonwind.core.condition_messages import PermitSizes
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.homes import Homes
from tarragonwind.core.host_trackers import HostTracker
from tarragonwind.core.kept_prefixes import KeptPrefixes
from tarragonwind.core.memory_admissions import MemoryAdmission
from tarragonwind.core.owner_heartbeats import OwnerHeartbeats
from tarragonwind.core.owner_settings import (
    PermitSettings,
    Send,
    VersionChooser,
    allow_any_region,
    ignore_combination,
    ignore_conviction,
    never_pack,
)
from tarragonwind.core.owner_takeovers import OwnerTakeover
from tarragonwind.core.permit_adoptions import adopt_state
from tarragonwind.core.permit_grants import create_permit
from tarragonwind.core.permit_ledgers import GrantedPermit, PermitLedger
from tarragonwind.core.permit_messages import (
    REFUSAL_KINDS,
    HeldPermit,
    PermitAsk,
    PermitCancel,
    PermitDone,
    PermitGrant,
    PermitRefusal,
    PermitSync,
    UpstreamLimit,
)
from tarragonwind.core.permit_outcomes import PermitOutcomes
from tarragonwind.core.placements import (
    Placer,
    choose_busiest_with_room,
    prefer_warm,
)
from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.prefix_plans import PrefixPlanner
from tarragonwind.core.queue_sweeps import find_unmeetable
from tarragonwind.core.queued_requests import create_queued_request, set_latest_grant
from tarragonwind.core.queues import QueuedRequest, TierQueue
from tarragonwind.core.suspicions import CombinationChange, Suspicions
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.core.upstream_holds import UpstreamHolds
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad
from tarragonwind.core.upstream_searches import UpstreamSearch
from tarragonwind.core.version_draws import VersionDraws
from tarragonwind.core.wait_estimates import (
    SWEEP_PERIOD_S,
    WaitEstimates,
)
from tarragonwind.errors import ErrorKind
from tarragonwind.messages import Message

FULL_RECHECK_S = 0.02
"""Time for which a pool found without room is not searched again for a new request alone, in
seconds. A search looks at every upstream, and only a release or the passing of time makes room."""

IDLE_SWEEP_PERIOD_S = 5.0
"""Interval between sweeps over idle state, in seconds."""


class PoolOwner:
    """Grant permits for one pool from a queue shared by all entry hosts.

    Parameters
    ----------
    pool : str
        Name of the pool.
    send : callable
        Sends a message to a host.
    rng : random.Random
        Source of randomness.
    choose_version : VersionChooser
        Chooses the version that serves a request.
    weight_of : callable
        Returns the weight of an organisation.
    settings : PermitSettings
        Timing and limits of the owner.
    load_settings : LoadSettings
        Load limits, performance model and outlier ejection of upstreams.
    rtt_s : dict of str to float
        Round-trip time to each data centre, in seconds.
    packs_requests : callable
        Returns whether requests of a pool's version fill one upstream before the next.
    suspicions : Suspicions, optional
        Evidence on the pool's requests, shared by the pool's owners on one host.
    on_key_convicted : callable
        Called with each key of requests on which upstreams keep crashing.
    conditions : UpstreamConditions, optional
        Which upstreams are cold or brittle, and the memory of engines, shared by the pool's owners
        on one host.
    homes_of : callable
        Returns the homes of requests by route and organisation.
    on_combination : callable
        Called with each change of a combination of parts that are equally suspect.
    """

    def __init__(
        self,
        pool: str,
        send: Send,
        rng: random.Random,
        choose_version: VersionChooser,
        weight_of: Callable[[str], float],
        settings: PermitSettings | None = None,
        load_settings: LoadSettings | None = None,
        rtt_s: dict[str, float] | None = None,
        packs_requests: Callable[[str, str], bool] = never_pack,
        suspicions: Suspicions | None = None,
        on_key_convicted: Callable[[int], None] = ignore_conviction,
        conditions: UpstreamConditions | None = None,
        homes_of: Callable[[str, str], Homes] = allow_any_region,
        on_combination: Callable[[CombinationChange], None] = ignore_combination,
    ) -> None:
        conditions = conditions or UpstreamConditions()
        self.pool = pool
        self._homes_of = homes_of
        self._has_homes = False
        self._packs_requests = packs_requests
        self.hints = PrefixHints()
        self._send = send
        self._rng = rng
        self._settings = settings or PermitSettings()
        self._load_settings = load_settings or LoadSettings()
        self._queue = TierQueue(self._settings.max_waiting, weight_of)
        self._ledger = PermitLedger(self._load_settings, conditions, self._settings.is_local)
        kept = KeptPrefixes(pool, conditions.memories)
        self.placer = Placer(self._load_settings, self.hints, rtt_s, kept)
        self.prefixes = PrefixPlanner(
            pool, self._queue, self._ledger, self.placer, kept, conditions.brittle
        )
        self._hosts = HostTracker()
        self._versions = VersionDraws(pool, rng, choose_version, self._queue, self._ledger)
        self._holds: UpstreamHolds[tuple[str, str]] = UpstreamHolds()
        self._waits = WaitEstimates(
            self._queue, self._ledger, self._holds, self._settings.max_retry_after_s
        )
        self._outcomes = PermitOutcomes(
            self._ledger,
            self.hints,
            self._holds,
            rng,
            suspicions if suspicions is not None else Suspicions(),
            on_key_convicted,
            on_combination,
            self.prefixes,
        )
        self._heartbeats = OwnerHeartbeats(
            pool,
            send,
            rng,
            self._queue,
            self._ledger,
            self._hosts,
            self._settings.query_after_s,
            self._settings.heartbeat_period_s,
        )
        self._takeover = OwnerTakeover(
            pool,
            send,
            self._hosts,
            conditions,
            self._settings.is_local,
        )
        self._memory = MemoryAdmission(pool, conditions.memories, self._queue)
        self._search = UpstreamSearch(
            pool,
            self._queue,
            self._ledger,
            self._waits,
            self._memory,
            self._takeover,
            self.placer,
            self.prefixes,
            packs_requests,
            rng,
        )
        self._grants_from = 0.0
        self._full_at = -math.inf
        self._may_have_room = False
        self._last_call_at: float | None = None
        self._heartbeat_at = 0.0
        self._swept_at = 0.0
        self._idle_swept_at = 0.0

    # Events of the daemon

    def configure(self, now: float, upstreams: Iterable[UpstreamEntry]) -> None:
        """Replace the pool's upstreams by those of the catalogue."""
        self._detect_pause(now)
        for name in self._ledger.configure(upstreams):
            self.hints.invalidate(name)
            self.prefixes.invalidate(name)
        self._waits.update_nominal()
        self._update_homes()
        self.on_versions_changed(now)

    def _update_homes(self) -> None:
        """Apply the homes of the configuration in force to the requests that wait."""
        for req in self._queue:
            homes = self._homes_of(req.route, req.organisation)
            if homes != req.homes:
                self._queue.remove(req.key)
                req.homes = homes
                self._queue.push(req)

    def set_share(self, now: float, share: float) -> None:
        """Limit grants to a fraction of the pool's capacity.

        Parameters
        ----------
        now : float
            Time in seconds.
        share : float
            Fraction, above 0 and at most 1.
        """
        self._ledger.set_share(share)
        self._waits.update_nominal()
        self._grant_waiting(now)

    def set_strict_share(self, share: float) -> None:
        """Set the fraction of limits that hold over all hosts which this owner may use."""
        self._ledger.set_strict_share(share)

    def on_members_changed(self, now: float, running: Iterable[str], is_owner: bool) -> None:
        """Update the set of running hosts and whether this host owns the pool."""
        self._detect_pause(now)
        running_hosts = set(running)
        was_owner = self.active
        self._heartbeats.active = is_owner
        if self._takeover.set_running(now, running_hosts):
            self._ledger.on_hosts_joined()
        if is_owner and not was_owner:
            self._restart(now)
        elif was_owner and not is_owner:
            self._clear(now)
        known = self._hosts.reported() | self._ledger.hosts()
        self._hosts.mark_lost(now, known - running_hosts)
        for host in known - running_hosts:
            self._drop_requests(host)
        for host in self._hosts.take_returned(running_hosts):
            self._heartbeats.send(host)
        self._grant_waiting(now)

    def on_resumed(self, now: float) -> None:
        """Discard the state from before a pause of this process and resynchronise with hosts."""
        if self.active:
            self._restart(now)
        self._last_call_at = now

    def on_versions_changed(self, now: float) -> None:
        """Choose the version of each waiting request again."""
        self._versions.rechoose(now, list(self._queue))
        self._grant_waiting(now)

    def on_load_report(self, now: float, upstream: str, in_flight: int, age_s: float) -> None:
        """Apply a load report of an upstream."""
        load = self._ledger.loads.get(upstream)
        if load is not None:
            load.on_report(now, in_flight, age_s)

    def tick(self, now: float) -> None:
        """Free permits of lost hosts, refuse unmeetable requests, grant permits.

        Also sends the periodic heartbeats and queries.
        """
        self._detect_pause(now)
        self._free_lost_hosts(now)
        if self.active:
            self._takeover.tick(now)
            self._ledger.set_known_fraction(self._takeover.known_fraction(now))
        self._waits.observe(now, self.prefixes.waits.count())
        self._queue.update_levels(now)
        if now - self._swept_at >= SWEEP_PERIOD_S:
            self._swept_at = now
            self._versions.rechoose_unservable(now)
            self._refuse_unmeetable(now)
            self._outcomes.check_suspicions(now)
        self._grant_waiting(now)
        if now - self._heartbeat_at >= self._settings.heartbeat_period_s:
            self._heartbeat_at = now
            self._heartbeats.send_to_waiting(now)
        if now - self._idle_swept_at >= IDLE_SWEEP_PERIOD_S:
            self._idle_swept_at = now
            self._queue.evict_idle()
            self._heartbeats.query_silent(now)

    # Messages of hosts

    def on_message(self, now: float, host: str, msg: Message) -> None:
        """Handle a message of a host; messages of other classes are ignored."""
        self.apply_message(now, host, msg)
        self.grant(now)

    def grant(self, now: float) -> None:
        """Grant permits after messages were applied, unless the pool was found full just now."""
        if self._may_have_room or now - self._full_at >= FULL_RECHECK_S:
            self._grant_waiting(now)

    def apply_message(self, now: float, host: str, msg: Message) -> None:
        """Handle a message of a host without granting; call `grant` after the last of several."""
        self._detect_pause(now)
        if isinstance(msg, PermitSizes):
            self._memory.on_sizes(host, msg)
            return
        if isinstance(msg, PermitSync):
            self._on_sync(now, host, msg)
        elif isinstance(msg, PermitAsk):
            if self._heartbeats.ensure_synced(host):
                self._enqueue(now, host, msg)
            return
        elif isinstance(msg, PermitCancel):
            self._heartbeats.ensure_synced(host)
            self._queue.remove((host, msg.permit_id))
        else:
            if isinstance(msg, PermitDone):
                self._heartbeats.ensure_synced(host)
            if self._outcomes.on_message(now, host, msg):
                self._versions.rechoose_unservable(now)
        self._may_have_room = True

    # State

    @property
    def active(self) -> bool:
        """Return whether this host considers itself the owner."""
        return self._heartbeats.active

    def waiting_by_tier(self) -> list[int]:
        """Return the number of waiting requests by tier."""
        return self._queue.waiting_by_tier()

    def loads(self) -> list[UpstreamLoad]:
        """Return the load of each upstream."""
        return list(self._ledger.loads.values())

    def in_flight(self) -> int:
        """Return the number of granted permits in use."""
        return len(self._ledger)

    def permits_by_version(self) -> Counter[str]:
        """Return the number of permits in use and of waiting requests by version."""
        return Counter(one.version for one in (*self._ledger, *self._queue))

    def in_flight_by_tier(self) -> list[int]:
        """Return the number of granted permits in use by tier."""
        return self._ledger.count_by_tier()

    # Permit requests

    def _enqueue(self, now: float, host: str, msg: PermitAsk) -> None:
        key = (host, msg.permit_id)
        memory_tokens = self._memory.take_size(host, msg)
        if self._hosts.is_lost(host) or key in self._queue:
            return
        permit = self._ledger.find(key)
        if permit is not None:
            self._resend(now, permit)
            return
        homes = self._homes_of(msg.route, msg.organisation)
        version = self._versions.choose(now, msg.route, homes)
        req = create_queued_request(now, host, msg, version, homes)
        req.memory_tokens = memory_tokens
        if not memory_tokens:
            req.parts = ()
        self._set_latest_grant(now, req, msg)
        self._waits.add_asked(req)
        if self.active and not self._ledger.has_live(req.version, req.homes):
            self._refuse(now, req, ErrorKind.NO_UPSTREAM)
            return
        self._has_homes = self._has_homes or bool(homes)
        late = self.active and self._waits.exceeds_limit(now, req)
        if late and not self._has_room_beside_homes(now, req):
            self._refuse(now, req, ErrorKind.DEADLINE_UNMEETABLE)
            return
        if self.active and self._waits.is_held_too_long(now, req):
            self._refuse(now, req, ErrorKind.DEADLINE_UNMEETABLE, self._waits.hold_left_s(now, req))
            return
        shed = self._queue.push(req)
        if shed is not None:
            self._refuse(now, shed, ErrorKind.SHED)

    def _has_room_beside_homes(self, now: float, req: QueuedRequest) -> bool:
        """Return whether a request can be granted at once, as all work ahead waits for its homes.

        Without homes nothing waits while an upstream has room, but for want of memory.
        """
        return self._has_homes and self._search.has_room(now, req)

    def _set_latest_grant(self, now: float, req: QueuedRequest, msg: PermitAsk) -> None:
        has_target = msg.target_ms >= 0
        fastest = self._waits.fastest(now, req.version, req.homes) if has_target else None
        first_byte_s = fastest.first_byte_s(now, req.prompt_tokens) if fastest is not None else 0.0
        set_latest_grant(now, req, msg.target_ms, first_byte_s)

    def _refuse_unmeetable(self, now: float) -> None:
        for found in find_unmeetable(now, self._queue, self._ledger, self._waits, self.active):
            self._queue.remove(found.req.key)
            self._refuse(now, found.req, found.kind, found.hold_s)

    def _refuse(
        self, now: float, req: QueuedRequest, kind: ErrorKind, min_wait_s: float = 0.0
    ) -> None:
        """Refuse a request; its caller is told to come back after `min_wait_s` or later."""
        wait_s = max(min_wait_s, self._waits.retry_after_s(req.tier, req.rank, req.organisation))
        wait_ms = math.ceil(1_000 * wait_s)
        refusal = PermitRefusal(self.pool, req.permit_id, REFUSAL_KINDS.index(kind), wait_ms)
        self._send(req.host, refusal)
        self._heartbeats.note_sent(now, req.host)

    def _drop_requests(self, host: str) -> None:
        for req in self._queue.of_host(host):
            self._queue.remove(req.key)

    # Grants

    def _grant_waiting(self, now: float) -> None:
        self._full_at = -math.inf
        self._may_have_room = False
        if not self.active or now < self._grants_from:
            return
        if not self._takeover.may_grant(now, self._ledger.strict_share):
            return
        if not len(self._queue) or not self._ledger.is_below_share():
            return
        available = [load for load in self._ledger.loads.values() if load.has_room(now)]
        while available and len(self._queue) and self._ledger.is_below_share():
            found = self._search.take_next(now, available)
            if found is None:
                return
            used = self._grant(now, *found)
            if used is not None and not used.has_room(now):
                available = [load for load in available if load is not used]
        if not available:
            self._full_at = now

    def _grant(
        self, now: float, req: QueuedRequest, loads: list[UpstreamLoad]
    ) -> UpstreamLoad | None:
        """Grant a permit for one of some upstreams with room; return it, None for a refusal."""
        loads = prefer_warm(now, loads, req)
        if self._packs_requests(self.pool, req.version):
            loads = choose_busiest_with_room(now, loads)
        placement = self.placer.choose_with_room(now, self._rng, loads, req)
        if placement is None:
            raise AssertionError(
                f"no upstream with room for the request popped from pool {self.pool!r}"
            )
        load = placement.load
        unread_tokens = req.prompt_tokens * (1.0 - placement.cached_share)
        if now + load.min_first_byte_s(now, unread_tokens) > req.latest_first_byte:
            self._refuse(now, req, ErrorKind.DEADLINE_UNMEETABLE)
            return None
        permit = create_permit(now, req, placement)
        self._ledger.add(now, permit)
        if req.memory_tokens:
            self.prefixes.on_granted(now, req, permit, placement)
        self._waits.add_granted(req)
        if req.prefixes:
            self.hints.add(load.entry.name, req.prefixes)
        self._send(req.host, PermitGrant(self.pool, req.permit_id, permit.upstream, permit.version))
        self._heartbeats.note_sent(now, req.host)
        return load

    def _resend(self, now: float, permit: GrantedPermit) -> None:
        if now - permit.granted_at < self._settings.resend_after_s:
            return
        permit.granted_at = now
        grant = PermitGrant(self.pool, permit.permit_id, permit.upstream, permit.version)
        self._send(permit.host, grant)

    # Releases

    def _free_lost_hosts(self, now: float) -> None:
        for host in self._hosts.take_expired(now - self._settings.lost_host_grace_s):
            for key in self._ledger.keys_of(host):
                self._ledger.release(now, key)

    # Hand-over of ownership

    def _on_sync(self, now: float, host: str, msg: PermitSync) -> None:
        self._hosts.record_report(now, host)
        reqs = [PermitAsk(*values) for values in msg.requests]
        held = [HeldPermit(*values) for values in msg.permits]
        for values in msg.limits:
            self._outcomes.on_limit(now, UpstreamLimit(*values))
        adopt_state(now, host, reqs, held, self._ledger, self._queue, self._memory.sizes)
        for req in reqs:
            self._enqueue(now, host, req)
        self._heartbeats.send(host)

    def _restart(self, now: float) -> None:
        hosts = self._hosts.reported() | self._ledger.hosts()
        self._clear(now)
        self._ledger.on_new_owner(now)
        self._takeover.begin(now)
        self._grants_from = now + self._settings.settle_s
        for host in sorted(hosts):
            self._heartbeats.send(host)

    def _clear(self, now: float) -> None:
        self._ledger.clear(now)
        self.prefixes.clear()
        for req in self._queue:
            self._queue.remove(req.key)
        self._hosts.clear()
        self._heartbeats.begin_epoch()

    def _detect_pause(self, now: float) -> None:
        last_call_at = self._last_call_at
        self._last_call_at = now
        if last_call_at is not None and now - last_call_at > self._settings.pause_limit_s:
            self.on_resumed(now)
