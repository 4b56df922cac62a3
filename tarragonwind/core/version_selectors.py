"""Name what scheduling needs to know of versions, and answer it where nothing moves."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from tarragonwind.core.move_trials import Outcome, Trial

ANY_VERSION = ""
"""Stands for all versions of a pool."""


class VersionSelector(ABC):
    """Choose the version of each request and take in what came of it."""

    @abstractmethod
    def choose_version(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Return a version, or an empty text for any."""

    @abstractmethod
    def packs_requests(self, pool: str, version: str) -> bool:
        """Tell whether a version's requests should fill one upstream before the next."""

    @abstractmethod
    def is_withheld(self, pool: str, version: str) -> bool:
        """Tell whether a version gets no requests."""

    @abstractmethod
    def subscribe_version_change(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with a pool whose waiting requests need another version."""

    @abstractmethod
    def start(self, pool: str, route: str, version: str, load: float) -> Trial | None:
        """Begin to follow one request as evidence, or return None."""

    @abstractmethod
    def first_byte(self, trial: Trial) -> None:
        """Note the first byte of an answer."""

    @abstractmethod
    def finish(self, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Note the end of an answer."""


class UnrestrictedVersionSelector(VersionSelector):
    """Let all versions of a pool serve alike."""

    def choose_version(self, now: float, rng: random.Random, pool: str, route: str) -> str:
        """Let any version serve."""
        return ANY_VERSION

    def packs_requests(self, pool: str, version: str) -> bool:
        """Concentrate no version."""
        return False

    def is_withheld(self, pool: str, version: str) -> bool:
        """Withhold no version."""
        return False

    def subscribe_version_change(self, listener: Callable[[str], None]) -> None:
        """Never call the listener."""

    def start(self, pool: str, route: str, version: str, load: float) -> Trial | None:
        """Follow no request."""
        return None

    def first_byte(self, trial: Trial) -> None:
        """Take no evidence."""

    def finish(self, trial: Trial, outcome: Outcome, tokens: int) -> None:
        """Take no evidence."""
