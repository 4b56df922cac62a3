"""Hash growing prefixes of a prompt, so that requests that share a beginning can be matched."""

from __future__ import annotations

import xxhash

BLOCK_CHARACTERS = 256
"""Characters of a prompt block; upstreams report their caches in the same blocks."""
MAX_PREFIXES = 8
HASH_MASK = 0xFFFF_FFFF


def hash_prefixes(prompt: str) -> list[int]:
    """Return 32-bit hashes of prefixes of a prompt, the shortest first.

    The prefixes double in length from one block on, so that a few hashes tell how much of a long
    prompt is shared.

    Parameters
    ----------
    prompt : str
        Whole text.

    Returns
    -------
    list of int
        At most `MAX_PREFIXES` hashes; empty when the prompt is shorter than one block.
    """
    blocks = len(prompt) // BLOCK_CHARACTERS
    hashes: list[int] = []
    state = xxhash.xxh64()
    done = 0
    count = 1
    while count <= blocks and len(hashes) < MAX_PREFIXES:
        end = count * BLOCK_CHARACTERS
        state.update(prompt[done:end].encode())
        hashes.append(state.intdigest() & HASH_MASK)
        done = end
        count *= 2
    return hashes
