"""Test that odd entries of the store, by whoever wrote them, harm neither a host nor its peers."""

import base64
import json
import math
import random

import msgpack
import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.configuration_watchers import ConfigurationWatcher
from tarragonwind.core.condition_messages import UpstreamCold
from tarragonwind.core.mirror_messages import MirrorPart
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.permit_states import create_upstream_limit
from tarragonwind.core.quarantines import Quarantines
from tarragonwind.core.store_positions import StorePosition
from tarragonwind.futures import Future
from tarragonwind.host_leases import FleetMonitor, pack_address
from tarragonwind.messages import MessageError, pack_message
from tarragonwind.mirror_replicators import MirrorReplicator
from tarragonwind.platform.configurations import CONFIGURATION_KEY, decode_configuration
from tarragonwind.platform.evacuations import EVACUATION_PREFIX
from tarragonwind.platform.upstreams import UPSTREAM_PREFIX, decode_upstream
from tarragonwind.platform_daemons import HOST_PREFIX, QUARANTINE_PREFIX, ROLLOUT_CODEC
from tarragonwind.ports import Address
from tarragonwind.quarantine_replicators import QuarantineReplicator
from tarragonwind.rollout_states import RECORD_PREFIX
from tarragonwind.rollouts import RolloutRunner
from tarragonwind.store_mirrors import WATCH_SOURCE, StoreMirror
from tarragonwind.upstream_departures import UpstreamLeaving

DEEP = b'{"a":' * 100_000
LONG_NUMBER = "1" + "0" * 400
UPSTREAM = {
    "service": "drafting",
    "address": "10.0.0.1:8000",
    "zone": "etna",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldMs": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "draft",
    "kind": "stream",
    "service": "drafting",
    "host": "fleet.example",
    "pathPrefix": "/draft/",
    "timeoutMs": 8_000,
}
CONFIGURATION = {
    "version": 3,
    "services": [{"name": "drafting", "engine": {}}],
    "routes": [ROUTE],
    "tenants": [{"name": "officina", "apiKeys": ["k"], "ratePerS": 100, "burst": 10}],
    "limits": {},
}
ORDER = {"service": "drafting", "target": "v2", "durationS": 30}


class Store:
    """Answer nothing."""

    def __getattr__(self, name):
        return lambda *args: Future()


class Peers:
    """Pack each message, as the transport does."""

    def __init__(self):
        self.subscribed = []
        self.sent = []

    def subscribe(self, cls, callback):
        self.subscribed.append(cls)

    def supports(self, host, level):
        return True

    def send(self, host, msg):
        self.sent.append(pack_message(msg))
        return True


class Members:
    """Membership of two hosts, with the payloads of gossip."""

    name = "h1"

    def __init__(self):
        self.providers = []

    def live(self):
        return ("h1", "h2")

    running = live

    def leaving_hosts(self):
        return ()

    def owner_of(self, key):
        return self.name

    def subscribe(self, callback):
        pass

    def attach(self, name, provider, consumer):
        self.providers.append(provider)

    def push_payloads(self):
        for provider in self.providers:
            provider()


class Site:
    """Wire all that follows the store on one host."""

    def __init__(self):
        self.timers = VirtualTimers()
        self.members = Members()
        self.peers = Peers()
        self.discovered = []
        rng = random.Random(1)
        self.mirror = mirror = StoreMirror("", Store(), self.timers, rng)
        self.replicator = MirrorReplicator(
            mirror, self.members, self.members, self.peers, self.timers
        )
        self.watcher = ConfigurationWatcher(
            mirror,
            CONFIGURATION_KEY,
            UPSTREAM_PREFIX,
            EVACUATION_PREFIX,
            decode_configuration,
            decode_upstream,
            self.timers,
        )
        self.rollouts = RolloutRunner(
            mirror,
            ROLLOUT_CODEC,
            Store(),
            self.members,
            self.peers,
            self.timers,
            rng,
            lambda pool: self.watcher.catalogue.upstreams_of(pool),
        )
        self.fleet = FleetMonitor(
            HOST_PREFIX,
            mirror,
            self.members,
            self.timers,
            lambda: None,
            lambda name, address: self.discovered.append((name, address)),
            rng,
        )
        self.quarantines = QuarantineReplicator(
            QUARANTINE_PREFIX,
            Quarantines(),
            mirror,
            Store(),
            self.members,
            self.members,
            self.peers,
            self.timers,
            rng,
        )
        self.revision = 10
        self.write(CONFIGURATION_KEY, CONFIGURATION)
        self.write("servers/u1", UPSTREAM)

    def write(self, key, value, source=WATCH_SOURCE):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        position = StorePosition(0, self.revision)
        self.mirror.apply_changes([MirrorItem(key, data, position)], source, position)

    def upstreams(self):
        return {entry.name: entry for entry in self.watcher.catalogue.upstreams_of("drafting")}

    def pack_all(self):
        """Pack what travels between hosts of each upstream, and the payloads of gossip."""
        for entry in self.upstreams().values():
            messages = [
                create_upstream_limit("drafting", entry.start, 5.0, 1.0),
                UpstreamCold("drafting", *entry.start, 1_000),
                UpstreamLeaving(entry.name, entry.incarnation, entry.host, entry.port),
            ]
            for msg in messages:
                pack_message(msg)
        self.members.push_payloads()

    def check_sound(self):
        """Check that the sound entries are in force and that a new one is followed."""
        self.pack_all()
        self.timers.advance(30.0)
        assert "u1" in self.upstreams()
        self.write("servers/u9", {**UPSTREAM, "address": "10.0.0.9:8000"})
        assert {"u1", "u9"} <= set(self.upstreams())


