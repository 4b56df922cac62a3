"""Keep one daemon's view of the fleet: records of members and how two records merge."""

from __future__ import annotations

import enum
import functools
import operator
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any

import xxhash

from tarragonwind.messages import MessageError
from tarragonwind.ports import Address

BUCKET_COUNT = 32
"""Parts of a view that two daemons compare before they exchange records."""
MAX_INCARNATION = 1 << 62
_LEAVING_FLAG = 4
_RECORD_FIELDS = 7
DEFAULT_SIZE = 100
"""Size of a host whose settings name none: a hundredth of a core is 1."""
MAX_SIZE = 1_000_000


class Health(enum.IntEnum):
    """Tell what is known of a member's process; a higher value wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True)
class Member:
    """Hold what a daemon knows of one member.

    Attributes
    ----------
    name, data_centre : str
        Name of the host and of its data centre.
    address : Address
        Where it listens for peers.
    incarnation : int
        Raised by the member alone, to refute what others say of it.
    health : Health
        What the fleet says of it.
    leaving : bool
        Whether it has announced its planned stop.
    size : int
        Processor that its host has, in hundredths of a core.
    heard_at : float
        When this daemon last received a message of it, in seconds; minus infinity for never.
    changed_at : float
        When `health` last changed in this view, in seconds.
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
        """Tell whether this record is newer than another of the same member."""
        return (self.incarnation, self.health) > (other.incarnation, other.health)


def pack_member(member: Member) -> list[Any]:
    """Return the record of a member as it travels."""
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
    """Return the member of a record that arrived.

    Raises
    ------
    MessageError
        When the record is malformed.
    """
    if not isinstance(record, list) or len(record) != _RECORD_FIELDS:
        raise MessageError(f"a member record is an array of {_RECORD_FIELDS}")
    name, host, port, data_centre, incarnation, flags, size = record
    texts = isinstance(name, str) and isinstance(host, str) and isinstance(data_centre, str)
    numbers = all(isinstance(number, int) for number in (port, incarnation, flags, size))
    if not texts or not numbers or not name or not 0 <= flags <= _LEAVING_FLAG + Health.DEAD:
        raise MessageError("a member record has a field of the wrong type")
    if flags % _LEAVING_FLAG > Health.DEAD or not 0 <= incarnation <= MAX_INCARNATION:
        raise MessageError("a member record has an unknown health or incarnation")
    if not 0 < size <= MAX_SIZE:
        raise MessageError("a member record has a size out of range")
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
    """Hold the records of all members, and digests of them that are equal in equal views.

    Parameters
    ----------
    own : Member
        Record of the daemon itself.

    Attributes
    ----------
    own : Member
        Record of the daemon itself; replace it by `put_own`.
    members : dict of str to Member
        Records of the others by name.
    """

    __slots__ = ("_buckets", "members", "own")

    def __init__(self, own: Member) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._toggle(own)

    def get(self, name: str) -> Member | None:
        """Return a member's record or None."""
        return self.members.get(name)

    def put(self, member: Member) -> None:
        """Add a record or replace the one of the same name."""
        self.remove(member.name)
        self.members[member.name] = member
        self._toggle(member)

    def put_own(self, member: Member) -> None:
        """Replace the record of the daemon itself."""
        self._toggle(self.own)
        self.own = member
        self._toggle(member)

    def remove(self, name: str) -> None:
        """Forget a member."""
        member = self.members.pop(name, None)
        if member is not None:
            self._toggle(member)

    def in_buckets(self, buckets: Collection[int]) -> list[Member]:
        """Return the records in some of the buckets, this daemon's among them."""
        every = [self.own, *self.members.values()]
        return [member for member in every if _bucket_of(member.name) in buckets]

    def running(self) -> list[str]:
        """Return the names of members that are not dead."""
        return [m.name for m in self.members.values() if m.health is not Health.DEAD]

    def running_count(self) -> int:
        """Return the number of members that are not dead."""
        return sum(1 for m in self.members.values() if m.health is not Health.DEAD)

    def failed(self) -> list[str]:
        """Return the names of members that are dead without having left."""
        return [m.name for m in self.members.values() if m.health is Health.DEAD and not m.leaving]

    def prune_dead(self, before: float, listed: Collection[str]) -> list[str]:
        """Forget members that died before a time, but for listed ones; return their names."""
        forgotten = [
            m.name
            for m in self.members.values()
            if m.health is Health.DEAD and m.changed_at <= before and m.name not in listed
        ]
        for name in forgotten:
            self.remove(name)
        return forgotten

    def differing_buckets(self, digests: list[Any]) -> list[int]:
        """Return the buckets whose digest differs from another daemon's.

        Raises
        ------
        MessageError
            When the number of digests is wrong.
        """
        if len(digests) != BUCKET_COUNT:
            raise MessageError(f"a comparison has {BUCKET_COUNT} digests")
        return [index for index, own in enumerate(self._buckets) if own != digests[index]]

    def participants(self) -> list[str]:
        """Return the names of members that are neither dead nor leaving."""
        return [
            m.name for m in self.members.values() if m.health is not Health.DEAD and not m.leaving
        ]

    def digest(self) -> int:
        """Return a number that is equal in two daemons with equal views."""
        return functools.reduce(operator.xor, self._buckets)

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket of names."""
        return list(self._buckets)

    def _toggle(self, member: Member) -> None:
        if member.health is not Health.DEAD:
            text = f"{member.name} {member.incarnation} {member.leaving:d}"
            self._buckets[_bucket_of(member.name)] ^= xxhash.xxh32_intdigest(text.encode())


def _bucket_of(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT


def check_list(value: Any) -> list:
    """Return a value that must be an array.

    Raises
    ------
    MessageError
        When it is none.
    """
    if not isinstance(value, list):
        raise MessageError("an array is missing")
    return value


def has_majority(reached: Iterable[str], fleet: Iterable[str]) -> bool:
    """Tell whether the reached hosts are the larger part of a fleet.

    Of two equal halves the one that holds the first name in sorted order is the larger.
    """
    all_names = set(fleet)
    if not all_names:
        return True
    part = all_names.intersection(reached)
    if 2 * len(part) == len(all_names):
        return min(all_names) in part
    return 2 * len(part) > len(all_names)
