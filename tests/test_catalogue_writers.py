"""Test catalogue writes: races, lost responses, verdicts and a store that lost writes."""

import pytest

from bench.virtual_clocks import VirtualTimers
from tarragonwind.catalogue_errors import CatalogueConflict, StoreBehind, WriteOutcomeUnknown
from tarragonwind.core.verdicts import MoveOutcome, MoveVerdict
from tarragonwind.errors import EntryError, StoreError
from tests.catalogue_samples import WriterHost, move, organisation, pool, route, sha, upstream
from tests.store_fakes import FaultyStore, settle


@pytest.fixture
def timers():
    return VirtualTimers()


@pytest.fixture
def store(timers):
    return FaultyStore(timers)


@pytest.fixture
def hosts(store, timers):
    return [WriterHost(store, timers, name) for name in ("h1", "h2")]


def test_a_write_increments_the_number_and_is_in_force_locally(store, timers, hosts):
    first, second = hosts
    settle(timers, first.writer.put(pool(), "ana"))
    settle(timers, second.writer.put(route(), "ben"))
    assert (first.state.number, second.state.number) == (1, 2)
    assert [change.key for change in second.accepted] == ["pool/drafting", "route/trade"]
    assert second.state.in_force.route_for_model("draft-small").pool == "drafting"
    settle(timers, first.writer.delete("route/trade", "ana"))
    assert first.state.number == 3
    history = settle(timers, first.writer.history("route/trade"))
    assert [(change.number, change.author) for change in history] == [(2, "ben"), (3, "ana")]


def test_many_entries_are_split_into_bounded_transactions(store, timers, hosts):
    entries = [organisation(f"org-{index}") for index in range(100)]
    settle(timers, hosts[0].writer.put_all(entries, "ana"))
    assert hosts[0].state.number == 100
    assert store.calls["txn"] == 3


def test_the_slower_of_two_operators_gets_a_conflict_with_the_current_entry(store, timers, hosts):
    first, second = hosts
    settle(timers, first.writer.put(organisation(weight=1), "ana"))
    settle(timers, second.writer.put(organisation("other"), "ben"))
    settle(timers, first.writer.put(organisation(weight=3), "ana", expected_number=1))
    with pytest.raises(CatalogueConflict) as caught:
        settle(timers, second.writer.put(organisation(weight=2), "ben", expected_number=1))
    assert caught.value.number == 3
    assert b'"weight":3' in caught.value.doc


def test_concurrent_writes_conflict_only_on_the_same_entry(store, timers, hosts):
    first, second = hosts
    settle(timers, first.writer.put(organisation(), "ana"))

    def overtake(entry):
        store.before_commit.append(lambda: settle(timers, second.writer.put(entry, "ben")))

    overtake(organisation("other"))
    settle(timers, first.writer.put(organisation(weight=2), "ana"))
    assert first.state.number == 3
    overtake(organisation(weight=5))
    with pytest.raises(CatalogueConflict):
        settle(timers, first.writer.put(organisation(weight=6), "ana"))
    assert first.state.in_force.entry("organisation/officina").weight == 5


@pytest.mark.parametrize("fault", ["drop_answers", "late_writes"])
def test_a_lost_response_is_resolved_and_the_write_is_applied_once(store, timers, hosts, fault):
    first, second = hosts
    settle(timers, second.writer.put(organisation("other"), "ben"))
    setattr(store, fault, 1)
    changes = settle(timers, first.writer.put(organisation(), "ana"))
    timers.advance(5)
    settle(timers, second.writer.put(organisation("third"), "ben"))
    history = settle(timers, second.writer.history("organisation/officina"))
    assert [change.write_id for change in history] == [changes[0].write_id]
    assert second.state.number == 3


def test_a_lost_response_is_resolved_when_another_write_came_first(store, timers, hosts):
    first, second = hosts
    store.late_writes = 1
    overtake = second.writer.put
    store.before_commit = [
        lambda: None,
        lambda: settle(timers, overtake(organisation(weight=3), "ben")),
    ]
    with pytest.raises(CatalogueConflict):
        settle(timers, first.writer.put(organisation(weight=2), "ana"))
    timers.advance(5)
    assert second.state.in_force.entry("organisation/officina").weight == 3


def test_a_write_that_cannot_be_read_back_has_an_unknown_outcome(store, timers, hosts):
    store.drop_answers = 1
    store.before_commit.append(lambda: setattr(store, "away", True))
    with pytest.raises(WriteOutcomeUnknown) as caught:
        settle(timers, hosts[0].writer.put(organisation(), "ana"))
    store.away = False
    history = settle(timers, hosts[1].writer.history("organisation/officina"))
    assert [change.write_id for change in history] == [caught.value.write_id]


def test_a_write_while_the_store_is_unavailable_fails_and_changes_nothing(store, timers, hosts):
    store.away = True
    with pytest.raises(StoreError):
        settle(timers, hosts[0].writer.put(organisation(), "ana"))
    assert hosts[0].state.number == 0


