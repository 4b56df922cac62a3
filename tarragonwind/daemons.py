"""Wire the components of a daemon together, run it and shut it down."""

from __future__ import annotations

import gc
import random
import secrets
import signal
from types import FrameType

from loguru import logger

from tarragonwind.adapters.gateway_contexts import GatewayContext
from tarragonwind.adapters.gateways import Gateway
from tarragonwind.adapters.host_lists import HostListReader, create_host_list_reader
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import Loop, create_loop
from tarragonwind.adapters.memberships import create_membership
from tarragonwind.adapters.memory_guards import create_memory_guard
from tarragonwind.adapters.operators import OperatorServer, create_operator_server
from tarragonwind.adapters.peers import TrafficCounters, create_peers
from tarragonwind.adapters.signal_wakers import SignalWaker
from tarragonwind.adapters.status_pages import create_status_pages
from tarragonwind.adapters.stores import create_store
from tarragonwind.allotments import AllotmentRunner
from tarragonwind.catalogue_services import create_catalogue_service
from tarragonwind.claims import create_claims
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.retry_budgets import RetryBudget
from tarragonwind.daemon_operators import DaemonOperatorService
from tarragonwind.daemon_settings import (
    allotment_settings,
    cold_bounds,
    http_limits,
    membership_settings,
    peer_settings,
    retry_budget_settings,
    store_settings,
)
from tarragonwind.graceful_shutdowns import GracefulShutdown
from tarragonwind.load_monitors import LoadMonitor
from tarragonwind.logs import configure_logs
from tarragonwind.move_runners import MoveRunner
from tarragonwind.pause_guards import PauseGuard
from tarragonwind.pool_orders import PoolOrderRunners
from tarragonwind.ports import Address
from tarragonwind.schedulers import PermitScheduler
from tarragonwind.settings import Settings
from tarragonwind.telemetry import create_telemetry
from tarragonwind.telemetry_pages import MetricsPage
from tarragonwind.upstream_connections import UpstreamConnections
from tarragonwind.upstream_reports import UpstreamReports

LOG_FLUSH_S = 0.5
"""Interval at which buffered log lines are written again, in seconds."""


