"""Render refusals for callers."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from tarragonwind.errors import ERROR_RESPONSES, NotRun, RequestError

NOT_RUN_VALUES: dict[NotRun, bool | str] = {
    NotRun.TRUE: True,
    NotRun.FALSE: False,
    NotRun.UNKNOWN: "unknown",
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold a whole answer that refuses a request."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def describe_refusal(exc: RequestError, not_run: NotRun) -> Refusal:
    """Return a refusal as a JSON object, with whole seconds to come back.

    Parameters
    ----------
    exc : RequestError
        Kind and message of the refusal.
    not_run : NotRun
        What is known of the work.
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
