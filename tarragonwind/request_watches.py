"""Measure one request of a caller: its spans, and its counts when it has ended."""

from __future__ import annotations

from tarragonwind.core.request_lives import Outcome
from tarragonwind.errors import ErrorKind
from tarragonwind.telemetry import Telemetry
from tarragonwind.telemetry_traces import TRACE_HEADERS, HeaderPairs, Hop

SHED_KINDS = frozenset({ErrorKind.SHED, ErrorKind.DEADLINE_UNMEETABLE})
"""Refusals that count as shed."""


class RequestWatch:
    """Follow one request through the gateway.

    Parameters
    ----------
    telemetry : Telemetry
        Instruments and traces of the daemon.
    headers : iterable of (bytes, bytes)
        Header fields of the caller's request.
    """

    __slots__ = ("_telemetry", "trace")

    def __init__(self, telemetry: Telemetry, headers: HeaderPairs) -> None:
        self._telemetry = telemetry
        self.trace = telemetry.start_request(headers)

    def received(self) -> None:
        """Note that the request is classified and begins to wait."""
        self.trace.begin(Hop.WAIT)

    def asked(self) -> None:
        """Note that the pool's owner is asked for a permit."""
        self.trace.begin(Hop.OWNER)

    def permitted(self, waited_s: float, tier: int) -> None:
        """Note that a permit has come, `waited_s` seconds after the request."""
        self.trace.end(Hop.OWNER)
        self.trace.end(Hop.WAIT)
        self._telemetry.wait.record(waited_s, tier)

    def dispatching(self) -> None:
        """Note that the request is about to be sent to an upstream."""
        self.trace.begin(Hop.DISPATCH)
        self.trace.begin(Hop.FIRST_TOKEN)

    def not_sent(self) -> None:
        """Note that the upstream could not be reached."""
        self.trace.end(Hop.FIRST_TOKEN)
        self.trace.end(Hop.DISPATCH)

    def first_byte(self) -> None:
        """Note the first byte of the answer."""
        self.trace.end(Hop.FIRST_TOKEN)
        self.trace.begin(Hop.STREAM)

    def forward_headers(self, headers: HeaderPairs) -> list[tuple[bytes, bytes]]:
        """Return header fields for the upstream, with this request's trace context."""
        kept = [pair for pair in headers if pair[0].lower() not in TRACE_HEADERS]
        return kept + self.trace.headers()

    def ended(
        self, tier: int, outcome: Outcome | None, kind: ErrorKind | None, in_time: bool
    ) -> None:
        """Count the request.

        Parameters
        ----------
        tier : int
            Tier of the request, -1 when it was not classified.
        outcome : Outcome or None
            How it ended.
        kind : ErrorKind or None
            Kind of the refusal.
        in_time : bool
            Whether an answer came whole and by its deadline.
        """
        name = outcome.value if outcome is not None else "none"
        refusal = kind.value if kind is not None else ""
        self._telemetry.requests.add(1, tier, name, refusal)
        if outcome is Outcome.ANSWERED and in_time:
            self._telemetry.goodput.add(1, tier)
        if kind in SHED_KINDS and tier >= 0:
            self._telemetry.sheds.add(1, tier)
        self.trace.finish(name)
