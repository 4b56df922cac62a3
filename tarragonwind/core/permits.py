"""Own a pool: keep its one queue and hand out permits to dispatch."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any

from tarragonwind.core.drain_rates import DrainRate
from tarragonwind.core.entries import UpstreamEntry, UpstreamState
from tarragonwind.core.host_trackers import HostTracker
from tarragonwind.core.owner_settings import PermitSettings, Send, VersionChooser
from tarragonwind.core.permit_ledgers import GrantedPermit, PermitLedger
from tarragonwind.core.permit_messages import (
    REFUSAL_KINDS,
    HeldPermit,
    Outcome,
    PermitAsk,
    PermitBeat,
    PermitCancel,
    PermitDone,
    PermitGrant,
    PermitQuery,
    PermitRefusal,
    PermitStalled,
    PermitSync,
)
from tarragonwind.core.placements import Placer
from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.queues import LEVEL_COUNT, QueuedRequest, TierQueue, is_late
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad
from tarragonwind.errors import ErrorKind
from tarragonwind.messages import Message

WAIT_MARGINS = (2.0, 1.5, 1.25, 1.0)
"""How far an expected wait must exceed the time left for an ask of each tier to be refused."""

MAX_VERSION_DRAWS = 3
"""Draws of a version for one ask; each draw past the first raises the share of a small version
that alone can serve."""

MIN_RETRY_AFTER_S = 0.2
"""Shortest time to come back that is given, in seconds."""

URGENT_FRACTION = 0.4
"""Last part of a late ask's time in which it goes before lower tiers again."""

FASTEST_CACHE_S = 0.1
"""Time for which the fastest upstream is not looked up again, in seconds."""

MIN_FRACTION_IN_USE = 0.5
"""Part of a pool's live upstreams that failed answers leave in use: when most fail, the fault is
seldom theirs, and the others would not carry the load."""

SWEEP_PERIOD_S = 0.2
"""Time between two sweeps over waiting asks, in seconds."""

IDLE_SWEEP_PERIOD_S = 5.0
"""Time between two sweeps over idle state, in seconds."""


def never_concentrate(pool: str, version: str) -> bool:
    """Concentrate no version."""
    return False


