"""Name what differs between dialects of callers and upstreams; the project's own is one of them."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from tarragonwind.adapters.http_requests import CallerRequest
from tarragonwind.adapters.refusals import Refusal, describe_refusal
from tarragonwind.core.classifications import RequestClass, classify_request
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.errors import NotRun, RequestError
from tarragonwind.ports import HttpRequest

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
"""Fields of a request that concern one connection only."""
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
"""Fields of the project's own dialect that stay on this side."""


class ResponseKind(enum.Enum):
    """Tell what the head of an upstream's answer means."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    """The upstream proves that it has not performed the work."""
    MISDIRECTED = "misdirected"
    """Another upstream than the wanted one has the address."""


@dataclass(slots=True)
class ForwardContext:
    """Hold what a forwarded request is made from.

    Attributes
    ----------
    request : CallerRequest
        The caller's request.
    name : str
        Id of the request.
    request_class : RequestClass
        Its class.
    upstream : UpstreamEntry
        Where it goes.
    remaining_s : float
        Time that the caller still waits, in seconds.
    after_event : int or None
        Event after which a stream goes on.
    trace_headers : list of (bytes, bytes)
        Fields of the trace's context.
    """

    request: CallerRequest
    name: str
    request_class: RequestClass
    upstream: UpstreamEntry
    remaining_s: float
    after_event: int | None
    trace_headers: Headers


def end_to_end_headers(req: CallerRequest, dropped: frozenset[bytes]) -> Headers:
    """Return the fields of a request that go on to an upstream."""
    named = {name.strip().lower() for name in req.header(b"connection").split(b",")}
    kept = []
    for name, value in req.headers:
        lowered = name.lower()
        if lowered not in HOP_BY_HOP_HEADERS and lowered not in dropped and lowered not in named:
            kept.append((name, value))
    return kept


class CallerDialect(ABC):
    """Read callers' requests and write what upstreams and callers are sent."""

    @abstractmethod
    def request_id(self, req: CallerRequest) -> str:
        """Return the id that the caller gave its request, empty for none."""

    @abstractmethod
    def classify(self, req: CallerRequest, catalogue: Any) -> RequestClass:
        """Classify a request by the catalogue in force.

        Raises
        ------
        RequestError
            When the request is refused.
        """

    @abstractmethod
    def forward(self, context: ForwardContext) -> HttpRequest:
        """Return the request that an upstream is sent."""

    @abstractmethod
    def classify_response(
        self, upstream: UpstreamEntry, status: int, headers: Headers
    ) -> ResponseKind:
        """Tell what the head of an upstream's answer means."""

    @abstractmethod
    def matches_request(self, name: str, headers: Headers) -> bool:
        """Tell whether an upstream's answer is for the request of an id."""

    @abstractmethod
    def refuse(self, exc: RequestError, not_run: NotRun) -> Refusal:
        """Return the answer that a refusal becomes."""


class NativeDialect(CallerDialect):
    """Speak the project's own interface."""

    def request_id(self, req: CallerRequest) -> str:
        """Return the caller's id when it is short and printable."""
        given = req.header(REQUEST_ID_HEADER).decode("latin-1")
        usable = given.isascii() and given.isprintable() and len(given) <= MAX_REQUEST_ID_LENGTH
        return given if usable else ""

    def classify(self, req: CallerRequest, catalogue: Any) -> RequestClass:
        """Classify by model or path prefix."""
        return classify_request(req, catalogue)

    def forward(self, context: ForwardContext) -> HttpRequest:
        """Pass on the request without the fields that are the project's own."""
        req = context.request
        headers = [(REQUEST_ID_HEADER, context.name.encode("latin-1")), *context.trace_headers]
        headers += end_to_end_headers(req, LOCAL_HEADERS)
        return HttpRequest(req.method, req.target, headers, req.body)

    def classify_response(
        self, upstream: UpstreamEntry, status: int, headers: Headers
    ) -> ResponseKind:
        """Take a refusal for a proof where the upstream's entry says that it is one."""
        if status in REFUSAL_STATUSES and upstream.refusal_not_run:
            return ResponseKind.NOT_RUN
        return ResponseKind.ANSWER

    def matches_request(self, name: str, headers: Headers) -> bool:
        """Answers bear no id here."""
        return True

    def refuse(self, exc: RequestError, not_run: NotRun) -> Refusal:
        """Describe the refusal as a JSON object."""
        return describe_refusal(exc, not_run)
