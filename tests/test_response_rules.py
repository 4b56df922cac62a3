"""Test which bytes the HTTP client accepts as a response (RFC 9112 and 9110)."""

import pytest

from tests.client_exchange_players import Played, play, split
from tests.response_forms import BODY, CHUNKED, CHUNKS, GOOD, REFUSED_HEADS, SOUND, fill

REFUSED = {
    f"{fault}/{name}": each for fault, f in REFUSED_HEADS.items() for name, each in f.items()
}


@pytest.mark.parametrize("size", [1, 7, 1 << 20])
@pytest.mark.parametrize("form", REFUSED)
def test_bytes_that_are_no_response_are_refused_before_anything_is_passed_on(form, size):
    played = Played(split(fill(REFUSED[form]), size))
    assert (played.sink.ended, played.sink.events) == ("failed", [])
    assert played.sink.reason
    assert not played.kept


@pytest.mark.parametrize("size", [1, 7, 1 << 20])
@pytest.mark.parametrize("form", CHUNKS)
def test_chunks_that_are_none_never_end_a_response(form, size):
    played = Played(split(fill(CHUNKS[form]), size))
    assert played.sink.ended == "failed"
    assert BODY.startswith(played.sink.body)


@pytest.mark.parametrize("size", [1, 7, 1 << 20])
@pytest.mark.parametrize("form", SOUND)
def test_a_sound_response_is_passed_on(form, size):
    status, response = SOUND[form]
    played = Played(split(fill(response), size))
    assert (played.sink.ended, played.sink.reason) == ("complete", "")
    assert (played.sink.status, played.sink.body) == (status, GOOD)


@pytest.mark.parametrize("form", SOUND)
def test_a_sound_response_behind_one_to_another_request_is_passed_on(form):
    status, response = SOUND[form]
    for foreign in ("plain", "chunked", "trailer", "created"):
        both = fill(SOUND[foreign][1], b"foreign") + fill(response)
        for size in (1, 7, 1 << 20):
            played = Played(split(both, size), foreign=b"foreign")
            assert (played.sink.ended, played.sink.reason) == ("complete", "")
            assert (played.sink.status, played.sink.body) == (status, GOOD)


@pytest.mark.parametrize("form", REFUSED)
def test_no_broken_response_behind_one_to_another_request_is_passed_on(form):
    for foreign in ("plain", "chunked", "length-blanks"):
        both = fill(SOUND[foreign][1], b"foreign") + fill(REFUSED[form])
        for size in (1, 7, 1 << 20):
            played = Played(split(both, size), foreign=b"foreign")
            assert (played.sink.ended, played.sink.events) == ("failed", [])


def test_fields_behind_the_last_chunk_are_no_header_fields():
    response = fill(CHUNKED) + b"1\r\na\r\n0\r\nServer-Leaving: 1\r\nKeep-Alive: timeout=0\r\n\r\n"
    for size in (1, 7, 1 << 20):
        played = Played(split(response, size))
        assert played.sink.ended == "complete"
        assert b"Server-Leaving" not in dict(played.sink.headers)
        assert played.kept


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 4\r\n\r\nbody",
        b"\r\nbody",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    ],
)
def test_bytes_behind_the_head_of_a_response_to_head_belong_to_no_request(rest):
    played = play(b"HTTP/1.1 200 OK\r\n" + rest, method="HEAD")
    assert (played.sink.ended, played.sink.status, played.sink.body) == ("complete", 200, b"")
    assert not played.kept
