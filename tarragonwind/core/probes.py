"""Keep the probes in progress, own ones and those made for other members."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Probe:
    """Hold one probe in progress.

    Attributes
    ----------
    target : str
        Member that is probed.
    deadline : float
        When the present attempt has failed, in seconds.
    relayed : bool
        Whether other members are trying by now.
    """

    target: str
    deadline: float
    relayed: bool = False


@dataclass(slots=True)
class Relay:
    """Hold a probe that is made for another member.

    Attributes
    ----------
    requester : str
        Member that asked.
    seq : int
        Number of its own probe.
    deadline : float
        When the answer comes too late, in seconds.
    """

    requester: str
    seq: int
    deadline: float


class ProbeTable:
    """Number the probes and find the one that an answer belongs to."""

    __slots__ = ("_probes", "_relays", "_seq")

    def __init__(self, first_seq: int) -> None:
        self._seq = first_seq
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def next_seq(self) -> int:
        """Return a fresh number."""
        self._seq += 1
        return self._seq

    def start(self, target: str, deadline: float) -> int:
        """Note a probe and return its number."""
        seq = self.next_seq()
        self._probes[seq] = Probe(target, deadline)
        return seq

    def start_relay(self, relay: Relay) -> int:
        """Note a probe for another member and return its number."""
        seq = self.next_seq()
        self._relays[seq] = relay
        return seq

    def end(self, seq: int, target: str) -> Relay | None:
        """Note an answer of `target`; return the relay that waits for it."""
        probe = self._probes.get(seq)
        if probe is not None and probe.target == target:
            del self._probes[seq]
        return self._relays.pop(seq, None)

    def find(self, target: str) -> Probe | None:
        """Return a probe of a member that is in progress."""
        for probe in self._probes.values():
            if probe.target == target:
                return probe
        return None

    def take_late(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes whose attempt has failed; relayed ones are forgotten."""
        late = [(seq, probe) for seq, probe in self._probes.items() if now >= probe.deadline]
        for seq, probe in late:
            if probe.relayed:
                del self._probes[seq]
        for seq, relay in list(self._relays.items()):
            if now >= relay.deadline:
                del self._relays[seq]
        return late

    def first_deadline(self) -> float:
        """Return when the next attempt has failed, infinity for none."""
        return min((probe.deadline for probe in self._probes.values()), default=float("inf"))

    def clear(self) -> None:
        """Forget everything in progress."""
        self._probes.clear()
        self._relays.clear()
