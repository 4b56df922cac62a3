"""Define the errors of requests, with the HTTP response for each, and internal errors."""

from __future__ import annotations

import enum

from tarragonwind.records import dataclass


class NotRun(enum.Enum):
    """Define whether a failed request is known not to have been executed.

    ``TRUE`` means that no upstream has executed it, ``FALSE`` that one has, ``UNKNOWN`` that one
    may have.
    """

    TRUE = "true"
    FALSE = "false"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Enumerate all kinds of error that a request can end with."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_REFUSED = "method_refused"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TOO_LARGE = "request_too_large"
    REQUEST_TOO_SLOW = "request_too_slow"
    OVER_LIMIT = "over_limit"
    OVER_ALLOTMENT = "over_allotment"
    SHED = "shed"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    DEADLINE_PASSED = "deadline_passed"
    ROUTE_TIMEOUT = "route_timeout"
    NO_UPSTREAM = "no_upstream"
    NO_CATALOGUE = "no_catalogue"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_IN_USE = "key_in_use"
    KEY_ALREADY_RUN = "key_already_run"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    STOPPING = "stopping"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_OUTCOME_UNKNOWN = "upstream_outcome_unknown"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Describe the HTTP response for one kind of error.

    Attributes
    ----------
    status : int
        HTTP status code.
    not_run : NotRun
        Whether the request is reported as not executed.
    retry : bool
        Whether ``Retry-After`` is sent.
    """

    status: int
    not_run: NotRun
    retry: bool = False


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, NotRun.TRUE),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, NotRun.TRUE),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, NotRun.TRUE),
    ErrorKind.METHOD_REFUSED: ErrorResponse(405, NotRun.TRUE),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, NotRun.TRUE),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, NotRun.TRUE),
    ErrorKind.REQUEST_TOO_LARGE: ErrorResponse(413, NotRun.TRUE),
    ErrorKind.REQUEST_TOO_SLOW: ErrorResponse(408, NotRun.TRUE),
    ErrorKind.OVER_LIMIT: ErrorResponse(429, NotRun.TRUE, retry=True),
    ErrorKind.OVER_ALLOTMENT: ErrorResponse(429, NotRun.TRUE, retry=True),
    ErrorKind.SHED: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.DEADLINE_UNMEETABLE: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(504, NotRun.TRUE, retry=True),
    ErrorKind.ROUTE_TIMEOUT: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.NO_CATALOGUE: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.KEY_IN_USE: ErrorResponse(409, NotRun.UNKNOWN, retry=True),
    ErrorKind.KEY_ALREADY_RUN: ErrorResponse(409, NotRun.FALSE),
    ErrorKind.PROMPT_QUARANTINED: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.STOPPING: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.UPSTREAM_REFUSED: ErrorResponse(503, NotRun.TRUE, retry=True),
    ErrorKind.UPSTREAM_OUTCOME_UNKNOWN: ErrorResponse(502, NotRun.UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, NotRun.UNKNOWN),
}


class RequestError(Exception):
    """Signal that a request ends with an error response to its caller.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    message : str
        Message for the caller; must not contain content of the request.
    retry_after_s : float, optional
        Time after which the caller may retry, in seconds.
    """

    def __init__(self, kind: ErrorKind, message: str, retry_after_s: float = 1.0) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.retry_after_s = retry_after_s


class StoreError(Exception):
    """Signal that a call to the key-value service failed or returned a malformed response.

    Parameters
    ----------
    message : str
        Description of the failure.
    maybe_applied : bool
        Whether a failed write may still have taken effect.
    """

    def __init__(self, message: str, maybe_applied: bool = False) -> None:
        super().__init__(message)
        self.maybe_applied = maybe_applied


class EntryError(Exception):
    """Signal an invalid catalogue entry; nothing was written."""


CALLER_ERRORS = frozenset(
    [
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHORIZED,
        ErrorKind.UNKNOWN_ROUTE,
        ErrorKind.METHOD_REFUSED,
        ErrorKind.OVER_ALLOTMENT,
        ErrorKind.OVER_LIMIT,
        ErrorKind.PROMPT_QUARANTINED,
        ErrorKind.REQUEST_QUARANTINED,
        ErrorKind.REQUEST_TOO_LARGE,
    ]
)
"""Error kinds that the caller causes; they are logged at INFO instead of WARNING."""
