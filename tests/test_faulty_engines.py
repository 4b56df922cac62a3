"""Play engines that write refusals again, fail resumed streams and cut heads short."""

import http.client
import socket
import threading
import time

import pytest

from standins.platform_fleets import STAMP_PATH, STREAM_PATH, PlatformFleet

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("faulty-engines")]
SEAL = "Server-Seal: s\r\n"
EVENTS = [f"id: {number}\ndata: piece-{number}\n\n" for number in range(1, 5)]
ERROR_TEXT = "the engine failed"
RUN_S = 0.1


class ScriptedEngine:
    """Answer the requests of each connection by a function that writes raw bytes."""

    def __init__(self, respond):
        self.respond = respond
        self.runs = []
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
        file = conn.makefile("rb")
        seen = []
        while headers := self._read_request(file):
            seen.append(headers)
            if not self.respond(self, conn, seen):
                conn.close()
                return

    def _read_request(self, file):
        line = file.readline()
        if not line:
            return None
        fields = http.client.parse_headers(file)
        file.read(int(fields.get("Content-Length", 0)))
        return {name.lower(): value for name, value in fields.items()}

    def close(self):
        self._sock.close()


def respond_once(body, attempt):
    head = f"HTTP/1.1 200 OK\r\n{SEAL}Attempt-Id: {attempt}\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


def refusal(attempt):
    name = f"Attempt-Id: {attempt}\r\n" if attempt else ""
    return f"HTTP/1.1 503 No\r\n{name}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with PlatformFleet(tmp_path_factory.mktemp("faulty")) as site:
        site.start(engines=0, services=0, hosts=1)
        yield site


@pytest.fixture
def engines(site):
    started = []

    def start(pool, respond):
        engine = ScriptedEngine(respond)
        name = f"i-scripted-{engine.port}"
        site.register(name, pool, engine.port)
        started.append((name, engine))
        time.sleep(1.0)
        return engine

    yield start
    for name, engine in started:
        site.put(f"servers/{name}", None)
        engine.close()
    time.sleep(1.0)


@pytest.mark.parametrize("names_request", [True, False], ids=["earlier-id", "no-id"])
def test_a_refusal_that_is_written_again_refuses_no_request_that_runs(site, engines, names_request):
    def respond(engine, conn, seen):
        attempt = seen[-1]["attempt-id"]
        if len(seen) > 1:
            conn.sendall(refusal(seen[0]["attempt-id"] if names_request else ""))
        engine.runs.append(attempt)
        time.sleep(RUN_S)
        conn.sendall(respond_once("done", attempt))
        return True

    engine = engines("registry", respond)
    attempts = [f"again-{names_request}-{number}" for number in range(4)]
    statuses = [site.send_caller_request("front-0", STAMP_PATH, each).status for each in attempts]
    assert statuses[0] == 200
    refused = [each for each, status in zip(attempts, statuses, strict=True) if status == 503]
    assert not set(refused) & set(engine.runs)
    assert sorted(engine.runs) == sorted(set(engine.runs))


ERROR_ANSWERS = {
    "failure": f"HTTP/1.1 500 No\r\n{SEAL}Content-Length: 17\r\n\r\n{ERROR_TEXT}",
    "refusal": "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 17\r\n\r\n" + ERROR_TEXT,
    "plain": f"HTTP/1.1 200 OK\r\n{SEAL}Content-Type: text/plain\r\nContent-Length: 17\r\n\r\n"
    + ERROR_TEXT,
    "html": f"HTTP/1.1 200 OK\r\n{SEAL}Content-Type: text/html\r\n\r\n{ERROR_TEXT}",
    "no-http": ERROR_TEXT,
}


@pytest.mark.parametrize("kind", ERROR_ANSWERS)
def test_an_error_of_the_next_engine_is_no_part_of_a_stream(site, engines, kind):
    def respond(engine, conn, seen):
        attempt = seen[-1]["attempt-id"]
        if "last-event-id" in seen[-1]:
            conn.sendall(
                ERROR_ANSWERS[kind].replace(SEAL, SEAL + f"Attempt-Id: {attempt}\r\n").encode()
            )
            return False
        head = f"HTTP/1.1 200 OK\r\n{SEAL}Attempt-Id: {attempt}\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        begun = "".join(EVENTS[:2])
        conn.sendall(f"{head}{len(begun):x}\r\n{begun}\r\n".encode())
        return False

    engines("drafting", respond)
    engines("drafting", respond)
    body, whole = read_stream(site, f"error-{kind}")
    assert ERROR_TEXT not in body
    assert "HTTP/1.1" not in body
    assert not whole


def read_stream(site, attempt):
    """Return the body of a stream as far as it came, and whether it ended as complete."""
    try:
        answer = site.send_caller_request(
            "front-0", STREAM_PATH, attempt, Token_Counts="100,50", Model="m"
        )
    except http.client.IncompleteRead as exc:
        return exc.partial.decode(), False
    except OSError:
        return "", False
    return answer.body.decode(), answer.status == 200


CUT_HEADS = {
    "in-a-field": f"HTTP/1.1 200 OK\r\n{SEAL}Content-Le",
    "before-the-blank-line": f"HTTP/1.1 200 OK\r\n{SEAL}Content-Length: 0\r\n",
    "in-the-blank-line": f"HTTP/1.1 200 OK\r\n{SEAL}Content-Length: 0\r\n\r",
    "without-length": f"HTTP/1.1 200 OK\r\n{SEAL}Content-Type: text/event-stream\r\n",
    "in-the-status-line": "HTTP/1.1 200 O",
}


@pytest.mark.parametrize("path", [STAMP_PATH, STREAM_PATH], ids=["plain", "stream"])
@pytest.mark.parametrize("where", CUT_HEADS)
def test_a_head_that_is_cut_short_is_no_response(site, engines, where, path):
    def respond(engine, conn, seen):
        conn.sendall(CUT_HEADS[where].encode())
        return False

    engines("registry" if path == STAMP_PATH else "drafting", respond)
    try:
        status = site.send_caller_request(
            "front-0", path, f"head-{where}", text=where, Token_Counts="100,50", Model="m"
        ).status
    except OSError:
        status = 0
    assert status in (0, 502, 504)
