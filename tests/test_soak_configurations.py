"""Test the series of configurations that the soak writes, and the documents of the stand-ins."""

import itertools
import json
import random

from soak.configuration_changes import FIELD_CHANGES, LOAD_ROUTES, generate_series
from standins.platform_fleets import KEYS, PlatformFleet, create_configuration
from tarragonwind.core.entries import OrganisationEntry, RouteEntry
from tarragonwind.platform.configurations import decode_configuration


def decode(**changes):
    return decode_configuration(json.dumps(create_configuration(3, **changes)).encode())


def names(cfg, kind):
    return {entry.name for entry in cfg.entries if isinstance(entry, kind)}


def test_each_series_changes_each_kind_of_field_and_restores_all():
    for seed in range(20):
        series = generate_series(random.Random(seed))
        assert series == generate_series(random.Random(seed))
        assert series[-1][1] == {}
        changed = {name for _, changes in series for name in changes}
        made = [make(random.Random(seed)) for make in FIELD_CHANGES.values()]
        assert changed == {name for changes in made for one in changes for name in one}
        assert any(first + second < 1.0 for (first, _), (second, _) in itertools.pairwise(series))


def test_a_series_takes_keys_and_routes_of_the_load_away_for_one_version_only():
    series = [changes for _, changes in generate_series(random.Random(4))]
    for changes, following in itertools.pairwise(series):
        if changes.get("dropped_routes") or changes.get("tenants") == {
            name: [f"{key}-next"] for name, key in KEYS.items()
        }:
            assert names(decode(**following), RouteEntry) >= set(LOAD_ROUTES)
            held = {sha for entry in decode(**following).entries for sha in tokens(entry)}
            assert held >= {sha for entry in decode().entries for sha in tokens(entry)}


def tokens(entry):
    return entry.token_sha256 if isinstance(entry, OrganisationEntry) else []


def test_each_version_of_a_series_is_decoded_without_loss():
    for _, changes in generate_series(random.Random(1)):
        doc = create_configuration(3, **changes)
        cfg = decode(**changes)
        assert len(cfg.entries) == sum(len(doc[part]) for part in ("services", "routes", "tenants"))


def test_limits_tenants_and_routes_of_a_configuration():
    cfg = decode(
        tenants={"bottega": ["a", "b"]},
        added_routes=("search",),
        dropped_routes=("r-draft",),
        limits={
            "maxHeaderBytes": 2_000,
            "maxBodyBytes": 300,
            "headerTimeoutMs": 400,
            "idleTimeoutMs": 500,
        },
    )
    assert names(cfg, RouteEntry) == {"r-lookup", "r-stamp", "search"}
    assert [len(tokens(entry)) for entry in cfg.entries if tokens(entry)] == [2]
    limits = cfg.limits
    assert (limits.max_header_bytes, limits.max_body_bytes) == (2_000, 300)
    assert (limits.header_timeout_s, limits.idle_timeout_s) == (0.4, 0.5)


def test_a_fleet_keeps_its_base_and_the_limits_that_it_has_written(tmp_path, monkeypatch):
    written = []
    site = PlatformFleet(tmp_path, base={"limits": {"idleTimeoutMs": 2_500}})
    monkeypatch.setattr(PlatformFleet, "put", lambda _self, _key, doc: written.append(doc))
    site.configure(timeout_ms=1_000)
    site.configure(limits={"idleTimeoutMs": 4_000})
    assert [version.idle_s for version in site.versions] == [2.5, 4.0]
    assert [version.timeout_s for version in site.versions] == [1.0, 3.0]
    assert [doc["limits"]["idleTimeoutMs"] for doc in written] == [2_500, 4_000]
