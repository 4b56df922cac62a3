"""Shut a daemon down gracefully: announce it, stop accepting requests and drain the rest."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from tarragonwind.adapters.gateways import Gateway
from tarragonwind.adapters.memberships import Membership
from tarragonwind.ports import Timers
from tarragonwind.settings import StopSettings

POLL_S = 0.05
"""Interval at which the end of all requests is checked, in seconds."""
PEER_FLUSH_S = 0.2
"""Time allowed for sending the last messages to other hosts, in seconds."""


class GracefulShutdown:
    """Drain one daemon and end it.

    New requests are accepted during the notice period, since the balancer needs time to see that
    the host is not ready. The grace period for requests in progress starts after it. Those that
    have not ended by then are answered: as not run if nothing was sent, else with an unknown
    outcome.

    Parameters
    ----------
    gateway : Gateway
        Gateway that accepts the callers' requests.
    membership : Membership
        Cluster membership, which announces the leave to the other hosts.
    timers : Timers
        Clock and timers.
    cfg : StopSettings
        Notice and grace periods.
    on_end : callable
        Called at the end to stop the remaining components.
    tunnels_in_use : callable
        Returns the number of connections that this host passes on for others.

    Attributes
    ----------
    begun : bool
        Whether the shutdown has begun.
    """

    def __init__(
        self,
        gateway: Gateway,
        membership: Membership,
        timers: Timers,
        cfg: StopSettings,
        on_end: Callable[[], None],
        tunnels_in_use: Callable[[], int] = lambda: 0,
    ) -> None:
        self.begun = False
        self._gateway = gateway
        self._membership = membership
        self._timers = timers
        self._cfg = cfg
        self._on_end = on_end
        self._tunnels_in_use = tunnels_in_use

    def begin(self) -> None:
        """Announce the shutdown and start the notice period; further calls have no effect."""
        if self.begun:
            return
        self.begun = True
        logger.info("event=stopping in_progress={}", self._gateway.in_progress)
        self._gateway.announce_close()
        self._membership.leave()
        self._timers.call_later(self._cfg.notice_s, self._stop_accepting)

    def _stop_accepting(self) -> None:
        deadline = self._timers.now() + self._cfg.grace_s
        self._gateway.stop()
        self._gateway.set_end(deadline)
        self._wait_for_requests(deadline)

    def _wait_for_requests(self, deadline: float) -> None:
        unread = self._gateway.close_idle()
        unfinished = unread or self._gateway.in_progress or self._gateway.unsent_bytes
        unfinished = unfinished or self._tunnels_in_use()
        if unfinished and self._timers.now() < deadline:
            self._timers.call_later(POLL_S, lambda: self._wait_for_requests(deadline))
            return
        if self._gateway.in_progress:
            logger.warning(
                "event=stop_grace_over in_progress={} hint=raise_stop.grace_s",
                self._gateway.in_progress,
            )
            self._gateway.end_requests()
        self._timers.call_later(PEER_FLUSH_S, self._on_end)
