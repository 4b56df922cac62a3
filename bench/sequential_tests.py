"""Simulate the sequential tests: error rates under continuous checks and time to detection.

Run ``python -m bench.sequential_tests --out docs/data``.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from tarragonwind.core.evidence import Tally
from tarragonwind.core.sequential_tests import (
    Pair,
    inferiority_log_evidence,
    log_threshold,
    noninferiority_log_evidence,
)

RUNS_PER_CASE = 500
MAX_NEW_REQUESTS = 400
"""Requests of the new version after which a run ends undecided."""

OLD_REQUESTS_PER_NEW = 4
ALPHA = 0.05
STRICT_ALPHA = 0.0001

Evidence = Callable[[Sequence[Pair], float], float]


@dataclass(slots=True)
class Case:
    """One simulated test and its result.

    Attributes
    ----------
    what : str
        Hypothesis under test.
    old, new, margin : float
        Failure rates of the two versions and the margin of the test.
    alpha : float
        Significance level.
    crossed : float
        Fraction of runs in which the evidence reached its threshold at any time.
    median_requests : float or None
        Median number of requests of the new version until then.
    """

    what: str
    old: float
    new: float
    margin: float
    alpha: float
    crossed: float = 0.0
    median_requests: float | None = None


def create_cases() -> list[Case]:
    """Return the cases: first those on the null boundary, then those beyond it."""
    return [
        Case("bad, null true", 0.01, 0.01, 0.0, ALPHA),
        Case("bad, null true", 0.1, 0.1, 0.0, ALPHA),
        Case("bad, null true", 0.1, 0.15, 0.05, ALPHA),
        Case("good, null true", 0.01, 0.06, 0.05, ALPHA),
        Case("good, null true", 0.1, 0.2, 0.1, ALPHA),
        Case("bad", 0.005, 1.0, 0.005, STRICT_ALPHA),
        Case("bad", 0.005, 0.2, 0.005, STRICT_ALPHA),
        Case("bad", 0.005, 0.1, 0.005, STRICT_ALPHA),
        Case("bad", 0.005, 0.05, 0.005, STRICT_ALPHA),
        Case("bad", 0.1, 0.5, 0.05, STRICT_ALPHA),
        Case("good", 0.005, 0.005, 0.1, ALPHA),
        Case("good", 0.005, 0.005, 0.04, ALPHA),
    ]


def run_case(case: Case) -> None:
    """Simulate a case and set its results."""
    evidence = (
        inferiority_log_evidence if case.what.startswith("bad") else noninferiority_log_evidence
    )
    lengths = []
    for seed in range(RUNS_PER_CASE):
        length = _run_once(case, evidence, random.Random(seed))
        if length is not None:
            lengths.append(length)
    case.crossed = len(lengths) / RUNS_PER_CASE
    case.median_requests = statistics.median(lengths) if lengths else None


def _run_once(case: Case, evidence: Evidence, rng: random.Random) -> int | None:
    """Return the new version's requests until the threshold, or None if it is not reached."""
    new_hits = 0
    old_hits = 0
    threshold = log_threshold(case.alpha)
    for length in range(1, MAX_NEW_REQUESTS + 1):
        new_hits += rng.random() < case.new
        old_hits += sum(rng.random() < case.old for _ in range(OLD_REQUESTS_PER_NEW))
        pair = Pair(Tally(length, new_hits), Tally(OLD_REQUESTS_PER_NEW * length, old_hits))
        if evidence([pair], case.margin) >= threshold:
            return length
    return None


def render_table(cases: list[Case]) -> str:
    """Return the cases as a Markdown table."""
    lines = [
        "| test | old rate | new rate | margin | alpha | crossed | median requests |",
        "|---|---|---|---|---|---|---|",
    ]
    for case in cases:
        requests = "-" if case.median_requests is None else f"{case.median_requests:.0f}"
        lines.append(
            f"| {case.what} | {case.old} | {case.new} | {case.margin} | {case.alpha} "
            f"| {case.crossed:.3f} | {requests} |"
        )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Run all cases and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=Path("docs/data"))
    args = parser.parse_args()
    cases = create_cases()
    for case in cases:
        run_case(case)
    args.out.mkdir(parents=True, exist_ok=True)
    doc = [asdict(case) for case in cases]
    (args.out / "sequential_tests.json").write_text(json.dumps(doc, indent=1) + "\n")
    table = render_table(cases)
    (args.out / "sequential_tests.md").write_text(table)
    print(table)


if __name__ == "__main__":
    main()
