"""Schedule this host's requests by permits, and feed results to canary analysis and estimates."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable, Iterable

from loguru import logger

from tarragonwind.condition_monitors import ConditionMonitor, create_sender
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.cold_upstreams import ColdBounds
from tarragonwind.core.dispatch_outcomes import (
    FAILURE_OUTCOMES,
    PATH_OUTCOMES,
    REFUSAL_MESSAGES,
    TOO_LARGE_MESSAGE,
    trial_outcome,
)
from tarragonwind.core.entries import (
    TIER_COUNT,
    OrganisationEntry,
    PoolEntry,
    RouteEntry,
    UpstreamEntry,
    UpstreamState,
)
from tarragonwind.core.estimates import (
    SERVICE_COST,
    CostEstimate,
    CostEstimator,
    estimate_counted,
)
from tarragonwind.core.fleet_shares import FleetShares
from tarragonwind.core.homes import ANY_REGION, Homes, find_homes, is_at_home
from tarragonwind.core.permit_clients import CLIENT_MESSAGES, PermitClient
from tarragonwind.core.permit_messages import Outcome, PermitDone
from tarragonwind.core.permit_requests import Permit, PermitRequest
from tarragonwind.core.pool_owners import OWNER_MESSAGES, OwnerDependencies, PoolOwners
from tarragonwind.core.quarantines import QUARANTINE_S, Quarantines
from tarragonwind.core.request_metadata import PUBLIC_ORGANISATION
from tarragonwind.core.schedulers import DispatchReport, Scheduler, SchedulingRequest
from tarragonwind.core.suspicions import CombinationChange
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.core.upstream_holds import UpstreamHolds
from tarragonwind.core.upstream_loads import LoadSettings
from tarragonwind.core.upstream_statuses import UpstreamReport
from tarragonwind.core.version_selectors import VersionSelector
from tarragonwind.dispatch_records import DispatchRecords, SchedulerUsage
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.messages import Message
from tarragonwind.owner_mailboxes import OwnerMailbox
from tarragonwind.path_checkers import PathChecker, SoundPaths
from tarragonwind.ports import Members, Peers, Timers
from tarragonwind.telemetry import Telemetry

TICK_PERIOD_S = 0.05
"""Interval of the checks of deadlines and unresponsive owners, in seconds."""
IDLE_TICK_PERIOD_S = 0.25
"""Interval of these checks while no request waits on this host, in seconds."""

OUTDATED_OWNER_HOLD_S = 1.0
"""Time for which an owner that has granted an upstream out of use grants it to this host no more,
in seconds. By then it knows as well; without it, a busy pool's owner would grant the idle upstreams
of an evacuated data centre again and again."""


class PermitScheduler(Scheduler):
    """Connect the gateway with permit clients, pool owners and moves on this host.

    Parameters
    ----------
    members : Members
        Membership of the fleet.
    peers : Peers
        Message transport between hosts.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator.
    versions : VersionSelector
        Versions that serve, by pool and route.
    load_settings : LoadSettings, optional
        Load limits, performance model and ejection of upstreams.
    fleet : FleetShares, optional
        Shares of the fleet's capacity while the fleet is partitioned.
    on_key_convicted : callable, optional
        Called with each key of requests on which upstreams keep crashing; by default it is
        quarantined on this host alone.
    paths : PathChecker, optional
        State of this host's paths to upstreams, which tells nothing of the upstreams.
    cold_bounds : ColdBounds, optional
        What cold upstreams may get beyond their rate.
    on_combination : callable, optional
        Called with each change of a combination of parts that are equally suspect; by default it
        is applied on this host alone.

    Attributes
    ----------
    quarantines : Quarantines
        Keys of requests that are kept from upstreams.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        timers: Timers,
        rng: random.Random,
        versions: VersionSelector,
        load_settings: LoadSettings | None = None,
        fleet: FleetShares | None = None,
        on_key_convicted: Callable[[int], None] | None = None,
        paths: PathChecker | None = None,
        cold_bounds: ColdBounds | None = None,
        on_combination: Callable[[CombinationChange], None] | None = None,
    ) -> None:
        self.conditions = UpstreamConditions(cold_bounds)
        self._paths = paths or SoundPaths()
        self.quarantines = Quarantines()
        self._members = members
        self._timers = timers
        self._versions = versions
        self._estimator = CostEstimator()
        self._dispatched = DispatchRecords()
        self._catalogue = Catalogue()
        self._slots: dict[str, int] = {}
        self._held: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._holds: UpstreamHolds[str] = UpstreamHolds()
        deps = OwnerDependencies(
            peers.send,
            rng,
            versions.choose_version,
            self._weight_of,
            load_settings=load_settings or LoadSettings(),
            packs_requests=versions.packs_requests,
            homes_of=self._homes_of,
            on_key_convicted=on_key_convicted or self._quarantine_here,
            on_combination=on_combination or self._apply_combination_here,
            conditions=self.conditions,
        )
        self.owners = PoolOwners(members.name, deps, members.owner_of, members.running, fleet)
        self.usage = SchedulerUsage(self._dispatched, self.owners)
        self.client = PermitClient(
            members.name,
            create_sender(peers),
            rng,
            members.owner_of,
            self.owners.create_local_owner,
            conditions=self.conditions,
        )
        self._monitor = ConditionMonitor(self.conditions, self.client.conditions)
        for to_owner in OWNER_MESSAGES:
            peers.subscribe(to_owner, self._on_owner_message)
        for to_client in CLIENT_MESSAGES:
            peers.subscribe(to_client, self._on_client_message)
        members.subscribe(self._on_members_changed)
        versions.subscribe_version_change(self._on_versions_changed)
        self._mailbox = OwnerMailbox(timers, self.owners)
        self._is_ticking = False
        versions.set_usage(self.usage)
        timers.call_every(IDLE_TICK_PERIOD_S, self._tick_idle)

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue."""
        self._catalogue = catalogue
        upstreams = [
            entry
            for entry in catalogue.contents("upstream").values()
            if isinstance(entry, UpstreamEntry)
        ]
        self._slots = {entry.name: entry.slots for entry in upstreams}
        self.usage.set_catalogue(catalogue)
        now = self._timers.now()
        pools = catalogue.contents("pool")
        entries = [entry for entry in pools.values() if isinstance(entry, PoolEntry)]
        self._monitor.configure(now, entries, upstreams)
        self.owners.configure(now, pools, upstreams)

    def request_permit(
        self,
        request: SchedulingRequest,
        on_granted: Callable[[Permit], object],
        on_refused: Callable[[RequestError], object],
    ) -> int:
        """Request a permit from the pool's owner."""
        cost = self.estimate(request)
        permit_request = PermitRequest(
            pool=request.pool,
            route=request.route,
            organisation=request.organisation,
            tier=request.tier,
            cost_tokens=cost.cost_tokens,
            prompt_tokens=cost.prompt_tokens,
            deadline=request.deadline,
            prefixes=request.prefixes,
            avoid=request.avoid,
            target=request.target,
            rank=request.rank,
            output_tokens=cost.output_tokens,
            deadline_is_total=request.deadline_is_total,
            first_byte_deadline=request.first_byte_deadline,
            keys=request.keys,
            memory_tokens=request.memory_tokens,
        )
        capacity = self.conditions.memories.capacity(request.pool)
        if capacity and request.part_tokens:
            permit_request.part_tokens = request.part_tokens
            permit_request.last_part = request.last_part
        if capacity and request.memory_tokens > capacity:
            on_refused(RequestError(ErrorKind.REQUEST_TOO_LARGE, TOO_LARGE_MESSAGE))
            return 0

        def granted(permit: Permit) -> None:
            self._dispatched.add(permit.permit_id, request, permit.version)
            on_granted(permit)

        def refused(kind: ErrorKind, retry_after_s: float) -> None:
            on_refused(RequestError(kind, REFUSAL_MESSAGES[kind], retry_after_s))

        permit_id = self.client.request_permit(self._timers.now(), permit_request, granted, refused)
        self._start_ticking()
        return permit_id

    def estimate(self, request: SchedulingRequest) -> CostEstimate:
        """Estimate the cost of a request for its upstream."""
        if request.max_tokens is None:
            return SERVICE_COST
        if request.prompt_tokens is not None:
            return estimate_counted(
                request.prompt_tokens, request.max_tokens, request.expected_tokens
            )
        return self._estimator.estimate(
            request.route, request.organisation, request.prompt_bytes, request.max_tokens
        )

    def cancel(self, permit_id: int) -> None:
        """Cancel a permit request."""
        self.client.cancel(self._timers.now(), permit_id)

    def may_dispatch(self, permit: Permit) -> bool:
        """Return whether a permit's upstream is live and allowed, its version still in use."""
        entry = self._upstream(permit)
        if entry is None or entry.state is not UpstreamState.LIVE:
            return False
        if self.hold_left_s(permit.upstream) > 0 or not self.is_open(permit):
            return False
        if self._versions.is_withheld(permit.pool, permit.version):
            return False
        return not self._is_replaced(permit)

    def _is_replaced(self, permit: Permit) -> bool:
        """Return whether another version serves in place of that of a permit, also at its homes."""
        version = self._versions.replacement_of(permit.pool, permit.version)
        if not version:
            return False
        homes = self._dispatched.homes(permit.permit_id)
        return any(
            entry.version == version
            and entry.state is UpstreamState.LIVE
            and is_at_home(homes, entry)
            for entry in self._catalogue.upstreams_of(permit.pool)
        )

    def is_open(self, permit: Permit) -> bool:
        """Return whether the upstream of a permit is not leaving and in a region of its request."""
        entry = self._upstream(permit)
        if entry is None:
            return True
        homes = self._dispatched.homes(permit.permit_id)
        return entry.state is UpstreamState.LIVE and is_at_home(homes, entry)

    def quarantine_left_s(self, keys: Iterable[int]) -> float:
        """Return the time for which any of these keys is in quarantine, in seconds."""
        return self.quarantines.left_s(self._timers.now(), keys)

    def _quarantine_here(self, key: int) -> None:
        self.quarantines.add(self._timers.now(), key)

    def _apply_combination_here(self, change: CombinationChange) -> None:
        if change.is_cleared:
            self.quarantines.end_combination(change.parts)
        else:
            self.quarantines.add_combination(self._timers.now(), change.parts, QUARANTINE_S)

    def hold_left_s(self, upstream: str) -> float:
        """Return the time for which an upstream wants no requests of this host, in seconds."""
        return self._holds.left_s(self._timers.now(), upstream)

    def on_dispatched(self, permit: Permit) -> None:
        """Start a trial of the version that serves the dispatch."""
        record = self._dispatched.find(permit.permit_id)
        if record is None:
            return
        self._held[permit.upstream] = self._held.get(permit.upstream, 0) + 1
        record.trial = self._versions.start(
            permit.pool,
            record.request.route,
            permit.version,
            self._load_fraction(permit.upstream),
        )

    def on_limit(
        self, upstream: UpstreamEntry, limit_per_s: float | None, dispatched_at: float
    ) -> None:
        """Report a limit that an upstream names, or no longer names."""
        changed = self.client.report_limit(
            self._timers.now(), upstream.pool, upstream.start, limit_per_s, dispatched_at
        )
        if changed:
            limit = "-" if limit_per_s is None else limit_per_s
            logger.info("event=upstream_limit upstream={} limit_per_s={}", upstream.name, limit)

    def on_condition(
        self, upstream: UpstreamEntry, rejections_per_s: int | None, cold_s: float | None
    ) -> None:
        """Report that an upstream is brittle or cold."""
        self._monitor.on_response(self._timers.now(), upstream, rejections_per_s, cold_s)

    def on_first_byte(self, permit: Permit) -> None:
        """Record the first byte of the response in the trial."""
        record = self._dispatched.find(permit.permit_id)
        if record is not None and record.trial is not None:
            self._versions.first_byte(record.trial)

    def on_stalled(self, permit: Permit) -> None:
        """Report a stalled upstream to the pool's owner, unless this host's path is the cause."""
        entry = self._upstream(permit)
        if entry is None:
            return

        def on_checked(is_lost: bool) -> None:
            if not is_lost:
                self.client.report_stalled(self._timers.now(), permit.permit_id)

        self._paths.check(entry, on_checked)

    def _upstream(self, permit: Permit) -> UpstreamEntry | None:
        entry = self._catalogue.entry(f"upstream/{permit.upstream}")
        return entry if isinstance(entry, UpstreamEntry) else None

    def _is_path_fault(self, permit: Permit, report: DispatchReport) -> bool:
        """Return whether a dispatch failed at a time at which this host's path is lost."""
        if report.complete or report.outcome not in PATH_OUTCOMES:
            return False
        entry = self._upstream(permit)
        return entry is not None and self._paths.is_lost(entry)

    def on_finished(self, permit: Permit, report: DispatchReport) -> None:
        """Release the permit and update cost estimates and the trial from the result."""
        if self._is_path_fault(permit, report):
            report = dataclasses.replace(report, outcome=Outcome.CANCELLED)
        if report.hold_s > self.hold_left_s(permit.upstream):
            logger.info("event=upstream_hold upstream={} s={:.3f}", permit.upstream, report.hold_s)
        self._holds.put(self._timers.now(), permit.upstream, report.hold_s)
        hold_s = report.hold_s
        entry = self._upstream(permit)
        leaving = entry is not None and entry.state is not UpstreamState.LIVE
        if report.outcome is Outcome.UNUSED and leaving:
            hold_s = max(hold_s, OUTDATED_OWNER_HOLD_S)
        pool = self._catalogue.pool(permit.pool)
        tokens = report.event_count * (pool.tokens_per_event if pool is not None else 1)
        self.client.release(
            self._timers.now(),
            permit.permit_id,
            report.outcome,
            round(report.first_byte_s * 1000),
            round(report.duration_s * 1000),
            tokens,
            hold_ms=math.ceil(hold_s * 1000),
            limited=report.limited,
            later_parts=self._dispatched.later_parts(
                self._timers.now(), permit.permit_id, report.outcome, tokens
            ),
        )
        record = self._dispatched.pop(permit.permit_id)
        if record is None:
            return
        if report.outcome in FAILURE_OUTCOMES:
            self._failures[permit.upstream] = self._failures.get(permit.upstream, 0) + 1
        if report.outcome is not Outcome.UNUSED:
            self._held[permit.upstream] = max(0, self._held.get(permit.upstream, 0) - 1)
        # Tokens are counted only in streamed responses.
        if report.outcome is Outcome.OK and tokens:
            self._estimator.observe(
                record.request.route,
                record.request.organisation,
                record.request.prompt_bytes,
                tokens,
            )
        if record.trial is not None:
            outcome = trial_outcome(report.outcome, report.complete)
            self._versions.finish(record.trial, outcome, tokens)

    def resume(self) -> None:
        """Resynchronise owners and the client after a pause of this process."""
        now = self._timers.now()
        self.owners.on_resumed(now)
        self.client.on_resumed(now)

    def waiting_by_tier(self) -> list[int]:
        """Return the number of requests that wait at the owners on this host, by tier."""
        counts = [0] * TIER_COUNT
        for pool in self.owners.active_pools():
            owner = self.owners.owner(pool)
            if owner is None:
                continue
            for tier, count in enumerate(owner.waiting_by_tier()):
                counts[tier] += count
        return counts

    def record_conditions(self, telemetry: Telemetry) -> None:
        """Set the metrics of cold and brittle upstreams and of the memory of engines."""
        self._monitor.record(self._timers.now(), self.owners, telemetry)

    def describe_upstream(self, entry: UpstreamEntry) -> UpstreamReport:
        """Report an upstream. Only the owner of its pool counts the requests of all hosts."""
        owner = self.owners.owner(entry.pool)
        load = None
        if owner is not None and owner.active:
            load = next((each for each in owner.loads() if each.entry.name == entry.name), None)
        state = entry.state.value
        if load is not None and load.ejected and entry.state is UpstreamState.LIVE:
            state = "unreachable"
        return UpstreamReport(
            name=entry.name,
            pool=entry.pool,
            version=entry.version,
            state=state,
            in_progress=load.in_flight if load is not None else self._held.get(entry.name, 0),
            slots=entry.slots,
            tokens_per_s=entry.tokens_per_s,
            failures=self._failures.get(entry.name, 0),
            report_age_s=-1.0,
        )

    def _load_fraction(self, upstream: str) -> float:
        """Extrapolate an upstream's utilisation from this host's requests to all live hosts."""
        slots = self._slots.get(upstream, 1)
        return self._held.get(upstream, 0) * len(self._members.live()) / slots

    def _homes_of(self, route: str, organisation: str) -> Homes:
        """Return the homes of a request that waits at an owner on this host."""
        route_entry = self._catalogue.entry(f"route/{route}")
        entry = self._catalogue.entry(f"organisation/{organisation}")
        if not isinstance(route_entry, RouteEntry):
            return ANY_REGION
        try:
            return find_homes(
                route_entry, entry if isinstance(entry, OrganisationEntry) else PUBLIC_ORGANISATION
            )
        except RequestError:
            # The configuration has changed since; the host of the request knows what binds it.
            return ANY_REGION

    def _weight_of(self, organisation: str) -> float:
        entry = self._catalogue.entry(f"organisation/{organisation}")
        return entry.weight if isinstance(entry, OrganisationEntry) else 1.0

    def _on_owner_message(self, host: str, msg: Message) -> None:
        self._mailbox.put(host, msg)
        if isinstance(msg, PermitDone) and msg.hold_ms:
            self._timers.call_later(msg.hold_ms / 1000, self._tick)

    def _on_client_message(self, host: str, msg: Message) -> None:
        self.client.on_message(self._timers.now(), host, msg)

    def _on_members_changed(self) -> None:
        now = self._timers.now()
        self.owners.on_members_changed(now)
        self.client.on_members_changed(now)

    def _on_versions_changed(self, pool: str) -> None:
        self.owners.on_versions_changed(self._timers.now(), pool)

    def _start_ticking(self) -> None:
        """Check at the short interval until no request waits."""
        if not self._is_ticking and self._has_waiting():
            self._is_ticking = True
            self._timers.call_later(TICK_PERIOD_S, self._tick_busy)

    def _has_waiting(self) -> bool:
        """Return whether a request of this host waits or this host owns a pool."""
        client = self.client
        return bool(client.waiting() or client.uses_local_shares() or self.owners.active_pools())

    def _tick_busy(self) -> None:
        self._is_ticking = False
        self._tick()
        self._start_ticking()

    def _tick_idle(self) -> None:
        if not self._is_ticking:
            self._tick()
            self._start_ticking()

    def _tick(self) -> None:
        now = self._timers.now()
        self.owners.tick(now)
        self.client.tick(now)
