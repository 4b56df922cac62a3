"""Render refusals for callers."""

from __future__ import annotations

import json
import math

from tarragonwind.adapters.http_servers import CallerExchange
from tarragonwind.errors import ERROR_ANSWERS, NotRun, RequestError

NOT_RUN_VALUES: dict[NotRun, bool | str] = {
    NotRun.TRUE: True,
    NotRun.FALSE: False,
    NotRun.UNKNOWN: "unknown",
}


def answer_refusal(exchange: CallerExchange, exc: RequestError, not_run: NotRun) -> int:
    """Answer an exchange with a refusal.

    Parameters
    ----------
    exchange : CallerExchange
        Exchange whose answer has not begun.
    exc : RequestError
        Kind and message of the refusal.
    not_run : NotRun
        What is known of the work.

    Returns
    -------
    int
        HTTP status code that was sent.
    """
    rule = ERROR_ANSWERS[exc.kind]
    doc = {
        "kind": exc.kind.value,
        "message": exc.message,
        "not_run": NOT_RUN_VALUES[not_run],
    }
    headers = [(b"Content-Type", b"application/json")]
    if rule.retry:
        seconds = max(1, math.ceil(exc.retry_after_s))
        headers.append((b"Retry-After", b"%d" % seconds))
    exchange.answer(rule.status, headers, json.dumps(doc).encode() + b"\n")
    return rule.status
