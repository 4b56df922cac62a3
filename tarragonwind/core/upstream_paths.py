"""Know to which upstreams this host's own path is lost while other hosts reach them."""

from __future__ import annotations

from tarragonwind.ports import Address

MIN_LOST_FOR_ALL = 2
"""Lost paths from which on all paths are suspect, unless as many others work."""


class UpstreamPaths:
    """Keep the state of the direct path to each upstream.

    A failed connect alone says nothing of the path: the upstream may be gone. A path is lost where
    another host reached the upstream and a direct connect did not. While all paths are suspect,
    upstreams are reached through other hosts without a direct connect; these paths are unverified.
    """

    __slots__ = ("_lost", "_unverified", "_working")

    def __init__(self) -> None:
        self._lost: set[Address] = set()
        self._unverified: set[Address] = set()
        self._working: set[Address] = set()

    def on_direct(self, address: Address) -> bool:
        """Record a direct connection; return whether another host's path was in use before."""
        was_avoided = address in self._lost or address in self._unverified
        self._lost.discard(address)
        self._unverified.discard(address)
        self._working.add(address)
        if not self._lost:
            self._working.clear()
        return was_avoided

    def on_tunnelled(self, address: Address, tried_direct: bool) -> bool:
        """Record that another host reached an upstream; return whether its path is newly lost."""
        if address in self._lost:
            return False
        if not tried_direct:
            self._unverified.add(address)
            return False
        self.on_direct_failed(address)
        return True

    def on_direct_failed(self, address: Address) -> None:
        """Record that a path doesn't work through which another host reaches the upstream."""
        self._unverified.discard(address)
        self._working.discard(address)
        self._lost.add(address)

    def forget_except(self, known: set[Address]) -> None:
        """Forget the paths to addresses that belong to no upstream any more."""
        self._lost &= known
        self._unverified &= known
        self._working &= known

    def is_suspect(self, address: Address) -> bool:
        """Return whether to connect through another host without waiting."""
        return address in self._lost or (self.all_suspect and address not in self._working)

    @property
    def all_suspect(self) -> bool:
        """Return whether several paths are lost, and more than are known to work."""
        return len(self._lost) >= max(MIN_LOST_FOR_ALL, len(self._working) + 1)

    def avoided(self) -> list[Address]:
        """Return the upstreams that are reached through other hosts."""
        return sorted(self._lost | self._unverified, key=str)
