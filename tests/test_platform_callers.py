"""Test the status and Retry-After of refused requests on the users' platform."""

import random

import pytest

from tarragonwind.adapters.caller_dialects import UpstreamNotice
from tarragonwind.errors import ErrorKind, NotRun, RequestError
from tarragonwind.platform.callers import MAX_HOLD_S, NOT_RUN_STATUSES, PlatformDialect

DIALECT = PlatformDialect(random.Random(1))


def refuse(kind, not_run):
    return DIALECT.refuse(RequestError(kind, "given up", 0.25), not_run)


@pytest.mark.parametrize("kind", [ErrorKind.DEADLINE_PASSED, ErrorKind.SHED, ErrorKind.STOPPING])
def test_a_request_that_has_not_run_gets_a_not_run_status_and_retry_after(kind):
    answer = refuse(kind, NotRun.TRUE)
    assert answer.status in NOT_RUN_STATUSES
    assert (b"Retry-After", b"0.250") in answer.headers


@pytest.mark.parametrize("kind", [ErrorKind.DEADLINE_PASSED, ErrorKind.SHED, ErrorKind.STOPPING])
def test_a_request_that_may_have_run_gets_neither(kind):
    answer = refuse(kind, NotRun.UNKNOWN)
    assert answer.status not in NOT_RUN_STATUSES
    assert all(name != b"Retry-After" for name, _ in answer.headers)


def test_a_caller_error_keeps_its_own_status():
    assert refuse(ErrorKind.UNKNOWN_ROUTE, NotRun.TRUE).status == 404


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        (200, [], UpstreamNotice()),
        (200, [(b"Server-Leaving", b"1")], UpstreamNotice(leaving=True)),
        (503, [(b"server-leaving", b" 1 ")], UpstreamNotice(leaving=True)),
        (200, [(b"Server-Leaving", b"0")], UpstreamNotice()),
        (503, [(b"Retry-After", b"2.5")], UpstreamNotice(hold_s=2.5)),
        (503, [(b"Retry-After", b"0")], UpstreamNotice()),
        (503, [(b"Retry-After", b"-3")], UpstreamNotice()),
        (503, [(b"Retry-After", b"nan")], UpstreamNotice()),
        (200, [(b"Server-Limit", b" 2.5 ")], UpstreamNotice(limit_per_s=2.5)),
        (503, [(b"server-limit", b"0")], UpstreamNotice(limit_per_s=0.0)),
        (200, [(b"Server-Brittle", b" 2 ")], UpstreamNotice(rejections_per_s=2)),
        (503, [(b"server-brittle", b"0")], UpstreamNotice(rejections_per_s=0)),
        (200, [(b"Server-Brittle", b"some")], UpstreamNotice()),
        (200, [(b"Cold-Ms", b"2500")], UpstreamNotice(cold_s=2.5)),
        (200, [(b"Cold-Ms", b"0")], UpstreamNotice(cold_s=0.0)),
        (200, [(b"Cold-Ms", b"-4")], UpstreamNotice()),
        (200, [(b"Cold-Ms", b"99999999999")], UpstreamNotice(cold_s=3600.0)),
        (200, [(b"Server-Limit", b"-1")], UpstreamNotice()),
        (200, [(b"Server-Limit", b"inf")], UpstreamNotice()),
        (200, [(b"Server-Limit", b"many")], UpstreamNotice()),
        (503, [(b"Retry-After", b"Fri, 04 Dec 2026 09:00:00 GMT")], UpstreamNotice()),
        (503, [(b"Retry-After", b"864000")], UpstreamNotice(hold_s=MAX_HOLD_S)),
        (503, [(b"Retry-After", b"inf")], UpstreamNotice(hold_s=MAX_HOLD_S)),
        (429, [(b"Retry-After", b"2.5")], UpstreamNotice()),
    ],
)
def test_notices_in_the_head_of_a_response(status, headers, notice):
    assert DIALECT.read_notice(status, headers) == notice


@pytest.mark.parametrize(
    ("status", "fields", "encoded"),
    [
        (200, [], False),
        (200, [(b"Content-Encoding", b"gzip")], True),
        (206, [(b"content-encoding", b" BR ")], True),
        (200, [(b"Content-Encoding", b"identity"), (b"Content-Encoding", b"x")], True),
        (200, [(b"Content-Encoding", b" Identity ")], False),
        (200, [(b"Content-Encoding", b"")], False),
        (500, [(b"Content-Encoding", b"gzip")], False),
    ],
)
def test_an_encoded_success_is_not_the_upstreams(status, fields, encoded):
    headers = [(b"Server-Seal", b"s"), (b"Attempt-Id", b"a"), *fields]
    assert DIALECT.identify_response("a", status, headers).encoded is encoded
