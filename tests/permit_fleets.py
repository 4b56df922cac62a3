"""Simulate permit clients and pool owners of several hosts over a network that a test controls."""

import random
from collections import deque

from tarragonwind.core.entries import BackEndKind, PoolEntry, UpstreamEntry
from tarragonwind.core.fleet_shares import FleetShares
from tarragonwind.core.owner_settings import PermitSettings, allow_any_region
from tarragonwind.core.permit_clients import PermitClient
from tarragonwind.core.permit_messages import PermitSync
from tarragonwind.core.permit_requests import PermitRequest
from tarragonwind.core.pool_owners import OWNER_MESSAGES, OwnerDependencies, PoolOwners
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.core.upstream_loads import LoadSettings

POOL = "drafting"
VERSION = "v1"


def create_pool(**fields):
    return PoolEntry(name=POOL, owner="ops", back_end=BackEndKind.ENGINE, version=VERSION, **fields)


def create_upstream(name, slots=2, tokens_per_s=100.0, version=VERSION, **fields):
    return UpstreamEntry(
        name=name,
        owner="ops",
        pool=POOL,
        version=version,
        host="127.0.0.1",
        port=9000,
        data_centre=fields.pop("data_centre", "etna"),
        slots=slots,
        tokens_per_s=tokens_per_s,
        **fields,
    )


def create_request(tier=0, organisation="a", cost=10, deadline=30.0, prefixes=(), **fields):
    return PermitRequest(
        pool=POOL,
        route=fields.pop("route", "chat"),
        organisation=organisation,
        tier=tier,
        cost_tokens=cost,
        prompt_tokens=fields.pop("prompt_tokens", 0),
        deadline=deadline,
        prefixes=list(prefixes),
        **fields,
    )


class FleetHost:
    """Simulate one host: its membership view, its permit client and its pool owners."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.owner_name = "h0"
        self.live = tuple(fleet.names)
        self.paused = False
        self.granted = {}
        self.refused = {}
        self.convicted = []
        self.combinations = []
        self.conditions = UpstreamConditions()
        self.shares = None
        if fleet.tracks_shares:
            self.shares = FleetShares(name)
            self.shares.set_live(fleet.now, fleet.names, ())
            self.shares.set_leased(fleet.names, False)
        rng = random.Random(f"{fleet.seed}{name}")
        deps = OwnerDependencies(
            lambda host, msg: fleet.send(name, host, msg),
            rng,
            fleet.choose_version,
            lambda organisation: fleet.weights.get(organisation, 1.0),
            fleet.settings,
            fleet.load_settings,
            on_key_convicted=self.convicted.append,
            conditions=self.conditions,
            homes_of=fleet.homes_of,
            on_combination=self.combinations.append,
        )
        self.owners = PoolOwners(
            name, deps, lambda pool: self.owner_name, lambda: self.live, self.shares
        )
        self.client = PermitClient(
            name,
            lambda host, msg: fleet.send(name, host, msg),
            rng,
            lambda pool: self.owner_name,
            self.owners.create_local_owner,
            conditions=self.conditions,
        )
        self.configure()

    def configure(self):
        self.conditions.configure(self.fleet.now, [self.fleet.pool], self.fleet.upstreams)
        self.owners.configure(self.fleet.now, [POOL], self.fleet.upstreams)

    def request_permit(self, request):
        # A local owner may refuse before the client returns the id.
        permit_id = self.client._next_id + 1

        def on_granted(permit):
            assert permit.permit_id == permit_id and permit_id not in self.granted
            self.granted[permit_id] = permit

        def on_refused(kind, retry_after_s):
            assert permit_id not in self.refused and permit_id not in self.granted
            self.refused[permit_id] = (kind, retry_after_s)

        returned_id = self.client.request_permit(self.fleet.now, request, on_granted, on_refused)
        assert returned_id == permit_id
        return permit_id

    def set_view(self, owner_name, live):
        self.owner_name = owner_name
        self.live = tuple(live)
        if self.shares is not None:
            self.shares.set_live(self.fleet.now, live, ())
        self.owners.on_members_changed(self.fleet.now)
        self.client.on_members_changed(self.fleet.now)

    def receive(self, sender, msg):
        if isinstance(msg, OWNER_MESSAGES):
            self.owners.on_message(self.fleet.now, sender, msg)
        else:
            self.client.on_message(self.fleet.now, sender, msg)


class Fleet:
    """Simulate hosts, a shared clock and the messages between hosts."""

    def __init__(
        self,
        upstreams,
        host_count=3,
        seed=0,
        settings=None,
        load_settings=None,
        pool=None,
        tracks_shares=False,
        homes_of=allow_any_region,
    ):
        self.seed = seed
        self.pool = pool or create_pool()
        self.tracks_shares = tracks_shares
        self.homes_of = homes_of
        self.now = 100.0
        self.names = [f"h{number}" for number in range(host_count)]
        self.upstreams = list(upstreams)
        self.weights = {}
        self.settings = settings or PermitSettings()
        self.load_settings = load_settings or LoadSettings()
        self.on_sent = lambda sender, receiver, msg: None
        self.version = VERSION
        self.draws = []
        self.links = {}
        self.cut = set()
        self.dead = set()
        self.sent = []
        self.hosts = {}
        for name in self.names:
            self.hosts[name] = FleetHost(self, name)
        for name in self.names:
            self.send(name, "h0", PermitSync(POOL))
        self.advance(1.0)

    def choose_version(self, now, rng, pool, route):
        return self.draws.pop(0) if self.draws else self.version

    def send(self, sender, receiver, msg):
        if receiver in self.dead or (sender, receiver) in self.cut:
            return False
        self.sent.append((sender, receiver, msg))
        self.on_sent(sender, receiver, msg)
        self.links.setdefault((sender, receiver), deque()).append(msg)
        return True

    def deliver(self, link):
        sender, receiver = link
        msg = self.links[link].popleft()
        if receiver not in self.dead:
            self.hosts[receiver].receive(sender, msg)

    def waiting_links(self):
        return sorted(
            link
            for link, messages in self.links.items()
            if messages and link not in self.cut and not self.hosts[link[1]].paused
        )

    def settle_messages(self):
        while links := self.waiting_links():
            for link in links:
                self.deliver(link)

    def tick(self):
        for name, host in self.hosts.items():
            if name not in self.dead and not host.paused:
                host.owners.tick(self.now)
                host.client.tick(self.now)

    def advance(self, seconds, step=0.1):
        for _ in range(round(seconds / step)):
            self.now += step
            self.settle_messages()
            self.tick()
            self.settle_messages()

    def configure(self, upstreams):
        self.upstreams = list(upstreams)
        for host in self.hosts.values():
            if host.paused:
                continue
            host.configure()

    def owner(self, name="h0"):
        return self.hosts[name].owners.owner(POOL)

    def kill(self, name):
        self.dead.add(name)
        for link in list(self.links):
            if name in link:
                self.links[link].clear()
