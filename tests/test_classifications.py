"""Test the classification of requests by the catalogue, and prompt prefix hashes."""

import json

import pytest

from tarragonwind.adapters.http_requests import CallerRequest
from tarragonwind.core.classifications import classify_request
from tarragonwind.core.entries import RouteEntry
from tarragonwind.core.prompt_prefixes import BLOCK_CHARACTERS, hash_prefixes
from tarragonwind.errors import ErrorKind, RequestError
from tests.support import TOKEN, FakeCatalogue

ROUTES = [
    RouteEntry(name="chat", owner="o", pool="p", tier=1, model="m"),
    RouteEntry(
        name="stamp", owner="o", pool="q", tier=2, path_prefix="/s", methods=["POST"],
        idempotent=False,
    ),
    RouteEntry(name="own", owner="o", pool="q", tier=0, path_prefix="/o", organisations=["x"]),
]  # fmt: skip
CATALOGUE = FakeCatalogue([], ROUTES)
AUTH = (b"Authorization", f"Bearer {TOKEN}".encode())


def request(target="/s/1", method="POST", body=b"", headers=()):
    req = CallerRequest(method, target, [AUTH, *headers])
    req.body = body
    return req


def refusal(req) -> ErrorKind:
    with pytest.raises(RequestError) as caught:
        classify_request(req, CATALOGUE)
    return caught.value.kind


def test_service_request_has_tier_timeout_and_idempotency_key():
    headers = [(b"Idempotency-Key", b"k1"), (b"Tarragonwind-Timeout-Ms", b"1500")]
    cls = classify_request(request(headers=headers), CATALOGUE)
    assert (cls.route.name, cls.tier, cls.idempotency_key) == ("stamp", 2, "k1")
    assert cls.timeout_s == 1.5


def test_completion_request_has_token_counts():
    body = json.dumps({"model": "m", "prompt": "x" * 400, "max_tokens": 9}).encode()
    cls = classify_request(request("/v1/completions", body=body), CATALOGUE)
    assert (cls.prompt_tokens, cls.max_tokens, cls.stream) == (100, 9, False)


@pytest.mark.parametrize(
    ("req", "kind"),
    [
        (request("/none"), ErrorKind.UNKNOWN_ROUTE),
        (request("/o/1"), ErrorKind.UNKNOWN_ROUTE),
        (request(method="GET"), ErrorKind.METHOD_REFUSED),
        (request("/s/../o"), ErrorKind.BAD_REQUEST),
        (request("/s/%2e%2e/o"), ErrorKind.BAD_REQUEST),
        (request("//s"), ErrorKind.BAD_REQUEST),
        (request("http://a/s"), ErrorKind.BAD_REQUEST),
        (request(headers=[(b"Tarragonwind-Tier", b"4")]), ErrorKind.BAD_REQUEST),
        (request(headers=[(b"Tarragonwind-Timeout-Ms", b"0")]), ErrorKind.BAD_REQUEST),
        (request(headers=[(b"Idempotency-Key", b"k" * 201)]), ErrorKind.BAD_REQUEST),
        (request("/v1/completions", "GET"), ErrorKind.METHOD_REFUSED),
        (request("/v1/completions", body=b"{"), ErrorKind.BAD_REQUEST),
        (request("/v1/completions", body=b"[]"), ErrorKind.BAD_REQUEST),
        (
            request("/v1/completions", body=b'{"model": "n", "prompt": "p"}'),
            ErrorKind.UNKNOWN_ROUTE,
        ),
        (request("/v1/completions", body=b'{"model": "m"}'), ErrorKind.BAD_REQUEST),
        (
            request("/v1/completions", body=b'{"model":"m","prompt":"p","max_tokens":0}'),
            ErrorKind.BAD_REQUEST,
        ),
    ],
)
def test_invalid_request_is_refused(req, kind):
    assert refusal(req) is kind


def test_wrong_token_is_refused():
    req = CallerRequest("POST", "/s/1", [(b"Authorization", b"Bearer wrong")])
    assert refusal(req) is ErrorKind.UNAUTHORIZED


def test_prefix_hashes_are_equal_for_the_common_prefix():
    shared = "s" * BLOCK_CHARACTERS * 2
    left = hash_prefixes(shared + "a" * BLOCK_CHARACTERS * 2)
    right = hash_prefixes(shared + "b" * BLOCK_CHARACTERS * 2)
    same = [one == other for one, other in zip(left, right, strict=True)]
    assert same == [True, True, False, False]
    assert hash_prefixes("short") == []


def test_prefix_hashes_are_bounded_and_shared_across_prompt_lengths():
    text = "".join(f"{number:08d}" for number in range(10_000))
    long = hash_prefixes(text[: BLOCK_CHARACTERS * 60])
    longer = hash_prefixes(text[: BLOCK_CHARACTERS * 100])
    assert (len(long), len(longer)) == (7, 6)
    assert set(longer) & set(long) == {long[1], long[3], long[5]}
