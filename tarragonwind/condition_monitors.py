"""Log and measure the condition of upstreams: cold, brittle, and the memory of engines in use."""

from __future__ import annotations

import math
from collections.abc import Iterable

from loguru import logger

from tarragonwind.core.condition_messages import CONDITION_MESSAGES
from tarragonwind.core.condition_reports import ConditionReports
from tarragonwind.core.entries import PoolEntry, UpstreamEntry
from tarragonwind.core.owner_settings import Send
from tarragonwind.core.pool_owners import PoolOwners
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.messages import Message
from tarragonwind.ports import Peers
from tarragonwind.telemetry import Telemetry

WAITS_LOG_PERIOD_S = 60.0
"""Minimum interval of log lines on waits for prefixes, in seconds."""


def create_sender(peers: Peers) -> Send:
    """Return a function that sends a message to a host.

    Hosts of earlier builds don't read `CONDITION_MESSAGES`; `Peers.send` refuses to send them such
    messages. That is no failure after which this host's state would have to be sent again.
    """

    def send(host: str, msg: Message) -> bool:
        sent = peers.send(host, msg)
        return sent or isinstance(msg, CONDITION_MESSAGES)

    return send


class ConditionMonitor:
    """Pass on the condition of upstreams, and log each change of it once.

    Parameters
    ----------
    conditions : UpstreamConditions
        What this host knows of the condition of upstreams.
    reports : ConditionReports
        Reports to the owners of pools.
    """

    def __init__(self, conditions: UpstreamConditions, reports: ConditionReports) -> None:
        self._conditions = conditions
        self._reports = reports
        self._waits = (0, 0)
        self._waits_logged_at = -math.inf

    def configure(
        self, now: float, pools: Iterable[PoolEntry], upstreams: Iterable[UpstreamEntry]
    ) -> None:
        """Apply the pools and upstreams of the catalogue."""
        for state in self._conditions.configure(now, pools, upstreams):
            self._log_cold(state.start[0], state.until - now)

    def on_response(
        self,
        now: float,
        upstream: UpstreamEntry,
        rejections_per_s: int | None,
        cold_s: float | None,
    ) -> None:
        """Record what an upstream named in a response, see `Scheduler.on_condition`."""
        pool = upstream.pool
        if rejections_per_s is not None and self._reports.report_brittle(
            now, pool, rejections_per_s
        ):
            logger.info("event=pool_brittle pool={} rejections_per_s={}", pool, rejections_per_s)
        if cold_s is not None and self._reports.report_cold(now, pool, upstream.start, cold_s):
            self._log_cold(upstream.name, cold_s)

    def record(self, now: float, owners: PoolOwners, telemetry: Telemetry) -> None:
        """Set the metrics."""
        telemetry.conditions.set(self._conditions.cold.count_cold(now), "cold")
        telemetry.conditions.set(self._conditions.brittle.count(now), "brittle")
        telemetry.returned_permits.set(self._reports.returned)
        kept_tokens, met, given_up = 0.0, 0, 0
        for pool, capacity in self._conditions.memories.capacities().items():
            owner = owners.owner(pool)
            loads = owner.loads() if owner is not None and owner.active else []
            if owner is not None:
                kept_tokens += owner.prefixes.kept_tokens
                met += owner.prefixes.waits.met
                given_up += owner.prefixes.waits.given_up
            used = max((load.strict.memory.used for load in loads), default=0)
            telemetry.engine_memory.set(used / capacity, pool)
        telemetry.prefix_tokens.set(round(kept_tokens))
        telemetry.prefix_waits.set(met, "met")
        telemetry.prefix_waits.set(given_up, "given_up")
        self._log_waits(now, met, given_up)

    def _log_waits(self, now: float, met: int, given_up: int) -> None:
        """Log the waits for prefixes, if there were any, once in `WAITS_LOG_PERIOD_S`."""
        if now - self._waits_logged_at < WAITS_LOG_PERIOD_S or (met, given_up) == self._waits:
            return
        logger.info("event=prefix_waits met={} given_up={}", met, given_up)
        self._waits_logged_at = now
        self._waits = (met, given_up)

    def _log_cold(self, upstream: str, cold_s: float) -> None:
        logger.info("event=upstream_cold upstream={} s={:.3f}", upstream, cold_s)
