"""Test that records check their fields by the bounds by which pydantic checks documents."""

import dataclasses
import math
import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import TypeAdapter, ValidationError

from tarragonwind.checked_records import FieldError, create_check
from tarragonwind.core.entries import (
    ENTRY_KINDS,
    BackEndKind,
    OrganisationEntry,
    PoolEntry,
    RouteEntry,
    UpstreamEntry,
    UpstreamState,
)
from tarragonwind.settings import CallerSettings, PeerSettings, SeedSettings, Settings

UPSTREAM = {
    "name": "e1",
    "owner": "ana",
    "pool": "chat",
    "version": "v1",
    "host": "10.0.0.1",
    "port": 80,
    "data_centre": "etna",
}


def hints_of(cls):
    hints = typing.get_type_hints(cls, include_extras=True)
    return {field.name: hints[field.name] for field in dataclasses.fields(cls)}


def bounded_fields():
    """Return the fields of all entries and settings, without those that hold other records."""
    sections = [hint for hint in hints_of(Settings).values() if dataclasses.is_dataclass(hint)]
    for cls in (*ENTRY_KINDS.values(), *sections):
        for name, hint in hints_of(cls).items():
            if "PoolShare" not in str(hint) and "Settings" not in str(hint):
                yield pytest.param(hint, id=f"{cls.__name__}.{name}")


values = st.one_of(
    st.integers(-10, 100_000),
    st.floats(allow_nan=False),
    st.sampled_from([0.5, 1e-9, 2**53, 3_600, 1_024, True, "", "a", "A b", "10.0.0.1", "::1"]),
    st.sampled_from(["http://a", "/x/", "a" * 5_000, None, [], ["a", "b"], [1], {}, {"a": "b"}]),
    st.text(max_size=5),
)


def is_same_type(value, accepted):
    """Return whether pydantic has accepted a value as it is, or as the same number."""
    if isinstance(accepted, float):
        return isinstance(value, float) or type(value) is int
    return type(value) is type(accepted)


@pytest.mark.parametrize("hint", list(bounded_fields()))
@given(value=values)
def test_a_field_takes_what_pydantic_takes_without_converting_it(hint, value):
    check, adapter = create_check(hint), TypeAdapter(hint)
    try:
        expected = adapter.validate_python(value)
    except ValidationError:
        with pytest.raises(ValueError, match="."):
            check(value)
        return
    if is_same_type(value, expected):
        assert check(value) == expected


@pytest.mark.parametrize(
    "fields",
    [
        {"port": 0},
        {"port": 65_536},
        {"port": "80"},
        {"host": "999.1.1.1"},
        {"name": "-"},
        {"name": "e1\n"},
        {"slots": 0},
        {"tokens_per_s": math.nan},
        {"incarnation": 2**53},
        {"state": "gone"},
        {"version": ""},
        {"cold_s": -1.0},
    ],
)
def test_an_entry_with_a_field_out_of_bounds_is_not_built(fields):
    with pytest.raises(FieldError) as caught:
        UpstreamEntry(**UPSTREAM | fields)
    assert caught.value.count == 1
    assert str(caught.value).startswith(f"{next(iter(fields))}: ")


def test_all_invalid_fields_are_reported():
    with pytest.raises(FieldError) as caught:
        UpstreamEntry(**UPSTREAM | {"port": 0, "slots": -1})
    assert [line.split(":")[0] for line in str(caught.value).split("\n")] == ["port", "slots"]


def test_fields_get_the_types_of_their_hints():
    entry = UpstreamEntry(**UPSTREAM | {"tokens_per_s": 100, "state": "leaving"})
    assert isinstance(entry.tokens_per_s, float)
    assert entry.state is UpstreamState.LEAVING
    assert entry == UpstreamEntry(**UPSTREAM | {"tokens_per_s": 100.0, "state": "leaving"})
    assert entry != dataclasses.replace(entry, slots=3)


def test_lists_are_not_shared_with_the_caller_or_between_records():
    tokens = ["a" * 64]
    entry = OrganisationEntry(name="a", owner="o", token_sha256=tokens)
    tokens.append("b")
    assert entry.token_sha256 == ["a" * 64]
    first, second = (RouteEntry(name="a", owner="o", pool="p", tier=1) for _ in range(2))
    first.methods.append("GET")
    assert second.methods == []


def test_records_within_records_are_checked():
    seed = SeedSettings(name="s", host="127.0.0.1", port=1)
    assert PeerSettings(seeds=[seed]).seeds == [seed]
    with pytest.raises(FieldError):
        PeerSettings(seeds=["s"])
    with pytest.raises(FieldError):
        CallerSettings(max_header_bytes=1)
    assert PoolEntry(name="a", owner="o", back_end=BackEndKind.ENGINE, version="1").cold_s == 0.0
