"""Log and measure how busy the event loop of a host is, and what it has no time for."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from loguru import logger

from tarragonwind.adapters.loops import DirectPoller
from tarragonwind.adapters.peer_settings import TrafficCounters
from tarragonwind.ports import Timers
from tarragonwind.schedulers import PermitScheduler
from tarragonwind.telemetry import Telemetry

PERIOD_S = 1.0
"""Interval of the checks, in seconds."""
BUSY_FRACTION = 0.7
"""Fraction of the time from which on a loop that handles events counts as busy."""
MESSAGE_COUNT = 5
"""Message classes named in a log line, the most frequent first."""


class LoadMonitor:
    """Watch the load of this host's event loop.

    Parameters
    ----------
    timers : Timers
        Clock and timers.
    poller : DirectPoller
        Poller of the loop.
    traffic : mapping of str to TrafficCounters
        Messages exchanged with other hosts by class name.
    scheduler : PermitScheduler
        Permit client and pool owners of the host.
    telemetry : Telemetry
        Holds the metrics.
    abandoned : callable
        Returns the number of requests so far whose callers had left before they were read.
    """

    def __init__(
        self,
        timers: Timers,
        poller: DirectPoller,
        traffic: Mapping[str, TrafficCounters],
        scheduler: PermitScheduler,
        telemetry: Telemetry,
        abandoned: Callable[[], int] = lambda: 0,
    ) -> None:
        self._poller = poller
        self._traffic = traffic
        self._scheduler = scheduler
        self._telemetry = telemetry
        self._timers = timers
        self._checked_at = timers.now()
        self._received: dict[str, int] = {}
        self._local_shares = 0
        self._count_abandoned = abandoned
        self._abandoned = 0
        timers.call_every(PERIOD_S, self.check)

    def check(self) -> None:
        """Measure the time since the last check, and log it if the loop was busy."""
        now = self._timers.now()
        elapsed_s = max(PERIOD_S, now - self._checked_at)
        self._checked_at = now
        busy = self._poller.take_busy()
        self._telemetry.loop_busy.set(busy.total_s / elapsed_s)
        self._telemetry.loop_longest_round.set(busy.longest_s)
        messages = self._take_messages()
        self._log_local_shares()
        self._log_abandoned()
        if busy.total_s >= BUSY_FRACTION * elapsed_s:
            pools = self._scheduler.owners.active_pools()
            waiting = sum(self._scheduler.waiting_by_tier())
            logger.warning(
                "event=loop_busy busy_s={:.2f} of_s={:.2f} longest_round_s={:.3f} pools={} "
                "waiting={} received={}",
                busy.total_s,
                elapsed_s,
                busy.longest_s,
                ",".join(pools) or "-",
                waiting,
                ",".join(f"{name}:{count}" for name, count in messages) or "-",
            )

    def _take_messages(self) -> list[tuple[str, int]]:
        """Return the most frequent classes of the messages received since the last call."""
        counts = {name: counters.received_messages for name, counters in self._traffic.items()}
        since = [(name, count - self._received.get(name, 0)) for name, count in counts.items()]
        self._received = counts
        since.sort(key=lambda item: -item[1])
        return [item for item in since[:MESSAGE_COUNT] if item[1]]

    def _log_abandoned(self) -> None:
        count = self._count_abandoned()
        if count != self._abandoned:
            logger.info("event=requests_abandoned count={}", count - self._abandoned)
            self._abandoned = count

    def _log_local_shares(self) -> None:
        begun = self._scheduler.client.local_shares_begun
        if begun == self._local_shares:
            return
        logger.info(
            "event=local_share_begun times={} in_use={}",
            begun - self._local_shares,
            self._scheduler.client.uses_local_shares(),
        )
        self._telemetry.local_shares.set(begun)
        self._local_shares = begun
