"""Count the outcomes of a move as cumulative cells, whose merge across hosts is idempotent."""

from __future__ import annotations

import bisect
import enum
import math
from collections.abc import Iterable, Iterator
from dataclasses import field

from tarragonwind.records import dataclass

LOAD_LEVEL_FRACTIONS = (0.2, 0.4, 0.6, 0.8)
"""Fractions of an upstream's slots in use at which each load level after the first begins."""

SLOW_QUANTILE = 0.9
"""Quantile of the old version's concurrent times above which a request counts as slow."""

SLOW_RATIO = 1.1
"""Minimum ratio to the `SLOW_QUANTILE` for a request to count as slow."""

SLOW_MEDIAN_RATIO = 3.0
"""Ratio to the median above which a request always counts as slow."""

SLOW_MIN_EXCESS_S = 0.002
"""Minimum difference from the `SLOW_QUANTILE` that matters to callers, in seconds."""

BUCKET_GROWTH = 1.1
"""Ratio between the limits of adjacent histogram buckets."""

SMALLEST_TIME_S = 1e-5
"""Upper limit of the first histogram bucket, in seconds."""

BUCKET_COUNT = 200
BASELINE_ROTATION_S = 30.0
"""Age at which the current histogram of a latency baseline is rotated, in seconds."""

BASELINE_MIN_SAMPLES = 20
"""Minimum number of times of the old version for a latency limit."""

_LOG_GROWTH = math.log(BUCKET_GROWTH)


class Side(enum.IntEnum):
    """Distinguish the old version of a move (baseline) from the new one (canary)."""

    OLD = 0
    NEW = 1


class LoadLevel(enum.IntEnum):
    """Classify the load of the upstream at dispatch."""

    LIGHT = 0
    LOW = 1
    MIDDLE = 2
    HIGH = 3
    FULL = 4


class Signal(enum.IntEnum):
    """Enumerate the metrics that are compared between the versions."""

    FAILED = 0
    FIRST_BYTE = 1
    PER_TOKEN = 2
    UNANSWERED = 3
    """No complete response came. A fault of the path to the upstream looks the same, so it is kept
    apart from the failures that an upstream answers."""


ERROR_SIGNALS = (Signal.FAILED, Signal.UNANSWERED)
"""Signals that sound versions hardly ever show, so that a small excess matters."""


def load_level(in_flight_fraction: float) -> LoadLevel:
    """Return the load level of an upstream that uses this fraction of its slots."""
    return LoadLevel(bisect.bisect_right(LOAD_LEVEL_FRACTIONS, in_flight_fraction))


@dataclass(frozen=True, slots=True)
class Tally:
    """Hold the number of trials of one signal, and of those that failed or were slow."""

    trials: int
    hits: int

    @property
    def rate(self) -> float:
        """Return the fraction of trials that are hits, 0 without trials."""
        return self.hits / self.trials if self.trials else 0.0

    def __str__(self) -> str:
        return f"{self.hits} of {self.trials}"

    def __add__(self, other: Tally) -> Tally:
        return Tally(self.trials + other.trials, self.hits + other.hits)


@dataclass(slots=True)
class Cell:
    """Count the outcomes of one version on one route at one load level.

    Attributes
    ----------
    finished, failed : int
        Requests with a complete response, and those of them that failed.
    first_byte_trials, first_byte_slow : int
        Requests judged on their time to first byte, and those of them that were slow.
    per_token_trials, per_token_slow : int
        Requests judged on time per token, and those of them that were slow.
    answer_trials, unanswered : int
        Requests that ended or were overdue, and those of them without a complete response.
    """

    finished: int = 0
    failed: int = 0
    first_byte_trials: int = 0
    first_byte_slow: int = 0
    per_token_trials: int = 0
    per_token_slow: int = 0
    answer_trials: int = 0
    unanswered: int = 0

    def tally(self, signal: Signal) -> Tally:
        """Return the counts of one signal."""
        if signal is Signal.FAILED:
            return Tally(self.finished, self.failed)
        if signal is Signal.FIRST_BYTE:
            return Tally(self.first_byte_trials, self.first_byte_slow)
        if signal is Signal.PER_TOKEN:
            return Tally(self.per_token_trials, self.per_token_slow)
        return Tally(self.answer_trials, self.unanswered)

    def hits(self, signal: Signal) -> int:
        """Return the number of failed or slow trials of one signal."""
        return self.tally(signal).hits

    def counts(self) -> list[int]:
        """Return the counts in the order of the attributes."""
        return [
            self.finished,
            self.failed,
            self.first_byte_trials,
            self.first_byte_slow,
            self.per_token_trials,
            self.per_token_slow,
            self.answer_trials,
            self.unanswered,
        ]

    def plus(self, other: Cell, sign: int = 1) -> Cell:
        """Return the sum with another cell, or the difference when `sign` is -1."""
        return Cell(
            self.finished + sign * other.finished,
            self.failed + sign * other.failed,
            self.first_byte_trials + sign * other.first_byte_trials,
            self.first_byte_slow + sign * other.first_byte_slow,
            self.per_token_trials + sign * other.per_token_trials,
            self.per_token_slow + sign * other.per_token_slow,
            self.answer_trials + sign * other.answer_trials,
            self.unanswered + sign * other.unanswered,
        )


@dataclass(frozen=True, slots=True)
class CellKey:
    """Identify a cell of a move by step, side, route and load level."""

    step: int
    side: Side
    route: str
    level: LoadLevel


Cells = dict[CellKey, Cell]


def pack_cells(cells: Iterable[tuple[CellKey, Cell]]) -> list[list]:
    """Encode cells as rows of a message."""
    rows: list[list] = []
    for key, cell in cells:
        rows.append([key.step, int(key.side), key.route, int(key.level), *cell.counts()])
    return rows


