"""Greet a peer: who it is, and the proof that it belongs to the fleet."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from tarragonwind.messages import Message, MessageError, message
from tarragonwind.ports import Address

PROTOCOL_VERSION = 1


@message(1)
@dataclass(slots=True)
class Hello(Message):
    """Open a connection by naming the sender; the first message in each direction.

    Attributes
    ----------
    version : int
        Version of the protocol.
    name, data_centre : str
        Sender's host name and data centre.
    start_id : int
        Random number of this start of the sender's process.
    host, port : str, int
        Where the sender listens for peers.
    proof : bytes
        Keyed digest of the fields above with the fleet's token.
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
    """Announce that the sender will use the connection no more."""


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Name the daemon at the other end of a connection.

    Attributes
    ----------
    name, data_centre : str
        Host name and data centre.
    start_id : int
        Random number of this start of its process.
    address : Address
        Where it listens.
    """

    name: str
    data_centre: str
    start_id: int
    address: Address


def compute_proof(identity: PeerIdentity, token: bytes) -> bytes:
    """Return the keyed digest that shows knowledge of the fleet's token."""
    text = (
        f"{PROTOCOL_VERSION}\x00{identity.name}\x00{identity.data_centre}"
        f"\x00{identity.start_id}\x00{identity.address}"
    )
    return hmac.digest(token, text.encode(), hashlib.sha256)


def create_hello(identity: PeerIdentity, token: bytes) -> Hello:
    """Return the greeting of a daemon."""
    return Hello(
        PROTOCOL_VERSION,
        identity.name,
        identity.data_centre,
        identity.start_id,
        identity.address.host,
        identity.address.port,
        compute_proof(identity, token),
    )


def check_hello(hello: Message, token: bytes) -> PeerIdentity:
    """Return the sender of a greeting.

    Raises
    ------
    MessageError
        When the message is no greeting, is malformed or doesn't prove knowledge of the token.
    """
    if not isinstance(hello, Hello) or hello.version != PROTOCOL_VERSION:
        raise MessageError("the first message is no greeting of this version")
    texts = (hello.name, hello.data_centre, hello.host)
    numbers = (hello.start_id, hello.port)
    typed = all(isinstance(text, str) for text in texts)
    typed = typed and all(isinstance(number, int) for number in numbers)
    if not typed or not isinstance(hello.proof, bytes):
        raise MessageError("a field of the greeting has the wrong type")
    identity = PeerIdentity(
        hello.name, hello.data_centre, hello.start_id, Address(hello.host, hello.port)
    )
    if not hmac.compare_digest(hello.proof, compute_proof(identity, token)):
        raise MessageError("the greeting's proof is wrong; is fleet_token the same on all hosts?")
    return identity