class Daemon:
    """Run the gateway, the scheduler and the cluster services of one host.

    Parameters
    ----------
    cfg : Settings
        Validated settings with defaults filled in.
    loop : Loop
        Event loop that runs every component.
    """

    def __init__(self, cfg: Settings, loop: Loop) -> None:
        self.data_centre = cfg.host.data_centre
        self.store_calls = 0
        self._cfg = cfg
        self._loop = loop
        self._signals = 0
        self._signals_handled = 0
        rng = random.Random(secrets.randbits(64))
        incarnation = int(loop.timers.wall() * 1000)
        self.telemetry = create_telemetry(cfg.telemetry, cfg.host, rng, loop.timers.now)
        self.metrics = MetricsPage(self.telemetry)
        self.memory = create_memory_guard(loop.timers, cfg.limits.memory_bytes, self.telemetry)
        self.client = HttpClient(
            loop, cfg.upstreams.connect_timeout_s, cfg.upstreams.kept_connections
        )
        self.connections = UpstreamConnections(self.client)
        self.store = create_store(
            store_settings(cfg), loop.timers, self.client, self._count_store_call
        )
        self.peers = create_peers(loop, peer_settings(cfg, rng))
        members = membership_settings(cfg)
        self.membership = create_membership(self.peers, loop.timers, members, rng)
        root = cfg.store.prefix.rstrip("/")
        self.catalogue = create_catalogue_service(
            self.store, self.membership, self.peers, loop.timers, rng, root
        )
        self.moves = MoveRunner(
            self.membership, self.peers, loop.timers, rng, self.catalogue.writer, incarnation
        )
        self.scheduler = PermitScheduler(
            self.membership,
            self.peers,
            loop.timers,
            rng,
            self.moves,
            cold_bounds=cold_bounds(cfg),
        )
        self.claims = create_claims(self.store, self.membership, self.peers, loop.timers, rng, root)
        self.allotments = AllotmentRunner(
            self.membership, self.peers, loop.timers, allotment_settings(cfg)
        )
        self.pause_guard = PauseGuard(self.catalogue.watcher.catch_up, loop.timers)
        loop.poller.subscribe_resumed(self.pause_guard.on_resumed)
        self.gateway = self._create_gateway(f"{cfg.host.name}-{incarnation:x}")
        self.stop = GracefulShutdown(
            self.gateway, self.membership, loop.timers, cfg.stop, self._end
        )
        self.pages = create_status_pages(
            loop, cfg.status, self._is_ready, self._render_metrics, self.memory
        )
        self.reports = UpstreamReports(self.client, loop.timers, self.scheduler.owners)
        self.orders = self._create_orders()
        self.host_list = self._create_host_list(rng)
        self.operators = self._create_operators()
        self.catalogue.state.subscribe(self._on_catalogue)
        self.membership.subscribe_resumed(self.scheduler.resume)
        self.load = LoadMonitor(
            loop.timers, loop.poller, self.peers.traffic, self.scheduler, self.telemetry
        )

    def _create_gateway(self, id_prefix: str) -> Gateway:
        cfg = self._cfg
        context = GatewayContext(
            self._loop,
            self.client,
            self._catalogue_in_force,
            self.scheduler,
            self.claims,
            self.telemetry,
            cfg.upstreams,
            cfg.limits,
            id_prefix,
            retries=RetryBudget(retry_budget_settings(cfg)),
            allotments=self.allotments,
            hold=self.pause_guard.held,
        )
        address = Address(cfg.callers.listen_host, cfg.callers.listen_port)
        return Gateway(address, http_limits(cfg.callers), context, memory=self.memory)

    def _create_orders(self) -> PoolOrderRunners | None:
        address = self._cfg.weights.address()
        if address is None:
            return None
        return PoolOrderRunners(
            self.membership,
            self.scheduler.owners,
            self.store,
            self.client,
            self._loop.timers,
            address,
            self._cfg.weights.loads_per_second,
        )

    def _create_host_list(self, rng: random.Random) -> HostListReader | None:
        address = self._cfg.host_list.address()
        if address is None:
            return None
        return create_host_list_reader(
            self.client,
            self._loop.timers,
            address,
            self._cfg.host_list.poll_period_s,
            rng,
            self.membership.set_listed,
        )

    def _create_operators(self) -> OperatorServer:
        service = DaemonOperatorService(
            self,
            self.catalogue,
            self.membership,
            self.moves,
            self.scheduler,
            self._loop.timers,
        )
        return create_operator_server(self._loop, self._cfg.operators, service, memory=self.memory)

    @property
    def in_progress(self) -> int:
        """Return the number of requests that have not ended."""
        return self.gateway.in_progress

    def sheds_by_tier(self) -> list[int]:
        """Return the number of requests shed since the start, indexed by tier."""
        return list(self.gateway.context.sheds)

    def traffic(self) -> list[TrafficCounters]:
        """Return the traffic counters of the messages between hosts, one for each message class."""
        return list(self.peers.traffic.values())

    def store_away_s(self) -> float:
        """Return the seconds since the store last responded, or 0 while it is reachable."""
        return self.catalogue.watcher.store_away_s()

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
        self._loop.timers.call_every(self._cfg.telemetry.export_period_s / 2, self._update_gauges)
        self.membership.start()
        if self.host_list is not None:
            self.host_list.start()
        self.catalogue.watcher.start()
        logger.info(
            "event=started callers={} operators={} peers={}",
            self.gateway.address,
            self.operators.port,
            self.peers.address,
        )

    def _count_store_call(self, kind: str) -> None:
        self.store_calls += 1
        self.telemetry.store_calls.add(1, kind)

    def _is_ready(self) -> bool:
        return not self.stopping and self._catalogue_in_force() is not None

    def _render_metrics(self) -> bytes:
        self._update_gauges()
        return self.metrics.render()

    def _update_gauges(self) -> None:
        telemetry = self.telemetry
        telemetry.flush()
        self.gateway.context.retries.host_count = len(self.membership.live())
        telemetry.catalogue_number.set(self.catalogue.state.number)
        telemetry.live_hosts.set(len(self.membership.live()))
        telemetry.permits.set(self.scheduler.client.held())
        self.memory.report()
        for name, traffic in self.peers.traffic.items():
            telemetry.control_sent.set(traffic.sent_bytes, name)
            telemetry.control_received.set(traffic.received_bytes, name)
        for state, count in self.moves.count_by_state().items():
            telemetry.moves.set(count, state)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self._signals += 1

    def _handle_signals(self) -> None:
        if self._signals == self._signals_handled:
            return
        self._signals_handled = self._signals
        if self.stopping:
            logger.warning("event=stopped_early in_progress={}", self.in_progress)
            self._end()
            return
        self.begin_stop()

    def begin_stop(self) -> None:
        """Begin a graceful shutdown: report not ready, hand over pools and drain requests."""
        self.stop.begin()

    @property
    def stopping(self) -> bool:
        """Return whether a graceful shutdown has begun."""
        return self.stop.begun

    def _end(self) -> None:
        if self.host_list is not None:
            self.host_list.stop()
        self.catalogue.watcher.stop()
        self.membership.stop()
        self.peers.stop()
        self.operators.close()
        self.client.close()
        logger.info("event=stopped")
        self._loop.stop()

    def _catalogue_in_force(self) -> Catalogue | None:
        in_force = self.catalogue.state.in_force
        return in_force if in_force.number else None

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        self.connections.on_catalogue(catalogue)
        self.moves.set_catalogue(catalogue)
        self.scheduler.set_catalogue(catalogue)
        self.reports.set_catalogue(catalogue)
        if self.orders is not None:
            self.orders.set_catalogue(catalogue)


def run_daemon(cfg: Settings) -> None:
    """Build a daemon from validated settings and run it until it has shut down."""
    sink = configure_logs(cfg.log, cfg.host.name)
    loop = create_loop()
    if sink is not None:
        loop.timers.call_every(LOG_FLUSH_S, sink.flush)
    daemon = Daemon(cfg, loop)
    # Objects created so far live as long as the process; scanning them again would block the loop.
    gc.freeze()
    daemon.run()
