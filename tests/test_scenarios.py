"""Run the scenarios against real processes with injected faults."""

from __future__ import annotations

import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.callers import CallPlan
from standins.fleets import set_faults, wait_until
from tests.scenario_worlds import TOKEN, World

pytestmark = pytest.mark.process

scenarios("features")

GATE = CallPlan("gate", 0, "registry", TOKEN, "/passports", threads=3, pause_s=0.01)
STAMP = CallPlan("stamp", 1, "registry", TOKEN, "/stamps", threads=2, pause_s=0.02)
QUESTION = CallPlan("question", 2, "drafting", TOKEN, "", model="small", threads=3, pause_s=0.02)
DOSSIER = CallPlan(
    "dossier",
    3,
    "drafting",
    TOKEN,
    "",
    model="large",
    tokens=60,
    prompt_characters=2_000,
    stream=True,
    threads=2,
    pause_s=0.05,
)
SETTLE_S = 2.0


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.close()


@given(parsers.parse("a fleet of {count:d} hosts"))
def fleet_of_hosts(world, count):
    world.start(count)


@given(parsers.parse("a fleet of {count:d} hosts with {prepared:d} more prepared"))
def fleet_with_prepared(world, count, prepared):
    world.start(count, prepared)


@given(parsers.parse("a fleet of {count:d} hosts with fault proxies between them"))
def fleet_with_proxies(world, count):
    world.start(count, proxied=True)


@given("callers of every tier")
def callers_of_every_tier(world):
    world.start_load(GATE, STAMP, QUESTION, DOSSIER)


@given("callers with long streams")
def callers_with_long_streams(world):
    world.start_load(
        CallPlan(
            "long", 2, "drafting", TOKEN, "", model="small", tokens=400, stream=True, threads=3
        )
    )


@given("callers that send each idempotency key through two hosts")
def callers_with_keys(world):
    world.start_load(
        CallPlan(
            "keyed",
            1,
            "registry",
            TOKEN,
            "/stamps",
            keyed=True,
            repeat_keys=True,
            threads=4,
            pause_s=0.005,
        )
    )


@given("more load of the lowest tier than the engines can serve")
def overload_lowest_tier(world):
    world.start_load(
        CallPlan(
            "flood",
            3,
            "drafting",
            TOKEN,
            "",
            model="large",
            tokens=300,
            stream=True,
            threads=80,
            pause_s=0.3,
        )
    )


@given(parsers.parse("a new version {version} of the registry that is healthy"))
def healthy_version(world, version):
    world.add_version(version, 0.0)


@given(parsers.parse("a new version {version} of the registry that fails half of its requests"))
def failing_version(world, version):
    world.add_version(version, 0.5)


@when(parsers.re(r"host (?P<name>\S+) is killed after (?P<seconds>\d+) seconds?"))
def kill_host(world, name, seconds):
    world.let_load_run(float(seconds))
    world.fleet.processes[name].kill()
    world.mark_fault_time()


@when("the host that owns the registry is killed")
def kill_owner(world):
    world.let_load_run(1.0)
    owners = world.query_each_host("status")
    name = next(name for name, report in owners.items() if "registry" in report["owned_pools"])
    world.fleet.processes[name].kill()
    world.mark_fault_time()


@when(parsers.parse("host {name} is paused for {seconds:d} seconds"))
def pause_host(world, name, seconds):
    world.let_load_run(1.0)
    world.mark_fault_time()
    world.fleet.processes[name].pause()
    world.let_load_run(seconds)
    world.fleet.processes[name].resume()


@when(parsers.parse("host {name} is stopped gracefully after {seconds:d} seconds"))
def stop_host(world, name, seconds):
    world.let_load_run(seconds)
    world.mark_fault_time()
    world.fleet.processes[name].terminate()


@when(parsers.re(r"load continues for (?P<seconds>\d+) seconds?"))
def continue_load(world, seconds):
    world.let_load_run(float(seconds))


@when("the store is unavailable")
def make_store_unavailable(world):
    set_faults(world.fleet.kv_port, outage="drop")
    world.mark_fault_time()


@when("the store is available again")
def make_store_available(world):
    set_faults(world.fleet.kv_port, outage="")


@when(parsers.parse("the store loses the answers of the next {count:d} writes"))
def store_loses_answers(world, count):
    set_faults(world.fleet.kv_port, drop_write_answers=count)


@when("every watch of the store is closed")
def close_watches(world):
    set_faults(world.fleet.kv_port, cut_watches=True)


