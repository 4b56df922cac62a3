"""Keep metric values in plain dictionaries on the event loop; the SDK's reader observes them."""

from __future__ import annotations

import enum
import importlib
from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from tarragonwind.records import dataclass

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Histogram, Meter, Observation

DURATION_BOUNDS_S = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]
"""Bucket boundaries of the duration histograms, in seconds."""

RECORDS_PER_FLUSH = 32
"""Durations buffered before they are passed to the SDK's histogram."""
MAX_BUFFERED_DURATIONS = 4_096
"""Durations of each histogram kept for a first reader; the oldest are dropped."""


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
        create = importlib.import_module("opentelemetry.metrics").Observation
        # The event loop may add a key during the iteration, so iterate over a copy.
        for labels, value in list(self._sums.items()):
            yield create(value, dict(zip(self._label_names, labels, strict=True)))


class TierHistogram:
    """Record durations by tier, passed to the SDK in batches once a histogram is attached.

    Parameters
    ----------
    tier_count : int
        Number of tiers.
    """

    __slots__ = ("_attributes", "_buffer", "_histograms")

    def __init__(self, tier_count: int) -> None:
        self._histograms: list[Histogram] = []
        self._attributes = [{"tier": tier} for tier in range(tier_count)]
        self._buffer: deque[tuple[float, int]] = deque(maxlen=MAX_BUFFERED_DURATIONS)

    def attach(self, histogram: Histogram) -> None:
        """Pass the durations from now on, and the buffered ones, to a histogram of the SDK."""
        self._histograms.append(histogram)

    def record(self, duration_s: float, tier: int) -> None:
        """Buffer one duration, in seconds, and flush when the batch is full."""
        self._buffer.append((duration_s, tier))
        if self._histograms and len(self._buffer) >= RECORDS_PER_FLUSH:
            self.flush()

    def flush(self) -> None:
        """Pass the buffered durations to the SDK."""
        if not self._histograms:
            return
        buffered = list(self._buffer)
        self._buffer.clear()
        for duration_s, tier in buffered:
            for histogram in self._histograms:
                histogram.record(duration_s, self._attributes[tier])


class InstrumentKind(enum.Enum):
    """Distinguish monotonic counters, gauges and histograms."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class InstrumentDescription:
    """Describe an instrument of the SDK and the series or histogram that it reports."""

    kind: InstrumentKind
    name: str
    unit: str
    description: str
    values: MetricSeries | TierHistogram


class Instruments:
    """Create series whose names start with ``tarragonwind.`` and attach them to the SDK's meters.

    The SDK is imported by the first reader or exporter, as it lengthens the start of a host.
    """

    __slots__ = ("_descriptions",)

    def __init__(self) -> None:
        self._descriptions: list[InstrumentDescription] = []

    def create(
        self, kind: InstrumentKind, name: str, unit: str, description: str, *labels: str
    ) -> MetricSeries:
        """Return the series of an observable instrument."""
        series = MetricSeries(labels)
        full_name = f"tarragonwind.{name}"
        self._descriptions.append(InstrumentDescription(kind, full_name, unit, description, series))
        return series

    def create_histogram(self, name: str, description: str, tier_count: int) -> TierHistogram:
        """Return a histogram of durations by tier."""
        histogram = TierHistogram(tier_count)
        full_name = f"tarragonwind.{name}"
        self._descriptions.append(
            InstrumentDescription(InstrumentKind.HISTOGRAM, full_name, "s", description, histogram)
        )
        return histogram

    def attach(self, meter: Meter) -> None:
        """Create the instruments of a meter of the SDK, which may be one of several."""
        for each in self._descriptions:
            values = each.values
            if isinstance(values, TierHistogram):
                histogram = meter.create_histogram(
                    each.name,
                    unit=each.unit,
                    description=each.description,
                    explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
                )
                values.attach(histogram)
            elif each.kind is InstrumentKind.COUNTER:
                meter.create_observable_counter(
                    each.name, [values.observe], each.unit, each.description
                )
            else:
                meter.create_observable_gauge(
                    each.name, [values.observe], each.unit, each.description
                )
