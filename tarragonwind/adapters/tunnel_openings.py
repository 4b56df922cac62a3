"""Encode the opening of a tunnel: which upstream, who asks, and the proof of the fleet's secret.

Hosts of the first protocol level send and accept only the host and port of the upstream.
"""

from __future__ import annotations

import hashlib
import hmac

import msgpack

from tarragonwind.ports import Address
from tarragonwind.records import dataclass

MAX_OPENING_BYTES = 512


@dataclass(frozen=True, slots=True)
class TunnelOpening:
    """Hold the opening of a tunnel.

    Attributes
    ----------
    upstream : Address
        Address of the upstream.
    name : str
        Name of the host that asks, empty without a proof.
    proof : bytes
        HMAC-SHA256 of both hosts' names and the upstream, keyed with the fleet's token; empty for
        none.
    """

    upstream: Address
    name: str = ""
    proof: bytes = b""


def compute_tunnel_proof(token: bytes, name: str, through: str, upstream: Address) -> bytes:
    """Return the proof with which a host asks another one for a tunnel to an upstream."""
    text = f"tunnel\x00{name}\x00{through}\x00{upstream}"
    return hmac.digest(token, text.encode(), hashlib.sha256)


def is_proven(opening: TunnelOpening, token: bytes, through: str) -> bool:
    """Return whether an opening proves knowledge of the fleet's token to the host `through`."""
    expected = compute_tunnel_proof(token, opening.name, through, opening.upstream)
    return hmac.compare_digest(opening.proof, expected)


def encode_opening(opening: TunnelOpening) -> bytes:
    """Encode an opening; without a proof it has the form of the first protocol level."""
    upstream = opening.upstream
    values: list[object] = [upstream.host, upstream.port]
    if opening.proof:
        values += [opening.name, opening.proof]
    return bytes(msgpack.packb(values))


def decode_opening(data: bytes) -> TunnelOpening:
    """Decode an opening; additional trailing values, which a later build may send, are ignored.

    Raises
    ------
    ValueError
        If the bytes are not an array of a host and a port, or have a malformed name or proof.
    """
    if len(data) > MAX_OPENING_BYTES:
        raise ValueError(f"expected at most {MAX_OPENING_BYTES} bytes, got {len(data)}")
    values = msgpack.unpackb(data)
    types = [type(value) for value in values] if isinstance(values, list) else []
    if types[:2] != [str, int]:
        raise ValueError(f"expected a host and a port, got {types}")
    if types[2:4] not in ([], [str, bytes]):
        raise ValueError(f"expected a name and a proof, got {types[2:4]}")
    return TunnelOpening(Address(values[0], values[1]), *values[2:4])
