"""Track the state of a request from arrival to end and enforce valid transitions."""

from __future__ import annotations

import enum

from tarragonwind.errors import ERROR_RESPONSES, ErrorKind, NotRun


class LifecycleState(enum.Enum):
    """States of a request."""

    RECEIVED = "received"
    WAITING = "waiting"
    PERMITTED = "permitted"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    ENDED = "ended"


class Outcome(enum.Enum):
    """Outcomes of a request."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    UNKNOWN = "unknown"
    CALLER_LEFT = "caller_left"


TRANSITIONS: dict[LifecycleState, frozenset[LifecycleState]] = {
    LifecycleState.RECEIVED: frozenset([LifecycleState.WAITING, LifecycleState.ENDED]),
    LifecycleState.WAITING: frozenset([LifecycleState.PERMITTED, LifecycleState.ENDED]),
    LifecycleState.PERMITTED: frozenset(
        [LifecycleState.DISPATCHED, LifecycleState.WAITING, LifecycleState.ENDED]
    ),
    LifecycleState.DISPATCHED: frozenset([LifecycleState.STREAMING, LifecycleState.ENDED]),
    LifecycleState.STREAMING: frozenset([LifecycleState.ENDED]),
    LifecycleState.ENDED: frozenset(),
}
"""Valid transitions of `advance`. There is none from ``DISPATCHED`` to an earlier state."""


class LifecycleError(Exception):
    """Report an invalid state transition."""


class RequestLifecycle:
    """Hold the state of one request.

    Attributes
    ----------
    state : LifecycleState
        Current state.
    outcome : Outcome or None
        Outcome, None before the end.
    proved_not_run : bool
        Whether it is proved that the last dispatch did not run: the upstream said so, or received
        nothing of the request.
    may_have_run : bool
        Whether an earlier dispatch may have run; only set for repeatable requests.
    """

    __slots__ = ("may_have_run", "outcome", "proved_not_run", "state")

    def __init__(self) -> None:
        self.state = LifecycleState.RECEIVED
        self.outcome: Outcome | None = None
        self.proved_not_run = False
        self.may_have_run = False

    def advance(self, state: LifecycleState) -> None:
        """Change to the next state.

        Raises
        ------
        LifecycleError
            If the transition is invalid, as for a second dispatch.
        """
        if state not in TRANSITIONS[self.state]:
            raise LifecycleError(
                f"invalid transition of a request from {self.state.value} to {state.value}"
            )
        self.state = state

    def prove_not_run(self) -> None:
        """Record a proof that the last dispatch did not run and never will."""
        self.proved_not_run = True

    def reset_for_retry(self, repeatable: bool) -> None:
        """Reset the state after a failed dispatch, for a retry on another upstream.

        Parameters
        ----------
        repeatable : bool
            Whether the request may run more than once.

        Raises
        ------
        LifecycleError
            If the request may have run and must not run twice.
        """
        if self.dispatched and not self.proved_not_run:
            if not repeatable:
                raise LifecycleError("a request that may have run must not be dispatched again")
            self.may_have_run = True
        self.proved_not_run = False
        self.state = LifecycleState.RECEIVED

    def end(self, outcome: Outcome) -> None:
        """End the request; further calls are ignored."""
        if self.state is LifecycleState.ENDED:
            return
        self.outcome = outcome
        self.state = LifecycleState.ENDED

    @property
    def ended(self) -> bool:
        """Return True if the request has ended."""
        return self.state is LifecycleState.ENDED

    @property
    def dispatched(self) -> bool:
        """Return True if a byte may have reached an upstream."""
        return self.state in (LifecycleState.DISPATCHED, LifecycleState.STREAMING)

    def not_run(self, kind: ErrorKind) -> NotRun:
        """Return what a refusal may state about whether the request has run.

        Parameters
        ----------
        kind : ErrorKind
            Kind of the refusal.

        Returns
        -------
        NotRun
            The value for this kind of refusal, but ``UNKNOWN`` instead of ``TRUE`` if the request
            was dispatched without proof that it did not run.
        """
        not_run = ERROR_RESPONSES[kind].not_run
        unproven = self.dispatched and not self.proved_not_run
        if not_run is NotRun.TRUE and (unproven or self.may_have_run):
            return NotRun.UNKNOWN
        return not_run
