"""Stop a daemon by plan: announce it, close the door, let every request end."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from tarragonwind.adapters.gateways import Gateway
from tarragonwind.adapters.memberships import Membership
from tarragonwind.ports import Timers
from tarragonwind.settings import StopSettings

POLL_S = 0.05
"""Time between two looks at whether all requests have ended, in seconds."""
PEER_FLUSH_S = 0.2
"""Time that last messages to other hosts have to go out, in seconds."""


class GracefulShutdown:
    """Carry one daemon through its planned stop.

    New requests are taken until the notice has passed, since the balancer needs time to see that
    the host isn't ready; requests in progress have the grace from then on.

    Parameters
    ----------
    gateway : Gateway
        Side of the callers.
    membership : Membership
        Tells the other hosts.
    timers : Timers
        Clock and timer subscriptions.
    cfg : StopSettings
        Notice and grace.
    on_end : callable
        Ends the daemon.

    Attributes
    ----------
    begun : bool
        Whether the stop has begun.
    """

    def __init__(
        self,
        gateway: Gateway,
        membership: Membership,
        timers: Timers,
        cfg: StopSettings,
        on_end: Callable[[], None],
    ) -> None:
        self.begun = False
        self._gateway = gateway
        self._membership = membership
        self._timers = timers
        self._cfg = cfg
        self._on_end = on_end

    def begin(self) -> None:
        """Announce the stop; a second call changes nothing."""
        if self.begun:
            return
        self.begun = True
        logger.info("event=stopping in_progress={}", self._gateway.in_progress)
        self._gateway.announce_close()
        self._membership.leave()
        self._timers.call_later(self._cfg.notice_s, self._close_door)

    def _close_door(self) -> None:
        self._gateway.stop()
        self._gateway.close_idle()
        self._wait_for_requests(self._timers.now() + self._cfg.grace_s)

    def _wait_for_requests(self, deadline: float) -> None:
        unfinished = self._gateway.in_progress or self._gateway.unsent_bytes
        if unfinished and self._timers.now() < deadline:
            self._timers.call_later(POLL_S, lambda: self._wait_for_requests(deadline))
            return
        if self._gateway.in_progress:
            logger.warning(
                "event=stop_grace_over in_progress={} hint=raise_stop.grace_s",
                self._gateway.in_progress,
            )
        self._timers.call_later(PEER_FLUSH_S, self._on_end)
