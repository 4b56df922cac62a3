"""Replace hosts of the previous build by this one and back, under load, as processes.

Hosts of both builds must form one fleet: one owner for each pool, one configuration in force, no
request that may run once run twice, and no refusal that isn't true.
"""

import http.client
import io
import itertools
import re
import socket
import subprocess
import tarfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgpack
import pytest

from standins.fleets import set_faults, wait_until
from standins.platform_fleets import LOOKUP_PATH, STAMP_PATH, STREAM_PATH, PlatformFleet
from tarragonwind.core.rendezvous import choose_owner
from tarragonwind.messages import OWN_LEVEL

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("upgrades")]
PREVIOUS_BUILDS = {1: "077a292", 2: "e0444e7"}
"""Commit of the last build of each protocol level before this one."""
PROVEN_TUNNEL_LEVEL = 2
"""Protocol level from which on openings of tunnels carry a proof."""
ROOT = Path(__file__).resolve().parent.parent
HOSTS = ("front-0", "front-1", "front-2")
BACK_ENDS = ("i-engine0", "i-engine1", "i-service0", "i-service1")
PATHS = (STREAM_PATH, LOOKUP_PATH, STAMP_PATH)
CALLERS = 4
CALLER_PAUSE_S = 0.05
NOT_RUN_STATUSES = (408, 421, 429, 503)
STORE_OUTAGE_S = 2.0
SETTLE_S = 0.5
MIN_SERVED = 0.97
"""Least share of answers that are 200; refusals while a pool's owner changes make up the rest."""


@dataclass
class Answer:
    """Hold what a caller got: times, host, path, attempt and status (0 for a broken connection)."""

    begun_at: float
    ended_at: float
    host: str
    path: str
    attempt: str
    status: int


@dataclass
class Played:
    """Hold the answers of all callers, and what hosts and back ends recorded."""

    answers: list = field(default_factory=list)
    level: int = 1
    kill: tuple = ("", 0.0)
    tunnels: dict = field(default_factory=dict)
    runs: Counter = field(default_factory=Counter)
    logs: dict = field(default_factory=dict)


class Callers:
    """Send requests to hosts in turn from some threads, as a balancer would.

    A caller whose connection is refused tries the next host, since nothing was sent.
    """

    def __init__(self, site, answers):
        self.site, self.answers = site, answers
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(CALLERS)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_args):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def run(self, caller):
        hosts = itertools.cycle(HOSTS)
        for number in itertools.count():
            if self.ended.is_set():
                return
            self.send(next(hosts), PATHS[number % len(PATHS)], f"u-{caller}-{number}")
            time.sleep(CALLER_PAUSE_S)

    def send(self, host, path, attempt):
        begun_at, status = time.time(), 0
        more = {"Token_Counts": "100,20", "Model": "m"}
        try:
            status = self.site.send_caller_request(host, path, attempt, **more).status
        except ConnectionRefusedError:
            return
        except (OSError, http.client.HTTPException):
            pass
        self.answers.append(Answer(begun_at, time.time(), host, path, attempt, status))


def unpack_build(directory, commit):
    """Write the sources of an earlier build to a directory, from the history."""
    command = ["git", "archive", "--format=tar", commit, "tarragonwind"]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if found.returncode:
        pytest.skip(f"the history lacks commit {commit}: {found.stderr.decode().strip()}")
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(directory, filter="data")
    return directory


def read_metric(site, host, name):
    page = site.send_request(host, "metrics", "GET", "/metrics").body.decode()
    rows = [line for line in page.splitlines() if line.startswith(f"tarragonwind_{name}")]
    return int(float(rows[0].rsplit(" ", 1)[1])) if rows else 0


def wait_for_one_fleet(site):
    """Wait until every host knows all hosts and has the newest configuration in force."""
    for host in HOSTS:
        wait_until(lambda host=host: site.is_ready(host), f"{host} is ready")
    for host in HOSTS:
        wait_until(
            lambda host=host: read_metric(site, host, "hosts_live") == len(HOSTS)
            and read_metric(site, host, "catalogue_number") == site.version,
            f"{host} knows all hosts and has the configuration",
        )


def ask_for_tunnel(site, host):
    """Ask a host for a tunnel in the form of the previous build; return whether it is opened."""
    upstream = ["127.0.0.1", site.fleet.processes["i-service0"].port]
    with socket.create_connection((site.addresses[host], site.ports["tunnels"]), 5.0) as sock:
        sock.sendall(msgpack.packb(upstream))
        try:
            return sock.recv(16) == msgpack.packb(True)
        except ConnectionResetError:
            return False


