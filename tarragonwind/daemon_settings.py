"""Turn checked settings into what each part of a daemon is built with."""

from __future__ import annotations

import random
import secrets
from pathlib import Path

from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.memberships import MembershipSettings
from tarragonwind.adapters.peers import PeerSettings
from tarragonwind.adapters.stores import StoreSettings
from tarragonwind.core.allotments import AllotmentSettings
from tarragonwind.core.retry_budgets import RetryBudgetSettings
from tarragonwind.ports import Address
from tarragonwind.settings import CallerSettings, Settings

SIZES_OF_A_CORE = 100
"""A host's size is counted in hundredths of a core."""
OPEN_TOKEN = b"trusted network"
"""Stands for the secret of hosts that need none."""
TOKEN_BYTES = 32
"""Length of the secret that a single host makes for itself."""


def store_settings(cfg: Settings) -> StoreSettings:
    """Return what the store's adapter needs."""
    endpoints = [endpoint.address() for endpoint in cfg.store.endpoints]
    return StoreSettings(cfg.store.backend.value, endpoints, cfg.store.timeout_s)


def membership_settings(cfg: Settings) -> MembershipSettings:
    """Return what the membership needs to know."""
    seeds = [seed.address() for seed in cfg.peers.seeds if seed.name != cfg.host.name]
    return MembershipSettings(seeds, max(1, round(SIZES_OF_A_CORE * cfg.host.cores)))


def peer_settings(cfg: Settings, rng: random.Random) -> PeerSettings:
    """Return what the transport between hosts needs; read the shared secret."""
    token = b""
    if cfg.peers.secret_file:
        token = Path(cfg.peers.secret_file).read_bytes().strip()
    elif cfg.peers.trusted_network:
        token = OPEN_TOKEN
    return PeerSettings(
        name=cfg.host.name,
        data_centre=cfg.host.data_centre,
        listen=Address(cfg.peers.listen_host, cfg.peers.listen_port),
        token=token or secrets.token_bytes(TOKEN_BYTES),
        start_id=rng.getrandbits(63),
        advertise=cfg.peers.advertised_address(),
    )


def retry_budget_settings(cfg: Settings) -> RetryBudgetSettings:
    """Return the bound on repeated dispatches."""
    return RetryBudgetSettings(cfg.retries.ratio, cfg.retries.window_s, cfg.retries.allowance)


def allotment_settings(cfg: Settings) -> AllotmentSettings:
    """Return how allotments are counted."""
    allotments = cfg.allotments
    return AllotmentSettings(allotments.window_s, allotments.overage, allotments.slack_tokens)


def http_limits(cfg: CallerSettings) -> HttpLimits:
    """Return the bounds for callers."""
    return HttpLimits(
        max_head_bytes=cfg.max_header_bytes,
        max_body_bytes=cfg.max_body_bytes,
        head_timeout_s=cfg.header_timeout_s,
        body_timeout_s=cfg.body_timeout_s,
        idle_timeout_s=cfg.idle_timeout_s,
        max_connections=cfg.max_connections,
    )
