"""Simulate one host: the control parts of the platform's daemon, and the rounds of its event loop.

A host handles what has arrived in rounds, and a round takes the longer the more there is and the
smaller the host's share of a core.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.simulated_peers import SimulatedPeers
from bench.simulated_stores import HostStore
from bench.simulated_timers import HostTimers
from tarragonwind.adapters.loops import PAUSE_S
from tarragonwind.adapters.memberships import Membership, MembershipSettings
from tarragonwind.allotments import AllotmentRunner
from tarragonwind.combination_replicators import CombinationReplicator
from tarragonwind.configuration_watchers import ConfigurationWatcher
from tarragonwind.core.allotments import AllotmentSettings
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.fleet_levels import FleetLevels
from tarragonwind.host_leases import FleetMonitor, HostLease, pack_address
from tarragonwind.mirror_replicators import MirrorReplicator
from tarragonwind.pause_guards import PauseGuard
from tarragonwind.platform_daemons import (
    ALL_KEYS_PREFIX,
    COMBINATION_PREFIX,
    ENGINE_LOAD_SETTINGS,
    HOST_PREFIX,
    QUARANTINE_PREFIX,
    ROLLOUT_CODEC,
)
from tarragonwind.quarantine_replicators import QuarantineReplicator
from tarragonwind.rollouts import RolloutRunner
from tarragonwind.schedulers import PermitScheduler
from tarragonwind.store_mirrors import StoreMirror

if TYPE_CHECKING:
    from bench.simulated_fleets import SimulatedFleet

CONFIGURATION_KEY = "configuration"
UPSTREAM_PREFIX = "upstreams/"
EVACUATION_PREFIX = "evacuations/"
ALLOTMENTS = AllotmentSettings(window_s=8.0, overage=0.1, slack_tokens=190_000.0)


@dataclass(frozen=True, slots=True)
class WorkCosts:
    """Set the processor time of a host's work, in seconds on a whole core.

    Attributes
    ----------
    start_s : float
        Imports and construction of the parts.
    message_s, timer_s : float
        One message of another host; one call of a timer, or answer of the store.
    record_s : float
        One record in a message or an answer.
    request_s : float
        One request, from the connection of its caller to the permit request.
    finish_s : float
        The end of a request whose answer was passed on.
    """

    start_s: float = 0.35
    message_s: float = 150e-6
    timer_s: float = 40e-6
    record_s: float = 15e-6
    request_s: float = 1.2e-3
    finish_s: float = 1.6e-3


class SimulatedHost:
    """Run the control parts of one host.

    Parameters
    ----------
    fleet : SimulatedFleet
        The fleet.
    name : str
        Name of the host.
    size : int
        Size of the host in hundredths of a core.

    Attributes
    ----------
    worked_s : float
        Time that has passed on the host in the round in progress, in seconds.
    alive, listens : bool
        Whether its process runs, and whether it has been built.
    pauses : int
        Rounds that counted as pauses.
    """

    def __init__(self, fleet: SimulatedFleet, name: str, size: int) -> None:
        self.fleet = fleet
        self.name = name
        self.size = size
        self.costs = fleet.costs
        self.share = size / 100.0 if fleet.share is None else fleet.share
        self.start_id = fleet.rng.getrandbits(40) + 1
        self.alive = True
        self.listens = False
        self.worked_s = 0.0
        self.pauses = 0
        self._waiting: list[tuple[str, float, Callable[[], object]]] = []
        self._round_is_due = False
        self._free_at = 0.0
        self._last_round_s = 0.0
        start_s = self.costs.start_s / self.share if fleet.has_processors else 0.0
        fleet.clock.call_later(start_s, self._build)

    # The loop

    def work(self, label: str, cost_s: float, function: Callable[[], object]) -> None:
        """Do something in the next round of the loop, at a cost of processor time."""
        if not self.fleet.has_processors:
            if self.alive:
                self.fleet.meter.run(label, function)
            return
        self._waiting.append((label, cost_s, function))
        self._begin_round_soon()

    def _begin_round_soon(self) -> None:
        if not self._round_is_due:
            self._round_is_due = True
            wait_s = max(0.0, self._free_at - self.fleet.clock.now())
            self.fleet.clock.call_later(wait_s, self._play_round)

    def _play_round(self) -> None:
        self._round_is_due = False
        if not self.alive:
            return
        if self._last_round_s >= PAUSE_S:
            self.pauses += 1
            self.pause_guard.on_resumed(self._last_round_s)
        batch, self._waiting = self._waiting, []
        for label, cost_s, function in batch:
            self.worked_s += cost_s / self.share
            self.fleet.meter.run(label, function)
        self._last_round_s = self.worked_s
        self._free_at = self.fleet.clock.now() + self.worked_s
        self.worked_s = 0.0
        if self._waiting:
            self._begin_round_soon()

    # The parts

    def _build(self) -> None:
        if not self.alive:
            return
        fleet = self.fleet
        rng = random.Random(fleet.rng.getrandbits(64))
        self.timers = timers = HostTimers(self)
        self.peers = SimulatedPeers(self)
        self.store = HostStore(fleet.store, timers)
        seeds = [fleet.addresses[name] for name in fleet.seeds if name != self.name]
        self.members = Membership(self.peers, timers, MembershipSettings(seeds, self.size), rng)
        self.levels = FleetLevels(self.members, self.peers, timers)
        self.mirror = StoreMirror(ALL_KEYS_PREFIX, self.store, timers, rng)
        self.replicator = MirrorReplicator(
            self.mirror, self.members, self.members, self.peers, timers
        )
        key = HOST_PREFIX + self.name
        value = pack_address(self.peers.address)
        self.lease = HostLease(key, value, self.store, timers, rng, self.mirror.on_store_failed)
        self.monitor = FleetMonitor(
            HOST_PREFIX,
            self.mirror,
            self.members,
            timers,
            self._on_fleet_changed,
            self.members.add_discovered_host,
            rng,
        )
        self.rollouts = RolloutRunner(
            self.mirror,
            ROLLOUT_CODEC,
            self.store,
            self.members,
            self.peers,
            timers,
            rng,
            self._upstreams_of,
        )
        self.scheduler = PermitScheduler(
            self.members,
            self.peers,
            timers,
            rng,
            self.rollouts,
            ENGINE_LOAD_SETTINGS,
            self.monitor.shares,
        )
        self.quarantines = QuarantineReplicator(
            QUARANTINE_PREFIX,
            self.scheduler.quarantines,
            self.mirror,
            self.store,
            self.members,
            self.members,
            self.peers,
            timers,
            rng,
        )
        self.combinations = CombinationReplicator(
            COMBINATION_PREFIX,
            self.scheduler.quarantines,
            self.mirror,
            self.store,
            self.members,
            self.peers,
            timers,
        )
        self.allotments = AllotmentRunner(
            self.members,
            self.peers,
            timers,
            ALLOTMENTS,
            self.monitor.shares.retained_fraction,
        )
        self.configuration = ConfigurationWatcher(
            self.mirror,
            CONFIGURATION_KEY,
            UPSTREAM_PREFIX,
            EVACUATION_PREFIX,
            lambda value: fleet.configuration,
            lambda key, value: fleet.upstreams[key.removeprefix(UPSTREAM_PREFIX)],
            timers,
        )
        self.configuration.subscribe(self.scheduler.set_catalogue)
        self.pause_guard = PauseGuard(lambda: self.mirror.catch_up(key), timers)
        self.members.subscribe_resumed(self.scheduler.resume)
        self.listens = True
        self.work("start", 0.0, self._start)

    def _start(self) -> None:
        self.members.start()
        self.mirror.start()
        self.lease.start()

    def _upstreams_of(self, pool: str) -> tuple[UpstreamEntry, ...]:
        catalogue = self.configuration.catalogue
        return () if catalogue is None else catalogue.upstreams_of(pool)

    def _on_fleet_changed(self) -> None:
        self.mirror.set_fleet_size(self.monitor.shares.size(self.timers.now()))
        self.mirror.set_live_hosts(len(self.members.live()))

    @property
    def ready(self) -> bool:
        """Return whether the host can serve requests."""
        return self.listens and self.alive and self.configuration.ready
