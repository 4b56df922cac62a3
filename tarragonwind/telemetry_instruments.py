"""Keep metric values in plain dictionaries on the event loop; the SDK's reader observes them."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from opentelemetry.metrics import CallbackOptions, Histogram, Meter, Observation

DURATION_BOUNDS_S = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]
"""Bucket boundaries of the duration histograms, in seconds."""

RECORDS_PER_FLUSH = 32
"""Durations buffered before they are passed to the SDK's histogram."""


class MetricSeries:
    """Record the values of one counter or gauge by its label values.

    Parameters
    ----------
    label_names : tuple of str
        Names of the labels, in the order in which `add` takes their values.
    """

    __slots__ = ("_label_names", "_sums")

    def __init__(self, label_names: tuple[str, ...]) -> None:
        self._label_names = label_names
        self._sums: dict[tuple[str | int, ...], float] = {}

    def add(self, amount: float, *labels: str | int) -> None:
        """Add an amount to the value of one label combination."""
        self._sums[labels] = self._sums.get(labels, 0) + amount

    def set(self, value: float, *labels: str | int) -> None:
        """Set the value of one label combination, for gauges."""
        self._sums[labels] = value

    def value(self, *labels: str | int) -> float:
        """Return the value of one label combination, 0 if it was never set."""
        return self._sums.get(labels, 0)

    def total(self) -> float:
        """Return the sum over all label combinations."""
        return sum(list(self._sums.values()))

    def observe(self, _options: CallbackOptions) -> Iterable[Observation]:
        """Yield the current values; called in the thread of the SDK's reader."""
        # The event loop may add a key during the iteration, so iterate over a copy.
        for labels, value in list(self._sums.items()):
            yield Observation(value, dict(zip(self._label_names, labels, strict=True)))


class TierHistogram:
    """Record durations by tier, passed to the SDK in batches.

    Parameters
    ----------
    histogram : opentelemetry.metrics.Histogram
        Histogram of the SDK.
    tier_count : int
        Number of tiers.
    """

    __slots__ = ("_attributes", "_buffer", "_histogram")

    def __init__(self, histogram: Histogram, tier_count: int) -> None:
        self._histogram = histogram
        self._attributes = [{"tier": tier} for tier in range(tier_count)]
        self._buffer: list[tuple[float, int]] = []

    def record(self, duration_s: float, tier: int) -> None:
        """Buffer one duration, in seconds, and flush when the batch is full."""
        self._buffer.append((duration_s, tier))
        if len(self._buffer) >= RECORDS_PER_FLUSH:
            self.flush()

    def flush(self) -> None:
        """Pass the buffered durations to the SDK."""
        buffered = self._buffer
        self._buffer = []
        for duration_s, tier in buffered:
            self._histogram.record(duration_s, self._attributes[tier])


class InstrumentKind(enum.Enum):
    """Distinguish monotonic counters from gauges."""

    COUNTER = "counter"
    GAUGE = "gauge"


class InstrumentFactory:
    """Create instruments whose names start with ``tarragonwind.``.

    Parameters
    ----------
    meter : opentelemetry.metrics.Meter
        Meter of the SDK.
    """

    __slots__ = ("_meter",)

    def __init__(self, meter: Meter) -> None:
        self._meter = meter

    def create(
        self, kind: InstrumentKind, name: str, unit: str, description: str, *labels: str
    ) -> MetricSeries:
        """Create an observable instrument and return the series that it reports."""
        series = MetricSeries(labels)
        full_name = f"tarragonwind.{name}"
        if kind is InstrumentKind.COUNTER:
            self._meter.create_observable_counter(full_name, [series.observe], unit, description)
        else:
            self._meter.create_observable_gauge(full_name, [series.observe], unit, description)
        return series

    def create_histogram(self, name: str, description: str, tier_count: int) -> TierHistogram:
        """Create a histogram of durations by tier."""
        histogram = self._meter.create_histogram(
            f"tarragonwind.{name}",
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        return TierHistogram(histogram, tier_count)
