"""Decode the operator's rollout orders and encode the states that it reads."""

from __future__ import annotations

import json

from tarragonwind.core.rollouts import RolloutOrder, RolloutState, RolloutStatus
from tarragonwind.platform.fields import DecodeError, parse_json_object, read_field, read_number

ORDER_PREFIX = "op/rollout/"
"""Prefix of the keys of orders, followed by the pool."""
STATUS_PREFIX = "status/rollout/"
"""Prefix of the keys of published states, followed by the pool."""


def decode_order(data: bytes) -> RolloutOrder:
    """Decode an order.

    Raises
    ------
    DecodeError
        If the document is malformed.
    """
    doc = parse_json_object(data)
    return RolloutOrder(
        pool=read_field(doc, "service", str),
        to_version=read_field(doc, "target", str),
        duration_s=read_number(doc, "durationS"),
    )


def decode_status(data: bytes) -> RolloutStatus:
    """Decode a published state.

    Raises
    ------
    DecodeError
        If the document is malformed.
    """
    doc = parse_json_object(data)
    text = read_field(doc, "state", str)
    try:
        state = RolloutState(text)
    except ValueError as exc:
        known = ", ".join(state.value for state in RolloutState)
        raise DecodeError(f"field 'state': expected one of {known}, got {text[:80]!r}") from exc
    return RolloutStatus(state, read_field(doc, "target", str))


def encode_status(status: RolloutStatus) -> bytes:
    """Encode a state."""
    return json.dumps({"state": status.state.value, "target": status.to_version}).encode()
