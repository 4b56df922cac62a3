"""Trace requests over their hops, with W3C trace context in and out."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Iterable

from opentelemetry.context import Context
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    SpanKind,
    Tracer,
    get_current_span,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

MAX_CALLER_TRACES_PER_S = 20
"""Traces a second that are recorded because a caller's own trace is; more go unrecorded."""
MAX_TRACESTATE_BYTES = 512
"""Longest tracestate that is passed on, in bytes."""
TRACE_HEADERS = frozenset({b"traceparent", b"tracestate"})
TRACE_NAME_LENGTHS = frozenset(len(name) for name in TRACE_HEADERS)

_PROPAGATOR = TraceContextTextMapPropagator()

HeaderPairs = Iterable[tuple[bytes, bytes]]


class SpanName(enum.Enum):
    """Name each span of a request."""

    CALLER = "caller"
    WAIT = "wait"
    OWNER = "owner"
    DISPATCH = "dispatch"
    FIRST_TOKEN = "first_token"
    STREAM = "stream"


_HOP_KINDS = {SpanName.DISPATCH: SpanKind.CLIENT}
_OUTER_HOPS = {
    SpanName.OWNER: SpanName.WAIT,
    SpanName.FIRST_TOKEN: SpanName.DISPATCH,
    SpanName.STREAM: SpanName.DISPATCH,
}
"""Hops that are part of another than the caller's."""


def extract_context(headers: HeaderPairs) -> SpanContext | None:
    """Return the trace context of a caller, or None when there is no valid one."""
    carrier: dict[str, str] = {}
    for name, value in headers:
        # Most names are told apart by their length alone.
        if len(name) not in TRACE_NAME_LENGTHS:
            continue
        key = name.lower()
        if key not in TRACE_HEADERS or len(value) > MAX_TRACESTATE_BYTES:
            continue
        text = key.decode()
        if text in carrier:
            return None
        carrier[text] = value.decode("latin-1")
    if "traceparent" not in carrier:
        return None
    context = get_current_span(_PROPAGATOR.extract(carrier, Context())).get_span_context()
    return context if context.is_valid else None


def inject_context(context: SpanContext) -> list[tuple[bytes, bytes]]:
    """Return the header fields that carry a trace context."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(NonRecordingSpan(context), Context()))
    return [(name.encode(), value.encode("latin-1")) for name, value in carrier.items()]


class RequestTrace:
    """Follow one request; does next to nothing when it is not recorded.

    Parameters
    ----------
    tracer : Tracer or None
        None when the request is not recorded.
    parent : SpanContext or None
        Trace context of the caller.
    """

    __slots__ = ("_open", "_parent", "_root", "_tracer")

    def __init__(self, tracer: Tracer | None, parent: SpanContext | None) -> None:
        self._tracer = tracer
        self._parent = parent
        self._open: dict[SpanName, Span] = {}
        self._root: Span | None = None
        if tracer is not None:
            outer = set_span_in_context(NonRecordingSpan(parent)) if parent else Context()
            self._root = tracer.start_span(SpanName.CALLER.value, outer, kind=SpanKind.SERVER)

    @property
    def is_recording(self) -> bool:
        """Tell whether spans are recorded."""
        return self._root is not None

    @property
    def trace_id(self) -> str:
        """Return the trace id as 32 hex digits, or ``-`` when there is none."""
        context = self._context()
        return f"{context.trace_id:032x}" if context else "-"

    def _context(self) -> SpanContext | None:
        return self._root.get_span_context() if self._root else self._parent

    def start_span(self, hop: SpanName) -> None:
        """Begin a hop, unless it is open."""
        if self._tracer is None or hop in self._open:
            return
        outer = self._open.get(_OUTER_HOPS.get(hop, SpanName.CALLER)) or self._root
        assert outer is not None
        context = set_span_in_context(outer, Context())
        kind = _HOP_KINDS.get(hop, SpanKind.INTERNAL)
        self._open[hop] = self._tracer.start_span(hop.value, context, kind=kind)

    def end_span(self, hop: SpanName) -> None:
        """End a hop; harmless when it is not open."""
        span = self._open.pop(hop, None)
        if span is not None:
            span.end()

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Attach a value to the first hop; never content of the request."""
        if self._root is not None:
            self._root.set_attribute(name, value)

    def finish(self, outcome: str) -> None:
        """End every open hop and the trace; harmless when it has ended."""
        if self._root is None or not self._root.is_recording():
            return
        for hop in reversed(list(self._open)):
            self.end_span(hop)
        self._root.set_attribute("outcome", outcome)
        self._root.end()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header fields for an upstream; its part hangs under the dispatch."""
        span = self._open.get(SpanName.DISPATCH) or self._root
        context = span.get_span_context() if span else self._parent
        return inject_context(context) if context else []


class TraceSampler:
    """Choose which requests are recorded.

    Parameters
    ----------
    fraction : float
        Share of requests without a trace of the caller's own.
    rng : random.Random
        Source of chance.
    now : callable
        Returns seconds on the monotonic clock.
    """

    __slots__ = ("_allowance", "_fraction", "_now", "_refilled_at", "_rng")

    def __init__(self, fraction: float, rng: random.Random, now: Callable[[], float]) -> None:
        self._fraction = fraction
        self._rng = rng
        self._now = now
        self._allowance = float(MAX_CALLER_TRACES_PER_S)
        self._refilled_at = now()

    def should_sample(self, parent: SpanContext | None) -> bool:
        """Tell whether a request with this caller's context is recorded."""
        if parent is None:
            return self._rng.random() < self._fraction
        if not parent.trace_flags.sampled:
            return False
        self._refill()
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _refill(self) -> None:
        now = self._now()
        added = (now - self._refilled_at) * MAX_CALLER_TRACES_PER_S
        self._allowance = min(float(MAX_CALLER_TRACES_PER_S), self._allowance + added)
        self._refilled_at = now
