"""Decide whether a response on a connection belongs to the request in flight there."""

from __future__ import annotations

import enum

from tarragonwind.records import dataclass


class ResponseName(enum.Enum):
    """Tell which request a response names."""

    OWN = "own"
    OTHER = "other"
    MISSING = "missing"
    """It names none, though responses of this protocol do."""
    UNUSED = "unused"
    """Responses of this protocol name no request."""


class ResponseVerdict(enum.Enum):
    """Define what is done with a response."""

    ACCEPT = "accept"
    ACCEPT_LAST = "accept_last"
    """It is accepted, and its connection is not used again."""
    DISCARD = "discard"
    """It belongs to no request, or to an earlier one. The response of the request in flight may
    follow; the connection is not used again."""
    REJECT = "reject"
    """The exchange fails: the request in flight has got no valid response."""


@dataclass(frozen=True, slots=True)
class ResponseIdentity:
    """Contain what the head of a response tells of its request.

    Attributes
    ----------
    name : ResponseName
        Which request it names.
    sealed : bool
        False if it is a success without the field that a complete response carries.
    encoded : bool
        Whether it is a success whose body has a content coding, so that it isn't the upstream's.
    """

    name: ResponseName
    sealed: bool = True
    encoded: bool = False


UNNAMED_PROTOCOL = ResponseIdentity(ResponseName.UNUSED)
"""Identity of each response where the protocol names no requests."""


def judge_response(
    identity: ResponseIdentity, used_before: bool, early: bool = False
) -> ResponseVerdict:
    """Return what to do with a response.

    An upstream can send an extra response, or bytes that look like one, only on a connection that
    it has answered on before. Whether a response that names the request answers its last dispatch
    can't be told where the same connection has carried an earlier dispatch of it; such a
    connection must not be chosen.

    Parameters
    ----------
    identity : ResponseIdentity
        What the response's head tells.
    used_before : bool
        Whether the connection has carried other requests.
    early : bool
        Whether the response arrived before the upstream can have received the request.
    """
    if early or identity.name is ResponseName.OTHER:
        return ResponseVerdict.DISCARD
    if identity.name is ResponseName.MISSING and used_before:
        return ResponseVerdict.DISCARD
    if not identity.sealed or identity.encoded:
        return ResponseVerdict.REJECT
    if identity.name is ResponseName.MISSING:
        return ResponseVerdict.ACCEPT_LAST
    return ResponseVerdict.ACCEPT
