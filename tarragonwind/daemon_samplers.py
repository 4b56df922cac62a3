"""Copy what the daemon's parts count into the gauges and counters of its telemetry."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from tarragonwind.operator_services import DaemonReport, MoveOutcome, MoveReport
from tarragonwind.ports import Timer, Timers
from tarragonwind.telemetry import Telemetry

SAMPLE_PERIOD_S = 5.0


class TrafficCount(Protocol):
    """Name what the transport counts for each message."""

    sent_bytes: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class SampledParts:
    """Hold where the values come from.

    Attributes
    ----------
    report : callable
        Returns how the daemon stands.
    moves : callable
        Returns how the moves stand.
    traffic : callable
        Returns the transport's counts by message.
    """

    report: Callable[[], DaemonReport]
    moves: Callable[[], Iterable[MoveReport]]
    traffic: Callable[[], Mapping[str, TrafficCount]]


class DaemonSampler:
    """Sample on a period; the exporter reads what was sampled last.

    Parameters
    ----------
    telemetry : Telemetry
        Instruments of the daemon.
    timers : Timers
        Timer subscriptions.
    parts : SampledParts
        Where the values come from.
    """

    __slots__ = ("_parts", "_telemetry", "_timer")

    def __init__(self, telemetry: Telemetry, timers: Timers, parts: SampledParts) -> None:
        self._telemetry = telemetry
        self._parts = parts
        self._timer: Timer = timers.call_every(SAMPLE_PERIOD_S, self.sample)

    def sample(self) -> None:
        """Take all values once."""
        self._telemetry.wait.flush()
        report = self._parts.report()
        self._telemetry.catalogue_number.set(report.number)
        self._telemetry.live_hosts.set(report.live_hosts)
        self._telemetry.permits.set(report.in_progress)
        states = Counter(move.outcome for move in self._parts.moves())
        for outcome in MoveOutcome:
            self._telemetry.moves.set(states[outcome], outcome.value)
        for name, count in list(self._parts.traffic().items()):
            self._telemetry.control_sent.set(count.sent_bytes, name)
            self._telemetry.control_received.set(count.received_bytes, name)

    def stop(self) -> None:
        """Take no more samples."""
        self._timer.cancel()
