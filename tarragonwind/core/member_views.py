"""Keep one daemon's view of the fleet: member records, their precedence and their digests."""

from __future__ import annotations

import enum
import functools
import operator
from collections.abc import Collection, Iterable
from typing import Any

import xxhash

from tarragonwind.core.hash_rings import HashRings
from tarragonwind.messages import MessageError
from tarragonwind.ports import Address
from tarragonwind.records import dataclass

BUCKET_COUNT = 32
"""Hash buckets of a view whose digests two daemons compare before they exchange records."""
MAX_INCARNATION = 1 << 62
_LEAVING_FLAG = 4
_RECORD_FIELDS = 7
DEFAULT_SIZE = 100
"""Size of a host that configures none, in hundredths of a core."""
MAX_SIZE = 1_000_000


class Health(enum.IntEnum):
    """Enumerate the states of a member; a higher value wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True)
class Member:
    """Hold a daemon's record of one member.

    Attributes
    ----------
    name, data_centre : str
        Name of the host and of its data centre.
    address : Address
        Address on which it listens for peers.
    incarnation : int
        Version of the record; only the member itself raises it, to refute suspicions.
    health : Health
        State in the current incarnation.
    leaving : bool
        Whether it has announced a graceful shutdown.
    size : int
        CPU capacity of its host, in hundredths of a core.
    heard_at : float
        Time of the last message received from it, in seconds; minus infinity for never.
    changed_at : float
        Time at which this record was last replaced or its suspicion restarted, in seconds.
    """

    name: str
    address: Address
    data_centre: str
    incarnation: int
    health: Health = Health.ALIVE
    leaving: bool = False
    size: int = DEFAULT_SIZE
    heard_at: float = float("-inf")
    changed_at: float = float("-inf")

    def supersedes(self, other: Member) -> bool:
        """Return whether this record takes precedence over another of the same member."""
        return (self.incarnation, self.health) > (other.incarnation, other.health)


def pack_member(member: Member) -> list[Any]:
    """Return the record of a member in its wire format."""
    flags = int(member.health) | (_LEAVING_FLAG if member.leaving else 0)
    address = member.address
    return [
        member.name,
        address.host,
        address.port,
        member.data_centre,
        member.incarnation,
        flags,
        member.size,
    ]


def unpack_member(record: Any) -> Member:
    """Return the member described by a received record.

    Additional trailing values, which a later build may send, are ignored.

    Raises
    ------
    MessageError
        If the record is malformed.
    """
    if not isinstance(record, list) or len(record) < _RECORD_FIELDS:
        got = len(record) if isinstance(record, list) else type(record).__name__
        raise MessageError(f"member record must have at least {_RECORD_FIELDS} fields, got {got}")
    name, host, port, data_centre, incarnation, flags, size = record[:_RECORD_FIELDS]
    texts = isinstance(name, str) and isinstance(host, str) and isinstance(data_centre, str)
    numbers = all(isinstance(number, int) for number in (port, incarnation, flags, size))
    if not texts or not numbers or not name or not 0 <= flags <= _LEAVING_FLAG + Health.DEAD:
        types = ", ".join(type(value).__name__ for value in record)
        raise MessageError(
            "member record has a field of the wrong type, an empty name or invalid flags; "
            f"types: {types}"
        )
    if flags % _LEAVING_FLAG > Health.DEAD or not 0 <= incarnation <= MAX_INCARNATION:
        raise MessageError(f"member record has invalid flags {flags} or incarnation {incarnation}")
    if not 0 < size <= MAX_SIZE:
        raise MessageError(f"member record has size {size}, expected 1 to {MAX_SIZE}")
    return Member(
        name,
        Address(host, port),
        data_centre,
        incarnation,
        Health(flags % _LEAVING_FLAG),
        bool(flags & _LEAVING_FLAG),
        size,
    )


class MemberView:
    """Hold the records of all members, with digests that are equal for equal views.

    The digests cover name, incarnation and leaving flag of the members that are not dead.

    Parameters
    ----------
    own : Member
        Record of the daemon itself.

    Attributes
    ----------
    own : Member
        Record of the daemon itself; replaced with `put_own` only, which updates the digests.
    members : dict of str to Member
        Records of the other members by name.
    rings : HashRings
        Members that are not dead, on the rings that tell the neighbours.
    version : int
        Number of changes so far, so that what follows from the records can be kept between them.
    """

    __slots__ = (
        "_buckets",
        "_changed",
        "_records",
        "_running",
        "members",
        "own",
        "rings",
        "version",
    )

    def __init__(self, own: Member) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        self.rings = HashRings(own.name)
        self.version = 0
        self._buckets = [0] * BUCKET_COUNT
        self._records: dict[str, list[Any]] = {}
        self._running: dict[str, None] = {}
        self._changed: dict[str, None] = {}
        self._toggle_digest(own)

    def get(self, name: str) -> Member | None:
        """Return the record of another member, or None if it is unknown."""
        return self.members.get(name)

    def put(self, member: Member) -> None:
        """Insert a record, replacing one of the same name."""
        self.version += 1
        name = member.name
        previous = self.members.get(name)
        if previous is not None:
            self._toggle_digest(previous)
        self.members[name] = member
        self._records[name] = pack_member(member)
        self._changed[name] = None
        self._set_running(name, member.health is not Health.DEAD)
        self._toggle_digest(member)

    def put_own(self, member: Member) -> None:
        """Replace the record of the daemon itself."""
        self.version += 1
        self._toggle_digest(self.own)
        self.own = member
        self._toggle_digest(member)

    def remove(self, name: str) -> None:
        """Remove the record of a member, if there is one."""
        member = self.members.pop(name, None)
        if member is not None:
            self.version += 1
            del self._records[name]
            self._changed.pop(name, None)
            self._set_running(name, False)
            self._toggle_digest(member)

    def _set_running(self, name: str, is_running: bool) -> None:
        if is_running and name not in self._running:
            self._running[name] = None
            self.rings.add(name)
        elif not is_running and name in self._running:
            del self._running[name]
            self.rings.remove(name)

    def record(self, name: str) -> list[Any]:
        """Return the record of a member, or of the daemon itself, in its wire format."""
        return pack_member(self.own) if name == self.own.name else self._records[name]

    def has_record(self, record: Any) -> bool:
        """Return whether a received record is the one that is known of another member."""
        if not isinstance(record, list) or not record or not isinstance(record[0], str):
            return False
        return self._records.get(record[0]) == record

    def take_changed(self) -> list[Member]:
        """Return the other members whose records were inserted since the last call."""
        changed = [self.members[name] for name in self._changed]
        self._changed.clear()
        return changed

    def in_buckets(self, buckets: Collection[int]) -> list[Member]:
        """Return the records whose names hash to the given buckets, this daemon's included."""
        all_members = [self.own, *self.members.values()]
        if len(buckets) >= BUCKET_COUNT:
            return all_members
        return [member for member in all_members if _bucket_of(member.name) in buckets]

    def running(self) -> list[str]:
        """Return the names of members that are not dead."""
        return list(self._running)

    def running_count(self) -> int:
        """Return the number of members that are not dead."""
        return len(self._running)

    def failed(self) -> list[str]:
        """Return the names of dead members that have not announced a graceful shutdown."""
        return [m.name for m in self.members.values() if m.health is Health.DEAD and not m.leaving]

    def prune_dead(self, before: float, listed: Collection[str]) -> list[str]:
        """Remove unlisted members that died before a time and return their names."""
        forgotten = [
            m.name
            for m in self.members.values()
            if m.health is Health.DEAD and m.changed_at <= before and m.name not in listed
        ]
        for name in forgotten:
            self.remove(name)
        return forgotten

    def differing_buckets(self, digests: list[Any]) -> list[int]:
        """Return the buckets whose digests differ from those of another daemon.

        Raises
        ------
        MessageError
            If the number of digests is wrong.
        """
        if len(digests) != BUCKET_COUNT:
            raise MessageError(f"comparison must have {BUCKET_COUNT} digests, got {len(digests)}")
        return [index for index, own in enumerate(self._buckets) if own != digests[index]]

    def participants(self) -> list[str]:
        """Return the names of members that are neither dead nor leaving."""
        return [
            m.name for m in self.members.values() if m.health is not Health.DEAD and not m.leaving
        ]

    def digest(self) -> int:
        """Return a digest of the whole view."""
        return functools.reduce(operator.xor, self._buckets)

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket."""
        return list(self._buckets)

    def _toggle_digest(self, member: Member) -> None:
        if member.health is not Health.DEAD:
            text = f"{member.name} {member.incarnation} {member.leaving:d}"
            self._buckets[_bucket_of(member.name)] ^= xxhash.xxh32_intdigest(text.encode())


def _bucket_of(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT


def check_list(value: Any) -> list:
    """Return a received value after checking that it is an array.

    Raises
    ------
    MessageError
        If it is not an array.
    """
    if not isinstance(value, list):
        raise MessageError(f"expected an array, got {type(value).__name__}")
    return value


def has_majority(reached: Iterable[str], fleet: Iterable[str]) -> bool:
    """Return whether the reached hosts form a majority of a fleet.

    Of two equal halves, the one with the first name in sorted order counts as the majority.
    """
    all_names = set(fleet)
    if not all_names:
        return True
    reachable = all_names.intersection(reached)
    if 2 * len(reachable) == len(all_names):
        return min(all_names) in reachable
    return 2 * len(reachable) > len(all_names)
