"""Wire and run a daemon on the users' platform, whose store holds configuration and upstreams."""

from __future__ import annotations

import gc
import random
import secrets
import signal
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import FrameType

from loguru import logger

from tarragonwind.adapters.gateway_contexts import GatewayContext
from tarragonwind.adapters.gateways import Gateway
from tarragonwind.adapters.loops import Loop, create_loop
from tarragonwind.adapters.memberships import create_membership
from tarragonwind.adapters.memory_guards import create_memory_guard
from tarragonwind.adapters.peers import create_peers
from tarragonwind.adapters.signal_wakers import SignalWaker
from tarragonwind.adapters.status_pages import create_status_pages
from tarragonwind.adapters.store_backends import create_store
from tarragonwind.allotments import AllotmentRunner
from tarragonwind.combination_replicators import CombinationReplicator
from tarragonwind.configuration_watchers import ConfigurationWatcher
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.retry_budgets import RetryBudget
from tarragonwind.core.upstream_loads import LoadSettings
from tarragonwind.daemon_settings import (
    allotment_settings,
    cold_bounds,
    http_limits,
    membership_settings,
    peer_settings,
    retry_budget_settings,
    store_settings,
)
from tarragonwind.fleet_levels import FleetLevels
from tarragonwind.graceful_shutdowns import GracefulShutdown
from tarragonwind.host_leases import FleetMonitor, HostLease, pack_address
from tarragonwind.host_tunnels import HostTunnels
from tarragonwind.load_monitors import LoadMonitor
from tarragonwind.logs import configure_logs
from tarragonwind.mirror_replicators import MirrorReplicator
from tarragonwind.pause_guards import PauseGuard
from tarragonwind.platform import rollouts as platform_rollouts
from tarragonwind.platform import stores as platform_stores
from tarragonwind.platform.callers import PlatformDialect
from tarragonwind.platform.configurations import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from tarragonwind.platform.evacuations import EVACUATION_PREFIX
from tarragonwind.platform.fields import DecodeError
from tarragonwind.platform.settings import read_platform_settings
from tarragonwind.platform.upstreams import UPSTREAM_PREFIX, decode_upstream
from tarragonwind.ports import Address
from tarragonwind.quarantine_replicators import QuarantineReplicator
from tarragonwind.rollout_states import RolloutCodec
from tarragonwind.rollouts import RolloutRunner
from tarragonwind.schedulers import PermitScheduler
from tarragonwind.settings import Settings
from tarragonwind.store_mirrors import StoreMirror
from tarragonwind.telemetry import create_telemetry
from tarragonwind.telemetry_pages import MetricsPage
from tarragonwind.upstream_departures import UpstreamDepartures

__all__ = ["PlatformDaemon", "platform_stores", "run_platform_daemon"]

MAX_ACCEPT_DELAY_S = 1.5
"""Longest time that callers wait for the first configuration, in seconds. After it, connections are
accepted and requests are refused with Retry-After, before the connect timeout of the callers."""
SETTINGS_POLL_S = 5.0
"""Interval at which the settings file is checked for changes made without a SIGHUP, in seconds."""
LOG_FLUSH_S = 0.5
"""Interval at which buffered log lines are written again, in seconds."""

HOST_PREFIX = "tarragonwind/hosts/"
"""Prefix of the keys that hosts hold under their leases."""
QUARANTINE_PREFIX = "tarragonwind/quarantines/"
"""Prefix of the keys of prompt parts that are kept from upstreams."""
COMBINATION_PREFIX = "tarragonwind/combinations/"
"""Prefix of the keys of combinations of prompt parts that are kept from upstreams."""
ALL_KEYS_PREFIX = ""
"""Prefix of all keys, so that one watch covers configuration, upstreams and hosts."""
ENGINE_LOAD_SETTINGS = LoadSettings(
    prefill_speedup=400.0,
    first_byte_steps=9.0,
    batch_slowdown=0.15,
    slowness_half_life_s=120.0,
)
"""Engines prefill a prompt far faster than they generate, and batching slows them down little. The
long half-life keeps the measured speed of an engine over periods without requests."""

ROLLOUT_CODEC = RolloutCodec(
    platform_rollouts.ORDER_PREFIX,
    platform_rollouts.STATUS_PREFIX,
    platform_rollouts.decode_order,
    platform_rollouts.decode_status,
    platform_rollouts.encode_status,
)