def replace_host(site, host, tree, kill=False):
    """Stop or kill a host and start it with another build."""
    process = site.fleet.processes[host]
    if kill:
        process.kill()
    else:
        process.terminate()
        process.process.wait(15.0)
    if tree is None:
        site.trees.pop(host, None)
    else:
        site.trees[host] = tree
    site.start_host(host)


def play(directory, previous, level):
    """Replace all hosts forward and back, with a store outage and a killed owner midway."""
    played = Played(level=level)
    # The last one to be replaced owns the pool of streams, so that an old owner serves new hosts.
    owner = choose_owner("drafting", HOSTS)
    first, second = [host for host in HOSTS if host != owner]
    with PlatformFleet(directory, trees=dict.fromkeys(HOSTS, previous)) as site:
        site.start(engines=2, services=2, hosts=len(HOSTS))
        wait_for_one_fleet(site)
        with Callers(site, played.answers):
            time.sleep(SETTLE_S)
            replace_host(site, first, None)
            site.configure()
            wait_for_one_fleet(site)
            time.sleep(SETTLE_S)
            played.tunnels["one new"] = ask_for_tunnel(site, first)
            set_faults(site.store_port, away=True)
            away_until = time.time() + STORE_OUTAGE_S
            replace_host(site, second, None)
            time.sleep(max(0.0, away_until - time.time()))
            set_faults(site.store_port, away=False)
            wait_for_one_fleet(site)
            time.sleep(SETTLE_S)
            played.kill = (owner, time.time())
            replace_host(site, owner, None, kill=True)
            site.configure()
            wait_for_one_fleet(site)
            time.sleep(SETTLE_S)
            wait_until(lambda: not ask_for_tunnel(site, second), "tunnels need a proof")
            played.tunnels["all new"] = ask_for_tunnel(site, first)
            for host in (first, owner, second):
                replace_host(site, host, previous)
                site.configure()
                wait_for_one_fleet(site)
                time.sleep(SETTLE_S)
                played.tunnels.setdefault("one old", ask_for_tunnel(site, second))
        for name in BACK_ENDS:
            played.runs.update(
                line["attempt-id"] for line in site.journal(name) if line["event"] == "run"
            )
        for name in HOSTS:
            played.logs[name] = site.fleet.log_path(name).read_text()
    return played


@pytest.fixture(scope="module", params=PREVIOUS_BUILDS)
def played(request, tmp_path_factory):
    commit = PREVIOUS_BUILDS[request.param]
    previous = unpack_build(tmp_path_factory.mktemp("previous"), commit)
    return play(tmp_path_factory.mktemp("upgrade"), previous, request.param)


def is_beside_kill(played, answer):
    host, at = played.kill
    return answer.host == host and answer.begun_at <= at <= answer.ended_at


def test_callers_are_served_while_hosts_are_replaced(played):
    """Hosts that don't form one fleet each grant a pool by themselves and refuse or overload."""
    answers = [answer for answer in played.answers if not is_beside_kill(played, answer)]
    statuses = Counter(answer.status for answer in answers)
    print("statuses", statuses)
    assert set(statuses) <= {200, *NOT_RUN_STATUSES}, statuses
    assert statuses[200] >= MIN_SERVED * len(answers), statuses


def test_no_request_that_may_run_once_runs_again_beside_two_builds(played):
    once = [answer for answer in played.answers if answer.path == STAMP_PATH]
    assert once
    assert [answer for answer in once if played.runs[answer.attempt] > 1] == []


def test_a_refusal_beside_two_builds_is_true(played):
    refused = [answer for answer in played.answers if answer.status in NOT_RUN_STATUSES]
    assert [answer for answer in refused if played.runs[answer.attempt]] == []


def test_no_host_refuses_a_peer_or_gets_messages_that_it_cannot_read(played):
    for name, log in played.logs.items():
        bad = [
            line
            for line in log.splitlines()
            if "event=peer_refused" in line or "peer_message" in line or "Traceback" in line
        ]
        assert bad == [], name


def test_tunnels_need_a_proof_only_while_all_hosts_send_one(played):
    """Hosts of the previous build send none, and would lose their way to upstreams."""
    is_open = played.level < PROVEN_TUNNEL_LEVEL
    assert played.tunnels == {"one new": is_open, "all new": False, "one old": is_open}


def test_hosts_of_this_build_know_which_hosts_are_old(played):
    for name, log in played.logs.items():
        levels = set(re.findall(r"event=peer_level host=\S+ level=(\d+)", log))
        assert levels == {str(played.level), str(OWN_LEVEL)}, name
