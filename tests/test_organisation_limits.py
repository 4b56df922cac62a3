"""Test the request limits of organisations and routes on one host."""

import pytest

from tarragonwind.core.entries import OrganisationEntry, RouteEntry
from tarragonwind.core.organisation_limits import OrganisationLimits
from tarragonwind.errors import ErrorKind, RequestError


def create_organisation(**fields):
    return OrganisationEntry(name="a", owner="ops", token_sha256=[], **fields)


def create_route(**fields):
    return RouteEntry(name="chat", owner="ops", pool="drafting", tier=0, **fields)


def assert_refused(limits, now, organisation, route):
    with pytest.raises(RequestError) as caught:
        limits.admit(now, organisation, route)
    assert caught.value.kind is ErrorKind.OVER_LIMIT
    return caught.value.retry_after_s


def test_requests_in_progress_are_limited_by_organisation():
    limits = OrganisationLimits()
    organisation = create_organisation(max_in_progress=2)
    first = limits.admit(0.0, organisation, create_route())
    limits.admit(0.0, organisation, create_route())
    assert_refused(limits, 0.0, organisation, create_route())
    limits.end(0.5, first)
    limits.end(0.5, first)
    limits.admit(0.5, organisation, create_route())
    assert_refused(limits, 0.5, organisation, create_route())
    assert limits.in_progress("a") == 2


def test_requests_in_progress_are_limited_by_route():
    limits = OrganisationLimits()
    route = create_route(max_in_progress=1)
    limits.admit(0.0, create_organisation(), route)
    assert_refused(limits, 0.0, create_organisation(), route)


def test_request_is_admitted_after_retry_after_and_not_before():
    limits = OrganisationLimits()
    organisation = create_organisation(requests_per_s=0.5)
    limits.admit(10.0, organisation, create_route())
    retry_after_s = assert_refused(limits, 10.5, organisation, create_route())
    assert retry_after_s == pytest.approx(1.5, abs=0.01)
    assert_refused(limits, 10.4 + retry_after_s, organisation, create_route())
    limits.admit(10.5 + retry_after_s, organisation, create_route())


def test_refused_request_is_not_counted():
    limits = OrganisationLimits()
    organisation = create_organisation(requests_per_s=1.0)
    limits.admit(0.0, organisation, create_route())
    for _ in range(50):
        assert_refused(limits, 0.5, organisation, create_route())
    assert limits.in_progress("a") == 1
    limits.admit(1.0, organisation, create_route())


def test_state_of_idle_organisations_is_dropped():
    limits = OrganisationLimits()
    admission = limits.admit(0.0, create_organisation(max_in_progress=1), create_route())
    limits.evict_idle(1_000.0)
    assert_refused(limits, 1_000.0, create_organisation(max_in_progress=1), create_route())
    limits.end(1_000.0, admission)
    limits.evict_idle(2_000.0)
    assert limits.in_progress("a") == 0
