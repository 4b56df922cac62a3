"""Extrapolate the cost of each role to the target deployment from benchmark results.

``python -m bench.capacity`` reads the results of the other benchmarks from ``docs/data`` and prints
a table of the cost of each role in the target deployment, with its budget; ``--plot`` also plots
the measured control cost over the number of daemons.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

DATA = Path(__file__).parent.parent / "docs" / "data"

DAEMONS = 320
UPSTREAMS = 600
REQUESTS_PER_S = 5_500
TOKENS_PER_S = 2_300_000
TOKEN_INTERVAL_S = 0.041
"""Time between two tokens of a stream, in seconds."""

ORGANISATIONS = 13_000
MODELS = 36
CHANGES_PER_DAY = 1_400
"""Changes of the catalogue per day."""

CPU_BUDGET_PERCENT = 2.1
MEMORY_BUDGET_MIB = 256.0
BYTES_BUDGET_PER_S = 3_000.0
STORE_READS_PER_S = 2_000.0
STORE_WRITES_PER_S = 300.0
SPREAD_BUDGET_S = 4.0
"""Limit of the time until a change is in force on all daemons, in seconds."""

IDEMPOTENCY_KEY_FRACTION = 0.1
"""Assumed fraction of requests with an Idempotency-Key."""

SECONDS_PER_DAY = 86_400


@dataclass(slots=True)
class CapacityRow:
    """Cost of one role to a daemon, or to the store, in the target deployment.

    Attributes
    ----------
    role : str
        Role of the daemon.
    what : str
        Resource that is measured.
    value : float
        Extrapolated cost.
    unit : str
        Unit of `value` and `budget`.
    budget : float
        Upper limit; 0 for no budget of its own.
    source : str
        Command of the benchmark that the cost is extrapolated from.
    """

    role: str
    what: str
    value: float
    unit: str
    budget: float
    source: str

    @property
    def margin(self) -> str:
        """Return the unused fraction of the budget or its overrun, as text."""
        if not self.budget:
            return ""
        left = 1 - self.value / self.budget
        return f"{left:.0%} left" if left >= 0 else f"OVER by {-left:.0%}"


def load_results(name: str) -> Any:
    """Return the stored results of one benchmark."""
    return json.loads((DATA / f"{name}.json").read_text())


def relay_figure(relays: list[dict[str, Any]], name: str) -> float:
    """Return one value from the results of the relay benchmark."""
    return float(next(row["value"] for row in relays if row["name"] == name))


def gateway_rows() -> list[CapacityRow]:
    """Return the cost of relaying to callers for a daemon; this is data traffic, not control."""
    relays = load_results("relays")
    source = "python -m bench.relays measure"
    chunks = TOKENS_PER_S / DAEMONS
    requests = REQUESTS_PER_S / DAEMONS
    streams = TOKENS_PER_S * TOKEN_INTERVAL_S / DAEMONS
    relay = 100 * chunks / relay_figure(relays, "one chunk a read, processor time")
    short = 100 * requests / relay_figure(relays, "requests a second of processor time")
    idle_kib = relay_figure(relays, "an open, idle stream")
    return [
        CapacityRow("gateway", "relayed tokens, of a core", relay, "%", 0, source),
        CapacityRow("gateway", "requests, of a core", short, "%", 0, source),
        CapacityRow(
            "gateway", f"{streams:.0f} open streams", streams * idle_kib / 1024, "MiB", 0, source
        ),
    ]


def permit_rows() -> list[CapacityRow]:
    """Return the cost of permits for the daemon of a pool owner, by the number of owners."""
    costs = load_results("permit_costs")
    source = "python -m bench.permit_costs"
    rows = []
    for target in costs["target"]:
        role = f"permits, {target['owners']} owners"
        cpu = 100 * target["core"]
        rows.append(CapacityRow(role, "of a core", cpu, "%", CPU_BUDGET_PERCENT, source))
        sent = target["sent_bytes_per_s"]
        rows.append(CapacityRow(role, "sent", sent, "B/s", BYTES_BUDGET_PER_S, source))
    return rows


def catalogue_rows() -> list[CapacityRow]:
    """Return the cost of catalogue replication for a daemon."""
    results = load_results("catalogue")
    source = "python -m bench.catalogue"
    largest = max(results["memory"], key=lambda row: row["organisations"])
    cpu = 100 * CHANGES_PER_DAY / SECONDS_PER_DAY * largest["change_ms"] / 1000
    spread = [row for row in results["spread"] if row["hosts"] == DAEMONS]
    worst = max(spread, key=lambda row: row["worst_s"])
    return [
        CapacityRow("catalogue", "memory", largest["rss_mib"], "MiB", MEMORY_BUDGET_MIB, source),
        CapacityRow("catalogue", "changes, of a core", cpu, "%", CPU_BUDGET_PERCENT, source),
        CapacityRow(
            "catalogue",
            f"worst spread ({worst['case']})",
            worst["worst_s"],
            "s",
            SPREAD_BUDGET_S,
            source,
        ),
    ]


def claim_rows() -> list[CapacityRow]:
    """Return the cost of claims for the store."""
    source = "python -m bench.claims"
    target_per_s = REQUESTS_PER_S * IDEMPOTENCY_KEY_FRACTION
    rows = [row for row in load_results("claims") if row["hosts"] == DAEMONS]
    nearest = min(
        rows, key=lambda row: (abs(row["claims_per_s"] - target_per_s), row["writes_per_s"])
    )
    what = f"{nearest['claims_per_s']:.0f} claims a second, way: {nearest['way']}"
    return [
        CapacityRow(
            "claims", what, nearest["writes_per_s"], "writes/s", STORE_WRITES_PER_S, source
        ),
        CapacityRow("claims", what, nearest["reads_per_s"], "reads/s", STORE_READS_PER_S, source),
    ]


def idle_rows() -> list[CapacityRow]:
    """Return the cost of an idle daemon in the largest fleet that was measured."""
    source = "python -m bench.control"
    rows = [row for row in load_results("control") if row["load"] == "idle"]
    largest = max(rows, key=lambda row: row["daemons"])
    role = f"whole daemon, idle, measured at {largest['daemons']}"
    memory = float(largest["rss_mib"])
    return [
        CapacityRow(role, "of a core", largest["cpu_percent"], "%", CPU_BUDGET_PERCENT, source),
        CapacityRow(role, "sent", largest["sent_bytes_per_s"], "B/s", BYTES_BUDGET_PER_S, source),
        CapacityRow(role, "memory", memory, "MiB", MEMORY_BUDGET_MIB, source),
        CapacityRow(
            role, "fleet", largest["store_calls_per_s"], "calls/s", STORE_READS_PER_S, source
        ),
    ]


def render(rows: list[CapacityRow]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| role | what | at the target | budget | margin | slope from |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        budget = f"{row.budget:g} {row.unit}" if row.budget else "-"
        value = f"{row.value:.2f} {row.unit}"
        lines.append(
            f"| {row.role} | {row.what} | {value} | {budget} | {row.margin} | `{row.source}` |"
        )
    return "\n".join(lines)


def plot_control_cost(path: Path) -> None:
    """Plot the control cost over the number of daemons."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = load_results("control")
    figure_, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for axis, key, label in (
        (axes[0], "sent_bytes_per_s", "bytes sent per second, one daemon"),
        (axes[1], "cpu_percent", "% of a core, one daemon"),
    ):
        idle = [row for row in rows if row["load"] == "idle"]
        axis.plot([row["daemons"] for row in idle], [row[key] for row in idle], marker="o")
        axis.set_xlabel("daemons")
        axis.set_title(f"idle: {label}", fontsize=9)
        axis.set_ylim(bottom=0)
    figure_.tight_layout()
    figure_.savefig(path)


def main(plot: bool = False) -> None:
    """Print the table of costs.

    Parameters
    ----------
    plot : bool
        Whether to write ``docs/data/control.svg`` too.
    """
    rows = [*idle_rows(), *permit_rows(), *catalogue_rows(), *claim_rows(), *gateway_rows()]
    print(render(rows))
    if plot:
        plot_control_cost(DATA / "control.svg")
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(main)
