"""Define a claim as its daemon holds it, and its forms in the store and in a refusal."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.core.claim_records import ClaimRecord, ClaimState, pack_claim, unpack_claim
from tarragonwind.errors import ErrorKind, RequestError, StoreError
from tarragonwind.ports import Compare, KeyValue, Put
from tarragonwind.shared_leases import SharedLease

IN_USE_RETRY_S = 2.0


@dataclass(slots=True, eq=False)
class Claim:
    """Hold one key that this daemon has claimed.

    Attributes
    ----------
    key : str
        Digest of organisation, route and idempotency key.
    record : ClaimRecord
        What the store holds, as far as this daemon knows.
    mod_revision : int
        Revision of the claim's write.
    lease : SharedLease
        Lease that it ends with.
    """

    key: str
    record: ClaimRecord
    lease: SharedLease
    mod_revision: int = 0


def build_claim_write(prefix: str, claim: Claim, mod_revision: int) -> tuple[Compare, Put]:
    """Return the write of a claim over what was last written at a revision."""
    name = prefix + claim.key
    put = Put(name, pack_claim(claim.record), claim.lease.lease_id)
    return Compare(name, mod_revision), put


def decode_claim(item: KeyValue) -> ClaimRecord:
    """Return the record of a key; raise StoreError for a value of another form."""
    try:
        return unpack_claim(item.value)
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError(f"the value at {item.key} is no claim") from exc


def build_conflict_error(state: ClaimState) -> RequestError:
    """Return the error for a key that is taken."""
    if state is ClaimState.DONE:
        return RequestError(ErrorKind.KEY_ALREADY_RUN, "the work under this key was run")
    return RequestError(
        ErrorKind.KEY_IN_USE,
        "the work under this key was begun; its outcome is not known here",
        IN_USE_RETRY_S,
    )
