"""Connect to upstreams directly, or through another host while the direct path is lost."""

from __future__ import annotations

import random
from collections.abc import Callable

from loguru import logger

from tarragonwind.adapters.connections import Connection
from tarragonwind.adapters.connects import (
    ConnectAttempt,
    Connector,
    DirectConnect,
    OnFailed,
    OnOpen,
)
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.tunnel_openings import TunnelOpening
from tarragonwind.adapters.tunnels import TunnelConnect
from tarragonwind.core.upstream_paths import UpstreamPaths
from tarragonwind.ports import Address, Timer
from tarragonwind.records import dataclass

TUNNEL_DELAY_S = 0.2
"""Time after which a direct connect is overdue and a tunnel is tried beside it, in seconds."""
MAX_TUNNEL_HOSTS = 3
"""Hosts through which one connect is tried."""
HOST_RETRY_S = 2.0
"""Time for which a host that could not reach an upstream is asked last, in seconds."""
PROBE_PERIOD_S = 1.0
"""Interval of the direct connects to upstreams whose path is avoided, in seconds."""
PROBE_TIMEOUT_S = 0.8
MAX_PROBES = 8
"""Direct connects in one such interval."""


@dataclass(frozen=True, slots=True)
class TunnelHost:
    """Name a host and the address at which it accepts tunnels."""

    name: str
    address: Address


class PathConnect(ConnectAttempt):
    """Connect to one upstream, directly and through other hosts.

    The first connection wins. A tunnel is tried at once where the path is suspect, or the direct
    connect was refused, and after `TUNNEL_DELAY_S` otherwise.
    """

    __slots__ = (
        "_address",
        "_connector",
        "_direct",
        "_hosts",
        "_on_failed",
        "_on_open",
        "_reason",
        "_timer",
        "_tried_direct",
        "_tunnel",
    )

    def __init__(
        self, connector: PathConnector, address: Address, on_open: OnOpen, on_failed: OnFailed
    ) -> None:
        self._connector = connector
        self._address = address
        self._on_open = on_open
        self._on_failed = on_failed
        self._reason = ""
        self._tried_direct = False
        self._direct: ConnectAttempt | None = None
        self._tunnel: ConnectAttempt | None = None
        self._timer: Timer | None = None
        self._hosts = connector.choose_hosts(address)

    def start(self) -> None:
        """Begin to connect."""
        if self._hosts and self._connector.paths.is_suspect(self._address):
            self._try_tunnel()
            return
        self._try_direct()
        if self._direct is not None and self._hosts:
            timers = self._connector.loop.timers
            self._timer = timers.call_later(TUNNEL_DELAY_S, self._on_overdue)

    def cancel(self) -> None:
        """Give all attempts up."""
        if self._timer is not None:
            self._timer.cancel()
        for attempt in (self._direct, self._tunnel):
            if attempt is not None:
                attempt.cancel()
        self._direct = self._tunnel = None

    def _try_direct(self) -> None:
        self._tried_direct = True
        attempt = DirectConnect(
            self._connector.loop,
            self._address,
            self._connector.timeout_s,
            self._on_direct,
            self._on_direct_failed,
        )
        self._direct = attempt
        attempt.start()

    def _on_overdue(self) -> None:
        self._timer = None
        self._try_tunnel()

    def _try_tunnel(self) -> None:
        host = self._hosts.pop(0)

        def on_open(conn: Connection) -> None:
            self._tunnel = None
            self.cancel()
            self._connector.on_tunnelled(self._address, host.name, self._tried_direct)
            self._on_open(conn)

        def on_failed(reason: str) -> None:
            self._tunnel = None
            self._connector.on_tunnel_failed(host.name)
            self._on_tunnel_failed()

        attempt = TunnelConnect(
            self._connector.loop,
            host.address,
            self._connector.create_opening(host.name, self._address),
            on_open,
            on_failed,
        )
        self._tunnel = attempt
        attempt.start()

    def _on_direct(self, conn: Connection) -> None:
        self._direct = None
        self.cancel()
        self._connector.on_direct(self._address)
        self._on_open(conn)

    def _on_direct_failed(self, reason: str) -> None:
        self._direct = None
        self._reason = reason
        if self._tunnel is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._hosts:
            self._try_tunnel()
        else:
            self._on_failed(reason)

    def _on_tunnel_failed(self) -> None:
        if self._hosts:
            self._try_tunnel()
        elif self._direct is not None:
            return
        elif not self._reason:
            # No direct connect was tried, since the path was suspect.
            self._try_direct()
        else:
            self._on_failed(self._reason)