def odd_values():
    """Return odd values of a field of a JSON document, encoded."""
    numbers = ["-1", "1.5", "1e308", "-1e308", "NaN", "Infinity", LONG_NUMBER, str(2**63)]
    return [*numbers, "true", "null", '""', '"x"', "[]", "{}", '"\\ud800"', "[" * 50_000]


def with_field(doc, name, encoded):
    """Return a document with one field replaced by encoded JSON."""
    rest = json.dumps({key: value for key, value in doc.items() if key != name})
    return f'{rest[:-1]}, "{name}": {encoded}}}'.encode()


UPSTREAM_CASES = [(name, value) for name in UPSTREAM for value in odd_values()]
ADDRESSES = ["10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:²", "999.1.1.1:80", "..:80", "[::1]:80"]


@pytest.mark.parametrize(
    ("name", "value"), UPSTREAM_CASES, ids=[f"{name}-{value:.12}" for name, value in UPSTREAM_CASES]
)
@pytest.mark.parametrize("source", [WATCH_SOURCE, "h2"])
def test_an_odd_field_of_an_upstream_harms_nothing(name, value, source):
    site = Site()
    site.write("servers/u2", with_field(UPSTREAM, name, value), source)
    site.check_sound()
    entry = site.upstreams().get("u2")
    assert entry is None or entry.incarnation < 2**53


@pytest.mark.parametrize("address", ADDRESSES)
def test_an_odd_address_names_no_upstream(address):
    site = Site()
    site.write("servers/u2", {**UPSTREAM, "address": address})
    site.check_sound()
    assert "u2" not in site.upstreams()


@pytest.mark.parametrize("born", ["-1", "1.5", "1e308", str(2**63), LONG_NUMBER, "true"])
def test_an_upstream_with_an_odd_time_of_its_start_is_not_used(born):
    """Guards against a start time that can't be packed in the messages of all hosts."""
    site = Site()
    site.write("servers/u2", with_field(UPSTREAM, "born", born))
    assert set(site.upstreams()) == {"u1"}


@pytest.mark.parametrize("value", [b"", DEEP, b"\xff" * 100, b"[]", b"null", b"0" * 10_000])
@pytest.mark.parametrize(
    "key",
    [
        "servers/u2",
        "servers/",
        "servers/a/u1",
        "servers/" + "x" * 200,
        "op/config",
        "op/config/x",
        "op/rollout/drafting",
        "op/rollout/",
        "op/rollout/a/drafting",
        "status/rollout/drafting",
        RECORD_PREFIX + "drafting",
        HOST_PREFIX + "h7",
        HOST_PREFIX,
        QUARANTINE_PREFIX + "x",
        QUARANTINE_PREFIX,
        "op/evacuate/",
        "op/evacuate/a/b",
        "unknown/key",
    ],
)
def test_an_odd_key_or_value_harms_nothing(key, value):
    site = Site()
    site.write(key, value)
    site.check_sound()


def test_an_odd_entry_below_the_name_of_an_upstream_does_not_remove_it():
    site = Site()
    site.write("servers/a/u1", b"odd")
    assert set(site.upstreams()) == {"u1"}


@pytest.mark.parametrize("key", ["f" * 40, "-1", "0x5", "1_0", " 5", "+5", "٣"])
def test_an_odd_key_of_a_quarantine_is_not_taken(key):
    """Guards against a number that can't be packed into the gossip of all hosts."""
    site = Site()
    site.write(QUARANTINE_PREFIX + key, b"")
    site.check_sound()
    assert not site.quarantines._quarantines.active(site.timers.now())


