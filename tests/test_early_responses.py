"""Play upstreams that answer long uploads at once, over direct paths and through a tunnel."""

import http.client
import json
import random
import socket
import threading
import time

import pytest

from standins.platform_fleets import LOOKUP_PATH, STAMP_PATH, STREAM_PATH, PlatformFleet
from tarragonwind.adapters.connections import RESET_ON_CLOSE
from tests.strict_callers import CLOSED, MIN_UPLOAD_BYTES, PROMISES_NOT_RUN, StrictCaller

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("early-responses")]
PATHS = {"stream": STREAM_PATH, "safe": LOOKUP_PATH, "unsafe": STAMP_PATH}
HOSTS = {"direct": "front-1", "tunnel": "front-0"}
UPLOADS = 40
MIN_BYTES, MAX_BYTES = 200_000, 4_000_000
MAX_DELAY_S = 0.02
EVENT = b"id: 1\ndata: a\n\n"
HEAD = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: {}\r\nContent-Type: text/event-stream\r\n"
UNFRAMED = "\r\n"
SIZED = f"Content-Length: {len(EVENT)}\r\n\r\n"


class EarlyUpstream:
    """Answer each request when a part of its body has come, and go on as its form demands.

    ``reset`` sends a response without a length and resets the connection. ``sized`` sends a whole
    response with a length, ``unframed`` one whose end is that of its connection; both read the
    rest of the body.
    """

    def __init__(self):
        self.runs = []
        self._rng = random.Random(52)
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.port = self._sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            self._answer(conn)
        except OSError:
            pass
        finally:
            conn.close()

    def _answer(self, conn):
        file = conn.makefile("rb")
        while file.readline():
            fields = http.client.parse_headers(file)
            self.runs.append(fields["Attempt-Id"])
            form = fields["Form"]
            head = HEAD.format(fields["Attempt-Id"]) + (SIZED if form == "sized" else UNFRAMED)
            conn.sendall(head.encode() + EVENT)
            if form == "reset":
                time.sleep(self._rng.uniform(0.0, MAX_DELAY_S))
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                file.close()
                return
            if form == "unframed":
                conn.shutdown(socket.SHUT_WR)
            file.read(int(fields["Content-Length"]))

    def close(self):
        self._sock.close()


class Site:
    """Run two hosts before early upstreams, one of which reaches them only through the other."""

    def __init__(self, fleet):
        self.fleet = fleet
        fleet.start(engines=0, services=0, hosts=len(HOSTS))
        self.upstreams = [EarlyUpstream() for _ in range(4)]
        for number, upstream in enumerate(self.upstreams):
            pool = "registry" if number % 2 else "drafting"
            fleet.register(f"i-early-{number}", pool, upstream.port)
        cut = {"ports": [upstream.port for upstream in self.upstreams], "how": "refuse"}
        fleet.cut_path(HOSTS["tunnel"]).write_text(json.dumps(cut))
        for where in HOSTS:
            for path in PATHS.values():
                self._wait_until_served(where, path)

    def caller(self, where):
        """Return a caller of one host."""
        return StrictCaller((self.fleet.addresses[HOSTS[where]], self.fleet.ports["callers"]))

    def _wait_until_served(self, where, path):
        caller = self.caller(where)
        for number in range(100):
            attempt = f"first-{where}-{path}-{number}"
            if caller.ask(path, attempt, "sized", b"u" * MIN_UPLOAD_BYTES)[0] == 200:
                return
            time.sleep(0.05)
        raise AssertionError(f"{path} is not served at {HOSTS[where]}")

    def count_runs(self, attempt):
        """Return how often a request reached an upstream."""
        return sum(each.runs.count(attempt) for each in self.upstreams)

    def read_log(self, where):
        """Return the log of one host."""
        return self.fleet.fleet.log_path(HOSTS[where]).read_text()


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    directory = tmp_path_factory.mktemp("early")
    base = {"limits": {"maxBodyBytes": 2 * MAX_BYTES}}
    with PlatformFleet(directory, base=base, host_module="standins.cut_hosts") as fleet:
        site = Site(fleet)
        yield site
        for upstream in site.upstreams:
            upstream.close()


def upload(site, where, kind, form, count):
    """Send long uploads on a connection that is kept; return the answers and the runs of each."""
    caller = site.caller(where)
    rng = random.Random(f"{where}-{kind}-{form}")
    answers = []
    for number in range(count):
        attempt = f"{where}-{kind}-{form}-{number}"
        body = b"u" * rng.randint(MIN_BYTES, MAX_BYTES)
        status, body = caller.ask(PATHS[kind], attempt, form, body)
        answers.append((status, body, site.count_runs(attempt)))
    return answers


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("where", HOSTS)
def test_an_early_response_that_is_reset_is_never_whole(site, where, kind):
    answers = upload(site, where, kind, "reset", UPLOADS)
    assert [each for each in answers if 200 <= each[0] < 300] == []
    assert [each for each in answers if each[0] in PROMISES_NOT_RUN and each[2]] == []
    assert [each for each in answers if kind == "unsafe" and each[2] > 1] == []
    assert CLOSED in [each[0] for each in answers]


@pytest.mark.parametrize("form", ["sized", "unframed"])
@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("where", HOSTS)
def test_an_early_response_that_is_whole_reaches_the_caller(site, where, kind, form):
    answers = upload(site, where, kind, form, UPLOADS // 4)
    assert [each[:2] for each in answers] == [(200, EVENT)] * len(answers)


def test_uploads_passed_through_the_other_host(site):
    """Guards against a path that this file means to test and that was not taken."""
    assert "upstream_path_lost" in site.read_log("tunnel")
    assert "upstream_path_lost" not in site.read_log("direct")
