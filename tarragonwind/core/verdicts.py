"""Define the recorded answer to whether a move is done or has been taken back."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass

VERDICT_KIND = "verdict"


class MoveOutcome(enum.Enum):
    """Tell how a move ended."""

    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True)
class MoveVerdict:
    """Hold the final answer for one move; it never changes once recorded.

    Attributes
    ----------
    move : str
        Name of the move.
    outcome : MoveOutcome
        How it ended.
    host : str
        Daemon that recorded it.
    decided_at : float
        Time in seconds since the epoch.
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
    """Return the canonical JSON of a verdict."""
    doc = {
        "move": verdict.move,
        "outcome": verdict.outcome.value,
        "host": verdict.host,
        "decided_at": verdict.decided_at,
        "why": verdict.why,
    }
    return json.dumps(doc, sort_keys=True, separators=(",", ":")).encode()


def unpack_verdict(packed: bytes) -> MoveVerdict:
    """Return the verdict of its JSON; raise KeyError, TypeError or ValueError for anything else."""
    doc = json.loads(packed)
    return MoveVerdict(
        str(doc["move"]),
        MoveOutcome(doc["outcome"]),
        str(doc["host"]),
        float(doc["decided_at"]),
        str(doc["why"]),
    )
