"""Model which parts of prompts the engines of a pool probably keep in their memory.

Engines report nothing about what they keep. The model follows the grants: parts of granted prompts
are kept once their reading should have ended, and the least recently used ones are evicted when the
memory that running requests leave is used up.
"""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence

from tarragonwind.core.engine_memories import EngineMemories
from tarragonwind.records import dataclass

PromptParts = tuple[tuple[int, int], ...]
"""Identifier and tokens of each part of a prompt, in order."""

HALF_LIFE_S = 120.0
"""Time without use after which a part counts half, in seconds: hosts without the owner grant
requests that the owner doesn't see, and these evict parts too."""
MAX_IDLE_S = 600.0
"""Time without use after which a part counts nothing, in seconds."""
MAX_PARTS = 2_000
"""Maximum number of parts of one engine; the least recently used one is dropped first."""
MAX_EVICTED_PARTS = 16
"""Maximum number of parts looked at for the cost of evictions."""
HIT_WEIGHT = 0.2
"""Weight of one response in the moving average of an engine's hit rate."""
MIN_HIT_RATE = 0.05
"""Lower bound of an engine's hit rate."""


@dataclass(slots=True)
class KeptPart:
    """Describe a part that an engine probably keeps.

    Attributes
    ----------
    tokens : int
        Length of the part, in tokens.
    ready_at : float
        Time at which the engine should have read it, in seconds.
    used_at : float
        Time of the last grant with the part, in seconds.
    uses : int
        Number of grants with the part.
    """

    tokens: int
    ready_at: float
    used_at: float
    uses: int = 1

    def weight(self, now: float) -> float:
        """Return how much the part still counts, 0 to 1."""
        idle_s = max(0.0, now - self.used_at)
        return 0.0 if idle_s > MAX_IDLE_S else 0.5 ** (idle_s / HALF_LIFE_S)


class _EngineParts:
    """Hold the parts of one engine, the least recently used one first."""

    __slots__ = ("hit_rate", "parts", "tokens")

    def __init__(self) -> None:
        self.parts: OrderedDict[int, KeptPart] = OrderedDict()
        self.tokens = 0
        self.hit_rate = 1.0


