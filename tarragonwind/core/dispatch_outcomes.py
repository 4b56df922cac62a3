"""Classify the outcomes of dispatches, and word the refusals of requests."""

from __future__ import annotations

from tarragonwind.core.move_trials import Outcome as TrialOutcome
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.errors import ErrorKind

TOO_LARGE_MESSAGE = "the prompt and the maximum of the output exceed the memory of an engine"

REFUSAL_MESSAGES: dict[ErrorKind, str] = {
    ErrorKind.SHED: "capacity is short and more important requests come first",
    ErrorKind.DEADLINE_UNMEETABLE: "the deadline can't be met with the work that waits",
    ErrorKind.DEADLINE_PASSED: "the deadline passed while the request waited",
    ErrorKind.NO_UPSTREAM: "no upstream of the pool takes work now",
}

FAILURE_OUTCOMES = frozenset(
    [
        Outcome.CONNECT_FAILED,
        Outcome.FAILED,
        Outcome.REFUSED,
        Outcome.TIMED_OUT,
        Outcome.CONNECTION_LOST,
    ]
)
"""Outcomes that count as failures of the version that served the request."""


PATH_OUTCOMES = frozenset(
    [Outcome.CONNECT_FAILED, Outcome.FAILED, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST]
)
"""Outcomes that a lost path to the upstream can cause as well."""


def trial_outcome(outcome: Outcome, is_complete: bool) -> TrialOutcome:
    """Map the outcome of a dispatch to the trial outcome of the version that served it."""
    if outcome is Outcome.OK:
        return TrialOutcome.OK
    if outcome not in FAILURE_OUTCOMES:
        return TrialOutcome.IGNORED
    return TrialOutcome.FAILED if is_complete else TrialOutcome.UNANSWERED
