"""Work out how much memory a caller's body needs before it is read."""

from __future__ import annotations

from tarragonwind.adapters.connections import READ_CHUNK_BYTES

BODY_COPIES = 2
"""Copies of a body that are held at a time: the caller's, and the one that is sent upstream."""
CHUNKED_STEP_BYTES = 256 * 1024
"""Room that is reserved at a time for a body of unknown length, in bytes."""


def room_for_body(announced_bytes: int | None, read_bytes: int, max_bytes: int) -> int:
    """Return the memory that the next bytes of a body need, in bytes.

    Parameters
    ----------
    announced_bytes : int or None
        Length of the body, None if it is unknown.
    read_bytes : int
        Bytes of it that have been read.
    max_bytes : int
        Maximum length of a body.
    """
    size = announced_bytes
    if size is None:
        size = read_bytes + READ_CHUNK_BYTES
        size += CHUNKED_STEP_BYTES - size % CHUNKED_STEP_BYTES
    return BODY_COPIES * min(size, max_bytes)
