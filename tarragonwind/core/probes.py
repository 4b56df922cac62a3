"""Track pending probes: the daemon's own and those relayed for other members."""

from __future__ import annotations

from tarragonwind.records import dataclass


@dataclass(slots=True)
class Probe:
    """Hold one pending probe.

    Attributes
    ----------
    target : str
        Member that is probed.
    deadline : float
        Time at which the current attempt counts as failed, in seconds.
    relayed : bool
        Whether the direct attempt has failed and other members probe the target.
    """

    target: str
    deadline: float
    relayed: bool = False


@dataclass(slots=True)
class Relay:
    """Hold an indirect probe made on behalf of another member.

    Attributes
    ----------
    requester : str
        Member that requested the probe.
    seq : int
        Sequence number of the requester's probe.
    deadline : float
        Time after which an answer is ignored, in seconds.
    """

    requester: str
    seq: int
    deadline: float


class ProbeTable:
    """Assign sequence numbers to probes and match answers to them."""

    __slots__ = ("_probes", "_relays", "_seq")

    def __init__(self, first_seq: int) -> None:
        self._seq = first_seq
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def next_seq(self) -> int:
        """Return a new sequence number."""
        self._seq += 1
        return self._seq

    def start(self, target: str, deadline: float) -> int:
        """Register a probe and return its sequence number."""
        seq = self.next_seq()
        self._probes[seq] = Probe(target, deadline)
        return seq

    def start_relay(self, relay: Relay) -> int:
        """Register an indirect probe for another member and return its sequence number."""
        seq = self.next_seq()
        self._relays[seq] = relay
        return seq

    def end(self, seq: int, target: str) -> Relay | None:
        """Complete the probe answered by `target`; return the indirect probe it answers, if any."""
        probe = self._probes.get(seq)
        if probe is not None and probe.target == target:
            del self._probes[seq]
        return self._relays.pop(seq, None)

    def find(self, target: str) -> Probe | None:
        """Return a pending probe of a member, or None."""
        for probe in self._probes.values():
            if probe.target == target:
                return probe
        return None

    def take_late(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes whose deadline has passed and remove those already relayed."""
        late = [(seq, probe) for seq, probe in self._probes.items() if now >= probe.deadline]
        for seq, probe in late:
            if probe.relayed:
                del self._probes[seq]
        for seq, relay in list(self._relays.items()):
            if now >= relay.deadline:
                del self._relays[seq]
        return late

    def first_deadline(self) -> float:
        """Return the earliest deadline of the daemon's own probes, infinity for none."""
        return min((probe.deadline for probe in self._probes.values()), default=float("inf"))

    def clear(self) -> None:
        """Remove all pending probes."""
        self._probes.clear()
        self._relays.clear()