def choose_busiest_with_room(now: float, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
    """Return the upstream with room that has the most in flight, or all when none has room."""
    with_room = [load for load in loads if load.has_room(now)]
    if not with_room:
        return loads
    return [max(with_room, key=lambda load: load.in_flight)]


def filter_by_version(version: str, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
    """Return the upstreams of a version, all for an empty text."""
    return [load for load in loads if version in ("", load.entry.version)]


class PoolOwner:
    """Grant permits for one pool.

    Parameters
    ----------
    pool : str
        Name of the pool.
    send : callable
        Sends a message to a host.
    rng : random.Random
        Source of randomness.
    choose_version : VersionChooser
        Chooses the version of each request.
    weight_of : callable
        Gives an organisation's weight.
    settings : PermitSettings
        How it works.
    load_settings : LoadSettings
        How upstreams are loaded and judged.
    rtt_s : dict of str to float
        Way to each data centre and back, in seconds.
    packs_requests : callable
        Tells whether a version's requests should fill one upstream before the next.
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
        packs_requests: Callable[[str, str], bool] = never_concentrate,
    ) -> None:
        self.pool = pool
        self._packs_requests = packs_requests
        self.hints = PrefixHints()
        self._send = send
        self._rng = rng
        self._choose_version = choose_version
        self._settings = settings or PermitSettings()
        self._load_settings = load_settings or LoadSettings()
        self.placer = Placer(self._load_settings, self.hints, rtt_s)
        self._queue = TierQueue(self._settings.max_waiting, weight_of)
        self._rate = DrainRate()
        self._late_rate = DrainRate()
        self._ledger = PermitLedger(self._load_settings)
        self._hosts = HostTracker()
        self._active = False
        self._settled_at = 0.0
        self._epoch = rng.getrandbits(31)
        self._fastest_at = float("-inf")
        self._fastest_loads: dict[str, UpstreamLoad | None] = {}
        self._called_at: float | None = None
        self._beat_at = 0.0
        self._swept_at = 0.0
        self._idle_swept_at = 0.0

    # What the daemon tells.

    def configure(self, now: float, upstreams: Iterable[UpstreamEntry]) -> None:
        """Put the pool's upstreams from the catalogue in force."""
        self._note_call(now)
        for name in self._ledger.configure(upstreams):
            self.hints.invalidate(name)
        self._rate.set_nominal(self._ledger.nominal_rate())
        self.on_versions_changed(now)

    def set_share(self, now: float, share: float) -> None:
        """Use no more than a part of the pool's capacity.

        Parameters
        ----------
        now : float
            Time in seconds.
        share : float
            Above 0, at most 1.
        """
        self._ledger.set_share(share)
        self._rate.set_nominal(self._ledger.nominal_rate())
        self._drain(now)

    def on_members_changed(self, now: float, running: Iterable[str], is_owner: bool) -> None:
        """Take in which hosts run and whether this host owns the pool."""
        self._note_call(now)
        running_hosts = set(running)
        was_owner = self._active
        self._active = is_owner
        if is_owner and not was_owner:
            self._restart(now)
        elif was_owner and not is_owner:
            self._clear(now)
        known = self._hosts.reported() | self._ledger.hosts()
        self._hosts.mark_lost(now, known - running_hosts)
        for host in known - running_hosts:
            self._drop_asks(host)
        for host in self._hosts.take_returned(running_hosts):
            self._send_beat(host)
        self._drain(now)

    def on_resumed(self, now: float) -> None:
        """Stop granting on what was known before a pause of this process."""
        if self._active:
            self._restart(now)
        self._called_at = now

    def on_versions_changed(self, now: float) -> None:
        """Choose the version of each waiting ask anew."""
        self._draw_again(now, list(self._queue))
        self._drain(now)

    def on_load_report(self, now: float, upstream: str, in_flight: int, age_s: float) -> None:
        """Take in a load report of an upstream."""
        load = self._ledger.loads.get(upstream)
        if load is not None:
            load.on_report(now, in_flight, age_s)

    def tick(self, now: float) -> None:
        """Refuse what can't be met, free what lost hosts held and show signs of life."""
        self._note_call(now)
        self._free_lost_hosts(now)
        self._rate.observe(now, len(self._queue) > 0)
        self._late_rate.observe(now, self._queue.has_late())
        self._queue.update_levels(now)
        if now - self._swept_at >= SWEEP_PERIOD_S:
            self._swept_at = now
            self._draw_for_stranded(now)
            self._refuse_unmeetable(now)
        self._drain(now)
        if now - self._beat_at >= self._settings.heartbeat_period_s:
            self._beat_at = now
            self._send_beats()
        if now - self._idle_swept_at >= IDLE_SWEEP_PERIOD_S:
            self._idle_swept_at = now
            self._queue.forget_idle()
            self._query_silent_hosts(now)

    # What hosts send.

    def on_message(self, now: float, host: str, msg: Message) -> None:
        """Take in a message of a host; messages of other kinds are ignored."""
        self._note_call(now)
        if isinstance(msg, PermitSync):
            self._on_sync(now, host, msg)
        elif isinstance(msg, PermitAsk):
            if self._greet(host):
                self._add_ask(now, host, msg)
        elif isinstance(msg, PermitDone):
            self._greet(host)
            self._on_done(now, host, msg)
        elif isinstance(msg, PermitStalled):
            self._on_stalled(now, host, msg)
        elif isinstance(msg, PermitCancel):
            self._greet(host)
            self._queue.remove((host, msg.permit_id))
        self._drain(now)

    # What others may read.

    @property
    def active(self) -> bool:
        """Tell whether this host takes itself for the owner."""
        return self._active

    def waiting_by_tier(self) -> list[int]:
        """Return the number of waiting asks of each tier."""
        return self._queue.waiting_by_tier()

    def loads(self) -> list[UpstreamLoad]:
        """Return what is known of each upstream."""
        return list(self._ledger.loads.values())

    def in_flight(self) -> int:
        """Return the number of permits out."""
        return len(self._ledger)

    def in_flight_by_tier(self) -> list[int]:
        """Return the number of permits out of each tier."""
        return self._ledger.count_by_tier()

    def retry_after_s(self, tier: int, rank: int, organisation: str) -> float:
        """Return the time until a new ask is expected to be served, in seconds.

        It is late by then, so the late work before it counts too.
        """
        work = self._queue.work_before_late(tier, rank, organisation)
        wait_s = work / self._rate.tokens_per_s
        return min(self._settings.max_retry_after_s, max(MIN_RETRY_AFTER_S, wait_s))

    # Asks.

    def _add_ask(self, now: float, host: str, msg: PermitAsk) -> None:
        key = (host, msg.permit_id)
        if self._hosts.is_lost(host) or key in self._queue:
            return
        permit = self._ledger.find(key)
        if permit is not None:
            self._resend(now, permit)
            return
        ask = QueuedRequest(
            host=host,
            permit_id=msg.permit_id,
            tier=msg.tier,
            organisation=msg.organisation,
            route=msg.route,
            cost_tokens=max(1, msg.cost_tokens),
            prompt_tokens=msg.prompt_tokens,
            deadline=now + msg.deadline_ms / 1_000,
            version=self._version_for(now, msg.route),
            prefixes=tuple(msg.prefixes),
            avoid=frozenset(msg.avoid),
            rank=msg.rank,
            output_tokens=msg.output_tokens,
            deadline_is_total=msg.deadline_is_total,
            first_byte_deadline=(
                math.inf
                if msg.first_byte_deadline_ms < 0
                else now + msg.first_byte_deadline_ms / 1_000
            ),
        )
        self._set_times(now, ask, msg)
        if self._active and not self._ledger.has_live(ask.version):
            self._refuse(ask, ErrorKind.NO_UPSTREAM)
            return
        if self._active and self._is_unmeetable(now, ask):
            self._refuse(ask, ErrorKind.DEADLINE_UNMEETABLE)
            return
        shed = self._queue.push(ask)
        if shed is not None:
            self._refuse(shed, ErrorKind.SHED)

    def _set_times(self, now: float, ask: QueuedRequest, msg: PermitAsk) -> None:
        """Set until when an ask can be on time, and from when it is urgent."""
        if msg.target_ms < 0:
            return
        fastest = self._fastest(now, ask.version)
        begin_s = fastest.first_byte_s(now, ask.prompt_tokens) if fastest is not None else 0.0
        ask.latest_on_time_grant = now + msg.target_ms / 1_000 - begin_s
        ask.urgent_from = ask.latest_first_byte - URGENT_FRACTION * (ask.latest_first_byte - now)

    def _version_for(self, now: float, route: str) -> str:
        """Draw a version; draw again, a bounded number of times, when it can't serve now."""
        version = ""
        for _ in range(MAX_VERSION_DRAWS):
            version = self._choose_version(now, self._rng, self.pool, route)
            if self._ledger.serves(version):
                break
        return version

    def _draw_for_stranded(self, now: float) -> None:
        """Draw the versions of asks anew whose version can't serve any more, once for each."""
        serving: dict[str, bool] = {}
        stranded = []
        for ask in self._queue:
            if ask.version not in serving:
                serving[ask.version] = self._ledger.serves(ask.version)
            if not serving[ask.version] and not ask.version_redrawn:
                stranded.append(ask)
        for ask in stranded:
            ask.version_redrawn = True
        self._draw_again(now, stranded)

    def _draw_again(self, now: float, asks: list[QueuedRequest]) -> None:
        for ask in asks:
            self._queue.remove(ask.key)
        for ask in asks:
            ask.version = self._version_for(now, ask.route)
            self._queue.push(ask)

    def _is_unmeetable(self, now: float, ask: QueuedRequest) -> bool:
        if len(self._queue) == 0:
            return False
        work = self._queue.work_before(ask.tier, ask.rank, ask.organisation)
        return work / self._rate.tokens_per_s > _patience_s(now, ask)

    def _fastest(self, now: float, version: str) -> UpstreamLoad | None:
        """Return the fastest upstream of a version that takes work, looked up now and then."""
        if now - self._fastest_at >= FASTEST_CACHE_S:
            self._fastest_at = now
            self._fastest_loads.clear()
        if version not in self._fastest_loads:
            loads = filter_by_version(version, list(self._ledger.loads.values()))
            working = [load for load in loads if load.is_available()]
            fastest = min(working, key=lambda load: load.token_s(now), default=None)
            self._fastest_loads[version] = fastest
        return self._fastest_loads[version]

    def _can_be_met(self, now: float, ask: QueuedRequest) -> bool:
        """Tell whether the fastest upstream could still serve an ask in its time.

        An ask whose caller leaves before the next sweep counts as one that can't be met: it has to
        be answered while the caller is there.
        """
        fastest = self._fastest(now, ask.version)
        if fastest is None:
            return now + SWEEP_PERIOD_S <= ask.first_byte_deadline
        first_byte_at = now + fastest.min_first_byte_s(now, ask.prompt_tokens)
        if first_byte_at + SWEEP_PERIOD_S > ask.first_byte_deadline:
            return False
        whole_at = first_byte_at + ask.output_tokens * fastest.token_s(now)
        return not ask.deadline_is_total or whole_at <= ask.deadline

    def _refuse_unmeetable(self, now: float) -> None:
        waits_s = self._waits_by_level_s()
        for ask in self._queue.lowest_first():
            kind = None
            if ask.deadline <= now:
                kind = ErrorKind.DEADLINE_PASSED
            elif self._active and not self._ledger.has_live(ask.version):
                kind = ErrorKind.NO_UPSTREAM
            elif not self._can_be_met(now, ask):
                kind = ErrorKind.DEADLINE_UNMEETABLE
            if kind is None and waits_s[ask.level] > _patience_s(now, ask):
                kind = ErrorKind.DEADLINE_UNMEETABLE
            if kind is not None:
                self._queue.remove(ask.key)
                self._refuse(ask, kind)

    def _waits_by_level_s(self) -> list[float]:
        """Return the time that the work of the lines before each one takes."""
        waits_s = [0.0]
        if not self._active or not self._rate.measured:
            return waits_s * LEVEL_COUNT
        for level, work in enumerate(self._queue.work_by_level()):
            late = is_late(level) and self._late_rate.measured
            rate = self._late_rate if late else self._rate
            waits_s.append(waits_s[-1] + work / rate.tokens_per_s)
        return waits_s

    def _refuse(self, ask: QueuedRequest, kind: ErrorKind) -> None:
        wait_ms = int(1_000 * self.retry_after_s(ask.tier, ask.rank, ask.organisation))
        refusal = PermitRefusal(self.pool, ask.permit_id, REFUSAL_KINDS.index(kind), wait_ms)
        self._send(ask.host, refusal)

    def _query_silent_hosts(self, now: float) -> None:
        if not self._active:
            return
        before = now - self._settings.query_after_s
        old = self._ledger.hosts(granted_before=before)
        for host in self._hosts.take_overdue(now, old, before):
            self._send(host, PermitQuery(self.pool))

    def _drop_asks(self, host: str) -> None:
        for ask in self._queue:
            if ask.host == host:
                self._queue.remove(ask.key)

    # Grants.

    def _drain(self, now: float) -> None:
        if not self._active or now < self._settled_at:
            return
        while len(self._queue) > 0 and self._ledger.is_below_share():
            roomy = self._ledger.with_room(now)
            if not roomy:
                return
            ask = self._take_next(now, roomy)
            if ask is None:
                return
            self._grant(now, ask, filter_by_version(ask.version, roomy))

    def _take_next(self, now: float, roomy: list[UpstreamLoad]) -> QueuedRequest | None:
        """Take the next ask that suits an upstream with room off the queue."""
        versions = {"", *(load.entry.version for load in roomy)}

        def fits(ask: QueuedRequest) -> bool:
            if not ask.deadline_is_total or self._packs_requests(self.pool, ask.version):
                return True
            loads = filter_by_version(ask.version, roomy)
            return self.placer.should_place_now(now, loads, self._fastest(now, ask.version), ask)

        return self._queue.pop(versions.__contains__, fits)

    def _grant(self, now: float, ask: QueuedRequest, loads: list[UpstreamLoad]) -> None:
        if self._packs_requests(self.pool, ask.version):
            loads = choose_busiest_with_room(now, loads)
        placement = self.placer.choose(now, self._rng, loads, ask)
        if placement is None:
            raise AssertionError("a popped ask has an upstream with room")
        load = placement.load
        unread_tokens = ask.prompt_tokens * (1.0 - placement.cached_share)
        if now + load.min_first_byte_s(now, unread_tokens) > ask.latest_first_byte:
            self._refuse(ask, ErrorKind.DEADLINE_UNMEETABLE)
            return
        permit = GrantedPermit(
            host=ask.host,
            permit_id=ask.permit_id,
            upstream=load.entry.name,
            version=load.entry.version,
            tier=ask.tier,
            cost_tokens=ask.cost_tokens,
            granted_at=now,
            first_byte_s=0.0 if placement.cached_share else placement.first_byte_s,
            token_s=placement.token_s,
        )
        self._ledger.add(now, permit)
        self._rate.add(permit.cost_tokens)
        if is_late(ask.level):
            self._late_rate.add(permit.cost_tokens)
        if ask.prefixes:
            self.hints.add(load.entry.name, ask.prefixes)
        self._send(ask.host, PermitGrant(self.pool, ask.permit_id, permit.upstream, permit.version))

    def _resend(self, now: float, permit: GrantedPermit) -> None:
        if now - permit.granted_at < self._settings.resend_after_s:
            return
        permit.granted_at = now
        grant = PermitGrant(self.pool, permit.permit_id, permit.upstream, permit.version)
        self._send(permit.host, grant)

    # Releases.

    def _on_done(self, now: float, host: str, msg: PermitDone) -> None:
        permit = self._ledger.release(now, (host, msg.permit_id))
        if permit is None:
            return
        load = self._ledger.loads.get(permit.upstream)
        if load is None:
            return
        if msg.outcome == Outcome.OK:
            load.on_success(now)
            self._observe(now, load, permit, msg)
        elif msg.outcome == Outcome.CONNECT_FAILED:
            load.on_connect_failed(now, self._rng)
            self.hints.invalidate(permit.upstream)
        elif msg.outcome == Outcome.REFUSED:
            load.on_refused(now)
        elif msg.outcome in (Outcome.FAILED, Outcome.TIMED_OUT):
            load.on_failed(now, self._rng, self._can_spare(load))
        if load.ejected:
            self._draw_for_stranded(now)

    def _can_spare(self, load: UpstreamLoad) -> bool:
        """Tell whether enough upstreams of the pool take work without one of them."""
        loads = self._ledger.loads.values()
        live = [one for one in loads if one.entry.state is UpstreamState.LIVE]
        others = [one for one in live if one is not load and one.is_available()]
        return len(others) >= MIN_FRACTION_IN_USE * len(live)

    def _on_stalled(self, now: float, host: str, msg: PermitStalled) -> None:
        """Give a silent upstream no more work until a probe has succeeded."""
        permit = self._ledger.find((host, msg.permit_id))
        load = self._ledger.loads.get(permit.upstream) if permit is not None else None
        if load is None:
            return
        load.on_connect_failed(now, self._rng)
        self._draw_for_stranded(now)

    def _observe(
        self, now: float, load: UpstreamLoad, permit: GrantedPermit, msg: PermitDone
    ) -> None:
        first_byte_s = msg.first_byte_ms / 1_000
        load.on_first_byte(now, permit.first_byte_s, first_byte_s)
        if msg.output_tokens > 1:
            rest_s = msg.duration_ms / 1_000 - first_byte_s
            load.on_tokens(now, permit.token_s * (msg.output_tokens - 1), rest_s)

    def _free_lost_hosts(self, now: float) -> None:
        for host in self._hosts.take_expired(now - self._settings.lost_host_grace_s):
            for key in self._ledger.keys_of(host):
                self._ledger.release(now, key)

    # Hand-over.

    def _on_sync(self, now: float, host: str, msg: PermitSync) -> None:
        self._hosts.record_report(now, host)
        asks = [_read_ask(values) for values in msg.asks]
        held = [_read_permit(values) for values in msg.permits]
        waiting_ids = {ask.permit_id for ask in asks}
        held_ids = {permit.permit_id for permit in held}
        for key in self._ledger.keys_of(host):
            if key[1] not in held_ids and key[1] not in waiting_ids:
                self._ledger.release(now, key)
        for waiting in self._queue:
            if waiting.host == host and waiting.permit_id not in waiting_ids:
                self._queue.remove(waiting.key)
        for permit in held:
            self._adopt(now, host, permit)
        for ask in asks:
            self._add_ask(now, host, ask)
        self._send_beat(host)

    def _adopt(self, now: float, host: str, held: HeldPermit) -> None:
        key = (host, held.permit_id)
        known = self._ledger.find(key)
        if known is not None and known.upstream == held.upstream:
            return
        self._ledger.release(now, key)
        self._queue.remove(key)
        load = self._ledger.loads.get(held.upstream)
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
        )
        self._ledger.add(now, permit)

    def _restart(self, now: float) -> None:
        hosts = self._hosts.reported() | self._ledger.hosts()
        self._clear(now)
        self._settled_at = now + self._settings.settle_s
        for host in sorted(hosts):
            self._send_beat(host)

    def _clear(self, now: float) -> None:
        self._ledger.clear(now)
        for ask in self._queue:
            self._queue.remove(ask.key)
        self._hosts.clear()
        self._epoch = self._rng.getrandbits(31)

    def _note_call(self, now: float) -> None:
        called_at = self._called_at
        self._called_at = now
        if called_at is not None and now - called_at > self._settings.pause_limit_s:
            self.on_resumed(now)

    def _greet(self, host: str) -> bool:
        """Tell whether a host has stated what it holds in this epoch; if not, ask it to."""
        if not self._hosts.has_reported(host) and not self._hosts.is_lost(host):
            self._send_beat(host)
        return self._hosts.has_reported(host)

    def _send_beat(self, host: str) -> None:
        """Show a host that this owner lives; a lost one is to turn to its local share."""
        if not self._active or self._hosts.is_lost(host):
            return
        waiting = sum(1 for ask in self._queue if ask.host == host)
        self._send(host, PermitBeat(self.pool, self._epoch, waiting))

    def _send_beats(self) -> None:
        if not self._active:
            return
        counts: dict[str, int] = {}
        for ask in self._queue:
            counts[ask.host] = counts.get(ask.host, 0) + 1
        for host in sorted(counts):
            self._send(host, PermitBeat(self.pool, self._epoch, counts[host]))


def _patience_s(now: float, ask: QueuedRequest) -> float:
    return (ask.latest_first_byte - now) * WAIT_MARGINS[ask.tier]


def _read_ask(values: list[Any]) -> PermitAsk:
    return PermitAsk(*values)


def _read_permit(values: list[Any]) -> HeldPermit:
    return HeldPermit(*values)
