"""Play requests that crash back ends against hosts and back ends in processes."""

import http.client
import itertools
import threading
import time
from dataclasses import dataclass, field

import pytest

from standins.fleets import set_faults, wait_until
from standins.platform_engine import EVENTS_PER_STREAM
from standins.platform_fleets import LOOKUP_PATH, STAMP_PATH, STREAM_PATH, PlatformFleet

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("crashing-requests")]
HOSTS = 3
BACK_ENDS = 4
CRASHES_TO_CONVICT = 3
CONTACT_S = 3.0
"""Time after the third crash from which back ends must be spared, in seconds."""
MAX_LATE_ARRIVALS = 3
WARM_UP_S = 1.0
LOAD_S = 14.0
RESTART_S = 1.0
CALLER = "officina"
OTHER_CALLER = "cantiere"
OTHER_TEXT = b"other text"
CRASHING_TEXT = b"crashing text"
PROMPT = {"Token_Counts": "100,50", "Model": "m", "Prompt_Prefix": "aa01:60,b0b:30,c1:10"}
LOST = (OSError, http.client.HTTPException)


@dataclass
class Request:
    """Describe what one caller sends again and again."""

    path: str
    caller: str = CALLER
    text: bytes = CRASHING_TEXT
    headers: dict = field(default_factory=dict)


@dataclass
class Kind:
    """Hold a crashing request, sound ones that share two of its three marks, and their pool."""

    pool: str
    crashing: Request
    sound: list


KINDS = {
    "safe": Kind(
        "registry",
        Request(LOOKUP_PATH),
        [Request("/lookup/8"), Request(LOOKUP_PATH, OTHER_CALLER), Request(STAMP_PATH)],
    ),
    "unsafe": Kind(
        "registry",
        Request(STAMP_PATH),
        [
            Request("/stamp/8"),
            Request(STAMP_PATH, OTHER_CALLER),
            Request(STAMP_PATH, text=OTHER_TEXT),
            Request(LOOKUP_PATH),
        ],
    ),
    "stream": Kind(
        "drafting",
        Request(STREAM_PATH, headers=PROMPT),
        [
            Request(f"{STREAM_PATH}/8", headers=PROMPT),
            Request(STREAM_PATH, OTHER_CALLER, headers=PROMPT),
            Request(STREAM_PATH, text=OTHER_TEXT, headers=PROMPT),
        ],
    ),
}


def crash_faults(request):
    """Return the faults of a back end that crashes under a request."""
    faults = {"crashing_path": request.path, "crashing_tenant": request.caller}
    if not request.path.startswith("/lookup"):
        faults["crashing_body"] = request.text.decode()
    return faults


@dataclass
class Answer:
    """Hold what a caller saw of one attempt."""

    attempt: str
    sent_at: float
    status: int
    whole: bool


class Site:
    """Run hosts and back ends of one pool, and send requests to them."""

    def __init__(self, fleet, kind):
        self.fleet = fleet
        self.kind = kind
        self.numbers = itertools.count()
        self.answers = {"crashing": [], "sound": []}
        engines = kind.pool == "drafting"
        fleet.start(BACK_ENDS * engines, BACK_ENDS * (not engines), HOSTS)
        self.back_ends = [name for name in fleet.fleet.processes if name.startswith("i-")]

    def send(self, label, request, host):
        attempt = f"{label}-{next(self.numbers)}"
        sent_at = time.time()
        try:
            answer = self.fleet.send_caller_request(
                host, request.path, attempt, request.caller, request.text, **request.headers
            )
        except LOST:
            seen = Answer(attempt, sent_at, 0, False)
        else:
            whole = answer.status == 200
            if whole and request.path.startswith(STREAM_PATH):
                whole = answer.body.count(b"id: ") == EVENTS_PER_STREAM
            seen = Answer(attempt, sent_at, answer.status, whole)
        self.answers[label].append(seen)
        return seen

    def lines(self, event):
        names = [name for name in self.fleet.fleet.processes if name.startswith("i-")]
        lines = [line for name in names for line in self.fleet.journal(name)]
        return sorted(
            (line for line in lines if line["event"] == event), key=lambda line: line["at"]
        )

    def times(self, event):
        """Return the times of an event of the crashing request."""
        return [x["at"] for x in self.lines(event) if x["attempt-id"].startswith("crashing")]


