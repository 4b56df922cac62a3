"""Reach upstreams through other hosts while this host's own paths are lost, and serve them so."""

from __future__ import annotations

import random
from collections.abc import Callable

from loguru import logger

from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.memberships import Membership
from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.adapters.path_connectors import PathConnector, TunnelHost
from tarragonwind.adapters.tunnel_openings import (
    TunnelOpening,
    compute_tunnel_proof,
    is_proven,
)
from tarragonwind.adapters.tunnels import TunnelServer
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.tunnel_regions import TunnelRegions
from tarragonwind.fleet_levels import FleetLevels
from tarragonwind.ports import Address
from tarragonwind.settings import Settings
from tarragonwind.upstream_connections import UpstreamConnections

PROOF_LEVEL = 2
"""Protocol level from which on hosts send a proof with the opening of a tunnel and read it."""


class HostTunnels:
    """Connect the HTTP client, the membership and the tunnels of a host.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    cfg : Settings
        Settings of the host; all hosts accept tunnels at the same port.
    members : callable
        Returns the membership, which is built later.
    rng : random.Random
        Random number generator.
    token : bytes
        Secret shared by all hosts of the fleet.
    levels : callable
        Returns the protocol levels of the hosts, which are known later.
    memory : MemoryGuard, optional
        Counts what tunnels buffer.

    Attributes
    ----------
    client : HttpClient
        Client whose connections to upstreams take another host's path where it has to be so.
    connections : UpstreamConnections
        Kept connections to upstreams.
    """

    def __init__(
        self,
        loop: Loop,
        cfg: Settings,
        members: Callable[[], Membership],
        rng: random.Random,
        token: bytes,
        levels: Callable[[], FleetLevels],
        memory: MemoryGuard | None = None,
    ) -> None:
        self._cfg = cfg
        self._members = members
        self._token = token
        self._levels = levels
        self._rng = rng
        self._stopping = False
        self._all_suspect = False
        self._regions = TunnelRegions()
        self._connector = PathConnector(
            loop,
            cfg.upstreams.connect_timeout_s,
            self._is_upstream,
            self._other_hosts,
            rng,
        )
        self.client = HttpClient(
            loop,
            max_idle=cfg.upstreams.kept_connections,
            connector=self._connector,
        )
        self.connections = UpstreamConnections(self.client)
        self._connector.keep = self.client.keep_idle
        self._connector.on_path_changed = self._on_path_changed
        self._connector.create_opening = self._create_opening
        address = Address(cfg.peers.listen_host, cfg.upstreams.tunnel_port)
        self._server = TunnelServer(loop, address, self._serves, self._check_opening, memory)

    @property
    def in_use(self) -> int:
        """Return the number of tunnels that other hosts have through this one."""
        return self._server.count

    def on_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue."""
        self.connections.on_catalogue(catalogue)
        # Kept connections may run through a host that is not allowed any more.
        for address in set(self._regions.on_catalogue(catalogue)) & self._tunnelled():
            self.client.close_idle(address)
        self._connector.paths.forget_except(self.connections.addresses())

    def _tunnelled(self) -> set[Address]:
        return set(self._connector.paths.avoided())

    def is_lost(self, upstream: UpstreamEntry) -> bool:
        """Return whether this host's own path to an upstream is lost, or suspect."""
        return self._connector.paths.is_suspect(Address(upstream.host, upstream.port))

    def check(self, upstream: UpstreamEntry, on_checked: Callable[[bool], object]) -> None:
        """Find out whether this host's own path to an upstream is lost."""
        self._connector.check(Address(upstream.host, upstream.port), on_checked)

    def begin_stop(self) -> None:
        """Open no further tunnels for other hosts."""
        self._stopping = True

    def close(self) -> None:
        """End all tunnels."""
        self._server.close()

    def _is_upstream(self, address: Address) -> bool:
        return self.connections.knows(address)

    def _serves(self, address: Address) -> bool:
        """Return whether another host may connect to an address through this one now."""
        known = self.connections.knows(address) and not self.connections.is_evacuated(address)
        known = known and self._regions.allows(address, self._region_of(self._cfg.host.data_centre))
        return known and not self._stopping and not self._connector.paths.is_suspect(address)

    def _create_opening(self, through: str, upstream: Address) -> TunnelOpening:
        """Return the opening of a tunnel, with a proof for hosts that can read it."""
        if not self._levels().supports(through, PROOF_LEVEL):
            return TunnelOpening(upstream)
        name = self._cfg.host.name
        proof = compute_tunnel_proof(self._token, name, through, upstream)
        return TunnelOpening(upstream, name, proof)

    def _check_opening(self, opening: TunnelOpening) -> None:
        """Raise `ValueError` for an opening without a valid proof.

        One without any is accepted while a host that sends none may be running.
        """
        if opening.proof:
            if not is_proven(opening, self._token, self._cfg.host.name):
                raise ValueError(f"wrong proof of {opening.name!r:.80}")
        elif self._levels().all_support(PROOF_LEVEL):
            raise ValueError("no proof, and all hosts send one")

    def _region_of(self, data_centre: str) -> str:
        return self._cfg.host.regions.get(data_centre, "")

    def _other_hosts(self, address: Address) -> list[TunnelHost]:
        """Return the other live hosts in random order, those of this data centre first.

        Where requests are kept in some regions, these are the hosts in the region of the upstream.
        """
        membership = self._members()
        others = set(membership.live()) - {membership.name}
        members = [
            member
            for member in membership.members()
            if member.name in others
            and self._regions.allows(address, self._region_of(member.data_centre))
        ]
        self._rng.shuffle(members)
        members.sort(key=lambda member: member.data_centre != self._cfg.host.data_centre)
        port = self._server.address.port
        return [TunnelHost(member.name, Address(member.address.host, port)) for member in members]

    def on_members_changed(self) -> None:
        """Close kept connections through a host that is stopping, which waits for them."""
        if self._connector.hosts_in_use.isdisjoint(self._members().leaving_hosts()):
            return
        self._connector.hosts_in_use.clear()
        for address in self._connector.paths.avoided():
            self.client.close_idle(address)

    def _on_path_changed(self, address: Address) -> None:
        """Open the connections anew, on the path that is in use from now on."""
        was_suspect, self._all_suspect = self._all_suspect, self._connector.paths.all_suspect
        if self._all_suspect and not was_suspect:
            logger.warning(
                "event=upstream_paths_suspect lost={}", len(self._connector.paths.avoided())
            )
            self.connections.close_all()
        else:
            self.client.close_idle(address)
