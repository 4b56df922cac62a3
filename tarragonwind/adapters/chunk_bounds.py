"""Bound what a body in chunks may announce and how much framing it may have."""

from __future__ import annotations

KEPT_BYTES = 64
"""Bytes kept of the end of the input, which hold the line of a chunk's size."""
FRAMING_PER_BYTE = 8
"""Bytes of framing allowed for each byte of the body; a chunk of one byte has five."""
SPARE_FRAMING_BYTES = 64 * 1024
"""Bytes of framing, extensions and trailers allowed beyond that."""


class ChunkBounds:
    """Follow the input of a body in chunks.

    The parser reports that a chunk begins, not how large it is; its size is read from the input.
    """

    __slots__ = ("_began", "_kept", "_wire_bytes", "body_bytes_in_chunk")

    def __init__(self) -> None:
        self._kept = b""
        self._wire_bytes = 0
        self.body_bytes_in_chunk = 0
        self._began = False

    def begin_chunk(self) -> None:
        """Record that the line of a chunk's size has been parsed."""
        self._began = True
        self.body_bytes_in_chunk = 0

    def end_chunk(self) -> None:
        """Record the end of a chunk."""
        self._began = False

    def take(self, part: bytes | memoryview) -> int:
        """Record input that has been parsed; return the announced bytes that are still to come."""
        self._wire_bytes += len(part)
        missing = self._find_missing(part) if self._began else 0
        self._began = False
        self._kept = (self._kept + bytes(part[-KEPT_BYTES:]))[-KEPT_BYTES:]
        return missing

    def _find_missing(self, part: bytes | memoryview) -> int:
        here = len(part) - self.body_bytes_in_chunk
        text = self._kept + bytes(part[max(0, here - KEPT_BYTES) : here])
        if not text.endswith(b"\r\n"):
            # Trailer fields behind the last chunk.
            return 0
        line = text.removesuffix(b"\r\n").rpartition(b"\n")[2].partition(b";")[0].strip()
        try:
            size = int(line, 16)
        except ValueError:
            # Extensions that are longer than the bytes kept; the limit on the body still holds.
            return 0
        return size - self.body_bytes_in_chunk

    def is_dense(self, body_bytes: int) -> bool:
        """Return whether a tenth or more of the input is framing, as with chunks under 60 bytes."""
        return self._wire_bytes * 9 > 10 * body_bytes

    def has_excess_framing(self, body_bytes: int) -> bool:
        """Return whether there is far more framing than a body of this size needs."""
        framing_bytes = self._wire_bytes - body_bytes
        return framing_bytes > FRAMING_PER_BYTE * body_bytes + SPARE_FRAMING_BYTES
