"""Define the record that the store holds for one idempotency key."""

from __future__ import annotations

import enum
import hashlib
import json

from tarragonwind.core.changes import canonical_json
from tarragonwind.records import dataclass

KEY_DIGEST_BYTES = 20
"""Length of the digest that identifies a key in the store, in bytes."""


class ClaimState(enum.Enum):
    """Define how far the request of a key may have progressed."""

    CLAIMED = "claimed"
    """Exactly one host may dispatch the request, and may already have done so."""
    DONE = "done"
    """The request was executed and answered."""
    RELEASED = "released"
    """The request was never dispatched; the key is free."""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Hold the claim that is stored under one key.

    Attributes
    ----------
    claim_id : str
        Unique id of the claim.
    host : str
        Name of the daemon that made the claim.
    at : float
        Time of the claim, in seconds since the epoch.
    state : ClaimState
        How far the request may have progressed.
    """

    claim_id: str
    host: str
    at: float
    state: ClaimState


def digest_key(organisation: str, route: str, idempotency_key: str) -> str:
    """Return the digest that identifies a key in the store without revealing it."""
    text = "\0".join((organisation, route, idempotency_key))
    return hashlib.blake2b(text.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


def pack_claim(record: ClaimRecord) -> bytes:
    """Encode a record as canonical JSON."""
    doc = {
        "at": record.at,
        "claim_id": record.claim_id,
        "host": record.host,
        "state": record.state.value,
    }
    return canonical_json(doc)


def unpack_claim(value: bytes) -> ClaimRecord:
    """Decode a record; raise KeyError, TypeError or ValueError if the value is malformed."""
    doc = json.loads(value)
    return ClaimRecord(
        str(doc["claim_id"]), str(doc["host"]), float(doc["at"]), ClaimState(doc["state"])
    )