@pytest.mark.parametrize(
    "host", ["x" * 300, "a\0b", "name.example", "", "999.1.1.1", "10.0.0.1 ", "é" * 70]
)
def test_a_lease_with_an_odd_address_discovers_no_host(host):
    site = Site()
    site.write(HOST_PREFIX + "h7", pack_address(Address(host, 7000)))
    site.check_sound()
    assert site.discovered == []


@pytest.mark.parametrize(
    "value", [["10.0.0.7", 0], ["10.0.0.7", 70_000], ["10.0.0.7", True], [1, 2], [], {}, 5]
)
def test_an_odd_lease_discovers_no_host(value):
    site = Site()
    site.write(HOST_PREFIX + "h7", msgpack.packb(value))
    site.check_sound()
    assert site.discovered == []


@pytest.mark.parametrize("value", odd_values(), ids=lambda value: f"{value:.12}")
@pytest.mark.parametrize("name", ["durationS", "service", "target"])
def test_an_odd_field_of_a_rollout_order_harms_nothing(name, value):
    site = Site()
    site.write("op/rollout/drafting", with_field(ORDER, name, value))
    site.check_sound()


@pytest.mark.parametrize("at", [math.nan, math.inf, -math.inf, -1.0, 1e308])
def test_a_rollout_record_with_an_odd_time_harms_nothing(at):
    site = Site()
    site.write("op/rollout/drafting", ORDER)
    revision = site.revision
    site.write(RECORD_PREFIX + "drafting", msgpack.packb([revision, "v1", "v2", at, at]))
    site.check_sound()


@pytest.mark.parametrize("value", odd_values(), ids=lambda value: f"{value:.12}")
@pytest.mark.parametrize("name", [*ROUTE, "priority", "maxAttempts", "targetLatencyMs"])
def test_an_odd_field_of_a_route_leaves_out_that_route_alone(name, value):
    site = Site()
    if value.startswith("[["):
        return
    odd = with_field({**ROUTE, "name": "odd"}, name, value)
    second = {**ROUTE, "name": "second", "pathPrefix": "/second/"}
    doc = json.dumps({**CONFIGURATION, "version": 4, "routes": [second, "ODD"]})
    site.write(CONFIGURATION_KEY, doc.replace('"ODD"', odd.decode()).encode())
    site.check_sound()
    assert "second" in site.watcher.catalogue.contents("route")


@pytest.mark.parametrize("value", odd_values(), ids=lambda value: f"{value:.12}")
@pytest.mark.parametrize("name", ["apiKeys", "ratePerS", "burst", "priority", "plainTokens"])
def test_an_odd_field_of_an_organisation_leaves_out_that_one_alone(name, value):
    site = Site()
    if value.startswith("[["):
        return
    odd = with_field({"name": "odd", "unit": "token_stream", "apiKeys": ["o"]}, name, value)
    sound = CONFIGURATION["tenants"][0]
    doc = json.dumps({**CONFIGURATION, "version": 4, "tenants": [sound, "ODD"]})
    site.write(CONFIGURATION_KEY, doc.replace('"ODD"', odd.decode()).encode())
    site.check_sound()
    assert site.watcher.version == 4
    assert "officina" in site.watcher.catalogue.contents("organisation")


@pytest.mark.parametrize("number", [-1, 2**64, True, 1.5, None, "7"])
@pytest.mark.parametrize("part", ["revision", "era", "item"])
def test_a_copy_from_another_host_with_an_odd_number_is_refused(part, number):
    """Guards against a position that can't be packed into the gossip of all hosts."""
    site = Site()
    numbers = {"revision": 90, "era": 0, "item": 90} | {part: number}
    row = ["servers/u2", json.dumps(UPSTREAM).encode(), numbers["item"]]
    msg = MirrorPart("", numbers["revision"], False, [row], numbers["era"])
    with pytest.raises(MessageError):
        site.replicator._on_part("h2", msg)
    site.check_sound()


def test_a_listener_that_fails_does_not_keep_the_others_from_a_change():
    """Guards against a fault of one part that ends the watch of the whole host."""
    site = Site()

    def fail(changes):
        raise ValueError("a fault of this part")

    site.mirror._listeners.insert(0, fail)
    site.write("servers/u2", {**UPSTREAM, "address": "10.0.0.2:8000"})
    assert set(site.upstreams()) == {"u1", "u2"}


def test_the_values_of_the_store_may_be_any_bytes():
    site = Site()
    site.write("unknown/key", base64.b64decode("AAECAwQF"))
    site.check_sound()