@when(parsers.parse("the store answers after {delay:d} milliseconds"))
def slow_store(world, delay):
    set_faults(world.fleet.kv_port, delay_ms=delay)


@when("a snapshot of the store is taken")
def snapshot_store(world):
    set_faults(world.fleet.kv_port, snapshot="saved")


@when("the store is restored from the snapshot")
def restore_store(world):
    set_faults(world.fleet.kv_port, restore="saved")


@when("the prepared host starts")
def start_prepared(world):
    name = next(name for name in world.fleet.hosts if name not in world.fleet.processes)
    world.fleet.start_host(name)


@when(parsers.parse("an operator puts organisation {name}"))
def put_organisation(world, name):
    world.put([world.organisation(name)])


@when(parsers.parse("an operator puts organisation {name} until it is accepted"))
def put_until_accepted(world, name):
    def accepted() -> bool:
        world.put([world.organisation(name)])
        return world.command.returncode == 0

    wait_until(accepted, f"organisation {name} is accepted")


@when(parsers.parse("two operators put organisation {name} concurrently"))
def put_concurrently(world, name):
    path = world.write_entries("race.yaml", [world.organisation(name)])
    number = max(report["number"] for report in world.query_each_host("status").values())

    def race(host: str) -> None:
        arguments = ["--json", "catalogue", "put", str(path), "--expect", str(number)]
        world.concurrent_results.append(world.fleet.run_cli(*arguments, at=host))

    threads = [threading.Thread(target=race, args=(host,)) for host in ("entry-1", "entry-2")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when(parsers.parse("upstream {name} is drained"))
def drain_upstream(world, name):
    world.let_load_run(1.0)
    world.command = world.fleet.run_cli("drain", "--upstream", name)
    assert world.command.returncode == 0, world.command
    world.mark_fault_time()


@when(parsers.parse("the hosts are partitioned from one another for {seconds:d} seconds"))
def partition_hosts(world, seconds):
    world.let_load_run(1.0)
    links = [world.fleet.processes[f"link-{name}"].port for name in world.fleet.hosts]
    for port in links:
        set_faults(port, half_open=True, black_hole=True)
    world.let_load_run(seconds)
    for port in links:
        set_faults(port, half_open=False, black_hole=False, cut=1)
    world.mark_fault_time()


@when(parsers.parse("the connections to {name} are reset {count:d} times"))
def reset_connections(world, name, count):
    for _ in range(count):
        world.let_load_run(0.5)
        world.cuts += 1
        set_faults(world.fleet.processes[f"link-{name}"].port, cut=world.cuts)


@when(parsers.parse("the links to {name} stop forwarding data for {seconds:d} seconds"))
def stop_forwarding(world, name, seconds):
    world.let_load_run(1.0)
    port = world.fleet.processes[f"link-{name}"].port
    set_faults(port, half_open=True, black_hole=True)
    world.let_load_run(seconds)
    set_faults(port, half_open=False, black_hole=False, cut=world.cuts + 1)
    world.cuts += 1


@when(parsers.parse("the move to {version} starts with {seconds:d} seconds until its deadline"))
def start_move(world, version, seconds):
    arguments = ["move", "start", f"to-{version}", "registry", version, "owner"]
    world.command = world.fleet.run_cli(*arguments, "--within-s", str(seconds))
    assert world.command.returncode == 0, world.command


@then("all invariants hold")
def invariants_hold(world):
    assert world.violations() == []


@then("callers of every tier got complete answers after the failure")
def served_after_failure(world):
    world.stop_load()
    since = [r for r in world.records() if r.sent_at > world.fault_at + SETTLE_S]
    assert {record.tier for record in since if record.status == 200} == {0, 1, 2, 3}
    assert [record for record in since if not record.whole] == []
    assert [record for record in since if record.tier == 0 and record.status != 200] == []


@then(parsers.parse("every host sees {count:d} live hosts"))
def reports_live(world, count):
    def all_see(reports) -> bool:
        return all(report and report["live_hosts"] == count for report in reports.values())

    world.wait_for_each_host(f"{count} live hosts everywhere", all_see, "status")


@then(parsers.parse("host {name} has exited with code 0"))
def has_exited(world, name):
    process = world.fleet.processes[name].process
    wait_until(lambda: process.poll() is not None, f"{name} has exited")
    assert process.returncode == 0


@then("no answer was cut off")
def no_answer_cut_off(world):
    world.stop_load()
    assert [record for record in world.records() if not record.whole] == []


@then("some calls with an idempotency key ran")
def keyed_calls_ran(world):
    assert [run for run in world.executions() if run.key]


@then("every host has the same catalogue in force")
def same_catalogue(world):
    def same(reports) -> bool:
        numbers = {report["number"] if report else 0 for report in reports.values()}
        return len(numbers) == 1 and 0 not in numbers

    world.wait_for_each_host("one number everywhere", same, "status")


@then(parsers.parse("every host has organisation {name}"))
def has_organisation(world, name):
    def known(answers) -> bool:
        return all(answer and name in str(answer) for answer in answers.values())

    world.wait_for_each_host(
        f"{name} everywhere", known, "catalogue", "show", f"organisation/{name}"
    )


@then("the command succeeds")
def command_succeeds(world):
    assert world.command.returncode == 0, world.command


@then(parsers.parse("the history of organisation {name} shows {count:d} change"))
def history_shows(world, name, count):
    for answer in world.query_each_host("catalogue", "history", f"organisation/{name}").values():
        assert len(answer) == count


@then(parsers.parse("the change was in force on every host within {seconds:d} seconds"))
def in_force_within(world, seconds):
    words = world.command.stdout.split("after ")[1]
    assert float(words.split()[0]) <= seconds, world.command.stdout
    assert "in force on 3 of 3 live hosts" in world.command.stdout


@then("one of them got a conflict that shows the current entry")
def one_conflict(world):
    assert sorted(result.returncode for result in world.concurrent_results) == [0, 3]
    loser = next(result for result in world.concurrent_results if result.returncode == 3)
    assert "newcomer" in loser.stdout


@then(
    parsers.parse("upstream {name} got no requests later than {seconds:d} seconds after its drain")
)
def no_requests_after_drain(world, name, seconds):
    late = [
        run
        for run in world.executions()
        if run.upstream == name and run.at > world.fault_at + seconds
    ]
    assert late == []
    assert [run for run in world.executions() if run.at > world.fault_at + seconds]


@then(parsers.parse("every caller of tier {tier:d} was served"))
def tier_served(world, tier):
    world.stop_load()
    assert [r for r in world.records() if r.tier == tier and r.status != 200] == []


@then(parsers.parse("some callers of tier {tier:d} were shed"))
def tier_shed(world, tier):
    shed = [r for r in world.records() if r.kind in ("shed", "deadline_unmeetable")]
    assert {record.tier for record in shed} == {tier}


@then(
    parsers.parse(
        "the new version gets no requests later than {seconds:d} seconds after its fifth failure"
    )
)
def no_requests_after_failures(world, seconds):
    def shown() -> bool:
        return len(world.failures("v2")) >= 5 or has_no_share_anywhere(world)

    wait_until(shown, "the new version has failed five times, or has no share on any host")
    failures = world.failures("v2")
    assert failures
    shown_at = failures[4].at if len(failures) >= 5 else time.time()
    world.let_load_run(max(0.0, shown_at + seconds + 2.0 - time.time()))
    runs = [run for run in world.executions() if "-v2-" in run.upstream]
    assert [run for run in runs if run.at > shown_at + seconds] == []
    assert has_no_share_anywhere(world)


def has_no_share_anywhere(world) -> bool:
    answers = world.query_each_host("move", "status", "to-v2").values()
    return all(answer and answer["share"] == 0 and "fail" in answer["why"] for answer in answers)


@then(parsers.parse("the new version got at most {percent:d} percent of the requests"))
def small_share(world, percent):
    started = min(run.at for run in world.executions() if "-v2-" in run.upstream)
    runs = [r for r in world.executions() if r.upstream.startswith("registry") and r.at >= started]
    new = [run for run in runs if "-v2-" in run.upstream]
    assert len(new) <= len(runs) * percent / 100, (len(new), len(runs))


@then("only the new version serves after the deadline of the move")
def serves_alone(world):
    answers = world.query_each_host("move", "status", "to-v2").values()
    done_by = max(answer["done_by"] for answer in answers)
    world.let_load_run(max(0.0, done_by + 2.0 - time.time()))
    runs = [r for r in world.executions() if r.upstream.startswith("registry") and r.at > done_by]
    assert runs
    assert [run for run in runs if "-v2-" not in run.upstream] == []


@then(parsers.re(r"every host reports the move as (?P<outcome>done|taken back)"))
def move_settled(world, outcome):
    wanted = outcome.replace(" ", "_")

    def settled(answers) -> bool:
        return all(answer and answer["outcome"] == wanted for answer in answers.values())

    world.wait_for_each_host(
        f"the move is {outcome} everywhere", settled, "move", "status", "to-v2"
    )
