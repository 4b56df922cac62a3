"""Define the interface for dialects of callers and upstreams, and the native dialect."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import Any

from tarragonwind.adapters.http_requests import CallerRequest
from tarragonwind.adapters.refusals import Refusal, describe_refusal
from tarragonwind.core.classifications import RequestClass, check_head, classify_request
from tarragonwind.core.entries import OrganisationEntry, UpstreamEntry
from tarragonwind.core.response_matches import UNNAMED_PROTOCOL, ResponseIdentity
from tarragonwind.errors import NotRun, RequestError
from tarragonwind.ports import HttpRequest
from tarragonwind.records import dataclass

Headers = list[tuple[bytes, bytes]]

REQUEST_ID_HEADER = b"x-request-id"
MAX_REQUEST_ID_LENGTH = 128
REFUSAL_STATUSES = frozenset([429, 503])
HOP_BY_HOP_HEADERS = frozenset(
    [
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
"""Request headers that apply to one connection only and are not forwarded (RFC 9110, 7.6.1)."""
LOCAL_HEADERS = frozenset(
    [
        b"authorization",
        b"tarragonwind-tier",
        b"tarragonwind-timeout-ms",
        b"traceparent",
        b"tracestate",
        REQUEST_ID_HEADER,
    ]
)
"""Headers of the native dialect that are not forwarded to upstreams."""


class ResponseKind(enum.Enum):
    """Classify an upstream's response by its status and header fields."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    """The upstream guarantees that it has not executed the request."""
    MISDIRECTED = "misdirected"
    """The address belongs to another upstream than the intended one."""


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """Contain what an upstream says of itself in a response.

    Attributes
    ----------
    leaving : bool
        Whether the upstream is leaving and gets no new requests.
    hold_s : float
        Time for which the upstream wants no requests of this host, in seconds.
    limit_per_s : float or None
        Requests per second that the upstream takes from all hosts together; None for no limit.
    rejections_per_s : int or None
        Rejected requests per second beyond which it falls over; None if it is not brittle.
    cold_s : float or None
        Time for which it stays cold, in seconds; None if it doesn't tell.
    """

    leaving: bool = False
    hold_s: float = 0.0
    limit_per_s: float | None = None
    rejections_per_s: int | None = None
    cold_s: float | None = None


NO_NOTICE = UpstreamNotice()


@dataclass(slots=True)
class ForwardContext:
    """Collect the inputs for the request that is sent to an upstream.

    Attributes
    ----------
    request : CallerRequest
        The caller's request.
    name : str
        Id of the request.
    request_class : RequestClass
        Route, tier and limits of the request.
    upstream : UpstreamEntry
        Upstream that the request is sent to.
    remaining_s : float
        Time to the deadline, in seconds.
    after_event : int or None
        Id of the last event that the caller has; a resumed stream continues after it.
    trace_headers : list of (bytes, bytes)
        Trace context headers.
    """

    request: CallerRequest
    name: str
    request_class: RequestClass
    upstream: UpstreamEntry
    remaining_s: float
    after_event: int | None
    trace_headers: Headers


def end_to_end_headers(req: CallerRequest, dropped: frozenset[bytes]) -> Headers:
    """Return the headers of a request without hop-by-hop headers and those in `dropped`."""
    named = {name.strip().lower() for name in req.header(b"connection").split(b",")}
    kept = []
    for name, value in req.headers:
        lowered = name.lower()
        if lowered not in HOP_BY_HOP_HEADERS and lowered not in dropped and lowered not in named:
            kept.append((name, value))
    return kept


class CallerDialect(ABC):
    """Interpret callers' requests and upstreams' responses, and build what is sent to both."""

    @abstractmethod
    def request_id(self, req: CallerRequest) -> str:
        """Return the request id that the caller sent, empty for none."""

    @abstractmethod
    def classify(self, req: CallerRequest, catalogue: Any) -> RequestClass:
        """Determine organisation, route and limits of a request from the catalogue in force.

        Raises
        ------
        RequestError
            If the request is refused.
        """

    @abstractmethod
    def check_head(self, req: CallerRequest, catalogue: Any) -> OrganisationEntry:
        """Return the organisation of a request whose body has not been read.

        Raises
        ------
        RequestError
            If `classify` would refuse the request whatever its body is.
        """

    @abstractmethod
    def forward(self, context: ForwardContext) -> HttpRequest:
        """Build the request that is sent to an upstream."""

    @abstractmethod
    def classify_response(
        self, upstream: UpstreamEntry, status: int, headers: Headers
    ) -> ResponseKind:
        """Classify an upstream's response by its status and header fields."""

    def read_notice(self, status: int, headers: Headers) -> UpstreamNotice:
        """Return what the upstream says of itself in the head of a response."""
        return NO_NOTICE

    def identify_response(self, name: str, status: int, headers: Headers) -> ResponseIdentity:
        """Return what the head of a response tells of the request that it belongs to.

        Parameters
        ----------
        name : str
            Id of the request in flight.
        status : int
            Status code of the response.
        headers : list of (bytes, bytes)
            Header fields of the response.
        """
        return UNNAMED_PROTOCOL

    @abstractmethod
    def refuse(self, exc: RequestError, not_run: NotRun) -> Refusal:
        """Build the error response for a refused or failed request."""


class NativeDialect(CallerDialect):
    """Implement the default dialect: ``Tarragonwind-*`` headers and JSON error responses."""

    def request_id(self, req: CallerRequest) -> str:
        """Return the value of X-Request-Id if it is short and printable ASCII, else empty."""
        value = req.header(REQUEST_ID_HEADER).decode("latin-1")
        usable = value.isascii() and value.isprintable() and len(value) <= MAX_REQUEST_ID_LENGTH
        return value if usable else ""

    def classify(self, req: CallerRequest, catalogue: Any) -> RequestClass:
        """Classify by model or path prefix."""
        return classify_request(req, catalogue)

    def check_head(self, req: CallerRequest, catalogue: Any) -> OrganisationEntry:
        """Check the token, the path and the header fields."""
        return check_head(req, catalogue)

    def forward(self, context: ForwardContext) -> HttpRequest:
        """Forward the request with its id and trace context, without the native headers."""
        req = context.request
        headers = [(REQUEST_ID_HEADER, context.name.encode("latin-1")), *context.trace_headers]
        headers += end_to_end_headers(req, LOCAL_HEADERS)
        return HttpRequest(req.method, req.target, headers, req.body)

    def classify_response(
        self, upstream: UpstreamEntry, status: int, headers: Headers
    ) -> ResponseKind:
        """Treat 429 and 503 as not run if the upstream's catalogue entry guarantees that."""
        if status in REFUSAL_STATUSES and upstream.refusal_not_run:
            return ResponseKind.NOT_RUN
        return ResponseKind.ANSWER

    def refuse(self, exc: RequestError, not_run: NotRun) -> Refusal:
        """Build the response with a JSON object as its body."""
        return describe_refusal(exc, not_run)
