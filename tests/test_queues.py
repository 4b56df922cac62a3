"""Test the queue of a pool: order, fairness, bounds and what is shed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.queues import QueuedRequest, TierQueue


def create_queue(max_waiting=1_000, weights=None):
    weights = weights or {}
    return TierQueue(max_waiting, lambda organisation: weights.get(organisation, 1.0))


def create_ask(number, tier=0, organisation="a", cost=10, version="", rank=0):
    return QueuedRequest(
        host="h1",
        permit_id=number,
        tier=tier,
        organisation=organisation,
        route="chat",
        cost_tokens=cost,
        prompt_tokens=0,
        deadline=100.0,
        version=version,
        rank=rank,
    )


def pop_all(queue, has_room=lambda version: True):
    asks = []
    while (ask := queue.pop(has_room)) is not None:
        asks.append(ask)
    return asks


def test_tiers_are_served_in_order():
    queue = create_queue()
    for number, tier in enumerate([3, 1, 0, 2, 0]):
        queue.push(create_ask(number, tier))
    assert [ask.tier for ask in pop_all(queue)] == [0, 0, 1, 2, 3]


def test_the_higher_rank_of_a_tier_goes_first_whoever_asks():
    queue = create_queue()
    for number, (rank, organisation) in enumerate([(2, "a"), (0, "b"), (1, "b")] * 3):
        queue.push(create_ask(number, 1, organisation, rank=rank))
    queue.push(create_ask(99, 0, "c", rank=3))
    ranks = [(ask.tier, ask.rank) for ask in pop_all(queue)]
    assert ranks == sorted(ranks)


def test_a_late_ask_waits_behind_those_of_the_next_rank_and_before_those_after_it():
    queue = create_queue()
    for number, rank in enumerate([2, 1, 0, 0]):
        queue.push(create_ask(number, 1, rank=rank))
    late = create_ask(9, 1, rank=0)
    late.latest_on_time_grant = 5.0
    queue.push(late)
    queue.update_levels(6.0)
    assert [(ask.rank, ask is late) for ask in pop_all(queue)] == [
        (0, False),
        (0, False),
        (1, False),
        (0, True),
        (2, False),
    ]


def test_the_work_before_an_ask_is_that_of_higher_ranks_and_of_its_own():
    queue = create_queue()
    for number, rank in enumerate([0, 0, 1, 2, 2, 2]):
        queue.push(create_ask(number, 1, "a", cost=10, rank=rank))
    assert [queue.work_before(1, rank, "a") for rank in (0, 1, 2)] == [20, 30, 60]


def test_organisations_share_a_tier_by_weight_and_cost():
    queue = create_queue(weights={"heavy": 3.0})
    for number in range(400):
        queue.push(create_ask(number, 1, "heavy", cost=10))
        queue.push(create_ask(1_000 + number, 1, "long", cost=100))
    work = {"heavy": 0, "long": 0}
    for _ in range(200):
        ask = queue.pop(lambda version: True)
        work[ask.organisation] += ask.cost_tokens
    assert 2.7 <= work["heavy"] / work["long"] <= 3.3


def test_an_organisation_that_comes_late_claims_nothing_for_the_past():
    queue = create_queue()
    for number in range(200):
        queue.push(create_ask(number, 1, "early"))
    for _ in range(100):
        queue.pop(lambda version: True)
    for number in range(100):
        queue.push(create_ask(1_000 + number, 1, "late"))
    served = [queue.pop(lambda version: True).organisation for _ in range(20)]
    assert 9 <= served.count("late") <= 11


def test_an_ask_whose_version_has_no_room_holds_up_no_other():
    queue = create_queue()
    queue.push(create_ask(1, 0, version="v2"))
    queue.push(create_ask(2, 0, version="v1"))
    queue.push(create_ask(3, 1, version="v1"))
    served = pop_all(queue, lambda version: version == "v1")
    assert [ask.permit_id for ask in served] == [2, 3]
    assert queue.pop(lambda version: True).permit_id == 1


def test_a_full_queue_sheds_the_newest_of_the_lowest_tier():
    queue = create_queue(max_waiting=3)
    for number, tier in enumerate([2, 3, 3]):
        queue.push(create_ask(number, tier))
    assert queue.push(create_ask(10, 0)).permit_id == 2
    assert queue.push(create_ask(11, 1)).permit_id == 1
    newest = create_ask(12, 3)
    assert queue.push(newest) is newest


def test_a_flood_of_one_organisation_does_not_shed_another():
    queue = create_queue(max_waiting=10)
    for number in range(10):
        queue.push(create_ask(number, 1, "flood" if number % 5 else "steady"))
    assert queue.push(create_ask(20, 1, "quiet")).organisation == "flood"
    assert queue.push(create_ask(21, 1, "flood")).permit_id == 21


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(0, 3), st.sampled_from("abc"), st.integers(1, 99)),
        st.tuples(st.just("pop"), st.sampled_from(["v1", "v2", ""])),
        st.tuples(st.just("remove"), st.integers(0, 60)),
        st.tuples(st.just("forget")),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(OPERATIONS)
def test_nothing_is_lost_and_no_lower_tier_goes_first(operations):
    queue = create_queue(max_waiting=12, weights={"a": 2.0})
    waiting = {}
    for number, operation in enumerate(operations):
        if operation[0] == "push":
            ask = create_ask(number, *operation[1:], version="v1" if number % 3 else "v2")
            waiting[ask.key] = ask
            shed = queue.push(ask)
            if shed is not None:
                assert shed.tier == max(other.tier for other in waiting.values())
                del waiting[shed.key]
        elif operation[0] == "pop":
            versions = {version for version in ("v1", "v2") if version >= operation[1]}
            served = queue.pop(versions.__contains__)
            fitting = [ask for ask in waiting.values() if ask.version in versions]
            assert (served is None) == (not fitting)
            if served is not None:
                assert served.tier == min(ask.tier for ask in fitting)
                del waiting[served.key]
        elif operation[0] == "remove":
            removed = queue.remove(("h1", operation[1]))
            assert removed is waiting.pop(("h1", operation[1]), None)
        else:
            queue.forget_idle()
        assert len(queue) == len(waiting) <= 12
        assert sum(queue.work_by_level()) == sum(ask.cost_tokens for ask in waiting.values())
    assert {ask.key for ask in pop_all(queue)} == set(waiting)
