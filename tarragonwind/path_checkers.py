"""Define what tells a lost path of this host from a fault of the upstream at its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tarragonwind.core.entries import UpstreamEntry


class PathChecker(Protocol):
    """Know whether this host's own path to an upstream is lost while other hosts reach it."""

    def is_lost(self, upstream: UpstreamEntry) -> bool:
        """Return whether the path is known to be lost."""

    def check(self, upstream: UpstreamEntry, on_checked: Callable[[bool], object]) -> None:
        """Find out whether the path is lost."""


class SoundPaths(PathChecker):
    """Take all paths for sound."""

    def is_lost(self, upstream: UpstreamEntry) -> bool:
        """Return False."""
        return False

    def check(self, upstream: UpstreamEntry, on_checked: Callable[[bool], object]) -> None:
        """Report at once that the path is not lost."""
        on_checked(False)
