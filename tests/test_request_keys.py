"""Test that the key of a request tells equal requests from all others."""

from dataclasses import dataclass, field, replace

import pytest

from tarragonwind.core.request_keys import compute_request_key, is_request_key


@dataclass
class Request:
    """Hold the fields of a request."""

    method: str = "POST"
    target: str = "/stamp/7"
    body: bytes = b"text"
    headers: dict = field(default_factory=lambda: {b"host": b"fleet.example"})

    def header(self, name):
        return self.headers.get(name, b"")


def test_equal_requests_have_one_key_whatever_their_id_and_deadline():
    again = Request(headers={b"host": b"Fleet.example", b"attempt-id": b"2"})
    assert compute_request_key(Request(), "a", ()) == compute_request_key(again, "a", ())


@pytest.mark.parametrize(
    "other",
    [
        {"method": "PUT"},
        {"target": "/stamp/8"},
        {"body": b"text2"},
        {"headers": {b"host": b"other.example"}},
        {"target": "/stamp/7t", "body": b"ext"},
    ],
)
def test_requests_that_differ_in_one_field_have_different_keys(other):
    key = compute_request_key(Request(), "a", ())
    assert compute_request_key(replace(Request(), **other), "a", ()) != key


def test_requests_of_other_callers_or_with_other_parts_have_different_keys():
    keys = {compute_request_key(Request(), name, parts) for name in "ab" for parts in ((), (1,))}
    assert len(keys) == 4


def test_keys_of_requests_are_marked_apart_from_those_of_parts():
    assert all(
        is_request_key(compute_request_key(Request(target=f"/{number}"), "a", ()))
        for number in range(100)
    )
    assert not is_request_key((1 << 63) - 1)
