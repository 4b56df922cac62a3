"""Compute the key that equal requests share on every host."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from typing import Protocol

DIGEST_BYTES = 8
HASH_DOMAIN = b"tarragonwind-req"
REQUEST_BIT = 1 << 63
"""Bit that is set in each key of a request and in no key of a prompt's part."""
PART_KEY_MASK = REQUEST_BIT - 1
FIELD_LENGTH = struct.Struct(">I")


class HashedRequest(Protocol):
    """Provide the fields of a request that its key depends on."""

    method: str
    target: str
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header field, empty if it is absent."""


def compute_request_key(req: HashedRequest, organisation: str, parts: Sequence[int]) -> int:
    """Return a 64-bit hash of authority, path, caller and body.

    Parameters
    ----------
    req : HashedRequest
        Request with its whole body.
    organisation : str
        Organisation of the caller.
    parts : sequence of int
        Keys of the prompt's parts that other requests may have too.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=HASH_DOMAIN)
    fields = (
        req.method.encode(),
        req.header(b"host").lower(),
        req.target.encode(),
        organisation.encode(),
        struct.pack(f">{len(parts)}Q", *parts),
    )
    for field in fields:
        digest.update(FIELD_LENGTH.pack(len(field)))
        digest.update(field)
    digest.update(req.body)
    return int.from_bytes(digest.digest(), "big") | REQUEST_BIT


def is_request_key(key: int) -> bool:
    """Return whether a key is that of a whole request."""
    return key >= REQUEST_BIT
