"""Manage the pool owners of one host and dispatch messages and events to them."""

from __future__ import annotations

import dataclasses
import math
import random
import weakref
from collections.abc import Callable, Iterable

from tarragonwind.core.condition_messages import PermitSizes, PoolBrittle, UpstreamCold
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.fleet_shares import FleetShares
from tarragonwind.core.homes import Homes
from tarragonwind.core.owner_inboxes import Delivery
from tarragonwind.core.owner_settings import (
    PermitSettings,
    Send,
    VersionChooser,
    allow_any_region,
    ignore_combination,
    ignore_conviction,
    never_pack,
)
from tarragonwind.core.permit_messages import (
    PermitAsk,
    PermitCancel,
    PermitDone,
    PermitStalled,
    PermitSync,
    UpstreamLimit,
)
from tarragonwind.core.permits import PoolOwner
from tarragonwind.core.strict_limits import RETENTION_S
from tarragonwind.core.suspicions import CombinationChange, Suspicions
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.core.upstream_loads import LoadSettings
from tarragonwind.messages import Message

OWNER_MESSAGES = (
    PermitAsk,
    PermitCancel,
    PermitDone,
    PermitSizes,
    PermitStalled,
    PermitSync,
    PoolBrittle,
    UpstreamCold,
    UpstreamLimit,
)
"""Classes of the messages that hosts send to owners."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """Hold the dependencies of every pool owner on a host.

    Attributes
    ----------
    send : callable
        Sends a message to a host, which may be this one.
    rng : random.Random
        Source of randomness.
    choose_version : VersionChooser
        Chooses the version that serves a request.
    weight_of : callable
        Returns the weight of an organisation.
    settings : PermitSettings
        Timeouts and limits of owners.
    load_settings : LoadSettings
        Load limits, performance model and ejection of upstreams.
    rtt_s : dict of str to float
        Round-trip time to each data centre, in seconds.
    packs_requests : callable
        Returns whether requests of a pool's version fill one upstream before the next.
    on_key_convicted : callable
        Called with each key of requests on which upstreams keep crashing.
    on_combination : callable
        Called with each change of a combination of parts that are equally suspect.
    conditions : UpstreamConditions
        Which upstreams are cold or brittle, and the memory of engines.
    homes_of : callable
        Returns the homes of requests by route and organisation.
    """

    send: Send
    rng: random.Random
    choose_version: VersionChooser
    weight_of: Callable[[str], float]
    settings: PermitSettings = dataclasses.field(default_factory=PermitSettings)
    load_settings: LoadSettings = dataclasses.field(default_factory=LoadSettings)
    rtt_s: dict[str, float] = dataclasses.field(default_factory=dict)
    packs_requests: Callable[[str, str], bool] = never_pack
    on_key_convicted: Callable[[int], None] = ignore_conviction
    on_combination: Callable[[CombinationChange], None] = ignore_combination
    conditions: UpstreamConditions = dataclasses.field(default_factory=UpstreamConditions)
    homes_of: Callable[[str, str], Homes] = allow_any_region


def create_owner(
    pool: str, deps: OwnerDependencies, suspicions: Suspicions | None = None
) -> PoolOwner:
    """Create the owner of a pool; it is inactive until `PoolOwner.on_members_changed`."""
    return PoolOwner(
        pool,
        deps.send,
        deps.rng,
        deps.choose_version,
        deps.weight_of,
        deps.settings,
        deps.load_settings,
        deps.rtt_s,
        deps.packs_requests,
        suspicions,
        deps.on_key_convicted,
        deps.conditions,
        deps.homes_of,
        deps.on_combination,
    )


class PoolOwners:
    """Hold an owner for each pool of the catalogue, active for those that this host owns.

    Parameters
    ----------
    name : str
        Name of this host.
    deps : OwnerDependencies
        Dependencies of the owners.
    owner_of : callable
        Returns the live host that owns a pool.
    running : callable
        Returns the names of the hosts that may request permits: live hosts, this one included, and
        hosts in their graceful shutdown.
    fleet : FleetShares, optional
        Shares of the fleet's capacity while the fleet is partitioned.
    """

    def __init__(
        self,
        name: str,
        deps: OwnerDependencies,
        owner_of: Callable[[str], str],
        running: Callable[[], Iterable[str]],
        fleet: FleetShares | None = None,
    ) -> None:
        self._name = name
        self._deps = deps
        self._owner_of = owner_of
        self._running = running
        self._fleet = fleet
        self._share = 1.0
        self._strict_share = 1.0
        self._owners: dict[str, PoolOwner] = {}
        self._upstreams: dict[str, list[UpstreamEntry]] = {}
        self._suspicions: dict[str, Suspicions] = {}
        self._local: weakref.WeakValueDictionary[str, PoolOwner] = weakref.WeakValueDictionary()

    def configure(self, now: float, pools: Iterable[str], upstreams: list[UpstreamEntry]) -> None:
        """Apply the pools and upstreams of the catalogue."""
        self._update_strict_share(now)
        names = set(pools)
        for pool in [pool for pool in self._owners if pool not in names]:
            del self._owners[pool]
            del self._upstreams[pool]
            del self._suspicions[pool]
        running = tuple(self._running())
        for pool in sorted(names):
            self._upstreams[pool] = [entry for entry in upstreams if entry.pool == pool]
            if pool not in self._owners:
                self._suspicions[pool] = Suspicions()
                self._owners[pool] = create_owner(pool, self._deps, self._suspicions[pool])
                self._owners[pool].set_share(now, self._share)
                self._owners[pool].set_strict_share(self._strict_share)
            owner = self._owners[pool]
            owner.configure(now, self._upstreams[pool])
            owner.on_members_changed(now, running, self._owner_of(pool) == self._name)
        for pool, local in list(self._local.items()):
            local.configure(now, self._upstreams.get(pool, []))

    def on_members_changed(self, now: float) -> None:
        """Apply a change of the running hosts."""
        running = tuple(self._running())
        for pool, owner in self._owners.items():
            owner.on_members_changed(now, running, self._owner_of(pool) == self._name)

    def on_resumed(self, now: float) -> None:
        """Resynchronise all owners after a pause of this process."""
        for owner in self._owners.values():
            owner.on_resumed(now)

    def on_versions_changed(self, now: float, pool: str) -> None:
        """Choose the versions of a pool's waiting requests again, as after a roll-back."""
        for owner in (self._owners.get(pool), self._local.get(pool)):
            if owner is not None:
                owner.on_versions_changed(now)

    def on_message(self, now: float, host: str, msg: Message) -> None:
        """Pass a message of `OWNER_MESSAGES` to the owner of its pool, which then grants."""
        owner = self._apply(now, host, msg)
        if owner is not None:
            owner.grant(now)

    def on_messages(self, now: float, received: list[Delivery]) -> None:
        """Pass messages to the owners of their pools, which grant once after the last of them."""
        touched: dict[str, PoolOwner] = {}
        for host, msg in received:
            owner = self._apply(now, host, msg)
            if owner is not None:
                touched[owner.pool] = owner
        for owner in touched.values():
            owner.grant(now)

    def _apply(self, now: float, host: str, msg: Message) -> PoolOwner | None:
        """Apply a message; return the owner that may grant after it."""
        if isinstance(msg, PoolBrittle):
            self._deps.conditions.brittle.learn(
                now, msg.pool, msg.rejections_per_s, msg.age_ms / 1_000
            )
            return None
        if isinstance(msg, UpstreamCold):
            start = (msg.upstream, msg.incarnation)
            self._deps.conditions.cold.on_notice(now, start, msg.cold_ms / 1_000)
            return None
        if not isinstance(msg, OWNER_MESSAGES):
            return None
        owner = self._owners.get(msg.pool)
        if owner is not None:
            owner.apply_message(now, host, msg)
        return owner

    def on_load_report(self, now: float, upstream: str, in_flight: int, age_s: float) -> None:
        """Pass a load report of an upstream to the owners."""
        for owner in self._owners.values():
            owner.on_load_report(now, upstream, in_flight, age_s)

    def _local_share(self, now: float) -> float:
        if self._fleet is not None:
            return self._fleet.own_share(now)
        return 1.0 / max(1, len(tuple(self._running())))

    def _update_share(self, now: float) -> None:
        """Limit owners to the live fraction, so that partitions together use one pool's slots."""
        self._update_strict_share(now)
        share = self._fleet.live_fraction(now) if self._fleet is not None else 1.0
        if share == self._share:
            return
        self._share = share
        for owner in self._owners.values():
            owner.set_share(now, share)

    def _update_strict_share(self, now: float) -> None:
        if self._fleet is None:
            return
        share = self._fleet.retained_fraction(now, RETENTION_S)
        if share == self._strict_share:
            return
        self._strict_share = share
        for owner in self._owners.values():
            owner.set_strict_share(share)

    def tick(self, now: float) -> None:
        """Run the periodic work of every owner."""
        self._update_share(now)
        for owner in self._owners.values():
            owner.tick(now)

    def owner(self, pool: str) -> PoolOwner | None:
        """Return the owner of a pool on this host, active or not."""
        return self._owners.get(pool)

    def active_pools(self) -> list[str]:
        """Return the pools that this host owns."""
        return [pool for pool, owner in self._owners.items() if owner.active]

    def create_local_owner(self, now: float, pool: str, send: Send) -> PoolOwner:
        """Create an owner that grants only this host's share of a pool, to this host.

        Parameters
        ----------
        now : float
            Time in seconds.
        pool : str
            Name of the pool.
        send : callable
            Receives the messages to this host.
        """
        settings = dataclasses.replace(
            self._deps.settings, settle_s=0.0, pause_limit_s=math.inf, is_local=True
        )
        deps = dataclasses.replace(self._deps, send=send, settings=settings)
        owner = create_owner(pool, deps, self._suspicions.get(pool) or Suspicions())
        owner.configure(now, self._upstreams.get(pool, []))
        owner.set_share(now, self._local_share(now))
        owner.set_strict_share(self._strict_share / max(1, len(tuple(self._running()))))
        owner.on_members_changed(now, [self._name], True)
        self._local[pool] = owner
        return owner
