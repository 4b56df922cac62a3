"""Define how scheduling selects versions, and the selector for deployments without moves."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from tarragonwind.core.move_trials import Outcome, Trial
from tarragonwind.core.pool_usages import PoolUsage

ANY_VERSION = ""
"""Matches all versions of a pool."""


class VersionSelector(ABC):
    """Choose the version of each request, and collect the outcomes."""

    @abstractmethod
    def choose_version(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Return a version, or `ANY_VERSION`."""

    @abstractmethod
    def packs_requests(self, pool: str, version: str) -> bool:
        """Return whether a version's requests should fill one upstream before the next."""

    @abstractmethod
    def is_withheld(self, pool: str, version: str) -> bool:
        """Return whether a version gets no requests."""

    @abstractmethod
    def replacement_of(self, pool: str, version: str) -> str:
        """Return the version that gets all requests in place of another one, empty for none."""

    @abstractmethod
    def subscribe_version_change(self, listener: Callable[[str], None]) -> None:
        """Register a listener for pools whose queued requests need another version."""

    @abstractmethod
    def set_usage(self, usage: PoolUsage) -> None:
        """Take what is known about the use of versions from another source."""

    @abstractmethod
    def start(self, pool: str, route: str, version: str, load: float) -> Trial | None:
        """Start to track a request as evidence; return None if it is not evidence."""

    @abstractmethod
    def first_byte(self, trial: Trial) -> None:
        """Count the first response byte of a tracked request."""

    @abstractmethod
    def finish(self, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Count the end of a tracked request."""


class UnrestrictedVersionSelector(VersionSelector):
    """Allow all versions of a pool equally, and collect no outcomes."""

    def choose_version(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Return `ANY_VERSION`."""
        return ANY_VERSION

    def packs_requests(self, pool: str, version: str) -> bool:
        """Return False for every version."""
        return False

    def is_withheld(self, pool: str, version: str) -> bool:
        """Return False: no version is withheld."""
        return False

    def replacement_of(self, pool: str, version: str) -> str:
        """Return no version."""
        return ""

    def subscribe_version_change(self, listener: Callable[[str], None]) -> None:
        """Never call the listener."""

    def set_usage(self, usage: PoolUsage) -> None:
        """Do nothing."""

    def start(self, pool: str, route: str, version: str, load: float) -> Trial | None:
        """Return None: no request is tracked."""
        return None

    def first_byte(self, trial: Trial) -> None:
        """Do nothing."""

    def finish(self, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Do nothing."""
