"""Remember which upstream probably holds which prompt prefix in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable


class PrefixHints:
    """Keep a bounded map from upstream to the prefixes that it was last known to hold.

    A hint may be wrong both ways: cache events come late and with gaps.

    Parameters
    ----------
    max_prefixes : int
        Prefixes remembered for each upstream; the least recently used goes first.
    """

    __slots__ = ("_by_upstream", "_max_prefixes")

    def __init__(self, max_prefixes: int = 2_000) -> None:
        self._max_prefixes = max_prefixes
        self._by_upstream: dict[str, OrderedDict[int, None]] = {}

    def add(self, upstream: str, prefixes: Iterable[int]) -> None:
        """Note that an upstream holds prefixes."""
        held = self._by_upstream.setdefault(upstream, OrderedDict())
        for prefix in prefixes:
            held[prefix] = None
            held.move_to_end(prefix)
        while len(held) > self._max_prefixes:
            held.popitem(last=False)

    def remove(self, upstream: str, prefixes: Iterable[int]) -> None:
        """Note that an upstream has dropped prefixes."""
        held = self._by_upstream.get(upstream)
        if held is None:
            return
        for prefix in prefixes:
            held.pop(prefix, None)

    def invalidate(self, upstream: str) -> None:
        """Drop all hints about an upstream, as when it has restarted or its events had a gap."""
        self._by_upstream.pop(upstream, None)

    def cached_share(self, upstream: str, prefixes: tuple[int, ...]) -> float:
        """Return the share of a prompt that is probably cached, by its longest known prefix.

        The end of a prompt is in no prefix and counts as one more.
        """
        held = self._by_upstream.get(upstream)
        if not held or not prefixes:
            return 0.0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in held:
                return count / (len(prefixes) + 1)
        return 0.0
