"""Measure message sizes and CPU time per permit, and extrapolate to the target deployment.

Run ``python -m bench.permit_costs``; it prints a table and writes
``docs/data/permit_costs.json``.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
import time

import fire

from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.permit_clients import PermitClient
from tarragonwind.core.permit_messages import (
    HeldPermit,
    Outcome,
    PermitAsk,
    PermitBeat,
    PermitDone,
    PermitGrant,
    PermitQuery,
    PermitRefusal,
    PermitSync,
    held_permit_fields,
)
from tarragonwind.core.permit_requests import Permit, PermitRequest
from tarragonwind.core.pool_owners import OwnerDependencies, create_owner
from tarragonwind.messages import Message, build_message, new_unpacker, pack_message

DAEMONS = 320
"""Daemons of the target deployment."""

REQUESTS_PER_S = 5_500.0
"""Requests of the target deployment, in requests per second."""

POOLS = 36
"""Pools of the target deployment, and so its owners if each pool has one."""

UPSTREAMS = 600
"""Upstreams of the target deployment."""

BUDGET_BYTES_PER_S = 3_000.0
"""Limit of the bytes that a daemon sends, in bytes per second."""

CPU_BUDGET_FRACTION = 0.021
"""Limit of the CPU use of a daemon, as a fraction of one core."""

POOL = "drafting-17"
ROUNDS = 4_000
"""Requests in one measurement of CPU time."""


@dataclasses.dataclass(slots=True)
class RequestCpuCost:
    """CPU time of one request, on the pool owner or on the client.

    Attributes
    ----------
    side : str
        ``owner`` or ``client``.
    upstreams, hosts, waiting : int
        Number of upstreams of the pool, of hosts and of queued permit requests.
    us_per_request : float
        CPU time per request, with encoding and decoding of messages, in microseconds.
    """

    side: str
    upstreams: int
    hosts: int
    waiting: int
    us_per_request: float


def sample_messages() -> dict[str, Message]:
    """Return one message of each type, with names as long as in the target deployment."""
    permit_ask = PermitAsk(
        permit_id=900_000_000,
        pool=POOL,
        route="assessments",
        tier=2,
        organisation="organisation-09876",
        cost_tokens=480,
        prompt_tokens=1_800,
        deadline_ms=8_000,
        prefixes=[4_000_000_000, 4_000_000_001],
    )
    held = held_permit_fields(HeldPermit(900_000_000, "drafting-17-05", 2, 480))
    return {
        "ask": permit_ask,
        "grant": PermitGrant(POOL, 900_000_000, "drafting-17-05", "2026.11"),
        "done": PermitDone(POOL, 900_000_000, Outcome.OK, 350, 2_400, 210, 0),
        "refusal": PermitRefusal(POOL, 900_000_000, 0, 4_000),
        "beat": PermitBeat(POOL, 2_000_000_000, 3),
        "query": PermitQuery(POOL),
        "sync, one permit held": PermitSync(POOL, [], [held]),
    }


def measure_owner(upstreams: int, hosts: int, waiting: int) -> RequestCpuCost:
    """Measure the CPU time of a request, grant and release on a pool owner."""
    packed: list[bytes] = []
    deps = OwnerDependencies(
        lambda host, msg: packed.append(pack_message(msg)),
        random.Random(1),
        lambda *_: "2026.11",
        lambda _: 1.0,
    )
    owner = create_owner(POOL, deps)
    owner.configure(0.0, [_create_upstream(number) for number in range(upstreams)])
    names = [f"entry-{number}" for number in range(hosts)]
    owner.on_members_changed(0.0, names, True)
    for name in names:
        owner.on_message(0.0, name, PermitSync(POOL))
    owner.tick(1.0)
    rng = random.Random(2)
    for number in range(waiting):
        # Requests of the lowest tier, which stay queued: all slots are in use.
        owner.on_message(1.0, rng.choice(names), _create_request(10_000_000 + number, 3))
    started = time.process_time()
    for number in range(ROUNDS):
        now = 1.0 + number * 0.002
        name = names[number % hosts]
        owner.on_message(now, name, _unpack(pack_message(_create_request(number, 1))))
        done = PermitDone(POOL, number, Outcome.OK, 350, 2_400, 210)
        owner.on_message(now, name, _unpack(pack_message(done)))
        if number % 50 == 0:
            owner.tick(now)
    spent = time.process_time() - started
    return RequestCpuCost("owner", upstreams, hosts, waiting, 1e6 * spent / ROUNDS)


def measure_client() -> RequestCpuCost:
    """Measure the CPU time of a request, grant and release on an entry host."""
    sent: list[bytes] = []
    client = PermitClient(
        "entry-1",
        lambda host, msg: sent.append(pack_message(msg)),
        random.Random(1),
        lambda pool: "entry-0",
        lambda now, pool, send: create_owner(
            pool, OwnerDependencies(send, random.Random(1), lambda *_: "", lambda _: 1.0)
        ),
    )
    request = PermitRequest(
        POOL, "assessments", "organisation-09876", 2, 480, 1_800, 9_999.0, [1 << 31, 1 << 30]
    )
    granted: list[Permit] = []
    started = time.process_time()
    for number in range(ROUNDS):
        now = 1.0 + number * 0.002
        permit_id = client.request_permit(
            now, request, granted.append, lambda kind, retry_after_s: None
        )
        grant = PermitGrant(POOL, permit_id, "drafting-17-05", "2026.11")
        client.on_message(now, "entry-0", _unpack(pack_message(grant)))
        client.release(now, permit_id, Outcome.OK, 350, 2_400, 210)
        if number % 50 == 0:
            client.tick(now)
    spent = time.process_time() - started
    return RequestCpuCost("client", 0, 0, 0, 1e6 * spent / ROUNDS)


def _create_upstream(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        name=f"{POOL}-{number:02}",
        owner="ops",
        pool=POOL,
        version="2026.11",
        host="127.0.0.1",
        port=9000,
        data_centre="etna",
    )


def _create_request(number: int, tier: int) -> PermitAsk:
    return PermitAsk(
        number, POOL, "assessments", tier, f"organisation-{number % 997}", 480, 1_800, 60_000
    )


def _unpack(data: bytes) -> Message:
    unpacker = new_unpacker()
    unpacker.feed(data)
    return build_message(next(iter(unpacker)))


def main(out: str = "docs/data") -> None:
    """Run all measurements, print the table and write the results as JSON.

    Parameters
    ----------
    out : str
        Directory for ``permit_costs.json``.
    """
    sizes = {name: len(pack_message(msg)) for name, msg in sample_messages().items()}
    for name, size in sizes.items():
        print(f"{name:<24} {size:4d} bytes")
    costs = [measure_client()]
    for upstreams, hosts, waiting in (
        (4, 8, 0),
        (17, 8, 0),
        (17, 320, 0),
        (60, 320, 0),
        (4, 320, 0),
        (17, 320, 1_000),
    ):
        costs.append(measure_owner(upstreams, hosts, waiting))
    for cost in costs:
        print(
            f"{cost.side:<7} upstreams {cost.upstreams:3d} hosts {cost.hosts:3d} "
            f"waiting {cost.waiting:5d}: {cost.us_per_request:7.1f} us per request"
        )
    rate = REQUESTS_PER_S / DAEMONS
    exchange = sizes["ask"] + sizes["grant"] + sizes["done"]
    client_us = costs[0].us_per_request
    print(f"\nat the target, {rate:.1f} requests/s per daemon, {exchange} bytes per exchange")
    rows = []
    for owners in (POOLS, 150, DAEMONS):
        owned = REQUESTS_PER_S / owners
        owner_us = next(
            measured.us_per_request
            for measured in costs
            if measured.side == "owner"
            and measured.hosts == DAEMONS
            and measured.upstreams == (17 if owners == POOLS else 4)
            and not measured.waiting
        )
        sent = rate * (sizes["ask"] + sizes["done"]) + owned * sizes["grant"]
        received = rate * sizes["grant"] + owned * (sizes["ask"] + sizes["done"])
        core = (rate * client_us + owned * owner_us) / 1e6
        rows.append(
            {
                "owners": owners,
                "owned_per_s": owned,
                "sent_bytes_per_s": sent,
                "received_bytes_per_s": received,
                "core": core,
            }
        )
        print(
            f"{owners:4d} owners: owner daemon sends {sent:7.0f} and receives {received:7.0f} "
            f"bytes/s (budget {BUDGET_BYTES_PER_S:.0f}), {100 * core:5.2f}% of a core "
            f"(budget {100 * CPU_BUDGET_FRACTION:.1f}%)"
        )
    mean = rate * exchange
    print(f"mean over all daemons: sends {mean:.0f} bytes/s")
    directory = pathlib.Path(out)
    directory.mkdir(parents=True, exist_ok=True)
    doc = {
        "sizes_bytes": sizes,
        "slopes": [dataclasses.asdict(cost) for cost in costs],
        "target": rows,
        "mean_sent_bytes_per_s": mean,
    }
    (directory / "permit_costs.json").write_text(json.dumps(doc, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