class Load:
    """Send a crashing request to each host and sound ones beside it, and replace back ends."""

    def __init__(self, site):
        self.site = site
        self.ends_at = time.monotonic() + WARM_UP_S + LOAD_S

    def run(self):
        hosts = list(self.site.fleet.addresses)
        jobs = [lambda host=host: self.send_crashing(host) for host in hosts]
        jobs += [lambda one=one: self.send_sound(one) for one in self.site.kind.sound]
        jobs.append(self.replace_back_ends)
        threads = [threading.Thread(target=job) for job in jobs]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send_crashing(self, host):
        time.sleep(WARM_UP_S)
        while time.monotonic() < self.ends_at:
            self.site.send("crashing", self.site.kind.crashing, host)
            time.sleep(0.4)

    def send_sound(self, request):
        hosts = itertools.cycle(self.site.fleet.addresses)
        while time.monotonic() < self.ends_at:
            self.site.send("sound", request, next(hosts))
            time.sleep(0.05)

    def replace_back_ends(self):
        processes = self.site.fleet.fleet.processes
        while time.monotonic() < self.ends_at:
            for position, name in enumerate(self.site.back_ends):
                if processes[name].process.poll() is not None:
                    time.sleep(RESTART_S / BACK_ENDS)
                    self.site.back_ends[position] = f"{name}r"
                    faults = crash_faults(self.site.kind.crashing)
                    self.site.fleet.replace_exited_back_end(
                        name, f"{name}r", self.site.kind.pool, **faults
                    )
            time.sleep(0.05)


@pytest.fixture(scope="module", params=list(KINDS))
def played(request, tmp_path_factory):
    with PlatformFleet(tmp_path_factory.mktemp(request.param)) as fleet:
        site = Site(fleet, KINDS[request.param])
        set_all(site, **crash_faults(site.kind.crashing))
        Load(site).run()
        yield site


def test_a_request_that_has_crashed_three_back_ends_is_kept_from_the_others(played):
    crashes = played.times("crashed")
    assert len(crashes) >= CRASHES_TO_CONVICT
    spared_from = crashes[CRASHES_TO_CONVICT - 1] + CONTACT_S
    assert len([x for x in played.answers["crashing"] if x.sent_at > spared_from]) >= 2 * HOSTS
    assert len([at for at in played.times("run") if at > spared_from]) <= MAX_LATE_ARRIVALS


def test_requests_that_share_path_caller_or_body_are_answered_beside_it(played):
    from_at = played.times("crashed")[CRASHES_TO_CONVICT - 1] + 2 * CONTACT_S
    sound = [answer.whole for answer in played.answers["sound"] if answer.sent_at > from_at]
    assert len(sound) >= 20
    assert sum(sound) == len(sound)


def test_callers_are_told_not_run_only_of_requests_that_no_back_end_has_run(played):
    run = {line["attempt-id"] for line in played.lines("run")}
    refused = {
        answer.attempt
        for answers in played.answers.values()
        for answer in answers
        if answer.status in (429, 503)
    }
    assert refused
    assert refused & run == set()


def test_hosts_that_all_start_again_or_join_late_keep_it_from_back_ends(played):
    fleet = played.fleet
    for name in fleet.addresses:
        fleet.fleet.processes[name].kill()
    fleet.addresses["front-late"] = "127.0.0.31"
    for name in fleet.addresses:
        fleet.start_host(name)
    for name in fleet.addresses:
        wait_until(lambda name=name: fleet.is_ready(name), f"{name} is ready")
    from_at = time.time()
    for name in fleet.addresses:
        assert played.send("crashing", played.kind.crashing, name).status == 503
        assert all(played.send("sound", one, name).whole for one in played.kind.sound)
    assert [at for at in played.times("run") if at > from_at] == []


@pytest.fixture
def sound_site(tmp_path):
    with PlatformFleet(tmp_path) as fleet:
        yield Site(fleet, KINDS["safe"])


def set_all(site, **faults):
    for name in site.back_ends:
        set_faults(site.fleet.fleet.processes[name].port, **faults)


def send_everywhere(site, times):
    """Send the same request at all hosts at once, several times to each."""
    hosts = list(site.fleet.addresses) * times
    jobs = [
        threading.Thread(target=site.send, args=("sound", site.kind.crashing, host))
        for host in hosts
    ]
    for job in jobs:
        job.start()
    for job in jobs:
        job.join()


def test_back_ends_that_fall_silent_for_a_second_convict_no_request(sound_site):
    for _ in range(3):
        set_all(sound_site, pause_s=1.0)
        send_everywhere(sound_site, times=BACK_ENDS)
    set_all(sound_site, pause_s=0.0)
    time.sleep(CONTACT_S)
    sound_site.answers["sound"].clear()
    send_everywhere(sound_site, times=2)
    assert all(answer.whole for answer in sound_site.answers["sound"])


def test_connections_that_are_reset_everywhere_at_once_convict_no_request(sound_site):
    for _ in range(3):
        runs_before = len(sound_site.lines("run"))
        set_all(sound_site, pause_s=0.6, reset_at=time.time() + 0.4)
        send_everywhere(sound_site, times=BACK_ENDS)
        set_all(sound_site, pause_s=0.0, reset_at=0.0)
        assert len(sound_site.lines("run")) > runs_before + HOSTS * BACK_ENDS
        for _ in range(2 * BACK_ENDS):
            sound_site.send("sound", Request("/lookup/8"), "front-0")
        time.sleep(CONTACT_S)
        sound_site.answers["sound"].clear()
        send_everywhere(sound_site, times=2)
        assert all(answer.whole for answer in sound_site.answers["sound"])
