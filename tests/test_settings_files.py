"""Test that defaults are filled in and that faults are reported with line and key."""

import pytest

from tarragonwind.ports import Address
from tarragonwind.settings import StoreBackend
from tarragonwind.settings_files import SettingsError, parse_settings, read_settings

HOST = "host: {name: a1, data_centre: etna}\n"


def read_faults(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    return str(caught.value).splitlines()


def test_defaults_are_filled_in(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(HOST + "callers: {listen_port: 9000}\n")
    cfg = read_settings(path)
    assert cfg.host.name == "a1"
    assert cfg.callers.listen_port == 9000
    assert cfg.store.backend is StoreBackend.MEMORY
    assert cfg.peers.advertised_address() == Address("127.0.0.1", 7400)
    assert cfg.host_list.address() is None


def test_settings_of_a_fleet_are_accepted():
    cfg = parse_settings(
        HOST
        + "peers: {secret_file: s, seeds: [{name: a1, host: 127.0.0.1, port: 7400},"
        + " {name: a2, host: 10.0.0.2, port: 7400}]}\n"
        + "store: {backend: etcd, endpoints: [{host: 10.0.0.9, port: 2379}]}\n"
    )
    assert cfg.store.endpoints[0].address() == Address("10.0.0.9", 2379)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (
            HOST + "callers:\n  listen_port: 70000\n",
            "line 3: callers.listen_port: got 70000; allowed: a whole number from 1 to 65535",
        ),
        (
            HOST + "callers:\n  header_timeout: 3\n",
            "line 3: callers.header_timeout: unknown key;"
            " did you mean callers.header_timeout_s?",
        ),
        (
            HOST + "callers: {body_timeout_s: 3s}\n",
            "line 2: callers.body_timeout_s: got '3s'; allowed: a number from 0.1 to 3600",
        ),
        (
            HOST + "stop: {grace_s: .nan}\n",
            "line 2: stop.grace_s: got nan; allowed: a number from 0.1 to 3600",
        ),
        (
            HOST + "peers:\n  seeds:\n  - {name: a2, host: 10.0.0.2}\n",
            "line 4: peers.seeds[0].port: required",
        ),
        (
            HOST + "store: {backend: disk}\n",
            "line 2: store.backend: got 'disk'; allowed: memory or etcd or platform",
        ),
        (HOST + "log: 3\n", "line 2: log: expected a map, got 3"),
        ("callers: {}\n", "line 1: host: required"),
        (
            HOST + "callers: {listen_host: localhost}\n",
            "line 2: callers.listen_host: got 'localhost'; allowed: an IP address",
        ),
        ("- 1\n", "line 1: expected a map of sections, got list"),
    ],
)
def test_invalid_keys_are_reported_with_line_and_path(text, fault):
    assert read_faults(text) == [fault]


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("peers: {listen_port: 8080}\n", "peers.listen_port"),
        ("peers: {listen_host: 0.0.0.0, listen_port: 8080}\n", "peers.listen_port"),
        ("peers: {listen_host: 0.0.0.0}\n", "peers.advertised_host"),
        ("peers: {seeds: [{name: a1, host: 127.0.0.1, port: 1}]}\n", "peers.seeds[0]"),
        ("store: {backend: etcd}\n", "store.endpoints"),
        ("store: {endpoints: [{host: 10.0.0.1, port: 1}]}\n", "store.endpoints"),
        ("host_list: {host: 10.0.0.1}\n", "host_list.host"),
        ("weights: {port: 5}\n", "weights.host"),
    ],
)
def test_conflicting_keys_are_refused(text, path):
    assert read_faults(HOST + text)[0].startswith(path + ":")


def test_seeds_on_other_hosts_require_a_secret_and_a_shared_store():
    faults = read_faults(HOST + "peers: {seeds: [{name: a2, host: 10.0.0.2, port: 1}]}\n")
    assert [fault.split(":")[0] for fault in faults] == ["peers.secret_file", "store.backend"]


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError):
        read_settings(tmp_path / "none.yaml")
