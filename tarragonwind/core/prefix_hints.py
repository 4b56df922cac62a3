"""Track which prompt prefixes upstreams probably have in their caches."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable


class PrefixHints:
    """Map each upstream to a bounded set of prefixes that it probably has cached.

    A hint can be a false positive or a false negative, as cache events arrive late and with gaps.

    Parameters
    ----------
    max_prefixes : int
        Maximum number of prefixes per upstream; the least recently used one is evicted first.
    """

    __slots__ = ("_by_upstream", "_max_prefixes")

    def __init__(self, max_prefixes: int = 2_000) -> None:
        self._max_prefixes = max_prefixes
        self._by_upstream: dict[str, OrderedDict[int, None]] = {}

    def add(self, upstream: str, prefixes: Iterable[int]) -> None:
        """Add prefixes that an upstream has cached."""
        cached = self._by_upstream.setdefault(upstream, OrderedDict())
        for prefix in prefixes:
            cached[prefix] = None
            cached.move_to_end(prefix)
        while len(cached) > self._max_prefixes:
            cached.popitem(last=False)

    def remove(self, upstream: str, prefixes: Iterable[int]) -> None:
        """Remove prefixes that an upstream has evicted."""
        cached = self._by_upstream.get(upstream)
        if cached is None:
            return
        for prefix in prefixes:
            cached.pop(prefix, None)

    def invalidate(self, upstream: str) -> None:
        """Remove all hints about an upstream, as after a restart or a gap in its events."""
        self._by_upstream.pop(upstream, None)

    def cached_share(self, upstream: str, prefixes: tuple[int, ...]) -> float:
        """Return the fraction of a prompt that is probably cached, from its longest known prefix.

        The tail of a prompt, which no prefix covers, is counted like one further prefix.
        """
        cached = self._by_upstream.get(upstream)
        if not cached or not prefixes:
            return 0.0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in cached:
                return count / (len(prefixes) + 1)
        return 0.0
