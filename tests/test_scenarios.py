"""Run the scenarios: real processes, with failures brought about from outside."""

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
    one = World(tmp_path)
    yield one
    one.close()


@given(parsers.parse("a fleet of {count:d} hosts"))
def fleet_of_hosts(world, count):
    world.start(count)


@given(parsers.parse("a fleet of {count:d} hosts with {planned:d} more planned"))
def fleet_with_planned(world, count, planned):
    world.start(count, planned)


@given(parsers.parse("a fleet of {count:d} hosts with links that can fail"))
def fleet_with_links(world, count):
    world.start(count, linked=True)


@given("callers of every tier")
def callers_of_every_tier(world):
    world.call(GATE, STAMP, QUESTION, DOSSIER)


@given("callers with long streams")
def callers_with_long_streams(world):
    world.call(
        CallPlan(
            "long", 2, "drafting", TOKEN, "", model="small", tokens=400, stream=True, threads=3
        )
    )


@given("callers that send each key through two hosts")
def callers_with_keys(world):
    world.call(
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


@given("more callers of the lowest tier than the engines can serve")
def too_many_callers(world):
    world.call(
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


@given(parsers.parse("a new version {version} of the registry that is good"))
def good_version(world, version):
    world.add_version(version, 0.0)


@given(parsers.parse("a new version {version} of the registry that fails half of its requests"))
def bad_version(world, version):
    world.add_version(version, 0.5)


@when(parsers.re(r"host (?P<name>\S+) is killed after (?P<seconds>\d+) seconds?"))
def kill_host(world, name, seconds):
    world.let_traffic_run(float(seconds))
    world.fleet.processes[name].kill()
    world.mark_fault_time()


@when("the host that owns the registry is killed")
def kill_owner(world):
    world.let_traffic_run(1.0)
    owners = world.query_each_host("status")
    name = next(name for name, report in owners.items() if "registry" in report["owned_pools"])
    world.fleet.processes[name].kill()
    world.mark_fault_time()


@when(parsers.parse("host {name} is paused for {seconds:d} seconds"))
def pause_host(world, name, seconds):
    world.let_traffic_run(1.0)
    world.mark_fault_time()
    world.fleet.processes[name].pause()
    world.let_traffic_run(seconds)
    world.fleet.processes[name].resume()


@when(parsers.parse("host {name} is told to stop after {seconds:d} seconds"))
def stop_host(world, name, seconds):
    world.let_traffic_run(seconds)
    world.mark_fault_time()
    world.fleet.processes[name].terminate()


@when(parsers.re(r"callers go on for (?P<seconds>\d+) seconds?"))
def continue_traffic(world, seconds):
    world.let_traffic_run(float(seconds))


@when("the store is away")
def store_away(world):
    set_faults(world.fleet.kv_port, outage="drop")
    world.mark_fault_time()


@when("the store is back")
def store_back(world):
    set_faults(world.fleet.kv_port, outage="")


@when(parsers.parse("the store loses the answers of the next {count:d} writes"))
def store_loses_answers(world, count):
    set_faults(world.fleet.kv_port, drop_write_answers=count)


@when("every watch of the store is cut")
def cut_watches(world):
    set_faults(world.fleet.kv_port, cut_watches=True)


@when(parsers.parse("the store answers after {delay:d} milliseconds"))
def slow_store(world, delay):
    set_faults(world.fleet.kv_port, delay_ms=delay)


@when("the store's state is noted")
def note_store(world):
    set_faults(world.fleet.kv_port, snapshot="noted")


@when("the store comes back with the noted state")
def restore_store(world):
    set_faults(world.fleet.kv_port, restore="noted")


@when("the planned host starts")
def start_planned(world):
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


@when(parsers.parse("two operators put organisation {name} at once"))
def two_operators(world, name):
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
    world.let_traffic_run(1.0)
    world.command = world.fleet.run_cli("drain", "--upstream", name)
    assert world.command.returncode == 0, world.command
    world.mark_fault_time()


@when(parsers.parse("the hosts lose one another for {seconds:d} seconds"))
def hosts_lose_one_another(world, seconds):
    world.let_traffic_run(1.0)
    links = [world.fleet.processes[f"link-{name}"].port for name in world.fleet.hosts]
    for port in links:
        set_faults(port, half_open=True, black_hole=True)
    world.let_traffic_run(seconds)
    for port in links:
        set_faults(port, half_open=False, black_hole=False, cut=1)
    world.mark_fault_time()


@when(parsers.parse("the links to {name} are cut {count:d} times"))
def cut_links(world, name, count):
    for _ in range(count):
        world.let_traffic_run(0.5)
        world.cuts += 1
        set_faults(world.fleet.processes[f"link-{name}"].port, cut=world.cuts)


@when(parsers.parse("the links to {name} go silent for {seconds:d} seconds"))
def silence_links(world, name, seconds):
    world.let_traffic_run(1.0)
    port = world.fleet.processes[f"link-{name}"].port
    set_faults(port, half_open=True, black_hole=True)
    world.let_traffic_run(seconds)
    set_faults(port, half_open=False, black_hole=False, cut=world.cuts + 1)
    world.cuts += 1


@when(parsers.parse("the move to {version} starts with {seconds:d} seconds to go"))
def start_move(world, version, seconds):
    arguments = ["move", "start", f"to-{version}", "registry", version, "owner"]
    world.command = world.fleet.run_cli(*arguments, "--within-s", str(seconds))
    assert world.command.returncode == 0, world.command


@then("the promises hold")
def promises_hold(world):
    assert world.violations() == []


@then("every caller was answered since the failure")
def answered_since(world):
    world.stop_load()
    since = [r for r in world.records() if r.sent_at > world.fault_at + SETTLE_S]
    assert {record.tier for record in since if record.status == 200} == {0, 1, 2, 3}
    assert [record for record in since if not record.whole] == []
    assert [record for record in since if record.tier == 0 and record.status != 200] == []


@then(parsers.parse("every host sees {count:d} live hosts"))
def sees_live(world, count):
    def all_see(reports) -> bool:
        return all(report and report["live_hosts"] == count for report in reports.values())

    world.wait_for_each_host(f"{count} live hosts everywhere", all_see, "status")


@then(parsers.parse("host {name} has ended by itself"))
def has_ended(world, name):
    process = world.fleet.processes[name].process
    wait_until(lambda: process.poll() is not None, f"{name} has ended")
    assert process.returncode == 0


@then("no caller was cut off")
def nobody_cut(world):
    world.stop_load()
    assert [record for record in world.records() if not record.whole] == []


@then("some calls ran under a key")
def some_ran(world):
    assert [run for run in world.runs() if run.key]


@then("every host has the same catalogue in force")
def same_catalogue(world):
    def same(reports) -> bool:
        numbers = {report["number"] if report else 0 for report in reports.values()}
        return len(numbers) == 1 and 0 not in numbers

    world.wait_for_each_host("one number everywhere", same, "status")


@then(parsers.parse("every host knows organisation {name}"))
def knows_organisation(world, name):
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


@then("one of them got a conflict with what is there now")
def one_conflict(world):
    assert sorted(ended.returncode for ended in world.concurrent_results) == [0, 3]
    loser = next(ended for ended in world.concurrent_results if ended.returncode == 3)
    assert "newcomer" in loser.stdout


@then(parsers.parse("upstream {name} got no work later than {seconds:d} seconds after that"))
def no_work_later(world, name, seconds):
    late = [
        run for run in world.runs() if run.upstream == name and run.at > world.fault_at + seconds
    ]
    assert late == []
    assert [run for run in world.runs() if run.at > world.fault_at + seconds]


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
        return len(world.failures("v2")) >= 5 or withheld_everywhere(world)

    wait_until(shown, "the new version has failed five times, or is withheld everywhere")
    failures = world.failures("v2")
    assert failures
    shown_at = failures[4].at if len(failures) >= 5 else time.time()
    world.let_traffic_run(max(0.0, shown_at + seconds + 2.0 - time.time()))
    runs = [run for run in world.runs() if "-v2-" in run.upstream]
    assert [run for run in runs if run.at > shown_at + seconds] == []
    assert withheld_everywhere(world)


def withheld_everywhere(world) -> bool:
    answers = world.query_each_host("move", "status", "to-v2").values()
    return all(answer and answer["share"] == 0 and "fail" in answer["why"] for answer in answers)


@then(parsers.parse("the new version got at most {percent:d} percent of the requests"))
def small_share(world, percent):
    started = min(run.at for run in world.runs() if "-v2-" in run.upstream)
    runs = [r for r in world.runs() if r.upstream.startswith("registry") and r.at >= started]
    new = [run for run in runs if "-v2-" in run.upstream]
    assert len(new) <= len(runs) * percent / 100, (len(new), len(runs))


@then("only the new version serves after the deadline of the move")
def serves_alone(world):
    answers = world.query_each_host("move", "status", "to-v2").values()
    done_by = max(answer["done_by"] for answer in answers)
    world.let_traffic_run(max(0.0, done_by + 2.0 - time.time()))
    runs = [r for r in world.runs() if r.upstream.startswith("registry") and r.at > done_by]
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
