"""A part crashes engines once their answer has begun: it is never kept from them."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-2"))

from crashing_parts import (  # noqa: E402
    CONFIGURATION,
    CRASHING_PART,
    HOSTS,
    CrashingParts,
    crash_after_first_event,
)
from worlds import World, run_case  # noqa: E402

TEMPLATE = "a1b2c3d4"
DOSSIER = "91bd3f06"
CALM_S = 8.0
"""Time of sound requests before the first crash, in seconds."""
SOUND_GAP_S = 0.2
CRASHING_GAP_S = 0.25
LAST_PHASE_S = 25.0


async def play(world: World) -> bool:
    """Play the case; return whether the rule held."""
    case = CrashingParts(world, crash_after_first_event)
    case.add_engines()
    await world.start(CONFIGURATION)
    await case.send_for([TEMPLATE, DOSSIER], True, CALM_S, SOUND_GAP_S)
    await asyncio.gather(
        case.send_for([TEMPLATE, DOSSIER], True, LAST_PHASE_S, SOUND_GAP_S),
        case.send_for([CRASHING_PART, DOSSIER], False, LAST_PHASE_S, CRASHING_GAP_S),
    )
    await asyncio.sleep(2.0)
    return case.judge_crashing()


if __name__ == "__main__":
    run_case(HERE, HOSTS, play)
