"""Test the polling of engine reports; invalid reports must have no effect."""

import json

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.changes import pack_entry
from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.futures import Future
from tarragonwind.ports import HttpError, HttpResponse, HttpTransport
from tarragonwind.upstream_reports import UpstreamReports
from tests.catalogue_samples import chain_changes, pool, upstream


class FakeHttp(HttpTransport):
    """Fake HTTP client with a document, bytes or an error for each path."""

    def __init__(self):
        self.answers = {}
        self.requested = []

    def fetch(self, address, req, timeout_s):
        self.requested.append(req.target)
        answer = self.answers[req.target.partition("?")[0]]
        fut = Future()
        if isinstance(answer, Exception):
            fut.set_exception(answer)
        else:
            body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
            fut.set_result(HttpResponse(200, [], body))
        return fut

    def stream(self, address, req, on_data, on_end):
        raise NotImplementedError


class FakeOwners:
    """Fake pool owners with one pool; also its owner."""

    def __init__(self):
        self.hints = PrefixHints()
        self.reports = []

    def active_pools(self):
        return ["drafting"]

    def owner(self, _pool):
        return self

    def on_load_report(self, _now, upstream_name, in_flight, age_s):
        self.reports.append((upstream_name, in_flight, round(age_s, 3)))


class Harness:
    """Run `UpstreamReports` against fake engines and owners."""

    def __init__(self):
        self.timers = VirtualTimers()
        self.http = FakeHttp()
        self.owners = FakeOwners()
        reports = UpstreamReports(self.http, self.timers, self.owners)
        edits = [(entry.key, pack_entry(entry)) for entry in (pool(), upstream())]
        reports.set_catalogue(Catalogue().with_changes(chain_changes(Catalogue(), edits)))
        self.http.answers["/cache_events"] = {"events": []}
        self.set_load_report(running=2, waiting=1, as_of=self.timers.wall())

    def set_load_report(self, **fields):
        self.http.answers["/load"] = fields

    def set_cache_events(self, *events):
        self.http.answers["/cache_events"] = {"events": list(events)}


def test_load_reports_are_passed_to_the_owner_with_their_age():
    harness = Harness()
    harness.set_load_report(running=2, waiting=1, as_of=harness.timers.wall() - 3.0)
    harness.timers.advance(1.0)
    assert harness.owners.reports == [("engine-1", 3, 4.0)]


def test_cache_events_become_hints_and_polling_continues_after_the_last():
    harness = Harness()
    harness.set_cache_events([5, "stored", 7], [9, "stored", 8], [10, "removed", 7])
    harness.timers.advance(1.0)
    assert harness.owners.hints.cached_share("engine-1", (8,)) > 0.0
    assert harness.owners.hints.cached_share("engine-1", (7,)) == 0.0
    harness.timers.advance(1.0)
    assert harness.http.requested[-1] == "/cache_events?after=10"


@pytest.mark.parametrize(
    "answer",
    [
        HttpError("connect timed out", sent=False),
        b"no json",
        b"[" * 100_000,
        ["no", "object"],
        {"running": -1, "waiting": 0, "as_of": 0.0},
        {"running": True, "waiting": 0, "as_of": 0.0},
        {"running": 1, "waiting": 0},
    ],
)
def test_invalid_load_report_is_ignored_and_polling_continues(answer):
    harness = Harness()
    harness.http.answers["/load"] = answer
    harness.timers.advance(3.0)
    assert harness.owners.reports == []
    harness.set_load_report(running=1, waiting=0, as_of=harness.timers.wall())
    harness.timers.advance(1.0)
    assert [report[:2] for report in harness.owners.reports] == [("engine-1", 1)]


@pytest.mark.parametrize("event", [7, [1, 2], ["x", "stored", 1], [1, "stored", "x"], [1, 2, 3]])
def test_malformed_cache_event_is_ignored(event):
    harness = Harness()
    harness.set_cache_events(event)
    harness.timers.advance(1.0)
    assert harness.owners.hints.cached_share("engine-1", (1, 2, 3)) == 0.0