def unpack_cells(rows: list[list]) -> Iterator[tuple[CellKey, Cell]]:
    """Decode the cells from a message's rows."""
    for step, side, route, level, *counts in rows:
        yield CellKey(step, Side(side), route, LoadLevel(level)), Cell(*counts)


class HostEvidence:
    """Hold one host's cumulative cells of a move, and the report that last changed each."""

    __slots__ = ("_changed", "cells", "sequence")

    def __init__(self) -> None:
        self.cells: Cells = {}
        self.sequence = 0
        self._changed: dict[CellKey, int] = {}

    def mark_changed(self, key: CellKey) -> Cell:
        """Return a key's cell for modification, and mark it for the next report."""
        self._changed[key] = self.sequence + 1
        return self.cells.setdefault(key, Cell())

    def begin_report(self) -> int:
        """Return the sequence of a new report, which holds all changes so far."""
        self.sequence += 1
        return self.sequence

    def rows_after(self, acknowledged: int) -> list[list]:
        """Return the rows that changed after the report that a judge has acknowledged."""
        keys = [key for key, changed in self._changed.items() if changed > acknowledged]
        return pack_cells((key, self.cells[key]) for key in keys)


@dataclass(slots=True)
class ProcessReport:
    """Hold the latest report of one process of one host.

    Attributes
    ----------
    sequence : int
        Sequence of the latest report received.
    cells : dict
        Latest cumulative cells.
    """

    sequence: int = 0
    cells: Cells = field(default_factory=dict)


class MergedEvidence:
    """Sum the reports of all hosts; the latest cumulative cell of each process counts."""

    __slots__ = ("_process_reports", "totals")

    def __init__(self) -> None:
        self._process_reports: dict[tuple[str, int], ProcessReport] = {}
        self.totals: Cells = {}

    def apply(self, host: str, incarnation: int, sequence: int, rows: list[list]) -> bool:
        """Merge a report; return False if it is a duplicate or out of date."""
        latest = self._process_reports.setdefault((host, incarnation), ProcessReport())
        if sequence <= latest.sequence:
            return False
        latest.sequence = sequence
        for key, cell in unpack_cells(rows):
            known = latest.cells.get(key)
            change = cell if known is None else cell.plus(known, -1)
            latest.cells[key] = cell
            self.totals[key] = self.totals.get(key, Cell()).plus(change)
        return True

    def sequence_of(self, host: str, incarnation: int) -> int:
        """Return the highest sequence received from a process, 0 for none."""
        latest = self._process_reports.get((host, incarnation))
        return latest.sequence if latest else 0


class LatencyHistogram:
    """Count times in exponentially growing buckets."""

    __slots__ = ("_buckets", "total")

    def __init__(self) -> None:
        self._buckets = [0] * BUCKET_COUNT
        self.total = 0

    def add(self, time_s: float) -> None:
        """Count one time, in seconds."""
        bucket = 0
        if time_s > SMALLEST_TIME_S:
            bucket = math.ceil(math.log(time_s / SMALLEST_TIME_S) / _LOG_GROWTH)
        self._buckets[min(bucket, BUCKET_COUNT - 1)] += 1
        self.total += 1

    def merge(self, other: LatencyHistogram) -> LatencyHistogram:
        """Return the sum of two histograms."""
        merged = LatencyHistogram()
        pairs = zip(self._buckets, other._buckets, strict=True)
        merged._buckets = [a + b for a, b in pairs]
        merged.total = self.total + other.total
        return merged

    def quantile(self, fraction: float) -> float:
        """Return the upper limit of the bucket that holds a quantile, in seconds."""
        wanted = fraction * self.total
        seen = 0
        for bucket, count in enumerate(self._buckets):
            seen += count
            if count and seen >= wanted:
                return SMALLEST_TIME_S * BUCKET_GROWTH**bucket
        return math.inf


def slow_limit_s(times: LatencyHistogram) -> float:
    """Return the time above which a request counts as slow, in seconds.

    A part of the old version's own times may be slow for other reasons. Its median is not, so
    that a few multiples of it bound the limit.
    """
    high_s = times.quantile(SLOW_QUANTILE)
    median_s = times.quantile(0.5)
    return min(
        max(high_s * SLOW_RATIO, high_s + SLOW_MIN_EXCESS_S),
        max(median_s * SLOW_MEDIAN_RATIO, median_s + SLOW_MIN_EXCESS_S),
    )


class LatencyBaseline:
    """Track a high quantile of the old version's recent times as the limit for slow requests."""

    __slots__ = ("_added", "_current", "_limit_s", "_previous", "_rotated_at")

    def __init__(self) -> None:
        self._current = LatencyHistogram()
        self._previous = LatencyHistogram()
        self._rotated_at = -math.inf
        self._limit_s: float | None = None
        self._added = 0

    def add(self, now: float, time_s: float) -> None:
        """Add one time of the old version, in seconds."""
        if (
            now - self._rotated_at > BASELINE_ROTATION_S
            and self._current.total >= BASELINE_MIN_SAMPLES
        ):
            self._previous = self._current
            self._current = LatencyHistogram()
            self._rotated_at = now
        self._current.add(time_s)
        self._added += 1

    def limit_s(self) -> float | None:
        """Return the time above which a request is slow, None without enough samples."""
        total = self._current.total + self._previous.total
        if total < BASELINE_MIN_SAMPLES:
            return None
        if self._limit_s is None or self._added * 16 >= total:
            merged = self._current.merge(self._previous)
            self._limit_s = slow_limit_s(merged)
            self._added = 0
        return self._limit_s
