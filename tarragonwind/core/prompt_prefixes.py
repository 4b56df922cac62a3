"""Hash growing prefixes of a prompt, so that requests that share a beginning can be matched."""

from __future__ import annotations

import xxhash

BLOCK_CHARACTERS = 256
"""Characters of a prompt block; upstreams report their caches in the same blocks."""
MAX_PREFIXES = 8
HASH_MASK = 0xFFFF_FFFF


def hash_prefixes(prompt: str) -> list[int]:
    """Return 32-bit hashes of evenly spaced prefixes of a prompt, the shortest first.

    The distance between two prefixes is a power of two blocks, so that prompts of like lengths
    that begin alike have prefixes in common.

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
    stride = 1
    while blocks // stride > MAX_PREFIXES:
        stride *= 2
    characters = stride * BLOCK_CHARACTERS
    state = xxhash.xxh64()
    hashes: list[int] = []
    for number in range(blocks // stride):
        state.update(prompt[number * characters : (number + 1) * characters].encode())
        hashes.append(state.intdigest() & HASH_MASK)
    return hashes
