"""A part crashes engines: sound requests that share another new part are refused for it."""

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
    crash_before_events,
)
from worlds import World, run_case  # noqa: E402

TEMPLATE = "a1b2c3d4"
FIRST_DOSSIER = "91bd3f06"
NEXT_DOSSIER = "77e0c412"
CALM_S = 8.0
"""Time of sound requests before the first crash, in seconds."""
SOUND_GAP_S = 0.2
FIRST_CRASHES = 3
CRASH_GAP_S = 1.0
LATER_CRASHING_GAP_S = 2.0
LAST_PHASE_S = 22.0


async def play(world: World) -> bool:
    """Play the case; return whether the rule held."""
    case = CrashingParts(world, crash_before_events)
    case.add_engines()
    await world.start(CONFIGURATION)
    calm_from = world.now()
    await case.send_for([TEMPLATE, FIRST_DOSSIER], True, CALM_S, SOUND_GAP_S)
    calm_to = world.now()
    world.record("next_dossier", crashing=CRASHING_PART, shared=NEXT_DOSSIER)
    for _ in range(FIRST_CRASHES):
        case.send([CRASHING_PART, NEXT_DOSSIER], sound=False)
        await case.send_for([TEMPLATE, FIRST_DOSSIER], True, CRASH_GAP_S, SOUND_GAP_S)
    await asyncio.gather(
        case.send_for([TEMPLATE, NEXT_DOSSIER], True, LAST_PHASE_S, SOUND_GAP_S),
        case.send_for([CRASHING_PART, NEXT_DOSSIER], False, LAST_PHASE_S, LATER_CRASHING_GAP_S),
    )
    ended = world.now()
    await asyncio.sleep(2.0)
    return case.judge_sound(calm_from, calm_to, ended)


if __name__ == "__main__":
    run_case(HERE, HOSTS, play)
