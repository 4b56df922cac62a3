"""Define what the store holds about one idempotency key."""

from __future__ import annotations

import enum
import hashlib
import json
from dataclasses import dataclass

from tarragonwind.core.changes import canonical_json

KEY_DIGEST_BYTES = 20
"""Length of the digest that stands for a key in the store, in bytes."""


class ClaimState(enum.Enum):
    """Tell how far the work under a key may have come."""

    CLAIMED = "claimed"
    """One host alone may dispatch it and may have done so."""
    DONE = "done"
    """It was performed and answered."""
    RELEASED = "released"
    """It was never dispatched; the key is free."""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Hold the value of one key.

    Attributes
    ----------
    claim_id : str
        Unique id of the claim.
    host : str
        Daemon that claimed it.
    at : float
        Time of the claim in seconds since the epoch.
    state : ClaimState
        How far it may have come.
    """

    claim_id: str
    host: str
    at: float
    state: ClaimState


def digest_key(organisation: str, route: str, idempotency_key: str) -> str:
    """Return the name under which a key is kept; it doesn't tell the key."""
    text = "\0".join((organisation, route, idempotency_key))
    return hashlib.blake2b(text.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


def pack_claim(record: ClaimRecord) -> bytes:
    """Return the value of a record."""
    doc = {
        "at": record.at,
        "claim_id": record.claim_id,
        "host": record.host,
        "state": record.state.value,
    }
    return canonical_json(doc)


def unpack_claim(value: bytes) -> ClaimRecord:
    """Return the record of a value; raise KeyError, TypeError or ValueError for anything else."""
    doc = json.loads(value)
    return ClaimRecord(
        str(doc["claim_id"]), str(doc["host"]), float(doc["at"]), ClaimState(doc["state"])
    )
