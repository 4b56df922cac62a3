"""Give freed memory back to the operating system, where the C library has the calls for it."""

from __future__ import annotations

import ctypes
import gc
from collections.abc import Callable

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 256 * 1024
"""Size from which a block is mapped by itself, so that its memory returns when it is freed. The C
library would raise it to the size of the largest freed block, and bodies would split the heap."""
SPARE_BYTES = 1024 * 1024
"""Free memory at the end of the heap above which it is returned."""


def _find_call(name: str) -> Callable[..., int] | None:
    try:
        found: Callable[..., int] = getattr(ctypes.CDLL(None), name)
    except (OSError, AttributeError):
        return None
    return found


def map_large_blocks() -> None:
    """Have large blocks returned when they are freed; no effect with other C libraries."""
    mallopt = _find_call("mallopt")
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        mallopt(M_TRIM_THRESHOLD, SPARE_BYTES)


_trim = _find_call("malloc_trim")


def release_free_memory() -> None:
    """Collect garbage and return free memory; without ``malloc_trim`` only the former."""
    gc.collect()
    if _trim is not None:
        _trim(0)
