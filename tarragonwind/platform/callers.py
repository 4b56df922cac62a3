"""Implement the caller dialect of the platform: its header fields and status codes."""

from __future__ import annotations

import math
import random
from typing import Any

from loguru import logger

from tarragonwind.adapters.caller_dialects import (
    NO_NOTICE,
    CallerDialect,
    ForwardContext,
    Headers,
    ResponseKind,
    UpstreamNotice,
    end_to_end_headers,
)
from tarragonwind.adapters.http_requests import CallerRequest
from tarragonwind.adapters.refusals import Refusal
from tarragonwind.adapters.response_headers import has_content_coding
from tarragonwind.core.classifications import RequestClass
from tarragonwind.core.entries import OrganisationEntry, UpstreamEntry
from tarragonwind.core.request_metadata import (
    PromptPart,
    RequestMetadata,
    check_metadata,
    classify_metadata,
)
from tarragonwind.core.response_matches import ResponseIdentity, ResponseName
from tarragonwind.errors import ERROR_RESPONSES, ErrorKind, NotRun, RequestError
from tarragonwind.ports import HttpRequest

REQUEST_ID = b"attempt-id"
DEADLINE_MS = b"request-deadline"
TOKEN_COUNTS = b"token-counts"
"""Number of prompt tokens and maximum number of response tokens, separated by a comma."""
PROMPT_PARTS = b"prompt-prefix"
"""Ids and token counts of all parts of the prompt, not only of a prefix."""
PART_ID_MASK = 0xFFFF_FFFF_FFFF_FFFF
"""Limits the ids of parts to 64 bits, the largest integer of messages between hosts."""
LENGTH_HINT = b"length-hint"
LAST_EVENT = b"last-event-id"
UPSTREAM_ID = b"expect-instance"
ORGANISATION = b"tenant"
NOT_RUN = b"not-executed"
SEAL = b"server-seal"
"""Field in each success that an upstream has made for a request."""
LEAVING = b"server-leaving"
"""Field in every response of an upstream that is leaving; its value is 1."""
LIMIT = b"server-limit"
"""Requests per second that an upstream takes from all hosts together, a decimal number."""
RETRY_AFTER = b"retry-after"
BRITTLE = b"server-brittle"
"""Number of requests rejected within a second beyond which the upstream falls over."""
COLD_MS = b"cold-ms"
"""Time for which the upstream stays cold, in milliseconds."""
NOTICE_FIELDS = frozenset([LEAVING, LIMIT, RETRY_AFTER, BRITTLE, COLD_MS])
"""Fields by which an upstream says something of itself."""
MAX_COLD_MS = 3_600_000
"""Longest time for which an upstream stays cold by its own word, in milliseconds."""
AUTHORIZATION = b"authorization"
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
MAX_HOLD_S = 300.0
"""Longest time for which an upstream is left alone by its own word, in seconds."""
MAX_LIMIT_PER_S = 1e6
"""Largest limit of an upstream that is told from none, in requests per second."""
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
"""Statuses that promise callers that the request has not run."""

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
"""Header fields that are not forwarded from callers, since only the system may set them."""


