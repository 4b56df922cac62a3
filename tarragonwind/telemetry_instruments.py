"""Count on the loop with plain additions; the SDK's reader collects the sums in its own thread."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from opentelemetry.metrics import CallbackOptions, Histogram, Meter, Observation

DURATION_BOUNDS_S = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]
"""Upper bounds of the histograms of durations, in seconds."""

RECORDS_PER_FLUSH = 32
"""Durations that are handed to the SDK's histogram together."""


class MetricSeries:
    """Hold the sums of one counter by the values of its labels.

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
        """Add to the sum of some label values."""
        self._sums[labels] = self._sums.get(labels, 0) + amount

    def set(self, value: float, *labels: str | int) -> None:
        """Replace the value of some label values, for gauges."""
        self._sums[labels] = value

    def value(self, *labels: str | int) -> float:
        """Return the value of some label values, 0 when it was never set."""
        return self._sums.get(labels, 0)

    def total(self) -> float:
        """Return the sum over all labels."""
        return sum(list(self._sums.values()))

    def observe(self, _options: CallbackOptions) -> Iterable[Observation]:
        """Return the present values; the SDK's reader calls this."""
        # Copying first keeps the loop's additions from changing the dict during the iteration.
        for labels, value in list(self._sums.items()):
            yield Observation(value, dict(zip(self._label_names, labels, strict=True)))


class TierHistogram:
    """Record durations by tier, handed to the SDK some at a time.

    Parameters
    ----------
    histogram : opentelemetry.metrics.Histogram
        Instrument of the SDK.
    tier_count : int
        Number of tiers.
    """

    __slots__ = ("_attributes", "_histogram", "_waiting")

    def __init__(self, histogram: Histogram, tier_count: int) -> None:
        self._histogram = histogram
        self._attributes = [{"tier": tier} for tier in range(tier_count)]
        self._waiting: list[tuple[float, int]] = []

    def record(self, duration_s: float, tier: int) -> None:
        """Take one duration, in seconds."""
        self._waiting.append((duration_s, tier))
        if len(self._waiting) >= RECORDS_PER_FLUSH:
            self.flush()

    def flush(self) -> None:
        """Hand on what was taken."""
        waiting = self._waiting
        self._waiting = []
        for duration_s, tier in waiting:
            self._histogram.record(duration_s, self._attributes[tier])


class InstrumentKind(enum.Enum):
    """Tell sums that only grow from values that go up and down."""

    COUNTER = "counter"
    GAUGE = "gauge"


class InstrumentFactory:
    """Create instruments under the project's prefix.

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
        """Return the series behind a new observable instrument."""
        series = MetricSeries(labels)
        full_name = f"tarragonwind.{name}"
        if kind is InstrumentKind.COUNTER:
            self._meter.create_observable_counter(full_name, [series.observe], unit, description)
        else:
            self._meter.create_observable_gauge(full_name, [series.observe], unit, description)
        return series

    def create_histogram(self, name: str, description: str, tier_count: int) -> TierHistogram:
        """Return a histogram of durations by tier."""
        histogram = self._meter.create_histogram(
            f"tarragonwind.{name}",
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        return TierHistogram(histogram, tier_count)
