"""Record the spans of requests and propagate W3C trace context."""

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
"""Maximum traces recorded in one second because the caller's trace context is sampled."""
MAX_TRACESTATE_BYTES = 512
"""Maximum length of a tracestate or traceparent field that is propagated, in bytes."""
TRACE_HEADERS = frozenset({b"traceparent", b"tracestate"})
TRACE_HEADER_NAME_LENGTHS = frozenset(len(name) for name in TRACE_HEADERS)

_PROPAGATOR = TraceContextTextMapPropagator()

HeaderPairs = Iterable[tuple[bytes, bytes]]


class SpanName(enum.Enum):
    """Names of the spans of a request."""

    CALLER = "caller"
    WAIT = "wait"
    OWNER = "owner"
    DISPATCH = "dispatch"
    FIRST_TOKEN = "first_token"
    STREAM = "stream"


_SPAN_KINDS = {SpanName.DISPATCH: SpanKind.CLIENT}
_PARENT_SPANS = {
    SpanName.OWNER: SpanName.WAIT,
    SpanName.FIRST_TOKEN: SpanName.DISPATCH,
    SpanName.STREAM: SpanName.DISPATCH,
}
"""Parents of the spans that are not direct children of the caller span."""


def extract_context(headers: HeaderPairs) -> SpanContext | None:
    """Return the trace context in a request's header fields, or None if it is absent or invalid."""
    carrier: dict[str, str] = {}
    for name, value in headers:
        # The length alone rules out most header fields cheaply.
        if len(name) not in TRACE_HEADER_NAME_LENGTHS:
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
    """Return the header fields that propagate a trace context."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(NonRecordingSpan(context), Context()))
    return [(name.encode(), value.encode("latin-1")) for name, value in carrier.items()]


class RequestTrace:
    """Record the spans of one request; only propagates the context if it is not sampled.

    Parameters
    ----------
    tracer : Tracer or None
        Tracer of the SDK; None if the request is not sampled.
    parent : SpanContext or None
        Trace context received from the caller.
    """

    __slots__ = ("_parent", "_root", "_spans", "_tracer")

    def __init__(self, tracer: Tracer | None, parent: SpanContext | None) -> None:
        self._tracer = tracer
        self._parent = parent
        self._spans: dict[SpanName, Span] = {}
        self._root: Span | None = None
        if tracer is not None:
            context = set_span_in_context(NonRecordingSpan(parent)) if parent else Context()
            self._root = tracer.start_span(SpanName.CALLER.value, context, kind=SpanKind.SERVER)

    @property
    def is_recording(self) -> bool:
        """Return whether spans are recorded."""
        return self._root is not None

    @property
    def trace_id(self) -> str:
        """Return the trace id as 32 hexadecimal digits, or ``-`` without a trace context."""
        context = self._context()
        return f"{context.trace_id:032x}" if context else "-"

    def _context(self) -> SpanContext | None:
        return self._root.get_span_context() if self._root else self._parent

    def start_span(self, name: SpanName) -> None:
        """Start a span, unless it is already open."""
        if self._tracer is None or name in self._spans:
            return
        parent = self._spans.get(_PARENT_SPANS.get(name, SpanName.CALLER)) or self._root
        assert parent is not None
        context = set_span_in_context(parent, Context())
        kind = _SPAN_KINDS.get(name, SpanKind.INTERNAL)
        self._spans[name] = self._tracer.start_span(name.value, context, kind=kind)

    def end_span(self, name: SpanName) -> None:
        """End a span; no effect if it is not open."""
        span = self._spans.pop(name, None)
        if span is not None:
            span.end()

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Set an attribute of the root span; never pass request content."""
        if self._root is not None:
            self._root.set_attribute(name, value)

    def finish(self, outcome: str) -> None:
        """End all open spans and the root span; no effect on a finished trace."""
        if self._root is None or not self._root.is_recording():
            return
        for name in reversed(list(self._spans)):
            self.end_span(name)
        self._root.set_attribute("outcome", outcome)
        self._root.end()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the trace header fields for an upstream, with the dispatch span as its parent."""
        span = self._spans.get(SpanName.DISPATCH) or self._root
        context = span.get_span_context() if span else self._parent
        return inject_context(context) if context else []


class TraceSampler:
    """Sample requests by fraction, and follow the caller's decision within a rate limit.

    Parameters
    ----------
    fraction : float
        Fraction of requests recorded among those without a caller's trace context.
    rng : random.Random
        Random number generator for the sampling decisions.
    now : callable
        Clock that returns monotonic seconds.
    """

    __slots__ = ("_fraction", "_now", "_refilled_at", "_rng", "_tokens")

    def __init__(self, fraction: float, rng: random.Random, now: Callable[[], float]) -> None:
        self._fraction = fraction
        self._rng = rng
        self._now = now
        self._tokens = float(MAX_CALLER_TRACES_PER_S)
        self._refilled_at = now()

    def should_sample(self, parent: SpanContext | None) -> bool:
        """Return whether a request with this caller's trace context is recorded."""
        if parent is None:
            return self._rng.random() < self._fraction
        if not parent.trace_flags.sampled:
            return False
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now = self._now()
        added = (now - self._refilled_at) * MAX_CALLER_TRACES_PER_S
        self._tokens = min(float(MAX_CALLER_TRACES_PER_S), self._tokens + added)
        self._refilled_at = now