class PlatformDialect(CallerDialect):
    """Read and write the header fields and statuses of the platform.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the choice among the pools of a route.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def request_id(self, req: CallerRequest) -> str:
        """Return the id of the caller's attempt."""
        return req.header(REQUEST_ID).decode("latin-1")

    def classify(self, req: CallerRequest, catalogue: Any) -> RequestClass:
        """Classify a request by Host field, path and bearer token."""
        return classify_metadata(decode_metadata(req), catalogue, self._rng)

    def check_head(self, req: CallerRequest, catalogue: Any) -> OrganisationEntry:
        """Check Host field, path and bearer token."""
        return check_metadata(decode_metadata(req), catalogue)

    def forward(self, context: ForwardContext) -> HttpRequest:
        """Build the upstream request with the caller's Host field and the system's own fields."""
        req = context.request
        headers = end_to_end_headers(req, SYSTEM_FIELDS)
        headers.append((b"Request-Deadline", b"%d" % max(1, round(context.remaining_s * 1_000))))
        headers.append((b"Expect-Instance", context.upstream.name.encode("latin-1")))
        if not context.request_class.route.public:
            headers.append((b"Tenant", context.request_class.organisation.name.encode("latin-1")))
        if context.after_event is not None:
            headers.append((b"Last-Event-Id", b"%d" % context.after_event))
        authority = req.header(b"host").decode("latin-1")
        return HttpRequest(req.method, req.target, headers, req.body, authority)

    def classify_response(
        self, upstream: UpstreamEntry, status: int, headers: Headers
    ) -> ResponseKind:
        """Classify a response head as an answer, as not run or as misdirected."""
        if status == MISDIRECTED_STATUS:
            return ResponseKind.MISDIRECTED
        not_run = any(name.lower() == NOT_RUN for name, _ in headers)
        return ResponseKind.NOT_RUN if not_run else ResponseKind.ANSWER

    def read_notice(self, status: int, headers: Headers) -> UpstreamNotice:
        """Return what the upstream says of itself: leaving, a pause, limits, brittle or cold."""
        fields = {name.lower(): value for name, value in headers}
        if NOTICE_FIELDS.isdisjoint(fields):
            return NO_NOTICE
        leaving = fields.get(LEAVING, b"").strip() == b"1"
        hold_s = 0.0
        if status == UNAVAILABLE_STATUS and RETRY_AFTER in fields:
            hold_s = parse_hold_s(fields[RETRY_AFTER])
        limit_per_s = parse_limit(fields[LIMIT]) if LIMIT in fields else None
        rejections_per_s = parse_uint(fields[BRITTLE]) if BRITTLE in fields else None
        cold_s = parse_cold_s(fields[COLD_MS]) if COLD_MS in fields else None
        return UpstreamNotice(leaving, hold_s, limit_per_s, rejections_per_s, cold_s)

    def identify_response(self, name: str, status: int, headers: Headers) -> ResponseIdentity:
        """Return whether a response names the request, and whether a success is the upstream's."""
        success = 200 <= status < 300
        sealed = not success or any(key.lower() == SEAL for key, _ in headers)
        encoded = success and has_content_coding(headers)
        names = {value.decode("latin-1") for key, value in headers if key.lower() == REQUEST_ID}
        named = ResponseName.OWN if names == {name} else ResponseName.OTHER
        return ResponseIdentity(named if names else ResponseName.MISSING, sealed, encoded)

    def refuse(self, exc: RequestError, not_run: NotRun) -> Refusal:
        """Build the refusal of a request.

        A status of `NOT_RUN_STATUSES` is sent only if the request has not run. ``Retry-After`` is
        added if, in addition, its error can be retried.
        """
        rule = ERROR_RESPONSES[exc.kind]
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        status = rule.status
        if rule.retry and not_run is NotRun.TRUE:
            headers.append((b"Retry-After", b"%.3f" % max(0.001, exc.retry_after_s)))
            if status not in NOT_RUN_STATUSES:
                status = ERROR_RESPONSES[ErrorKind.SHED].status
        elif not_run is not NotRun.TRUE and status in NOT_RUN_STATUSES:
            status = ERROR_RESPONSES[ErrorKind.UPSTREAM_OUTCOME_UNKNOWN].status
        return Refusal(status, headers, f"{exc.kind.value}: {exc.message}\n".encode())


def decode_metadata(req: CallerRequest) -> RequestMetadata:
    """Decode the metadata in a request's header fields; malformed numbers count as absent."""
    scheme, _, token = req.header(AUTHORIZATION).partition(b" ")
    prompt, _, maximum = req.header(TOKEN_COUNTS).partition(b",")
    prompt_tokens = parse_uint(prompt)
    max_tokens = parse_uint(maximum)
    deadline_ms = parse_uint(req.header(DEADLINE_MS))
    return RequestMetadata(
        authority=req.header(b"host").decode("latin-1").lower(),
        target=req.target,
        token=token.strip() if scheme.lower() == b"bearer" else b"",
        deadline_s=None if deadline_ms is None else deadline_ms / 1_000,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=parse_uint(req.header(LENGTH_HINT)),
        parts=decode_parts(req.header(PROMPT_PARTS)),
        last_event_id=parse_uint(req.header(LAST_EVENT)),
    )


def decode_parts(value: bytes) -> list[PromptPart]:
    """Decode the hexadecimal ids and token counts of the prompt parts, skipping malformed ones."""
    parts = []
    for text in value.split(b","):
        name, _, tokens = text.strip().partition(b":")
        count = parse_uint(tokens)
        if count is None:
            continue
        try:
            parts.append(PromptPart(int(name, 16) & PART_ID_MASK, count))
        except ValueError:
            continue
    return parts


def parse_hold_s(value: bytes) -> float:
    """Parse the seconds of Retry-After within 0 and `MAX_HOLD_S`; return 0 if it is no number."""
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds <= MAX_HOLD_S:
        logger.warning("event=retry_after_out_of_range value={!r} max_s={}", value[:40], MAX_HOLD_S)
    return 0.0 if math.isnan(seconds) else min(max(0.0, seconds), MAX_HOLD_S)


def parse_limit(value: bytes) -> float | None:
    """Parse a limit in requests per second; return None if it is no limit."""
    try:
        limit_per_s = float(value)
    except ValueError:
        limit_per_s = math.nan
    if not 0 <= limit_per_s <= MAX_LIMIT_PER_S:
        logger.warning(
            "event=limit_out_of_range value={!r} max_per_s={:g}", value[:40], MAX_LIMIT_PER_S
        )
        return None
    return limit_per_s


def parse_cold_s(value: bytes) -> float | None:
    """Parse a time in milliseconds; return it in seconds, or None if it is malformed."""
    milliseconds = parse_uint(value)
    return None if milliseconds is None else min(milliseconds, MAX_COLD_MS) / 1_000


def parse_uint(value: bytes) -> int | None:
    """Parse an unsigned decimal integer of at most 18 digits; return None if it is malformed."""
    text = value.strip()
    return int(text) if text.isdigit() and len(text) < 19 else None
