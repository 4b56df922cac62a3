"""Define the messages between daemons about moves between versions."""

from __future__ import annotations

from tarragonwind.messages import Message, added_field, message
from tarragonwind.records import dataclass

UNKNOWN_COUNT = -1
"""Value of `MoveReport.others` from a host that doesn't tell it."""


@message(50)
@dataclass(slots=True)
class MoveReport(Message):
    """Report a host's outcomes of one move to the daemons that judge it.

    Attributes
    ----------
    move_id : str
        Identity of the move.
    incarnation : int
        Number of the reporting process; counts from its earlier processes are kept.
    sequence : int
        Number of the report within the incarnation.
    sent_at : float
        Time of sending, in seconds since the epoch.
    step : int
        Step of the share in force at the host.
    step_since : float
        Time from which that step has been in force, in seconds since the epoch.
    taken_back : str
        Why the move was taken back, empty if the host has no such fact.
    rows : list of list
        Cumulative cells: step, side, route, level and the six counts.
    others : int
        Requests of the host that hold a permit for another version than the new one; unknown from
        a host below level 3.
    longest_ms : int
        Longest time of a request of the old version that ended well lately, in milliseconds; 0
        from a host below level 3.
    """

    move_id: str
    incarnation: int
    sequence: int
    sent_at: float
    step: int
    step_since: float
    taken_back: str
    rows: list[list]
    others: int = added_field(3, UNKNOWN_COUNT)
    longest_ms: int = added_field(3, 0)


@message(51)
@dataclass(slots=True)
class MoveShare(Message):
    """Send a host the step of the share, and acknowledge its report.

    Attributes
    ----------
    move_id : str
        Identity of the move.
    incarnation : int
        Number of the judging process.
    step : int
        Step of the share.
    step_since : float
        Time from which the step has been in force, in seconds since the epoch.
    acknowledged : int
        Highest sequence received from the host's current incarnation, 0 for none.
    why : str
        Why the move is at this step.
    report_often : bool
        Whether the host should report at the minimum period.
    in_doubt : bool
        Whether the new version gets the share of the first step instead.
    """

    move_id: str
    incarnation: int
    step: int
    step_since: float
    acknowledged: int
    why: str
    report_often: bool
    in_doubt: bool = False


@message(52)
@dataclass(slots=True)
class MoveFacts(Message):
    """Gossip the final facts about moves: rollbacks and recorded results.

    Attributes
    ----------
    facts : list of list
        Move id, reason for taking it back (empty for none), recorded result (empty for none) and
        the reason recorded with it.
    """

    facts: list[list[str]]
