"""Define the recorded verdict on a move: done or taken back."""

from __future__ import annotations

import enum
import json

from tarragonwind.records import dataclass

VERDICT_KIND = "verdict"


class MoveOutcome(enum.Enum):
    """Enumerate the outcomes of a move."""

    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class MoveVerdict:
    """Hold the final verdict on one move; it never changes once recorded.

    Attributes
    ----------
    move : str
        Name of the move.
    outcome : MoveOutcome
        How it ended.
    host : str
        Name of the host that recorded it.
    decided_at : float
        Time of the decision, in seconds since the epoch.
    why : str
        Evidence in one sentence, for operators.
    """

    move: str
    outcome: MoveOutcome
    host: str
    decided_at: float
    why: str = ""

    @property
    def key(self) -> str:
        """Return the verdict's key in the catalogue."""
        return f"{VERDICT_KIND}/{self.move}"


def pack_verdict(verdict: MoveVerdict) -> bytes:
    """Encode a verdict as canonical JSON."""
    doc = {
        "move": verdict.move,
        "outcome": verdict.outcome.value,
        "host": verdict.host,
        "decided_at": verdict.decided_at,
        "why": verdict.why,
    }
    return json.dumps(doc, sort_keys=True, separators=(",", ":")).encode()


def unpack_verdict(packed: bytes) -> MoveVerdict:
    """Decode a verdict from JSON.

    Raises
    ------
    KeyError, TypeError, ValueError
        If `packed` is not the JSON of a verdict.
    """
    doc = json.loads(packed)
    return MoveVerdict(
        str(doc["move"]),
        MoveOutcome(doc["outcome"]),
        str(doc["host"]),
        float(doc["decided_at"]),
        str(doc["why"]),
    )