@pytest.mark.parametrize(
    ("entries", "line"),
    [
        ([route()], "route/trade.pool: no pool 'drafting'; use one of: (none yet)"),
        ([pool(), route(), route("b")], "route/b.model: route 'trade' serves 'draft-small'"),
        ([pool(), route(path_prefix="/x")], "route/trade.model: pool 'drafting' has engines"),
        ([pool(), route(organisations=["a"])], "route/trade.organisations: no organisation 'a'"),
        ([pool(), upstream(), upstream("b")], "upstream/b.port: upstream 'engine-1' has"),
        ([pool(), move(to_version="v1")], "move/to-v2.to_version: must differ"),
        ([pool(), move(done_by=50)], "move/to-v2.done_by: must be later than starts_at, 100"),
        ([pool(version="v9"), move()], "move/to-v2.from_version: pool 'drafting' serves 'v9'"),
        ([pool(), move(), move("b")], "move/b.pool: move 'to-v2' is under way"),
        ([organisation("a", token_sha256=[sha("x")]), organisation("b", token_sha256=[sha("x")])],
         "organisation/b.token_sha256.0: is a token of 'a' already"),
    ],
)  # fmt: skip
def test_an_inconsistent_entry_is_rejected_with_its_path_and_allowed_values(
    store, timers, hosts, entries, line
):
    *before, last = entries
    for entry in before:
        settle(timers, hosts[0].writer.put(entry, "ana"))
    with pytest.raises(EntryError) as caught:
        settle(timers, hosts[0].writer.put(last, "ana"))
    assert line in str(caught.value)
    assert hosts[0].state.number == len(before)


def test_entries_in_use_cannot_be_deleted(store, timers, hosts):
    writer = hosts[0].writer
    settle(timers, writer.put_all([pool(), route(), upstream(), move()], "ana"))
    for key, line in (
        ("pool/drafting", "remove first: move/to-v2, route/trade, upstream/engine-1"),
        ("move/to-v2", "is under way; set state to 'cancelled'"),
        ("pool/none", "pool/none: doesn't exist"),
    ):
        with pytest.raises(EntryError) as caught:
            settle(timers, writer.delete(key, "ana"))
        assert line in str(caught.value)


def verdict(host, outcome):
    return MoveVerdict("to-v2", outcome, host, 150.0, "evidence")


@pytest.mark.parametrize("fault", ["", "drop_answers", "late_writes"])
def test_the_first_recorded_verdict_is_final_on_every_host(store, timers, hosts, fault):
    first, second = hosts
    settle(timers, first.writer.put_all([pool(), move()], "ana"))
    if fault:
        setattr(store, fault, 1)
    early = first.writer.record_verdict(verdict("h1", MoveOutcome.DONE))
    late = second.writer.record_verdict(verdict("h2", MoveOutcome.TAKEN_BACK))
    recorded = {settle(timers, early), settle(timers, late)}
    timers.advance(5)
    recorded.add(settle(timers, first.writer.record_verdict(verdict("h1", MoveOutcome.DONE))))
    assert len(recorded) == 1
    done = recorded.pop().outcome is MoveOutcome.DONE
    assert first.state.in_force.pool("drafting").version == ("v2" if done else "v1")
    assert first.state.in_force.move_of("drafting") is None
    with pytest.raises(EntryError):
        settle(timers, first.writer.put(move(state="cancelled"), "ana"))


def test_a_store_that_lost_writes_is_detected_and_healed(store, timers, hosts):
    first, second = hosts
    settle(timers, first.writer.put_all([pool(), route(), organisation("old")], "ana"))
    old = store.snapshot()
    settle(timers, first.writer.put(organisation("new"), "ana"))
    settle(timers, first.writer.delete("organisation/old", "ana"))
    in_force = first.state.in_force
    store.restore(old)
    with pytest.raises(StoreBehind):
        settle(timers, first.writer.put(organisation("later"), "ana"))
    assert first.behind == 1
    assert settle(timers, first.healer.heal()).number == in_force.number
    assert settle(timers, first.healer.heal()) is None
    settle(timers, second.writer.put(organisation("later"), "ben"))
    assert second.state.number == in_force.number + 1
    assert "organisation/old" not in second.state.in_force.records
    assert "organisation/new" in second.state.in_force.records


def test_healing_finds_changes_that_the_old_store_accepted(store, timers, hosts):
    first, second = hosts
    settle(timers, first.writer.put(organisation("a"), "ana"))
    old = store.snapshot()
    settle(timers, first.writer.put(organisation("b"), "ana"))
    store.restore(old)
    settle(timers, second.writer.put(organisation("c"), "ben"))
    result = settle(timers, first.healer.heal())
    assert [change.key for change in result.foreign] == ["organisation/c"]
    assert settle(timers, first.read_store_snapshot()).digest == first.state.in_force.digest


def test_two_hosts_heal_the_store_concurrently(store, timers, hosts):
    first, second = hosts
    entries = [organisation(f"org-{index}") for index in range(200)]
    settle(timers, first.writer.put_all(entries, "ana"))
    settle(timers, second.writer.put(organisation("last"), "ben"))
    settle(timers, first.writer.put(organisation("really-last"), "ben"))
    settle(timers, second.writer.put(organisation("very-last"), "ben"))
    store.restore({})

    def overtake():
        settle(timers, second.healer.heal())
        settle(timers, second.writer.put(organisation("after"), "ben"))

    store.before_commit = [lambda: None, lambda: None, overtake]
    assert settle(timers, first.healer.heal()) is None
    stored = settle(timers, first.read_store_snapshot())
    assert (stored.number, stored.digest) == (second.state.number, second.state.in_force.digest)
