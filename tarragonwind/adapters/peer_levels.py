"""Remember which protocol levels peers have announced, and count what one side can't read."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from tarragonwind.adapters.peer_handshakes import PeerIdentity
from tarragonwind.messages import FIRST_LEVEL

MAX_UNKNOWN_LOGGED = 32
"""Unknown message numbers that are logged, each once in the life of the process."""


class PeerLevels:
    """Hold the protocol levels of the hosts that have been connected.

    Parameters
    ----------
    name : str
        Name of this host.
    own_level : int
        Its protocol level.

    Attributes
    ----------
    unknown_messages : int
        Received messages that were skipped because this build doesn't know their number.
    unsupported_messages : int
        Messages that were not sent because the peer's protocol level is below theirs.
    """

    __slots__ = (
        "_levels",
        "_logged_numbers",
        "_name",
        "_own_level",
        "unknown_messages",
        "unsupported_messages",
    )

    def __init__(self, name: str, own_level: int) -> None:
        self._name = name
        self._own_level = own_level
        self._levels: dict[str, int] = {}
        self._logged_numbers: set[int] = set()
        self.unknown_messages = 0
        self.unsupported_messages = 0

    def set(self, identity: PeerIdentity) -> None:
        """Take over the level that a peer's handshake has shown."""
        if self._levels.get(identity.name) != identity.level:
            self._levels[identity.name] = identity.level
            logger.info("event=peer_level host={} level={}", identity.name, identity.level)

    def forget(self, host: str) -> None:
        """Forget a host's level: it may return with another build."""
        self._levels.pop(host, None)

    def is_known(self, host: str) -> bool:
        """Return whether a host's level is known from a handshake."""
        return host == self._name or host in self._levels

    def unknown(self, hosts: Iterable[str]) -> list[str]:
        """Return the hosts whose level is not known from a handshake."""
        return [host for host in hosts if not self.is_known(host)]

    def supports(self, host: str, level: int) -> bool:
        """Return whether the last handshake with a host showed a level or a higher one.

        A host that hasn't been connected since it started counts as one of the first level.
        """
        if host == self._name:
            return level <= self._own_level
        return level <= self._levels.get(host, FIRST_LEVEL)

    def count_unknown(self, host: str, number: int, size: int) -> None:
        """Count a message with an unknown number, and log the first one of each number."""
        self.unknown_messages += 1
        if number in self._logged_numbers or len(self._logged_numbers) >= MAX_UNKNOWN_LOGGED:
            return
        self._logged_numbers.add(number)
        logger.warning("event=peer_message_unknown host={} number={} bytes={}", host, number, size)
