"""Define what is known on one host about the use of a pool's versions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Protocol

UNLIMITED_S = 60.0
"""Time after which a request counts as ended on a route without a time limit, in seconds."""


class PoolUsage(Protocol):
    """Tell how a pool's versions are used, as far as this host knows."""

    def held(self, pool: str) -> Mapping[str, int]:
        """Return the number of permits that requests of this host hold, by version."""

    def granted(self, pool: str) -> Mapping[str, int]:
        """Return the number of permits in use at the pool's owner on this host, by version.

        Waiting requests for which the owner has chosen a version count as permits.
        """

    def time_limit_s(self, pool: str) -> float:
        """Return the longest time that a request of the pool may take, in seconds."""

    def live_slots(self, pool: str) -> Mapping[str, int] | None:
        """Return the slots of the pool's live upstreams by version, None if they aren't known."""


class UnknownUsage(PoolUsage):
    """Stand for the usage of pools before a scheduler is connected."""

    def held(self, pool: str) -> Mapping[str, int]:
        """Return no permits."""
        return Counter()

    def granted(self, pool: str) -> Mapping[str, int]:
        """Return no permits."""
        return Counter()

    def time_limit_s(self, pool: str) -> float:
        """Return the time for a route without a limit."""
        return UNLIMITED_S

    def live_slots(self, pool: str) -> Mapping[str, int] | None:
        """Return None."""
        return None


def count_others(permits: Mapping[str, int], version: str) -> int:
    """Return the number of permits for other versions than one."""
    return sum(count for each, count in permits.items() if each != version)
