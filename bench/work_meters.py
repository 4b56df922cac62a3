"""Measure the processor time and the number of calls of what hosts of a simulated fleet do."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Work:
    """Hold how often something was done, and its processor time in seconds."""

    count: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class WorkMeter:
    """Add up work by its label, while it is switched on.

    Attributes
    ----------
    is_on : bool
        Whether work is measured.
    works : dict of str to Work
        What was done, by label.
    """

    is_on: bool = False
    works: dict[str, Work] = field(default_factory=dict)

    def run(self, label: str, function: Callable[[], object]) -> None:
        """Call a function, and add its processor time to a label."""
        if not self.is_on:
            function()
            return
        begin = time.process_time()
        function()
        work = self.works.setdefault(label, Work())
        work.count += 1
        work.seconds += time.process_time() - begin

    def reset(self) -> None:
        """Forget what was measured."""
        self.works.clear()
