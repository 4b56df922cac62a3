"""Test that mirror copies converge regardless of the source and order of changes."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonwind.core.mirror_states import MAX_REMOVALS, MirrorItem, MirrorState

KEYS = ["op/config", "servers/a", "servers/b", "servers/c"]


def play(steps):
    """Return the changes that the steps cause in a store, and its final items."""
    changes, items = [], {}
    for revision, (key, removes) in enumerate(steps, start=10):
        value = None if removes else b"%d" % revision
        if removes and key not in items:
            continue
        item = MirrorItem(key, value, revision)
        changes.append(item)
        if removes:
            del items[key]
        else:
            items[key] = item
    return changes, items


STEPS = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=30)


@settings(derandomize=True, max_examples=150)
@given(STEPS, st.integers(0, 30), st.integers(0, 1_000))
def test_snapshots_changes_and_duplicates_converge_to_the_same_copy(steps, cut, seed):
    changes, items = play(steps)
    rng = random.Random(seed)
    state = MirrorState()
    early = changes[:cut]
    held = {}
    for item in early:
        held.pop(item.key, None)
        if item.value is not None:
            held[item.key] = item
    state.apply_snapshot(held.values(), early[-1].revision if early else 1)
    repeated = [*changes[cut:], *rng.sample(changes, len(changes) // 2)]
    state.apply_changes(repeated)
    assert state.items == items


@settings(derandomize=True, max_examples=100)
@given(STEPS, st.integers(0, 30))
def test_a_copy_that_is_behind_catches_up_from_another(steps, cut):
    changes, items = play(steps)
    ahead, behind = MirrorState(), MirrorState()
    ahead.apply_changes(changes)
    behind.apply_changes(changes[:cut])
    missing = ahead.changes_since(behind.revision)
    assert missing is not None
    behind.apply_changes(missing)
    assert behind.items == items
    assert behind.revision == ahead.revision


def test_an_old_snapshot_does_not_restore_a_removed_key():
    state = MirrorState()
    state.apply_changes([MirrorItem("a", b"1", 5), MirrorItem("a", None, 9)])
    assert state.apply_snapshot([MirrorItem("a", b"1", 5)], 7) == []
    assert state.items == {}


def test_a_key_missing_from_a_snapshot_is_removed_unless_it_changed_later():
    state = MirrorState()
    state.apply_changes([MirrorItem("a", b"1", 5), MirrorItem("b", b"1", 12)])
    changed = state.apply_snapshot([], 10)
    assert [item.key for item in changed] == ["a"]
    assert set(state.items) == {"b"}


def test_changes_are_unavailable_for_a_copy_behind_the_oldest_tombstone():
    state = MirrorState()
    for revision in range(1, 2 * MAX_REMOVALS + 10, 2):
        state.apply_changes([MirrorItem(f"k{revision}", b"", revision)])
        state.apply_changes([MirrorItem(f"k{revision}", None, revision + 1)])
    assert state.changes_since(1) is None
