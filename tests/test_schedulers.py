"""Test what the scheduler of a host adds to clients and owners: checks at dispatch, evidence."""

import random

from bench.virtual_clocks import VirtualTimers
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.changes import pack_entry
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.permit_requests import Permit
from tarragonwind.core.schedulers import DispatchReport, Work
from tarragonwind.errors import ErrorKind
from tarragonwind.move_runners import MoveRunner
from tarragonwind.ports import Members, Peers
from tarragonwind.schedulers import PermitScheduler
from tests.catalogue_samples import chain_changes, pool, upstream


class OneMember(Members):
    """Be the only live host."""

    name = "entry-1"

    def live(self):
        return (self.name,)

    def owner_of(self, key):
        return self.name

    def subscribe(self, callback):
        pass


class SelfPeers(Peers):
    """Deliver messages to this host on the next pass."""

    def __init__(self, timers):
        self.timers = timers
        self.subscribers = {}

    def send(self, host, msg):
        for callback in self.subscribers.get(type(msg), ()):
            self.timers.call_later(0.0, lambda callback=callback: callback(host, msg))
        return True

    def subscribe(self, cls, callback):
        self.subscribers.setdefault(cls, []).append(callback)


class Site:
    """Hold one host's scheduler over fakes."""

    def __init__(self, *entries):
        self.timers = VirtualTimers()
        peers = SelfPeers(self.timers)
        rng = random.Random(1)
        moves = MoveRunner(OneMember(), peers, self.timers, rng, None, 1)
        self.scheduler = PermitScheduler(OneMember(), peers, self.timers, rng, moves)
        self.granted = []
        self.refused = []
        self.put(*entries)
        self.timers.advance(1.0)

    def put(self, *entries):
        edits = [(entry.key, pack_entry(entry)) for entry in entries]
        catalogue = Catalogue().with_changes(chain_changes(Catalogue(), edits))
        self.scheduler.set_catalogue(catalogue)

    def ask(self, **fields):
        deadline = self.timers.now() + 5.0
        work = Work("drafting", "trade", "officina", 2, deadline, max_tokens=10, **fields)
        ask_id = self.scheduler.ask(work, self.granted.append, self.refused.append)
        self.timers.advance(0.5)
        return ask_id


def test_a_permit_is_granted_and_frees_its_place_when_it_is_given_back():
    site = Site(pool(), upstream(slots=1))
    site.ask()
    site.ask()
    assert [permit.upstream for permit in site.granted] == ["engine-1"]
    site.scheduler.dispatched(site.granted[0])
    site.scheduler.finished(site.granted[0], DispatchReport(Outcome.OK, 0.1, 0.2, 10))
    site.timers.advance(0.5)
    assert len(site.granted) == 2


def test_a_refusal_says_its_kind_and_when_to_come_back():
    site = Site(pool(), upstream(state="leaving"))
    site.ask()
    assert [(exc.kind, exc.retry_after_s > 0) for exc in site.refused] == [
        (ErrorKind.NO_UPSTREAM, True)
    ]


def test_a_permit_for_an_upstream_that_has_begun_to_leave_is_not_used():
    site = Site(pool(), upstream(), upstream("engine-2", port=9002))
    permits = [Permit(1, "drafting", name, "v1", "") for name in ("engine-1", "engine-2", "gone")]
    assert [site.scheduler.may_dispatch(permit) for permit in permits] == [True, True, False]
    site.put(pool(), upstream(state="leaving"), upstream("engine-2", port=9002))
    assert [site.scheduler.may_dispatch(permit) for permit in permits] == [False, True, False]


def test_a_cancelled_ask_is_granted_nothing():
    site = Site(pool(), upstream(slots=1))
    site.ask()
    waiting = site.ask()
    site.scheduler.cancel(waiting)
    site.scheduler.finished(site.granted[0], DispatchReport(Outcome.UNUSED))
    site.timers.advance(0.5)
    assert len(site.granted) == 1


def test_an_answer_whose_tokens_were_not_counted_teaches_nothing():
    site = Site(pool(), upstream())
    before = site.scheduler.estimate(Work("drafting", "trade", "officina", 2, 9.0, 400, 500))
    for tokens in (0, 0, 0):
        site.ask()
        site.scheduler.finished(site.granted[-1], DispatchReport(Outcome.OK, 0.1, 0.2, tokens))
    work = Work("drafting", "trade", "officina", 2, 9.0, 400, 500)
    assert site.scheduler.estimate(work) == before
    site.ask()
    site.scheduler.finished(site.granted[-1], DispatchReport(Outcome.OK, 0.1, 0.2, 3))
    assert site.scheduler.estimate(work).cost_tokens < before.cost_tokens
