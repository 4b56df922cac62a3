"""Test the request queue of a pool: priority order, fairness, limits and load shedding."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.queues import QueuedRequest, TierQueue


def create_queue(max_waiting=1_000, weights=None):
    weights = weights or {}
    return TierQueue(max_waiting, lambda organisation: weights.get(organisation, 1.0))


def create_request(number, tier=0, organisation="a", cost=10, version="", rank=0):
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
    reqs = []
    while (req := queue.pop(has_room)) is not None:
        reqs.append(req)
    return reqs


def test_tiers_are_served_in_order():
    queue = create_queue()
    for number, tier in enumerate([3, 1, 0, 2, 0]):
        queue.push(create_request(number, tier))
    assert [req.tier for req in pop_all(queue)] == [0, 0, 1, 2, 3]


def test_higher_ranks_of_a_tier_are_served_first_for_all_organisations():
    queue = create_queue()
    for number, (rank, organisation) in enumerate([(2, "a"), (0, "b"), (1, "b")] * 3):
        queue.push(create_request(number, 1, organisation, rank=rank))
    queue.push(create_request(99, 0, "c", rank=3))
    ranks = [(req.tier, req.rank) for req in pop_all(queue)]
    assert ranks == sorted(ranks)


def test_a_late_request_waits_behind_the_next_rank_and_before_the_rank_after_it():
    queue = create_queue()
    for number, rank in enumerate([2, 1, 0, 0]):
        queue.push(create_request(number, 1, rank=rank))
    late = create_request(9, 1, rank=0)
    late.latest_on_time_grant = 5.0
    queue.push(late)
    queue.update_levels(6.0)
    assert [(req.rank, req is late) for req in pop_all(queue)] == [
        (0, False),
        (0, False),
        (1, False),
        (0, True),
        (2, False),
    ]


def test_the_work_before_a_request_is_that_of_higher_ranks_and_of_its_own():
    queue = create_queue()
    for number, rank in enumerate([0, 0, 1, 2, 2, 2]):
        queue.push(create_request(number, 1, "a", cost=10, rank=rank))
    assert [queue.work_before(1, rank, "a") for rank in (0, 1, 2)] == [20, 30, 60]


def test_organisations_share_a_tier_by_weight_and_cost():
    queue = create_queue(weights={"heavy": 3.0})
    for number in range(400):
        queue.push(create_request(number, 1, "heavy", cost=10))
        queue.push(create_request(1_000 + number, 1, "long", cost=100))
    work = {"heavy": 0, "long": 0}
    for _ in range(200):
        req = queue.pop(lambda version: True)
        work[req.organisation] += req.cost_tokens
    assert 2.7 <= work["heavy"] / work["long"] <= 3.3


def test_an_organisation_that_starts_late_gets_no_credit_for_idle_time():
    queue = create_queue()
    for number in range(200):
        queue.push(create_request(number, 1, "early"))
    for _ in range(100):
        queue.pop(lambda version: True)
    for number in range(100):
        queue.push(create_request(1_000 + number, 1, "late"))
    served = [queue.pop(lambda version: True).organisation for _ in range(20)]
    assert 9 <= served.count("late") <= 11


def test_a_request_whose_version_has_no_room_does_not_block_others():
    queue = create_queue()
    queue.push(create_request(1, 0, version="v2"))
    queue.push(create_request(2, 0, version="v1"))
    queue.push(create_request(3, 1, version="v1"))
    served = pop_all(queue, lambda version: version == "v1")
    assert [req.permit_id for req in served] == [2, 3]
    assert queue.pop(lambda version: True).permit_id == 1


def test_a_full_queue_sheds_the_newest_of_the_lowest_tier():
    queue = create_queue(max_waiting=3)
    for number, tier in enumerate([2, 3, 3]):
        queue.push(create_request(number, tier))
    assert queue.push(create_request(10, 0)).permit_id == 2
    assert queue.push(create_request(11, 1)).permit_id == 1
    newest = create_request(12, 3)
    assert queue.push(newest) is newest


def test_a_flood_of_one_organisation_does_not_shed_another():
    queue = create_queue(max_waiting=10)
    for number in range(10):
        queue.push(create_request(number, 1, "flood" if number % 5 else "steady"))
    assert queue.push(create_request(20, 1, "quiet")).organisation == "flood"
    assert queue.push(create_request(21, 1, "flood")).permit_id == 21


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
def test_no_request_is_lost_and_no_lower_tier_is_served_first(operations):
    queue = create_queue(max_waiting=12, weights={"a": 2.0})
    waiting = {}
    for number, operation in enumerate(operations):
        if operation[0] == "push":
            req = create_request(number, *operation[1:], version="v1" if number % 3 else "v2")
            waiting[req.key] = req
            shed = queue.push(req)
            if shed is not None:
                assert shed.tier == max(other.tier for other in waiting.values())
                del waiting[shed.key]
        elif operation[0] == "pop":
            versions = {version for version in ("v1", "v2") if version >= operation[1]}
            served = queue.pop(versions.__contains__)
            fitting = [req for req in waiting.values() if req.version in versions]
            assert (served is None) == (not fitting)
            if served is not None:
                assert served.tier == min(req.tier for req in fitting)
                del waiting[served.key]
        elif operation[0] == "remove":
            removed = queue.remove(("h1", operation[1]))
            assert removed is waiting.pop(("h1", operation[1]), None)
        else:
            queue.evict_idle()
        assert len(queue) == len(waiting) <= 12
        assert sum(queue.work_by_level()) == sum(req.cost_tokens for req in waiting.values())
    assert {req.key for req in pop_all(queue)} == set(waiting)
