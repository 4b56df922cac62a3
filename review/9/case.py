"""A crashing part that stands behind many others in its prompts is never kept from engines."""

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

TURNS = 66
"""Parts of a long conversation before its newest ones."""
CONVERSATION = [f"{0x91bd0000 + turn:x}" for turn in range(TURNS)]
SOUND_TURN = "a1b2c3d4"
CALM_S = 8.0
"""Time of sound requests before the first crash, in seconds."""
SOUND_GAP_S = 0.2
CRASHING_GAP_S = 0.25
LAST_PHASE_S = 25.0


async def play(world: World) -> bool:
    """Play the case; return whether the rule held."""
    case = CrashingParts(world, crash_before_events)
    case.add_engines()
    await world.start(CONFIGURATION)
    await case.send_for([*CONVERSATION, SOUND_TURN], True, CALM_S, SOUND_GAP_S)
    await asyncio.gather(
        case.send_for([*CONVERSATION, SOUND_TURN], True, LAST_PHASE_S, SOUND_GAP_S),
        case.send_for([*CONVERSATION, CRASHING_PART], False, LAST_PHASE_S, CRASHING_GAP_S),
    )
    await asyncio.sleep(2.0)
    return case.judge_crashing()


if __name__ == "__main__":
    run_case(HERE, HOSTS, play)
