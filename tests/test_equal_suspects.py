"""Play a part that crashes engines beside a sound one that came with it, in processes."""

import time

import pytest

from standins.fleets import set_faults, wait_until
from standins.platform_fleets import STREAM_PATH, PlatformFleet, create_routes

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("crashing")]
ENGINES = 5
HOSTS = 2
TEMPLATE, DOSSIER, CRASHING_PART = "aa01", "b0b7", "bad5eed"
CRASHES = 3
CRASH_GAP_S = 0.8
ROUNDS = 6


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    route = {**create_routes(3_000)[0], "maxAttempts": 1, "streamResume": False}
    directory = tmp_path_factory.mktemp("equal-suspects")
    with PlatformFleet(directory, base={"routes": [route]}) as site:
        site.start(engines=ENGINES, services=0, hosts=HOSTS)
        for number in range(ENGINES):
            port = site.fleet.processes[f"i-engine{number}"].port
            set_faults(port, crashing_part=CRASHING_PART)
        yield site


def ask(site, number, *parts):
    """Send a prompt whose last part is its own; return the status, 0 for a broken connection."""
    rows = [f"{part}:30" for part in parts]
    prompt = ",".join([*rows, f"{0x10000 + number:x}:10"])
    fields = {"Token_Counts": "100,50", "Model": "m", "Prompt_Prefix": prompt}
    try:
        host = f"front-{number % HOSTS}"
        attempt = f"p-{number}"
        answer = site.send_caller_request(host, STREAM_PATH, attempt, text=attempt, **fields)
        return answer.status
    except OSError:
        return 0


def count_crashes(site):
    names = [name for name in site.fleet.processes if name.startswith("i-engine")]
    return sum(line["event"] == "crashed" for name in names for line in site.journal(name))


def replace_crashed_engines(site):
    """Start an engine in place of each one that has crashed."""
    for name in [name for name in site.fleet.processes if name.startswith("i-engine")]:
        process = site.fleet.processes[name].process
        if process.poll() is not None and f"{name}r" not in site.fleet.processes:
            port = site.replace_exited_back_end(name, f"{name}r", "drafting").port
            set_faults(port, crashing_part=CRASHING_PART)


def test_a_sound_part_that_came_with_a_crashing_one_is_served(site):
    """The sound one of two parts was convicted, and its prompts were refused (issue 49, LOST)."""
    wait_until(lambda: ask(site, 1, TEMPLATE) == 200, "prompts are served")
    number = 10
    while count_crashes(site) < CRASHES:
        number += 1
        ask(site, number, CRASHING_PART, DOSSIER)
        time.sleep(CRASH_GAP_S)
        replace_crashed_engines(site)
    time.sleep(CRASH_GAP_S)
    replace_crashed_engines(site)
    statuses = []
    for _ in range(ROUNDS):
        number += 1
        statuses.append(
            (ask(site, number, TEMPLATE, DOSSIER), ask(site, number, CRASHING_PART, DOSSIER))
        )
        time.sleep(0.2)
    assert [sound for sound, _ in statuses] == [200] * ROUNDS
    assert [crashing for _, crashing in statuses] == [503] * ROUNDS
    assert count_crashes(site) == CRASHES
    assert ask(site, number + 1, CRASHING_PART) == 503
