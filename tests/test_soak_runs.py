"""Play short seeded runs of the soak, and each seed that ever broke a promise."""

from pathlib import Path

import pytest

from soak.runs import play_seed

pytestmark = pytest.mark.process
REGRESSIONS = Path(__file__).parent.parent / "soak" / "regressions" / "seeds.txt"
SHORT_S = 8.0


def kept_seeds():
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


@pytest.mark.parametrize("seed", [11, *kept_seeds()])
def test_a_short_run_keeps_every_promise(seed):
    assert play_seed(seed, SHORT_S) == []
