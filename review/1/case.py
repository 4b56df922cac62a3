"""A change between two pages of a read is lost for good on other hosts."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))
import world  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 3
ENGINES = 600
ROUNDS = 15
SLOW_X, SLOW_S = 30, 1.6
CONTACT_S, CONFIG_S, REVOKE_S = 3.0, 2.0, 5.0
ANSWER_S = 0.004
WRITE_AFTER_S = 0.072
"""Time from the answer with a page 1 to the operator's write, in seconds."""


async def main(record: world.Record) -> int:
    world.raise_descriptor_limit(4096)
    hosts = world.Hosts(record, HOSTS)
    store = world.Store(record)
    await store.start(hosts.store_port)
    engines = []
    for number in range(ENGINES):
        address = f"127.10.{number // 250}.{1 + number % 250}"
        engines.append(world.Engine(record, store, f"i-{number:04d}", "registry", address, hosts.engine_port))
    await asyncio.gather(*(engine.listen() for engine in engines))
    keys = [f"key{number}" for number in range(ROUNDS + 1)]

    def configure(version: int, revoked: int) -> None:
        held = [world.tenant(f"t{number}", [key]) for number, key in enumerate(keys) if number >= revoked]
        doc = world.configuration(
            version,
            [world.route("r-lookup", "/lookup/", "safe", "registry")],
            [{"name": "registry", "healthPath": "/healthz", "maxConns": 96}],
            held,
        )
        store.put_json("op/config", doc)

    try:
        configure(3, 0)
        for engine in engines:
            engine.register()
        beats = asyncio.create_task(world.keep_registered(engines))
        for name in hosts.addresses:
            hosts.start(name)
        if not await hosts.wait_ready():
            raise RuntimeError("the hosts did not become ready")
        await asyncio.sleep(5.0)
        stale = 0
        checked = 0
        for number in range(ROUNDS):
            if record.now() > 105:
                break
            stale_now, checked_now = await play_round(record, hosts, store, keys, number, configure)
            stale += stale_now
            checked += checked_now
        beats.cancel()
    finally:
        hosts.stop()
    record.write(f"RESULT revoked_requests={checked} run_with_a_revoked_key={stale}")
    print(f"{checked} requests with a key that had been taken away: {stale} were run")
    if checked < HOSTS:
        return 2
    return 1 if stale else 0


async def play_round(record, hosts, store, keys, number, configure) -> tuple[int, int]:
    """Take a key away while one host reads the store anew; return runs with it, and requests sent."""
    key = keys[number]
    for name, address in hosts.addresses.items():
        answer = await world.send(record, address, hosts.front, "GET", f"/lookup/{number}", f"b{number}-{name}", key)
        if answer.status != 200:
            record.write(f"NOTE {name} did not serve a key that is held: {answer.status}")
    if TROUBLE:
        store.answer_s = ANSWER_S * SLOW_X
        record.write(f"TROUBLE the store's answers take {SLOW_X} times as long")
    slow_until = record.now() + SLOW_S
    await asyncio.sleep(0.6)
    names = list(hosts.addresses)
    reader = names[number % HOSTS]
    pages: list[int] = []

    def on_page(host: str, page: int) -> None:
        if host == reader:
            record.write(f"STORE answers {host} with page {page} at revision {store.revision}")
            pages.append(page)

    store.on_page = on_page
    while not store.cut_watches(reader) and record.now() < slow_until:
        await asyncio.sleep(0.002)
    record.write(f"STORE has cut the waiting watch of {reader}")
    while not pages and record.now() < slow_until:
        await asyncio.sleep(0.002)
    await asyncio.sleep(WRITE_AFTER_S)
    configure(3 + 4 * (number + 1), number + 1)
    record.write(f"OPERATOR takes {key} away, confirmed at revision {store.revision}")
    confirmed = record.now()
    await asyncio.sleep(max(0.0, slow_until - record.now()))
    store.answer_s = ANSWER_S
    record.write("STORE answers as usual")
    healed = record.now()
    await asyncio.sleep(max(healed + CONTACT_S, confirmed + max(CONFIG_S, REVOKE_S)) + 0.2 - record.now())
    runs = sent = 0
    for name, address in hosts.addresses.items():
        answer = await world.send(record, address, hosts.front, "GET", f"/lookup/{number}", f"r{number}-{name}", key)
        sent += 1
        if answer.status != 401:
            runs += answer.status == 200
            record.write(f"BROKEN {name} handled a revoked key: status {answer.status}, {record.now() - confirmed:.1f} s "
                         f"after the confirmation, the store sound for {record.now() - healed:.1f} s")
    return runs, sent


if __name__ == "__main__":
    world.run_case(main, FOLDER)
