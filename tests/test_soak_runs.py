"""Play short seeded runs of the soak, and each seed that ever broke a promise."""

import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from soak.runs import Soak, play_seed
from soak.schedules import Fault
from standins.fleets import FleetProcess

pytestmark = pytest.mark.process
REGRESSIONS = Path(__file__).parent.parent / "soak" / "regressions" / "seeds.txt"
SHORT_S = 8.0


def kept_seeds():
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


@pytest.mark.parametrize("seed", [11, *kept_seeds()])
def test_a_short_run_keeps_every_promise(seed):
    assert play_seed(seed, SHORT_S) == []


SLOW_STOP = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (time.sleep(0.5), sys.exit()))
print("up", flush=True)
time.sleep(60)
"""


def test_a_host_that_is_paused_in_its_planned_stop_is_started_anew():
    process = subprocess.Popen([sys.executable, "-c", SLOW_STOP], stdout=subprocess.PIPE)
    process.stdout.readline()
    started = []
    processes = {"front-0": FleetProcess("front-0", process, 0)}
    site = SimpleNamespace(fleet=SimpleNamespace(processes=processes), start_host=started.append)
    soak = Soak(1, 1.0, site)
    try:
        start_anew = soak.stop_host(Fault(0.0, 1.0, "stop_host", "front-0"))
        soak.pause_host(Fault(0.1, 1.0, "pause_host", "front-0"))
        start_anew()
    finally:
        process.kill()
        process.wait()
    assert started == ["front-0"]
