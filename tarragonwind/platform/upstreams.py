"""Decode the entries under which upstreams register themselves in the platform's store."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from tarragonwind.checked_records import FieldError
from tarragonwind.core.entries import UpstreamEntry, UpstreamState
from tarragonwind.platform.addresses import parse_address
from tarragonwind.platform.fields import (
    DecodeError,
    parse_json_object,
    read_amount,
    read_field,
    read_number,
)

UPSTREAM_PREFIX = "servers/"
"""Prefix of the keys under which upstreams register, followed by the upstream id."""
OWNER = "platform"
NOMINAL_TOKENS_PER_S = 1_500.0
"""Assumed speed with all slots busy until one is measured, since entries do not contain it."""
MAX_COLD_MS = 3_600_000.0
"""Longest time for which an upstream stays cold by its entry, in milliseconds."""
NO_REGIONS: Mapping[str, str] = MappingProxyType({})
STATES = {"ready": UpstreamState.LIVE, "draining": UpstreamState.LEAVING}


def read_cold_s(doc: dict[str, Any]) -> float | None:
    """Return the time for which an upstream stays cold, in seconds; None if it doesn't tell."""
    if doc.get("coldMs") is None:
        return None
    return read_amount(doc, "coldMs", MAX_COLD_MS) / 1_000


def decode_upstream(
    key: str, data: bytes, regions: Mapping[str, str] = NO_REGIONS
) -> UpstreamEntry:
    """Decode the entry of an upstream.

    Parameters
    ----------
    key : str
        Store key of the entry.
    data : bytes
        Value of the key.
    regions : mapping of str to str
        Region of each data centre, by the host's settings.

    Raises
    ------
    DecodeError
        If the entry is malformed or has a field out of range.
    """
    doc = parse_json_object(data)
    state = STATES.get(read_field(doc, "state", str))
    if state is None:
        raise DecodeError(
            f"field 'state': expected one of {', '.join(STATES)}, got {doc['state'][:80]!r}"
        )
    address = parse_address(read_field(doc, "address", str))
    zone = read_field(doc, "zone", str)
    try:
        return UpstreamEntry(
            name=key.removeprefix(UPSTREAM_PREFIX),
            owner=OWNER,
            pool=read_field(doc, "service", str),
            version=read_field(doc, "version", str),
            host=address.host,
            port=address.port,
            data_centre=zone,
            region=regions.get(zone, ""),
            slots=int(read_number(doc, "slots")),
            tokens_per_s=NOMINAL_TOKENS_PER_S,
            refusal_not_run=True,
            state=state,
            # The start time of the upstream serves as its incarnation.
            incarnation=read_field(doc, "born", int) if "born" in doc else 0,
            cold_s=read_cold_s(doc),
        )
    except FieldError as exc:
        raise DecodeError(f"{exc.count} fields are out of range") from exc
