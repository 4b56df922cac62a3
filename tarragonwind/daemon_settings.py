"""Convert validated settings into the settings objects of each component."""

from __future__ import annotations

import random
import secrets
from pathlib import Path

from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.memberships import MembershipSettings
from tarragonwind.adapters.peers import PeerSettings
from tarragonwind.adapters.store_backends import StoreSettings
from tarragonwind.core.allotments import AllotmentSettings
from tarragonwind.core.cold_upstreams import ColdBounds
from tarragonwind.core.retry_budgets import RetryBudgetSettings
from tarragonwind.ports import Address
from tarragonwind.settings import CallerSettings, Settings

SIZE_UNITS_PER_CORE = 100
"""Size units for each core: a host's size is in hundredths of a core."""
TRUSTED_NETWORK_TOKEN = b"trusted network"
"""Token used by all hosts of a trusted network, which have no shared secret."""
RANDOM_TOKEN_BYTES = 32
"""Length of the random token that a single host generates, in bytes."""


def store_settings(cfg: Settings) -> StoreSettings:
    """Return the settings of the store adapter."""
    endpoints = [endpoint.address() for endpoint in cfg.store.endpoints]
    return StoreSettings(cfg.store.backend.value, endpoints, cfg.store.timeout_s)


def cold_bounds(cfg: Settings) -> ColdBounds:
    """Return what cold upstreams may get beyond their rate."""
    return ColdBounds(cfg.upstreams.cold_overage, cfg.upstreams.cold_slack)


def membership_settings(cfg: Settings) -> MembershipSettings:
    """Return the settings of the cluster membership, with this host left out of the seeds."""
    seeds = [seed.address() for seed in cfg.peers.seeds if seed.name != cfg.host.name]
    return MembershipSettings(seeds, max(1, round(SIZE_UNITS_PER_CORE * cfg.host.cores)))


def peer_settings(cfg: Settings, rng: random.Random) -> PeerSettings:
    """Return the settings of the transport between hosts, with the shared secret read from file."""
    token = b""
    if cfg.peers.secret_file:
        token = Path(cfg.peers.secret_file).read_bytes().strip()
    elif cfg.peers.trusted_network:
        token = TRUSTED_NETWORK_TOKEN
    return PeerSettings(
        name=cfg.host.name,
        data_centre=cfg.host.data_centre,
        listen=Address(cfg.peers.listen_host, cfg.peers.listen_port),
        token=token or secrets.token_bytes(RANDOM_TOKEN_BYTES),
        start_id=rng.getrandbits(63),
        advertise=cfg.peers.advertised_address(),
    )


def retry_budget_settings(cfg: Settings) -> RetryBudgetSettings:
    """Return the settings of the retry budget."""
    return RetryBudgetSettings(cfg.retries.ratio, cfg.retries.window_s, cfg.retries.allowance)


def allotment_settings(cfg: Settings) -> AllotmentSettings:
    """Return the settings by which token allotments are counted."""
    allotments = cfg.allotments
    return AllotmentSettings(allotments.window_s, allotments.overage, allotments.slack_tokens)


def http_limits(cfg: CallerSettings) -> HttpLimits:
    """Return the HTTP limits of the caller listener."""
    return HttpLimits(
        max_head_bytes=cfg.max_header_bytes,
        max_body_bytes=cfg.max_body_bytes,
        head_timeout_s=cfg.header_timeout_s,
        body_timeout_s=cfg.body_timeout_s,
        idle_timeout_s=cfg.idle_timeout_s,
        max_connections=cfg.max_connections,
        address_share=cfg.address_share,
        min_bytes_per_second=cfg.min_bytes_per_second,
        congestion_timeout_s=cfg.congestion_timeout_s,
    )
