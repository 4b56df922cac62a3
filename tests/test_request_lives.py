"""Test the life of a request: nothing leads back from a dispatch, and "not run" is true."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tarragonwind.core.request_lives import LifeError, LifeState, Outcome, RequestLife
from tarragonwind.errors import ErrorKind, NotRun


class LifeMachine(RuleBasedStateMachine):
    """Drive a life by any steps and remember whether a byte may have left."""

    def __init__(self) -> None:
        super().__init__()
        self.life = RequestLife()
        self.dispatches = 0

    @rule(state=st.sampled_from(list(LifeState)))
    def advance(self, state):
        try:
            self.life.advance(state)
        except LifeError:
            return
        self.dispatches += state is LifeState.DISPATCHED

    @rule()
    def prove_refusal(self):
        if self.life.state is LifeState.DISPATCHED:
            self.life.refusal_proven = True

    @invariant()
    def dispatched_at_most_once(self):
        assert self.dispatches <= 1

    @invariant()
    def not_run_is_true(self):
        if self.life.dispatched and not self.life.refusal_proven:
            said = [self.life.not_run(kind) for kind in ErrorKind]
            assert NotRun.TRUE not in said


LifeMachine.TestCase.settings = settings(derandomize=True, max_examples=200, deadline=None)
TestLifeMachine = LifeMachine.TestCase


def test_a_second_end_is_ignored():
    life = RequestLife()
    life.end(Outcome.REFUSED)
    life.end(Outcome.ANSWERED)
    assert life.outcome is Outcome.REFUSED


def test_a_second_dispatch_is_an_error():
    life = RequestLife()
    for state in (LifeState.WAITING, LifeState.PERMITTED, LifeState.DISPATCHED):
        life.advance(state)
    with pytest.raises(LifeError):
        life.advance(LifeState.WAITING)
