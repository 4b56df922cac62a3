"""Test which messages to a pool's owner wait, which are handled first and which are dropped."""

from tarragonwind.core.owner_inboxes import MAX_BATCH, OwnerInbox
from tarragonwind.core.permit_messages import (
    Outcome,
    PermitAsk,
    PermitCancel,
    PermitDone,
    PermitSync,
)


def ask(permit_id, pool="drafting", rank=0, **fields):
    return PermitAsk(permit_id, pool, "chat", 1, "a", 10, 100, 5_000, rank=rank, **fields)


def taken(*received, now=1.0):
    inbox = OwnerInbox()
    for host, msg in received:
        inbox.put(1.0, host, msg)
    return inbox.take(now)


def test_a_full_state_supersedes_what_its_host_sent_before_it():
    state = PermitSync("drafting")
    done = PermitDone("drafting", 1, Outcome.OK)
    later = ask(3)
    received = [
        ("h1", ask(1)),
        ("h1", PermitSync("drafting")),
        ("h1", done),
        ("h1", PermitCancel("drafting", 2)),
        ("h1", state),
        ("h1", later),
    ]
    assert taken(*received) == [("h1", done), ("h1", state), ("h1", later)]


def test_a_full_state_supersedes_nothing_of_other_hosts_and_pools():
    received = [("h1", ask(1)), ("h2", ask(1)), ("h1", ask(2, "chat")), ("h1", PermitSync("chat"))]
    assert taken(*received) == [received[0], received[1], received[3]]


def test_a_cancellation_supersedes_its_request_and_is_still_handled():
    cancel = PermitCancel("drafting", 1)
    assert taken(("h1", ask(1)), ("h1", ask(2)), ("h1", cancel)) == [
        ("h1", ask(2)),
        ("h1", cancel),
    ]


def test_the_time_in_the_inbox_is_taken_off_the_deadlines_of_a_request():
    request = ask(1, target_ms=400, first_byte_deadline_ms=-1)
    [(_, msg)] = taken(("h1", request), now=1.25)
    assert (msg.deadline_ms, msg.target_ms, msg.first_byte_deadline_ms) == (4_750, 150, -1)
    [(_, msg)] = taken(("h1", ask(1, target_ms=-1, first_byte_deadline_ms=100)), now=1.25)
    assert (msg.deadline_ms, msg.target_ms, msg.first_byte_deadline_ms) == (4_750, -1, 0)


def test_a_backlog_is_handled_in_parts_releases_first_and_requests_by_rank():
    inbox = OwnerInbox()
    for number in range(MAX_BATCH):
        inbox.put(1.0, "h1", ask(number, rank=2))
    inbox.put(1.0, "h2", ask(1, rank=0))
    inbox.put(1.0, "h3", PermitDone("drafting", 7, Outcome.OK))
    first = inbox.take(1.0)
    assert len(first) == MAX_BATCH and len(inbox) == 2
    assert [host for host, _ in first[:3]] == ["h3", "h2", "h1"]
    assert [msg.permit_id for _, msg in first[2:] + inbox.take(1.0)] == list(range(MAX_BATCH))


def test_messages_below_one_part_keep_their_order():
    received = [("h1", ask(1, rank=2)), ("h2", ask(2, rank=0)), ("h1", PermitSync("chat"))]
    assert taken(*received) == received
