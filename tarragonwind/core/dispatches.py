"""Name how a dispatch ended, and decide whether the request may go to another upstream."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tarragonwind.core.permit_messages import Outcome as PermitOutcome

MAX_UNSENT_ATTEMPTS = 3
"""Dispatches without a byte sent, or to an address that another upstream has, for one request."""


class DispatchOutcome(enum.Enum):
    """Name how a dispatch ended."""

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    """The upstream said that it has not performed the work."""
    MISDIRECTED = "misdirected"
    """Another upstream than the wanted one has the address; it has not performed the work."""
    FAILURE_ANSWER = "failure_answer"
    """A whole answer with a failure's status, held back from the caller."""
    FAILED_BEFORE_ANSWER = "failed_before_answer"
    BROKEN = "broken"
    """The answer broke off and the caller's answer is still open."""
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
"""What the scheduler is told of each end."""

UNSENT_OUTCOMES = frozenset([DispatchOutcome.NOT_SENT, DispatchOutcome.MISDIRECTED])
"""Ends after which the wanted upstream has received nothing."""
RETRYABLE_OUTCOMES = frozenset(
    [DispatchOutcome.FAILURE_ANSWER, DispatchOutcome.FAILED_BEFORE_ANSWER, DispatchOutcome.BROKEN]
)
"""Ends after which the work may have been performed."""


@dataclass(slots=True)
class RetryPolicy:
    """Count the dispatches of one request and tell whether there may be one more.

    Attributes
    ----------
    max_attempts : int
        Most upstreams that the request may be sent to.
    repeatable : bool
        Whether the request may run again after a run whose outcome is unknown.
    sent : int
        Upstreams that it was sent to.
    unsent : int
        Dispatches that reached no wanted upstream.
    """

    max_attempts: int
    repeatable: bool
    sent: int = 0
    unsent: int = 0

    def record(self, end: DispatchOutcome) -> None:
        """Count a dispatch that has ended."""
        if end in UNSENT_OUTCOMES:
            self.unsent += 1
        else:
            self.sent += 1

    def allows_retry(self, end: DispatchOutcome) -> bool:
        """Tell whether the request may be dispatched again after an end that was counted."""
        if end in UNSENT_OUTCOMES:
            return self.unsent < MAX_UNSENT_ATTEMPTS
        if self.sent >= self.max_attempts:
            return False
        if end is DispatchOutcome.REFUSED:
            return True
        return self.repeatable and end in RETRYABLE_OUTCOMES

    @property
    def may_retry_failures(self) -> bool:
        """Tell whether a failure's answer is worth holding back for one more attempt."""
        return self.repeatable and self.sent + 1 < self.max_attempts
