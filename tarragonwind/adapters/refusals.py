"""Build JSON error responses for callers."""

from __future__ import annotations

import json
import math

from tarragonwind.errors import ERROR_RESPONSES, NotRun, RequestError
from tarragonwind.records import dataclass

NOT_RUN_VALUES: dict[NotRun, bool | str] = {
    NotRun.TRUE: True,
    NotRun.FALSE: False,
    NotRun.UNKNOWN: "unknown",
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Represent a complete error response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def describe_refusal(exc: RequestError, not_run: NotRun) -> Refusal:
    """Build an error response with a JSON body and, for retryable kinds, a Retry-After field.

    Retry-After is rounded up to whole seconds.

    Parameters
    ----------
    exc : RequestError
        Kind, message and retry delay of the error.
    not_run : NotRun
        Whether the request is known not to have run.
    """
    rule = ERROR_RESPONSES[exc.kind]
    doc = {
        "kind": exc.kind.value,
        "message": exc.message,
        "not_run": NOT_RUN_VALUES[not_run],
    }
    headers = [(b"Content-Type", b"application/json")]
    if rule.retry:
        seconds = max(1, math.ceil(exc.retry_after_s))
        headers.append((b"Retry-After", b"%d" % seconds))
    return Refusal(rule.status, headers, json.dumps(doc).encode() + b"\n")
