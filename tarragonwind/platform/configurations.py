"""Decode the operator's configuration document into catalogue entries."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import Any

from loguru import logger

from tarragonwind.core.configurations import CallerLimits, Configuration
from tarragonwind.core.entries import (
    BackEndKind,
    Entry,
    OrganisationEntry,
    PoolEntry,
    PoolShare,
    RouteEntry,
)
from tarragonwind.platform.fields import (
    parse_json_object,
    read_amount,
    read_field,
    read_list,
    read_names,
    read_number,
)

CONFIGURATION_KEY = "op/config"
"""Store key of the current configuration."""
OWNER = "operator"
"""Owner recorded on all entries, since the configuration has none."""
LOWEST_TIER = 3
MIN_PATIENCE_S = 2.0
"""Minimum time without events after which callers abandon a stream, in seconds."""
PATIENCE_TARGET_FACTOR = 4.0
"""Time without events after which they abandon it, as a multiple of the target latency."""
PATIENCE_GAP_FACTOR = 8.0
"""Time without events after which they abandon it, as a multiple of the target event gap."""
MAX_COLD_S = 3_600.0
"""Longest time for which an upstream is cold after its start, in seconds."""
MAX_COLD_PER_S = 1e6
"""Largest rate of a cold upstream that is told from none, in requests per second."""
MAX_KV_TOKENS = 1e12
"""Largest memory of an engine that is told from none, in tokens."""
UNLIMITED_REQUESTS = 100_000
"""Request limit that is never reached, since the configuration sets none."""


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration; entries that are malformed are logged and skipped.

    Raises
    ------
    DecodeError
        If the document is malformed outside its entries.
    """
    doc = parse_json_object(data)
    version = read_field(doc, "version", int)
    entries: list[Entry] = []
    for name, decode in (
        ("services", decode_pool),
        ("routes", decode_route),
        ("tenants", decode_organisation),
    ):
        for part in read_list(doc, name):
            try:
                entries.append(decode(part))
            except Exception as exc:
                logger.error(
                    "event=entry_unreadable version={} list={} why={!r}", version, name, str(exc)
                )
    if "tenants" not in doc:
        # Without a list of organisations, requests carry no token, so every route is public.
        for entry in entries:
            if isinstance(entry, RouteEntry):
                entry.public = True
    return Configuration(version, entries, decode_limits(doc.get("limits") or {}))


def decode_pool(doc: dict[str, Any]) -> PoolEntry:
    """Decode a service as a pool; it is a pool of engines if it has an `engine` object."""
    engine = doc.get("engine")
    name = read_field(doc, "name", str)
    if not isinstance(engine, dict):
        pool = PoolEntry(name=name, owner=OWNER, back_end=BackEndKind.SERVICE, version="any")
        return with_cold_limit(pool, doc)
    pool = PoolEntry(
        name=name,
        owner=OWNER,
        back_end=BackEndKind.ENGINE,
        version="any",
        tokens_per_event=max(1, int(read_number(engine, "stride", 1))),
        kv_capacity_tokens=int(read_amount(engine, "kvCapacityTokens", MAX_KV_TOKENS)),
    )
    return with_cold_limit(pool, doc)


def with_cold_limit(pool: PoolEntry, doc: dict[str, Any]) -> PoolEntry:
    """Add what a service says of its upstreams while they are cold."""
    return replace(
        pool,
        cold_s=read_amount(doc, "coldS", MAX_COLD_S),
        cold_per_s=read_amount(doc, "coldPerS", MAX_COLD_PER_S),
    )


def decode_route(doc: dict[str, Any]) -> RouteEntry:
    """Decode a route; with a traffic split, its main pool is that of the first share."""
    kind = read_field(doc, "kind", str)
    shares = [
        PoolShare(pool=read_field(part, "service", str), weight=read_number(part, "weight"))
        for part in read_list(doc, "trafficSplit")
    ]
    pool = shares[0].pool if shares else read_field(doc, "service", str)
    return RouteEntry(
        name=read_field(doc, "name", str),
        owner=OWNER,
        pool=pool,
        shares=shares,
        tier=min(LOWEST_TIER, int(read_number(doc, "priority", LOWEST_TIER))),
        authority=read_field(doc, "host", str).lower(),
        path_prefix=read_field(doc, "pathPrefix", str),
        idempotent=kind == "safe",
        streams=kind == "stream",
        resumable=bool(doc.get("streamResume", False)),
        public=bool(doc.get("public", False)),
        max_attempts=max(1, int(read_number(doc, "maxAttempts", 1))),
        max_in_progress=UNLIMITED_REQUESTS,
        answer_timeout_s=read_number(doc, "timeoutMs", 0) / 1_000,
        target_latency_s=read_number(doc, "targetLatencyMs", 0) / 1_000,
        event_gap_s=read_number(doc, "gapTargetMs", 0) / 1_000,
        patience_s=decode_patience(doc) if kind == "stream" else 0.0,
        allowed_regions=read_names(doc, "allowedRegions"),
    )


def decode_patience(doc: dict[str, Any]) -> float:
    """Return the time without events after which callers abandon a stream, in seconds."""
    target_s = read_number(doc, "targetLatencyMs", 0) / 1_000
    gap_s = read_number(doc, "gapTargetMs", 0) / 1_000
    return max(MIN_PATIENCE_S, PATIENCE_TARGET_FACTOR * target_s, PATIENCE_GAP_FACTOR * gap_s)


def decode_organisation(doc: dict[str, Any]) -> OrganisationEntry:
    """Decode a tenant as an organisation.

    Its rate is in tokens if `unit` is ``token_stream``; otherwise each request counts as one token.
    """
    keys = read_field({"apiKeys": doc.get("apiKeys") or []}, "apiKeys", list)
    counts_tokens = doc.get("unit") == "token_stream"
    rate = read_number(doc, "ratePerS", 0)
    burst = read_number(doc, "burst", 0)
    plain_tokens = int(read_number(doc, "plainTokens", 0)) if counts_tokens else 1
    tier = doc.get("priority")
    return OrganisationEntry(
        name=read_field(doc, "name", str),
        owner=OWNER,
        token_sha256=[hashlib.sha256(str(key).encode()).hexdigest() for key in keys],
        tier=min(LOWEST_TIER, tier) if isinstance(tier, int) else None,
        max_in_progress=UNLIMITED_REQUESTS,
        requests_per_s=float(UNLIMITED_REQUESTS),
        tokens_per_s=rate,
        token_burst=burst,
        plain_tokens=plain_tokens,
        allowed_regions=read_names(doc, "allowedRegions"),
    )


def decode_limits(doc: dict[str, Any]) -> CallerLimits:
    """Decode the limits on what callers may send, with defaults for absent fields."""
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(read_number(doc, "maxHeaderBytes", defaults.max_header_bytes)),
        max_body_bytes=int(read_number(doc, "maxBodyBytes", defaults.max_body_bytes)),
        header_timeout_s=read_number(doc, "headerTimeoutMs", defaults.header_timeout_s * 1e3) / 1e3,
        idle_timeout_s=read_number(doc, "idleTimeoutMs", defaults.idle_timeout_s * 1e3) / 1e3,
    )
