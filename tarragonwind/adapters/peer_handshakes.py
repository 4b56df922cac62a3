"""Authenticate peers by a handshake keyed with the fleet's shared token.

The handshake also announces the sender's protocol level, in bits of the start id that builds of the
first level leave 0 and don't interpret.
"""

from __future__ import annotations

import hashlib
import hmac

from tarragonwind.messages import FIRST_LEVEL, Message, MessageError, message
from tarragonwind.ports import Address
from tarragonwind.records import dataclass

PROTOCOL_VERSION = 1
"""Version in the handshake; the build of commit 077a292 refuses any other."""
LEVEL_FLAG = 1 << 63
"""Bit of the start id that shows an announced level; a first-level build draws 63 random bits."""
LEVEL_SHIFT = 48
"""Lowest of the start id's 15 bits for the announced level; the random part is below it."""
MAX_LEVEL = (1 << 15) - 1


@message(1)
@dataclass(slots=True)
class Hello(Message):
    """Identify and authenticate the sender; the first message in each direction.

    Attributes
    ----------
    version : int
        Version of the protocol.
    name, data_centre : str
        Sender's host name and data centre.
    start_id : int
        Random number that identifies this run of the sender's process, with its protocol level,
        see `pack_start_id`.
    host, port : str, int
        Address on which the sender listens for peers.
    proof : bytes
        HMAC-SHA256 of the fields above, keyed with the fleet's token.
    """

    version: int
    name: str
    data_centre: str
    start_id: int
    host: str
    port: int
    proof: bytes


@message(2)
@dataclass(slots=True)
class Goodbye(Message):
    """Announce that the sender sends nothing more on the connection."""


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identify one run of a daemon.

    Attributes
    ----------
    name, data_centre : str
        Host name and data centre.
    start_id : int
        Random number that identifies this run of its process.
    address : Address
        Address on which it listens for peers.
    level : int
        Protocol level of its build.
    """

    name: str
    data_centre: str
    start_id: int
    address: Address
    level: int = FIRST_LEVEL


def pack_start_id(start_id: int, level: int) -> int:
    """Return the start id that announces a protocol level; the first level is not announced."""
    if level == FIRST_LEVEL:
        return start_id
    return LEVEL_FLAG | level << LEVEL_SHIFT | start_id & (1 << LEVEL_SHIFT) - 1


def unpack_start_id(packed: int) -> tuple[int, int]:
    """Return the start id and the protocol level of a received start id."""
    if not packed & LEVEL_FLAG or packed < 0:
        return packed, FIRST_LEVEL
    return packed & (1 << LEVEL_SHIFT) - 1, max(FIRST_LEVEL, packed >> LEVEL_SHIFT & MAX_LEVEL)


def compute_proof(identity: PeerIdentity, token: bytes) -> bytes:
    """Return the HMAC that proves knowledge of the fleet's token."""
    text = (
        f"{PROTOCOL_VERSION}\x00{identity.name}\x00{identity.data_centre}"
        f"\x00{pack_start_id(identity.start_id, identity.level)}\x00{identity.address}"
    )
    return hmac.digest(token, text.encode(), hashlib.sha256)


def create_hello(identity: PeerIdentity, token: bytes) -> Hello:
    """Return the handshake message of a daemon."""
    return Hello(
        PROTOCOL_VERSION,
        identity.name,
        identity.data_centre,
        pack_start_id(identity.start_id, identity.level),
        identity.address.host,
        identity.address.port,
        compute_proof(identity, token),
    )


def check_hello(hello: Message, token: bytes) -> PeerIdentity:
    """Return the sender of a handshake message after verifying its proof.

    Raises
    ------
    MessageError
        If the message is not a `Hello`, is malformed or does not prove knowledge of the token.
    """
    if not isinstance(hello, Hello) or hello.version != PROTOCOL_VERSION:
        version = getattr(hello, "version", None)
        got = version if isinstance(version, int) else type(version).__name__
        raise MessageError(
            f"first message must be a Hello of version {PROTOCOL_VERSION}, got "
            f"{type(hello).__name__} of version {got}"
        )
    texts = (hello.name, hello.data_centre, hello.host)
    numbers = (hello.start_id, hello.port)
    typed = all(isinstance(text, str) for text in texts)
    typed = typed and all(isinstance(number, int) for number in numbers)
    if not typed or not isinstance(hello.proof, bytes):
        raise MessageError("Hello has a field of the wrong type")
    start_id, level = unpack_start_id(hello.start_id)
    address = Address(hello.host, hello.port)
    identity = PeerIdentity(hello.name, hello.data_centre, start_id, address, level)
    if not hmac.compare_digest(hello.proof, compute_proof(identity, token)):
        raise MessageError(
            f"Hello of {identity.name!r:.80} has a wrong proof; "
            "is peers.secret_file the same on all hosts?"
        )
    return identity
