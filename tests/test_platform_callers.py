"""Test what callers on the users' platform are told of requests that were given up."""

import random

import pytest

from tarragonwind.errors import ErrorKind, NotRun, RequestError
from tarragonwind.platform.callers import NOT_RUN_STATUSES, PlatformDialect

DIALECT = PlatformDialect(random.Random(1))


def refuse(kind, not_run):
    return DIALECT.refuse(RequestError(kind, "given up", 0.25), not_run)


@pytest.mark.parametrize("kind", [ErrorKind.DEADLINE_PASSED, ErrorKind.SHED, ErrorKind.STOPPING])
def test_a_request_that_has_not_run_is_refused_with_a_promise_and_a_time_to_come_back(kind):
    answer = refuse(kind, NotRun.TRUE)
    assert answer.status in NOT_RUN_STATUSES
    assert (b"Retry-After", b"0.250") in answer.headers


@pytest.mark.parametrize("kind", [ErrorKind.DEADLINE_PASSED, ErrorKind.SHED, ErrorKind.STOPPING])
def test_a_request_that_may_have_run_is_refused_without_a_promise(kind):
    answer = refuse(kind, NotRun.UNKNOWN)
    assert answer.status not in NOT_RUN_STATUSES
    assert all(name != b"Retry-After" for name, _ in answer.headers)


def test_a_fault_of_the_caller_keeps_its_own_status():
    assert refuse(ErrorKind.UNKNOWN_ROUTE, NotRun.TRUE).status == 404
