"""Test that reports of engines are hints: read when they are right, and harmless when not."""

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


class AnsweringHttp(HttpTransport):
    """Answer each target with a document, bytes or an error."""

    def __init__(self):
        self.answers = {}
        self.asked = []

    def fetch(self, address, req, timeout_s):
        self.asked.append(req.target)
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


class OwnerFake:
    """Stand for the owners of one pool."""

    def __init__(self):
        self.hints = PrefixHints()
        self.reports = []

    def active_pools(self):
        return ["drafting"]

    def owner(self, _pool):
        return self

    def on_load_report(self, _now, upstream_name, in_flight, age_s):
        self.reports.append((upstream_name, in_flight, round(age_s, 3)))


class Site:
    """Hold the reader with fakes on both sides."""

    def __init__(self):
        self.timers = VirtualTimers()
        self.http = AnsweringHttp()
        self.owners = OwnerFake()
        reports = UpstreamReports(self.http, self.timers, self.owners)
        edits = [(entry.key, pack_entry(entry)) for entry in (pool(), upstream())]
        reports.set_catalogue(Catalogue().with_changes(chain_changes(Catalogue(), edits)))
        self.http.answers["/cache_events"] = {"events": []}
        self.report(running=2, waiting=1, as_of=self.timers.wall())

    def report(self, **fields):
        self.http.answers["/load"] = fields

    def tell_cache(self, *events):
        self.http.answers["/cache_events"] = {"events": list(events)}


def test_load_reports_reach_the_owner_with_their_age():
    site = Site()
    site.report(running=2, waiting=1, as_of=site.timers.wall() - 3.0)
    site.timers.advance(1.0)
    assert site.owners.reports == [("engine-1", 3, 4.0)]


def test_cache_events_become_hints_and_are_asked_for_from_the_last_on():
    site = Site()
    site.tell_cache([5, "stored", 7], [9, "stored", 8], [10, "removed", 7])
    site.timers.advance(1.0)
    assert site.owners.hints.cached_share("engine-1", (8,)) > 0.0
    assert site.owners.hints.cached_share("engine-1", (7,)) == 0.0
    site.timers.advance(1.0)
    assert site.http.asked[-1] == "/cache_events?after=10"


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
def test_an_engine_that_answers_nonsense_changes_nothing_and_is_asked_again(answer):
    site = Site()
    site.http.answers["/load"] = answer
    site.timers.advance(3.0)
    assert site.owners.reports == []
    site.report(running=1, waiting=0, as_of=site.timers.wall())
    site.timers.advance(1.0)
    assert [report[:2] for report in site.owners.reports] == [("engine-1", 1)]


@pytest.mark.parametrize("event", [7, [1, 2], ["x", "stored", 1], [1, "stored", "x"], [1, 2, 3]])
def test_a_malformed_cache_event_gives_no_hint(event):
    site = Site()
    site.tell_cache(event)
    site.timers.advance(1.0)
    assert site.owners.hints.cached_share("engine-1", (1, 2, 3)) == 0.0
