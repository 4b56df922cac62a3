"""Classify the outcomes of dispatches and decide whether a request may be retried."""

from __future__ import annotations

import enum

from tarragonwind.core.permit_messages import Outcome as PermitOutcome
from tarragonwind.records import dataclass

MAX_UNSENT_ATTEMPTS = 3
"""Maximum number of dispatches of one request that did not reach the selected upstream."""
MAX_OUTDATED_GRANTS = 32
"""Maximum number of grants of one request for upstreams that this host knows to be out of use. An
owner that hears of an evacuation later may grant several of them before it is told."""


class DispatchOutcome(enum.Enum):
    """Outcomes of a dispatch."""

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    """The upstream stated that it has not run the request."""
    MISDIRECTED = "misdirected"
    """A different upstream has the address; it has not run the request."""
    FAILURE_ANSWER = "failure_answer"
    """A complete response with a failure status, not yet forwarded to the caller."""
    FAILED_BEFORE_ANSWER = "failed_before_answer"
    BROKEN = "broken"
    """The response was interrupted and the response to the caller is still open."""
    CUT = "cut"
    CALLER_LEFT = "caller_left"
    DEADLINE_PASSED = "deadline_passed"


PERMIT_OUTCOMES: dict[DispatchOutcome, PermitOutcome] = {
    DispatchOutcome.WHOLE: PermitOutcome.OK,
    DispatchOutcome.NOT_SENT: PermitOutcome.CONNECT_FAILED,
    DispatchOutcome.REFUSED: PermitOutcome.REFUSED,
    DispatchOutcome.MISDIRECTED: PermitOutcome.CONNECT_FAILED,
    DispatchOutcome.FAILURE_ANSWER: PermitOutcome.FAILED,
    DispatchOutcome.FAILED_BEFORE_ANSWER: PermitOutcome.FAILED,
    DispatchOutcome.BROKEN: PermitOutcome.FAILED,
    DispatchOutcome.CUT: PermitOutcome.FAILED,
    DispatchOutcome.CALLER_LEFT: PermitOutcome.CANCELLED,
    DispatchOutcome.DEADLINE_PASSED: PermitOutcome.TIMED_OUT,
}
"""Permit outcome that is reported to the scheduler for each dispatch outcome."""

COMPLETE_OUTCOMES = frozenset(
    [DispatchOutcome.WHOLE, DispatchOutcome.REFUSED, DispatchOutcome.FAILURE_ANSWER]
)
"""Outcomes with a complete response of the upstream."""
UNSENT_OUTCOMES = frozenset([DispatchOutcome.NOT_SENT, DispatchOutcome.MISDIRECTED])
"""Outcomes after which the selected upstream has received nothing."""
RETRYABLE_OUTCOMES = frozenset(
    [DispatchOutcome.FAILURE_ANSWER, DispatchOutcome.FAILED_BEFORE_ANSWER, DispatchOutcome.BROKEN]
)
"""Outcomes after which the request may have run."""


@dataclass(slots=True)
class RetryPolicy:
    """Count the dispatches of one request and decide whether it may be retried.

    Attributes
    ----------
    max_attempts : int
        Maximum number of dispatches that reach an upstream.
    repeatable : bool
        Whether the request may run again after a run whose outcome is unknown.
    sent : int
        Dispatches that reached the selected upstream.
    unsent : int
        Dispatches that did not reach the selected upstream.
    outdated : int
        Grants of upstreams that were known to be out of use.
    """

    max_attempts: int
    repeatable: bool
    sent: int = 0
    unsent: int = 0
    outdated: int = 0

    def record_outdated_grant(self) -> None:
        """Count a grant that was not used, since its upstream was out of use."""
        if self.outdated < MAX_OUTDATED_GRANTS:
            self.outdated += 1
        else:
            self.unsent += 1

    def record(self, outcome: DispatchOutcome) -> None:
        """Count a finished dispatch."""
        if outcome in UNSENT_OUTCOMES:
            self.unsent += 1
        else:
            self.sent += 1

    def allows_retry(self, outcome: DispatchOutcome) -> bool:
        """Return True if the request may be dispatched again after a recorded outcome."""
        if outcome in UNSENT_OUTCOMES:
            return self.unsent < MAX_UNSENT_ATTEMPTS
        if self.sent >= self.max_attempts:
            return False
        if outcome is DispatchOutcome.REFUSED:
            return True
        return self.repeatable and outcome in RETRYABLE_OUTCOMES

    @property
    def may_retry_failures(self) -> bool:
        """Return True if a failure response should be buffered, as a retry is possible."""
        return self.repeatable and self.sent + 1 < self.max_attempts
