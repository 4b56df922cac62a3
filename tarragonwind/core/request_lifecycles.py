"""Follow one request from its arrival to its end, and tell what may still be done with it."""

from __future__ import annotations

import enum

from tarragonwind.errors import ERROR_RESPONSES, ErrorKind, NotRun


class LifecycleState(enum.Enum):
    """Name where a request stands."""

    RECEIVED = "received"
    WAITING = "waiting"
    PERMITTED = "permitted"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    ENDED = "ended"


class Outcome(enum.Enum):
    """Name how a request ended."""

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
"""States that may follow each state. Nothing leads back from ``DISPATCHED``."""


class LifecycleError(Exception):
    """Report a step that a request's state does not allow."""


class RequestLifecycle:
    """Hold the state of one request.

    Attributes
    ----------
    state : LifeState
        Where it stands.
    outcome : Outcome or None
        How it ended.
    refusal_proven : bool
        Whether the upstream that it was dispatched to has proved that it did not run.
    may_have_run : bool
        Whether an earlier dispatch may have run; only repeatable requests get there.
    """

    __slots__ = ("may_have_run", "outcome", "refusal_proven", "state")

    def __init__(self) -> None:
        self.state = LifecycleState.RECEIVED
        self.outcome: Outcome | None = None
        self.refusal_proven = False
        self.may_have_run = False

    def advance(self, state: LifecycleState) -> None:
        """Go to the next state.

        Raises
        ------
        LifeError
            When the current state does not allow it; a second dispatch is one such step.
        """
        if state not in TRANSITIONS[self.state]:
            raise LifecycleError(f"a request can't go from {self.state.value} to {state.value}")
        self.state = state

    def reset_for_retry(self, repeatable: bool) -> None:
        """Go back to waiting after a dispatch that has ended, for a dispatch elsewhere.

        Raises
        ------
        LifeError
            When the request may have run and must not run twice.
        """
        if self.dispatched and not self.refusal_proven:
            if not repeatable:
                raise LifecycleError("a request that may have run must not be dispatched again")
            self.may_have_run = True
        self.refusal_proven = False
        self.state = LifecycleState.RECEIVED

    def end(self, outcome: Outcome) -> None:
        """End the request; a second end is ignored."""
        if self.state is LifecycleState.ENDED:
            return
        self.outcome = outcome
        self.state = LifecycleState.ENDED

    @property
    def ended(self) -> bool:
        """Tell whether the request has ended."""
        return self.state is LifecycleState.ENDED

    @property
    def dispatched(self) -> bool:
        """Tell whether a byte may have reached an upstream."""
        return self.state in (LifecycleState.DISPATCHED, LifecycleState.STREAMING)

    def not_run(self, kind: ErrorKind) -> NotRun:
        """Tell what a refusal of one kind may say about the work.

        Parameters
        ----------
        kind : ErrorKind
            Kind of the refusal.

        Returns
        -------
        NotRun
            The kind's word, but never ``TRUE`` once the request was dispatched without a proof.
        """
        said = ERROR_RESPONSES[kind].not_run
        unproven = self.dispatched and not self.refusal_proven
        if said is NotRun.TRUE and (unproven or self.may_have_run):
            return NotRun.UNKNOWN
        return said