class PlatformDaemon:
    """Run one host on the platform.

    Parameters
    ----------
    cfg : Settings
        Settings decoded from the platform's settings file.
    loop : Loop
        Event loop that runs every component.
    read_settings : callable
        Reads the settings file again.
    sock : socket.socket
        Listening socket for callers; connections may wait in its backlog.
    """

    def __init__(
        self, cfg: Settings, loop: Loop, read_settings: Callable[[], Settings], sock: socket.socket
    ) -> None:
        self._cfg = cfg
        self._loop = loop
        self._read_settings = read_settings
        self._stop_signals = 0
        self._reload_signals = 0
        self._reload_signals_handled = 0
        rng = random.Random(secrets.randbits(64))
        timers = loop.timers
        self.telemetry = create_telemetry(cfg.telemetry, cfg.host, rng, timers.now)
        self.metrics = MetricsPage(self.telemetry)
        self.memory = create_memory_guard(timers, cfg.limits.memory_bytes, self.telemetry)
        peer_cfg = peer_settings(cfg, rng)
        self.tunnels = HostTunnels(
            loop,
            cfg,
            lambda: self.membership,
            rng,
            peer_cfg.token,
            lambda: self.levels,
            self.memory,
        )
        self.client = self.tunnels.client
        self.store = create_store(store_settings(cfg), timers, self.client, self._count_store_call)
        self.peers = create_peers(loop, peer_cfg)
        self.membership = create_membership(self.peers, timers, membership_settings(cfg), rng)
        self.levels = FleetLevels(self.membership, self.peers, timers)
        self.mirror = StoreMirror(
            ALL_KEYS_PREFIX, self.store, timers, rng, cfg.upstreams.evacuate_s
        )
        self.replicator = MirrorReplicator(
            self.mirror, self.membership, self.membership, self.peers, timers
        )
        key = HOST_PREFIX + cfg.host.name
        self.lease = HostLease(
            key,
            pack_address(self.peers.address),
            self.store,
            timers,
            rng,
            self.mirror.on_store_failed,
        )
        self.fleet = FleetMonitor(
            HOST_PREFIX,
            self.mirror,
            self.membership,
            timers,
            self._on_fleet_changed,
            self.membership.add_discovered_host,
            rng,
        )
        self.rollouts = RolloutRunner(
            self.mirror,
            ROLLOUT_CODEC,
            self.store,
            self.membership,
            self.peers,
            timers,
            rng,
            self._upstreams_of,
        )
        self.scheduler = PermitScheduler(
            self.membership,
            self.peers,
            timers,
            rng,
            self.rollouts,
            ENGINE_LOAD_SETTINGS,
            self.fleet.shares,
            lambda key: self.quarantines.announce(key),
            self.tunnels,
            cold_bounds(cfg),
            lambda change: self.combinations.announce(change),
        )
        self.quarantines = QuarantineReplicator(
            QUARANTINE_PREFIX,
            self.scheduler.quarantines,
            self.mirror,
            self.store,
            self.membership,
            self.membership,
            self.peers,
            timers,
            rng,
        )
        self.combinations = CombinationReplicator(
            COMBINATION_PREFIX,
            self.scheduler.quarantines,
            self.mirror,
            self.store,
            self.membership,
            self.peers,
            timers,
        )
        self.allotments = AllotmentRunner(
            self.membership,
            self.peers,
            timers,
            allotment_settings(cfg),
            self.fleet.shares.retained_fraction,
        )
        self.configuration = ConfigurationWatcher(
            self.mirror,
            CONFIGURATION_KEY,
            UPSTREAM_PREFIX,
            EVACUATION_PREFIX,
            decode_configuration,
            partial(decode_upstream, regions=cfg.host.regions),
            timers,
        )
        self.configuration.subscribe(self._on_catalogue)
        self.pause_guard = PauseGuard(lambda: self.mirror.catch_up(key), timers)
        loop.poller.subscribe_resumed(self.pause_guard.on_resumed)
        self.departures = UpstreamDepartures(
            self.membership, self.peers, self.configuration.mark_leaving
        )
        self.gateway = self._create_gateway(rng, sock)
        self.stop = GracefulShutdown(
            self.gateway,
            self.membership,
            timers,
            cfg.stop,
            self._end,
            lambda: self.tunnels.in_use,
        )
        self.pages = create_status_pages(
            loop, cfg.status, self._is_ready, self._render_metrics, self.memory
        )
        self.membership.subscribe_resumed(self.scheduler.resume)
        self.load = LoadMonitor(
            timers,
            loop.poller,
            self.peers.traffic,
            self.scheduler,
            self.telemetry,
            lambda: self.gateway.abandoned,
        )
        self.membership.subscribe(self.tunnels.on_members_changed)

    def _create_gateway(self, rng: random.Random, sock: socket.socket) -> Gateway:
        cfg = self._cfg
        context = GatewayContext(
            self._loop,
            self.client,
            self._catalogue_in_force,
            self.scheduler,
            None,
            self.telemetry,
            cfg.upstreams,
            cfg.limits,
            cfg.host.name,
            dialect=PlatformDialect(rng),
            retries=RetryBudget(retry_budget_settings(cfg)),
            allotments=self.allotments,
            on_upstream_leaving=self.departures.announce,
            hold=self.pause_guard.held,
        )
        address = Address(cfg.callers.listen_host, cfg.callers.listen_port)
        return Gateway(address, http_limits(cfg.callers), context, sock, self.memory)

    def run(self) -> None:
        """Run the event loop until a shutdown has completed."""
        self._loop.timers.call_later(0.0, self._start)
        self._loop.run()
        self.telemetry.close()

    def _start(self) -> None:
        # Before the handlers: a signal that is counted first would wake nothing.
        SignalWaker(self._loop.poller, self._handle_signals)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_signal)
        self._loop.timers.call_every(SETTINGS_POLL_S, self._poll_settings)
        self.membership.start()
        self.mirror.start()
        self.lease.start()
        self._loop.timers.call_later(MAX_ACCEPT_DELAY_S, self.gateway.start)
        logger.info("event=started callers={} peers={}", self.gateway.address, self.peers.address)

    def _is_ready(self) -> bool:
        return not self.stop.begun and self.configuration.ready

    def _render_metrics(self) -> bytes:
        telemetry = self.telemetry
        telemetry.flush()
        telemetry.live_hosts.set(len(self.membership.live()))
        telemetry.permits.set(self.scheduler.client.held())
        self.scheduler.record_conditions(telemetry)
        self.memory.report()
        telemetry.catalogue_number.set(self.configuration.version)
        catalogue = self.configuration.catalogue
        telemetry.evacuated.set(len(catalogue.evacuated) if catalogue is not None else 0)
        for name, traffic in self.peers.traffic.items():
            telemetry.control_sent.set(traffic.sent_bytes, name)
            telemetry.control_received.set(traffic.received_bytes, name)
        return self.metrics.render()

    def _count_store_call(self, kind: str) -> None:
        self.telemetry.store_calls.add(1, kind)

    def _upstreams_of(self, pool: str) -> tuple[UpstreamEntry, ...]:
        catalogue = self.configuration.catalogue
        return () if catalogue is None else catalogue.upstreams_of(pool)

    def _catalogue_in_force(self) -> Catalogue | None:
        return self.configuration.catalogue

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        self.tunnels.on_catalogue(catalogue)
        self.scheduler.set_catalogue(catalogue)
        self.gateway.set_limits(self.configuration.limits)
        if self.configuration.ready:
            self.gateway.start()

    def _on_fleet_changed(self) -> None:
        """Update what depends on the fleet size: the share of the retry budget and the watch."""
        size = self.fleet.shares.size(self._loop.timers.now())
        self.gateway.context.retries.host_count = size
        self.mirror.set_fleet_size(size)
        self.mirror.set_live_hosts(len(self.membership.live()))

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        if number == signal.SIGHUP:
            self._reload_signals += 1
        else:
            self._stop_signals += 1

    def _handle_signals(self) -> None:
        if self._reload_signals != self._reload_signals_handled:
            self._reload_signals_handled = self._reload_signals
            self._reload()
        if self._stop_signals and not self.stop.begun:
            self.begin_stop()

    def _poll_settings(self) -> None:
        """Reload the settings when the seeds in the file have changed without a SIGHUP."""
        try:
            cfg = self._read_settings()
        except (OSError, DecodeError, ValueError):
            # The file may be half written; errors are logged on an explicit reload only.
            return
        if cfg.peers.seeds != self._cfg.peers.seeds:
            self._reload()

    def _reload(self) -> None:
        """Apply the settings that a running daemon can change: the seeds."""
        try:
            cfg = self._read_settings()
        except (OSError, DecodeError, ValueError) as exc:
            logger.error("event=reload_failed reason={!r} hint=the_settings_in_force_stay", exc)
            return
        self._cfg.peers.seeds = cfg.peers.seeds
        self.membership.set_seeds([seed.address() for seed in cfg.peers.seeds])
        logger.info("event=reloaded seeds={}", len(cfg.peers.seeds))

    def begin_stop(self) -> None:
        """Begin a graceful shutdown: report not ready, hand over pools and drain requests."""
        self.lease.stop()
        self.tunnels.begin_stop()
        self.stop.begin()

    def _end(self) -> None:
        logger.info("event=stopped in_progress={}", self.gateway.in_progress)
        self.mirror.stop()
        self.membership.stop()
        self.peers.stop()
        self.tunnels.close()
        self.client.close()
        self._loop.stop()


def run_platform_daemon(path: Path, sock: socket.socket) -> None:
    """Run a daemon from the platform's settings file until it has shut down.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    sock : socket.socket
        Listening socket for callers; connections may wait in its backlog.
    """
    cfg = read_platform_settings(path)
    sink = configure_logs(cfg.log, cfg.host.name)
    loop = create_loop()
    if sink is not None:
        loop.timers.call_every(LOG_FLUSH_S, sink.flush)
    daemon = PlatformDaemon(cfg, loop, lambda: read_platform_settings(path), sock)
    # Objects created so far live as long as the process; scanning them again would block the loop.
    gc.freeze()
    gc.enable()
    daemon.run()
