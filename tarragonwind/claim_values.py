"""Define the in-memory claim, its store encoding and the error for a claimed key."""

from __future__ import annotations

from tarragonwind.core.claim_records import ClaimRecord, ClaimState, pack_claim, unpack_claim
from tarragonwind.errors import ErrorKind, RequestError, StoreError
from tarragonwind.ports import Compare, KeyValue, Put
from tarragonwind.records import dataclass
from tarragonwind.shared_leases import SharedLease

IN_USE_RETRY_AFTER_S = 2.0


@dataclass(slots=True, eq=False)
class Claim:
    """Represent one key that this daemon has claimed.

    Attributes
    ----------
    key : str
        Digest of organisation, route and idempotency key.
    record : ClaimRecord
        Last state of the stored record that this daemon knows.
    mod_revision : int
        Store revision of the last write of the claim.
    lease : SharedLease
        Lease that the stored claim is bound to.
    """

    key: str
    record: ClaimRecord
    lease: SharedLease
    mod_revision: int = 0


def build_claim_write(prefix: str, claim: Claim, mod_revision: int) -> tuple[Compare, Put]:
    """Build the write of a claim, on condition that its key was last written at a revision."""
    name = prefix + claim.key
    put = Put(name, pack_claim(claim.record), claim.lease.lease_id)
    return Compare(name, mod_revision), put


def decode_claim(item: KeyValue) -> ClaimRecord:
    """Decode a stored claim; raise StoreError if the value is malformed."""
    try:
        return unpack_claim(item.value)
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError(f"the value at {item.key} is not a valid claim: {exc!r:.80}") from exc


def build_conflict_error(state: ClaimState) -> RequestError:
    """Build the error for a key that is already claimed."""
    if state is ClaimState.DONE:
        return RequestError(ErrorKind.KEY_ALREADY_RUN, "the work under this key was run")
    return RequestError(
        ErrorKind.KEY_IN_USE,
        "the work under this key was begun; its outcome is not known here",
        IN_USE_RETRY_AFTER_S,
    )
