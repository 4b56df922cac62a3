"""Decode the platform's settings file into `Settings`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from loguru import logger

from tarragonwind.platform.addresses import parse_address
from tarragonwind.platform.fields import DecodeError, parse_json_object, read_field, read_number
from tarragonwind.ports import Address
from tarragonwind.settings import (
    AllotmentSettings,
    CallerSettings,
    EndpointSettings,
    HostSettings,
    LimitSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    RetrySettings,
    SeedSettings,
    Settings,
    StatusSettings,
    StopSettings,
    StoreBackend,
    StoreSettings,
    UpstreamSettings,
)

MEGABYTE = 1_000_000
MIN_MEMORY_BYTES = 134_217_728
"""Least memory for which the limits are meant; with less, they are those for this size."""
STOP_RESERVE_S = 1.0
"""Part of the platform's grace period that is reserved for the final close, in seconds."""
STOP_NOTICE_S = 3.0
"""Time until the balancer has removed a host, in seconds: two readiness checks one second apart,
and one more."""


def read_platform_settings(path: Path) -> Settings:
    """Return the settings from the platform's settings file.

    Raises
    ------
    DecodeError
        If the file is unreadable, malformed or lacks a field.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise DecodeError(f"{path}: {exc.strerror}") from exc
    return decode_settings(parse_json_object(data))


def decode_settings(doc: dict[str, Any]) -> Settings:
    """Return the settings from the decoded settings document."""
    listen = read_field(doc, "listen", dict)
    ports = read_field(doc, "internalPorts", list)
    bounds = read_field(doc, "bounds", dict)
    limits = read_field(doc, "limits", dict)
    ip = read_field(doc, "ip", str)
    callers = parse_address(read_field(listen, "front", str))
    ready = parse_address(read_field(listen, "ready", str))
    grace_s = read_number(bounds, "graceS")
    settings = Settings(
        host=HostSettings(
            name=read_field(doc, "node", str),
            data_centre=read_field(doc, "zone", str),
            # `cpuShare` is a fraction of a core, `cores` its speed as a multiple of one core.
            cores=read_number(limits, "cpuShare", 1.0) * read_number(limits, "cores", 1.0),
            regions=decode_regions(doc),
        ),
        callers=CallerSettings(
            listen_host=callers.host,
            listen_port=callers.port,
            max_connections=int(read_number(limits, "maxFds")) // 2,
        ),
        peers=PeerSettings(
            listen_host=ip,
            listen_port=ports[0],
            trusted_network=True,
            seeds=decode_seeds(doc, ip, ports[0]),
        ),
        operators=decode_operators(listen, ip, ports[0]),
        status=StatusSettings(
            ready_host=ready.host,
            ready_port=ready.port,
            metrics_host=ip,
            metrics_port=ports[0] + 1,
        ),
        store=decode_store(doc),
        stop=StopSettings(
            notice_s=min(STOP_NOTICE_S, grace_s / 2),
            grace_s=max(0.5, grace_s - min(STOP_NOTICE_S, grace_s / 2) - STOP_RESERVE_S),
        ),
        upstreams=decode_upstreams(bounds, ports[0] + 2),
        retries=RetrySettings(
            ratio=read_number(bounds, "retryBudgetRatio"),
            window_s=read_number(bounds, "budgetWindowS"),
            allowance=read_number(bounds, "budgetSlack"),
        ),
        allotments=AllotmentSettings(
            window_s=read_number(bounds, "quotaWindowS"),
            overage=read_number(bounds, "quotaOverage"),
            slack_tokens=read_number(bounds, "quotaSlack"),
        ),
        log=LogSettings(),
        limits=decode_limits(limits),
    )
    return settings


def decode_upstreams(bounds: dict[str, Any], tunnel_port: int) -> UpstreamSettings:
    """Return the settings of connections to upstreams and of what cold ones may get."""
    defaults = UpstreamSettings()
    return UpstreamSettings(
        kept_connections=64,
        tunnel_port=tunnel_port,
        cold_overage=read_number(bounds, "coldOverage", defaults.cold_overage),
        cold_slack=read_number(bounds, "coldSlack", defaults.cold_slack),
        evacuate_s=max(0.1, read_number(bounds, "evacuateMs", 1_000 * defaults.evacuate_s) / 1_000),
    )


def decode_regions(doc: dict[str, Any]) -> dict[str, str]:
    """Return the region of each data centre; malformed entries are logged and left out.

    Without a list, the region of the host's own data centre is known.
    """
    listed = doc.get("zones") or {}
    if not isinstance(listed, dict):
        logger.error("event=regions_unreadable field=zones type={}", type(listed).__name__)
        listed = {}
    regions = {zone: region for zone, region in listed.items() if isinstance(region, str)}
    zone, region = doc.get("zone"), doc.get("region")
    if (
        isinstance(region, str)
        and regions.setdefault(read_field(doc, "zone", str), region) != region
    ):
        logger.error("event=regions_differ zone={} region={!r}", zone, region[:80])
    return regions


def decode_seeds(doc: dict[str, Any], own_ip: str, peer_port: int) -> list[SeedSettings]:
    """Return the other hosts as seeds.

    The document gives the operator addresses of the seeds; the peer port is the same on all hosts.
    """
    seeds = []
    for text in doc.get("seeds") or []:
        host = parse_address(text).host
        if host != own_ip:
            seeds.append(SeedSettings(name=f"seed-{host}", host=host, port=peer_port))
    return seeds


def decode_operators(listen: dict[str, Any], ip: str, peer_port: int) -> OperatorSettings:
    """Return the listener settings of the operator API."""
    text = listen.get("control")
    address = parse_address(text) if isinstance(text, str) else Address(ip, peer_port + 3)
    return OperatorSettings(listen_host=address.host, listen_port=address.port)


def decode_limits(limits: dict[str, Any]) -> LimitSettings:
    """Return the limits of the host; its memory is that of its machine."""
    defaults = LimitSettings()
    memory_mb = read_number(limits, "memoryMb", defaults.memory_bytes / MEGABYTE)
    return LimitSettings(memory_bytes=max(MIN_MEMORY_BYTES, int(memory_mb * MEGABYTE)))


def decode_store(doc: dict[str, Any]) -> StoreSettings:
    """Return the settings of the platform's store."""
    address = parse_address(read_field(read_field(doc, "platform", dict), "address", str))
    return StoreSettings(
        backend=StoreBackend.PLATFORM,
        endpoints=[EndpointSettings(host=address.host, port=address.port)],
        timeout_s=1.0,
    )
