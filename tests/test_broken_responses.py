"""Play upstreams that send broken responses to entry hosts that run as processes."""

import time

import pytest

from standins.platform_fleets import (
    LOOKUP_PATH,
    STAMP_PATH,
    STREAM_PATH,
    PlatformFleet,
)
from tests.response_forms import (
    BODY,
    CHUNKS,
    ENCODED,
    GOOD,
    REFUSED_HEADS,
    SOUND,
    fill,
    with_fields,
)
from tests.strict_callers import CLOSED, PROMISES_NOT_RUN, PROMISES_NOTHING, StrictCaller
from tests.test_faulty_engines import ScriptedEngine

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("broken-responses")]
ENGINES_PER_POOL = 2
PATHS = {"stream": STREAM_PATH, "safe": LOOKUP_PATH, "unsafe": STAMP_PATH}
FORMS = {
    f"{fault}/{name}": each
    for fault, forms in REFUSED_HEADS.items()
    for name, each in forms.items()
}
FORMS |= {f"chunks/{name}": each for name, each in CHUNKS.items()}
FORMS |= {f"encoded/{name}": each for name, each in ENCODED.items()}
FORMS |= {f"sound/{name}": each for name, (_, each) in SOUND.items()}
SERVED_AGAIN_S = 10.0
"""Longest time until a request runs, in seconds."""
RESUMED = "resumed/"
"""Beginning of forms with which an upstream goes on with a stream that broke off at another."""
RESUMED_FORMS = 8
"""Forms of each fault that are played so, at most."""
FIRST_EVENT = b"id: 1\ndata: begun\n\n"


def respond(engine, conn, seen):
    """Send the response that the request names; sound ones that are framed keep the connection."""
    attempt, form = seen[-1]["attempt-id"], seen[-1]["form"]
    engine.runs.append(attempt)
    response = fill(FORMS[form.removeprefix(RESUMED)], attempt.encode())
    if form.startswith(RESUMED):
        goes_on = "last-event-id" in seen[-1]
        response = as_events(response) if goes_on else begin_stream(attempt)
    conn.sendall(response)
    return form.startswith("sound/") and "unframed" not in form


def begin_stream(attempt):
    """Return a stream that breaks off behind its first event."""
    head = fill(with_fields(b"Transfer-Encoding: chunked\r\n", b"\r\n"), attempt.encode())
    return as_events(head) + b"%x\r\n" % len(FIRST_EVENT) + FIRST_EVENT + b"\r\n"


def as_events(response):
    """Return a response whose body consists of events."""
    return response.replace(b"Server-Seal", b"Content-Type: text/event-stream\r\nServer-Seal")


class Site:
    """Run a host before upstreams that send the responses that requests name."""

    def __init__(self, directory):
        self.fleet = PlatformFleet(directory)
        self.fleet.start(engines=0, services=0, hosts=1)
        self.engines = [ScriptedEngine(respond) for _ in range(2 * ENGINES_PER_POOL)]
        for number, engine in enumerate(self.engines):
            pool = "registry" if number % 2 else "drafting"
            self.fleet.register(f"i-scripted-{number}", pool, engine.port)
        self.number = 0

    def caller(self):
        """Return a caller of the host."""
        return StrictCaller((self.fleet.addresses["front-0"], self.fleet.ports["callers"]))

    def ask(self, caller, path, form):
        """Send a request until one has run; return its status and body, and how often it ran.

        Upstreams that fail many answers are left out for a while, and requests are refused then.
        """
        ends_at = time.monotonic() + SERVED_AGAIN_S
        while True:
            self.number += 1
            attempt = f"form-{self.number}"
            status, body = caller.ask(path, attempt, form)
            runs = sum(engine.runs.count(attempt) for engine in self.engines)
            if runs or status not in PROMISES_NOT_RUN or time.monotonic() > ends_at:
                return status, body, runs
            time.sleep(0.1)

    def close(self):
        """Stop all processes."""
        self.fleet.__exit__()
        for engine in self.engines:
            engine.close()


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = Site(tmp_path_factory.mktemp("broken"))
    try:
        caller = site.caller()
        for path in PATHS.values():
            for _ in range(100):
                if site.ask(caller, path, "sound/plain")[0] == 200:
                    break
        yield site
    finally:
        site.close()


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("fault", [*REFUSED_HEADS, "chunks", "encoded"])
def test_no_broken_response_reaches_a_caller_as_an_answer(site, fault, kind):
    caller = site.caller()
    wrong = []
    for form in [each for each in FORMS if each.startswith(f"{fault}/")]:
        assert site.ask(caller, PATHS[kind], "sound/plain")[:2] == (200, GOOD)
        try:
            status, body, runs = site.ask(caller, PATHS[kind], form)
        except (AssertionError, ValueError) as exc:
            wrong.append((form, str(exc)[:80]))
            caller.close()
            continue
        true = status in PROMISES_NOTHING or status == CLOSED
        true = true or (status in PROMISES_NOT_RUN and not runs)
        once = kind != "unsafe" or runs <= 1
        if not (true and once and BODY not in body):
            wrong.append((form, status, body, runs))
    assert not wrong


@pytest.mark.parametrize("fault", [*REFUSED_HEADS, "chunks", "encoded"])
def test_no_broken_response_goes_on_with_a_stream(site, fault):
    forms = [each for each in FORMS if each.startswith(f"{fault}/")]
    answers = {form: ask_resumed(site, form) for form in forms[:: len(forms) // RESUMED_FORMS + 1]}
    assert {form: each for form, each in answers.items() if each != (CLOSED, b"", 2)} == {}


def test_a_sound_response_goes_on_with_a_stream(site):
    assert ask_resumed(site, "sound/unframed") == (200, FIRST_EVENT + GOOD, 2)


def ask_resumed(site, form):
    """Ask for a stream that another upstream goes on with, until one is free to; see `Site.ask`.

    Repeats are bounded by a share of all requests as well.
    """
    ends_at = time.monotonic() + SERVED_AGAIN_S
    caller = site.caller()
    while True:
        status, body, runs = site.ask(caller, STREAM_PATH, RESUMED + form)
        if runs != 1 or status != CLOSED or time.monotonic() > ends_at:
            return status, body, runs
        site.ask(caller, STREAM_PATH, "sound/plain")


@pytest.mark.parametrize("kind", PATHS)
def test_a_sound_response_reaches_a_caller_unchanged(site, kind):
    caller = site.caller()
    wrong = []
    for name, (expected, _) in SOUND.items():
        status, body, runs = site.ask(caller, PATHS[kind], f"sound/{name}")
        if (status, body) != (expected, GOOD):
            wrong.append((name, status, body, runs))
    assert not wrong
