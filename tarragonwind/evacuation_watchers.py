"""Follow the store keys with which the operator evacuates data centres."""

from __future__ import annotations

from loguru import logger

from tarragonwind.core.evacuations import Evacuations
from tarragonwind.core.mirror_states import MirrorItem


class EvacuationWatcher:
    """Apply the changes of evacuation keys, and log what they begin and end.

    Parameters
    ----------
    prefix : str
        Key prefix of evacuations, followed by the data centre.

    Attributes
    ----------
    evacuations : Evacuations
        Evacuations in force.
    """

    def __init__(self, prefix: str) -> None:
        self.evacuations = Evacuations()
        self._prefix = prefix

    def covers(self, key: str) -> bool:
        """Return whether a key is that of an evacuation."""
        return key.startswith(self._prefix) and len(key) > len(self._prefix)

    def apply(self, now: float, item: MirrorItem, lost: bool) -> None:
        """Apply the state of a key.

        Parameters
        ----------
        now : float
            Time in seconds.
        item : MirrorItem
            State of the key.
        lost : bool
            Whether a removal means that an older copy of the store lacks the key.
        """
        name = item.key.removeprefix(self._prefix)
        position = item.position
        if item.value is not None:
            if self.evacuations.begin(name):
                logger.warning(
                    "event=evacuation_began data_centre={} revision={} era={}",
                    name,
                    position.revision,
                    position.era,
                )
        elif lost:
            if self.evacuations.lose(now, name):
                logger.warning("event=evacuation_lost data_centre={} era={}", name, position.era)
        elif self.evacuations.end(name):
            logger.warning(
                "event=evacuation_ended data_centre={} revision={} era={}",
                name,
                position.revision,
                position.era,
            )

    def expire(self, now: float) -> None:
        """End the lost evacuations that nobody has written again."""
        for name in self.evacuations.expire(now):
            logger.warning("event=evacuation_expired data_centre={}", name)
