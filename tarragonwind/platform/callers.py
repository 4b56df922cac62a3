"""Speak the platform's header fields with callers and upstreams."""

from __future__ import annotations

import random
from typing import Any

from tarragonwind.adapters.caller_dialects import (
    CallerDialect,
    Forwarding,
    Headers,
    HeadVerdict,
    passed_headers,
)
from tarragonwind.adapters.http_requests import CallerRequest
from tarragonwind.adapters.refusals import Refusal
from tarragonwind.core.classifications import RequestClass
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.request_metadata import PromptPart, RequestMetadata, classify_metadata
from tarragonwind.errors import ERROR_RESPONSES, ErrorKind, NotRun, RequestError
from tarragonwind.ports import HttpRequest

REQUEST_ID = b"attempt-id"
DEADLINE_MS = b"request-deadline"
TOKEN_COUNTS = b"token-counts"
"""Tokens of the prompt and most tokens of the answer."""
PROMPT_PARTS = b"prompt-prefix"
"""All parts of the prompt, not only a prefix of it."""
LENGTH_HINT = b"length-hint"
LAST_EVENT = b"last-event-id"
UPSTREAM_ID = b"expect-instance"
ORGANISATION = b"tenant"
NOT_RUN = b"not-executed"
AUTHORIZATION = b"authorization"
MISDIRECTED_STATUS = 421
PROMISING_STATUSES = frozenset([408, 421, 429, 503])
"""Statuses by which callers take a request for never run."""

SYSTEM_FIELDS = frozenset(
    [
        AUTHORIZATION,
        DEADLINE_MS,
        LAST_EVENT,
        ORGANISATION,
        UPSTREAM_ID,
        b"expect-version",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"pin-ms",
    ]
)
"""Fields that only the system may set towards upstreams."""


class PlatformDialect(CallerDialect):
    """Read and write the platform's header fields.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for the choice among a route's pools.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def request_id(self, req: CallerRequest) -> str:
        """Return the id of the caller's attempt."""
        return req.header(REQUEST_ID).decode("latin-1")

    def classify(self, req: CallerRequest, catalogue: Any) -> RequestClass:
        """Classify by Host field, path and token."""
        return classify_metadata(decode_metadata(req), catalogue, self._rng)

    def forward(self, facts: Forwarding) -> HttpRequest:
        """Pass a request on with its own Host field and what the system sets."""
        req = facts.request
        headers = passed_headers(req, SYSTEM_FIELDS)
        headers.append((b"Request-Deadline", b"%d" % max(1, round(facts.left_s * 1_000))))
        headers.append((b"Expect-Instance", facts.upstream.name.encode("latin-1")))
        if not facts.cls.route.public:
            headers.append((b"Tenant", facts.cls.organisation.name.encode("latin-1")))
        if facts.after_event is not None:
            headers.append((b"Last-Event-Id", b"%d" % facts.after_event))
        authority = req.header(b"host").decode("latin-1")
        return HttpRequest(req.method, req.target, headers, req.body, authority)

    def judge_head(self, upstream: UpstreamEntry, status: int, headers: Headers) -> HeadVerdict:
        """Tell whether the upstream says that it has not run the request."""
        if status == MISDIRECTED_STATUS:
            return HeadVerdict.MISDIRECTED
        if any(name.lower() == NOT_RUN for name, _ in headers):
            return HeadVerdict.NOT_RUN
        return HeadVerdict.ANSWER

    def owns_answer(self, name: str, headers: Headers) -> bool:
        """Compare the id that upstreams repeat in their answers."""
        for key, value in headers:
            if key.lower() == REQUEST_ID:
                return value.decode("latin-1") == name
        return True

    def refuse(self, exc: RequestError, not_run: NotRun) -> Refusal:
        """Answer by status: only those that promise it are sent for work that has not run."""
        rule = ERROR_RESPONSES[exc.kind]
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        status = rule.status
        if rule.retry and not_run is NotRun.TRUE:
            headers.append((b"Retry-After", b"%.3f" % max(0.001, exc.retry_after_s)))
            if status not in PROMISING_STATUSES:
                status = ERROR_RESPONSES[ErrorKind.SHED].status
        elif not_run is not NotRun.TRUE and status in PROMISING_STATUSES:
            status = ERROR_RESPONSES[ErrorKind.UPSTREAM_OUTCOME_UNKNOWN].status
        return Refusal(status, headers, f"{exc.kind.value}: {exc.message}\n".encode())


def decode_metadata(req: CallerRequest) -> RequestMetadata:
    """Return what a request says of itself; numbers that can't be read count as absent."""
    scheme, _, token = req.header(AUTHORIZATION).partition(b" ")
    prompt, _, most = req.header(TOKEN_COUNTS).partition(b",")
    prompt_tokens = read_whole(prompt)
    max_tokens = read_whole(most)
    deadline_ms = read_whole(req.header(DEADLINE_MS))
    return RequestMetadata(
        authority=req.header(b"host").decode("latin-1").lower(),
        target=req.target,
        token=token.strip() if scheme.lower() == b"bearer" else b"",
        deadline_s=None if deadline_ms is None else deadline_ms / 1_000,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=read_whole(req.header(LENGTH_HINT)),
        parts=decode_parts(req.header(PROMPT_PARTS)),
        last_event_id=read_whole(req.header(LAST_EVENT)),
    )


def decode_parts(value: bytes) -> list[PromptPart]:
    """Return the parts of a prompt."""
    parts = []
    for text in value.split(b","):
        name, _, tokens = text.strip().partition(b":")
        count = read_whole(tokens)
        if count is None:
            continue
        try:
            parts.append(PromptPart(int(name, 16), count))
        except ValueError:
            continue
    return parts


def read_whole(value: bytes) -> int | None:
    """Return a whole number, or None when the text is none."""
    text = value.strip()
    return int(text) if text.isdigit() and len(text) < 19 else None