class PathConnector(Connector):
    """Connect to upstreams through other hosts where this host's own path is lost.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    timeout_s : float
        Timeout of a direct connect, in seconds.
    is_upstream : callable
        Returns whether an address is that of an upstream; others are connected to directly.
    hosts : callable
        Returns the other hosts that may be asked for a tunnel to an address, those of this data
        centre first.
    rng : random.Random
        Random number generator.

    Attributes
    ----------
    paths : UpstreamPaths
        State of the direct paths.
    on_path_changed : callable
        Called with the address of an upstream whose path was lost or is back.
    hosts_in_use : set of str
        Hosts whose paths were used since `hosts_in_use` was cleared.
    keep : callable
        Receives connections that are open and not needed yet.
    create_opening : callable
        Returns the opening of a tunnel through a named host to an upstream.
    """

    def __init__(
        self,
        loop: Loop,
        timeout_s: float,
        is_upstream: Callable[[Address], bool],
        hosts: Callable[[Address], list[TunnelHost]],
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.timeout_s = timeout_s
        self.paths = UpstreamPaths()
        self.on_path_changed: Callable[[Address], None] = _do_nothing
        self.keep: Callable[[Address, Connection], None] = _close
        self.create_opening: Callable[[str, Address], TunnelOpening] = _create_unproven
        self._is_upstream = is_upstream
        self._other_hosts = hosts
        self._rng = rng
        self.hosts_in_use: set[str] = set()
        self._preferred = ""
        self._failed_at: dict[str, float] = {}
        self._checks: dict[Address, list[Callable[[bool], object]]] = {}
        loop.timers.call_every(PROBE_PERIOD_S, self._probe_lost)

    def connect(self, address: Address, on_open: OnOpen, on_failed: OnFailed) -> ConnectAttempt:
        """Begin to connect."""
        attempt: DirectConnect | PathConnect
        if self._is_upstream(address):
            attempt = PathConnect(self, address, on_open, on_failed)
        else:
            attempt = DirectConnect(self.loop, address, self.timeout_s, on_open, on_failed)
        attempt.start()
        return attempt

    def check(self, address: Address, on_checked: Callable[[bool], object]) -> None:
        """Find out whether the path to an upstream is lost, with a connect if that is not known."""
        if self.paths.is_suspect(address):
            on_checked(True)
            return
        waiting = self._checks.setdefault(address, [])
        waiting.append(on_checked)
        if len(waiting) > 1:
            return

        def on_open(conn: Connection) -> None:
            self.keep(address, conn)
            self._end_check(address)

        self.connect(address, on_open, lambda reason: self._end_check(address))

    def _end_check(self, address: Address) -> None:
        for on_checked in self._checks.pop(address, []):
            on_checked(self.paths.is_suspect(address))

    def choose_hosts(self, address: Address) -> list[TunnelHost]:
        """Return the hosts to ask for a tunnel, the last one that gave one first."""
        now = self.loop.timers.now()
        hosts = self._other_hosts(address)
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if now - at < HOST_RETRY_S
        }
        hosts.sort(key=lambda host: (host.name != self._preferred, host.name in self._failed_at))
        return hosts[:MAX_TUNNEL_HOSTS]

    def on_direct(self, address: Address) -> None:
        """Record a direct connection."""
        if self.paths.on_direct(address):
            logger.info("event=upstream_path_back upstream={}", address)
            self.on_path_changed(address)

    def on_tunnelled(self, address: Address, host: str, tried_direct: bool) -> None:
        """Record a connection through another host."""
        self._preferred = host
        self.hosts_in_use.add(host)
        if self.paths.on_tunnelled(address, tried_direct):
            logger.warning("event=upstream_path_lost upstream={} through={}", address, host)
            self.on_path_changed(address)

    def on_tunnel_failed(self, host: str) -> None:
        """Record that a host could not reach an upstream either."""
        self._failed_at[host] = self.loop.timers.now()
        if host == self._preferred:
            self._preferred = ""

    def _probe_lost(self) -> None:
        """Try the paths that are avoided; a connection is kept for the next request."""
        avoided = self.paths.avoided()
        self._rng.shuffle(avoided)
        for address in avoided[:MAX_PROBES]:
            self._probe(address)

    def _probe(self, address: Address) -> None:
        def on_open(conn: Connection) -> None:
            self.on_direct(address)
            self.keep(address, conn)

        def on_failed(reason: str) -> None:
            if address in self.paths.avoided():
                self.paths.on_direct_failed(address)

        DirectConnect(self.loop, address, PROBE_TIMEOUT_S, on_open, on_failed).start()


def _do_nothing(address: Address) -> None:
    pass


def _create_unproven(through: str, upstream: Address) -> TunnelOpening:
    return TunnelOpening(upstream)


def _close(address: Address, conn: Connection) -> None:
    conn.close()