class KeptPrefixes:
    """Model what the engines of one pool keep.

    Parameters
    ----------
    pool : str
        Name of the pool.
    memories : EngineMemories
        Memory of the engines of each pool.
    """

    __slots__ = ("_engines", "_holders", "_memories", "_pool", "_private_ids")

    def __init__(self, pool: str, memories: EngineMemories) -> None:
        self._pool = pool
        self._memories = memories
        self._engines: dict[str, _EngineParts] = {}
        self._holders: dict[int, dict[str, None]] = {}
        self._private_ids = itertools.count(-1, -1)

    def kept_tokens(self, now: float, upstream: str, parts: PromptParts) -> float:
        """Return the tokens of a prompt that an engine is expected to keep.

        A part counts only with all parts before it.
        """
        engine = self._engines.get(upstream)
        if engine is None:
            return 0.0
        tokens = 0.0
        weight = 1.0
        for part_id, length in parts:
            part = engine.parts.get(part_id)
            if part is None or now < part.ready_at:
                break
            weight = min(weight, part.weight(now))
            tokens += weight * min(length, part.tokens)
            if part.tokens < length:
                break
        return tokens * engine.hit_rate

    def holders(self, parts: PromptParts) -> Collection[str]:
        """Return the engines that probably keep the beginning of a prompt."""
        return self._holders.get(parts[0][0], {}) if parts else ()

    def eviction_tokens(self, now: float, upstream: str, needed: float, used: int) -> float:
        """Return the tokens that others are expected to read again because of an eviction.

        A part that was used once costs nothing. One that other engines keep as well costs less.

        Parameters
        ----------
        now : float
            Time in seconds.
        upstream : str
            The engine.
        needed : float
            Tokens that a request adds.
        used : int
            Tokens that running requests hold.
        """
        engine = self._engines.get(upstream)
        if engine is None:
            return 0.0
        excess = needed - self._free_tokens(used, engine)
        lost = 0.0
        for part_id, part in itertools.islice(engine.parts.items(), MAX_EVICTED_PARTS):
            if excess <= 0:
                break
            excess -= part.tokens
            if part.uses > 1:
                copies = len(self._holders.get(part_id, ())) or 1
                lost += part.tokens * part.weight(now) / copies
        return lost

    def add(
        self, now: float, upstream: str, parts: PromptParts, ready_at: float, used: int
    ) -> tuple[int, ...]:
        """Record a grant; return the parts that the engine has to read.

        Parameters
        ----------
        now : float
            Time in seconds.
        upstream : str
            The engine.
        parts : PromptParts
            Parts of the granted prompt.
        ready_at : float
            Time at which the engine should have read them, in seconds.
        used : int
            Tokens that running requests hold, this one included.
        """
        if not self._memories.capacity(self._pool):
            return ()
        engine = self._engines.setdefault(upstream, _EngineParts())
        unread = []
        # A later part is of no use without the earlier ones, so it is evicted before them.
        for part_id, length in reversed(parts):
            part = engine.parts.get(part_id)
            if part is None or part.tokens < length:
                uses = part.uses + 1 if part is not None else 1
                self._put(engine, upstream, part_id, KeptPart(length, ready_at, now, uses))
                unread.append(part_id)
            else:
                part.used_at = now
                part.uses += 1
                engine.parts.move_to_end(part_id)
        self._evict(engine, upstream, used)
        return tuple(reversed(unread))

    def add_private(self, now: float, upstream: str, tokens: int, used: int) -> None:
        """Record a grant of a prompt whose parts aren't followed, as it evicts parts too."""
        engine = self._engines.get(upstream)
        if engine is None:
            return
        part = KeptPart(tokens, now, now)
        engine.parts[next(self._private_ids)] = part
        engine.tokens += part.tokens
        self._evict(engine, upstream, used)

    def remove(self, upstream: str, part_ids: Iterable[int]) -> None:
        """Remove parts that an engine hasn't read."""
        engine = self._engines.get(upstream)
        if engine is None:
            return
        for part_id in part_ids:
            part = engine.parts.pop(part_id, None)
            if part is not None:
                engine.tokens -= part.tokens
                self._remove_holder(upstream, part_id)

    def hit_rate(self, upstream: str) -> float:
        """Return how often an engine has kept what the model expected, above 0 and at most 1."""
        engine = self._engines.get(upstream)
        return engine.hit_rate if engine is not None else 1.0

    def observe_hit(self, upstream: str, is_hit: bool) -> None:
        """Record whether the speed of a response shows that its prefix was kept."""
        engine = self._engines.get(upstream)
        if engine is not None:
            rate = engine.hit_rate + HIT_WEIGHT * (float(is_hit) - engine.hit_rate)
            engine.hit_rate = max(MIN_HIT_RATE, rate)

    def invalidate(self, upstream: str) -> None:
        """Forget what an engine keeps, as after its restart."""
        engine = self._engines.pop(upstream, None)
        if engine is not None:
            for part_id in engine.parts:
                self._remove_holder(upstream, part_id)

    def clear(self) -> None:
        """Forget everything, as a new owner of the pool knows nothing."""
        self._engines.clear()
        self._holders.clear()

    def _put(self, engine: _EngineParts, upstream: str, part_id: int, part: KeptPart) -> None:
        former = engine.parts.get(part_id)
        engine.tokens += part.tokens - (former.tokens if former is not None else 0)
        engine.parts[part_id] = part
        engine.parts.move_to_end(part_id)
        self._holders.setdefault(part_id, {})[upstream] = None

    def _free_tokens(self, used: int, engine: _EngineParts) -> float:
        capacity = self._memories.capacity(self._pool)
        return capacity - used - engine.tokens if capacity else math.inf

    def _evict(self, engine: _EngineParts, upstream: str, used: int) -> None:
        while engine.parts and (
            len(engine.parts) > MAX_PARTS or self._free_tokens(used, engine) < 0
        ):
            part_id, part = engine.parts.popitem(last=False)
            engine.tokens -= part.tokens
            self._remove_holder(upstream, part_id)

    def _remove_holder(self, upstream: str, part_id: int) -> None:
        holders = self._holders.get(part_id)
        if holders is None:
            return
        holders.pop(upstream, None)
        if not holders:
            del self._holders[part_id]


def pair_parts(keys: Sequence[int], tokens: Sequence[int], last_part: int) -> PromptParts:
    """Return the parts of a prompt from the fields of a permit request.

    Parameters
    ----------
    keys : sequence of int
        Keys of the shared parts, and of the request.
    tokens : sequence of int
        Tokens of the shared parts and of the last part; empty if they aren't told.
    last_part : int
        Key of the last part.
    """
    if not tokens:
        return ()
    shared = zip(keys, tokens[:-1], strict=False)
    return (*shared, (last_part, tokens[-1]))
