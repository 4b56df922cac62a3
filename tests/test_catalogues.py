"""Test the catalogue's look-ups, and that the number in force never decreases."""

import functools
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tarragonwind.core.catalogue_states import CatalogueState, Divergence
from tarragonwind.core.catalogues import Catalogue, build_catalogue
from tarragonwind.core.changes import from_wire, to_wire
from tests.catalogue_samples import (
    chain_changes,
    move,
    organisation,
    pool,
    put_edits,
    route,
    sha,
    upstream,
)


def build(*entries):
    return Catalogue().with_changes(chain_changes(Catalogue(), put_edits(*entries)))


def test_look_ups_reflect_the_entries():
    service = pool("registry", back_end="service")
    short = route("reg", pool="registry", path_prefix="/passports")
    longer = route("stamp", pool="registry", path_prefix="/passports/stamps/")
    catalogue = build(pool(), service, route(), short, longer, organisation(), upstream(), move())
    assert catalogue.organisation_for(sha("officina")).name == "officina"
    assert catalogue.organisation_for("") is None
    assert catalogue.route_for_model("draft-small").name == "trade"
    assert catalogue.route_for_path("/passports/12").name == "reg"
    assert catalogue.route_for_path("/passports/stamps/7/x").name == "stamp"
    assert catalogue.route_for_path("/passportsx") is None
    assert [item.name for item in catalogue.upstreams_of("drafting")] == ["engine-1"]
    assert catalogue.move_of("drafting").name == "to-v2"
    after = catalogue.with_changes(chain_changes(catalogue, [("organisation/officina", None)]))
    assert after.organisation_for(sha("officina")) is None
    assert catalogue.organisation_for(sha("officina")) is not None


def test_an_entry_of_a_later_version_is_kept_unparsed_and_counts_in_the_digest():
    changes = chain_changes(Catalogue(), [("gadget/x", b'{"a":1}'), ("pool/p", b'{"new":1}')])
    state = CatalogueState()
    assert len(state.apply_changes(changes)) == 2
    assert state.in_force.entry("gadget/x") is None
    again = build_catalogue(2, state.in_force.records)
    assert again.digest == state.in_force.digest != 0


def test_a_change_whose_digest_does_not_match_is_not_applied():
    mine = chain_changes(Catalogue(), put_edits(organisation("a")))
    theirs = Catalogue().with_changes(chain_changes(Catalogue(), put_edits(organisation("b")), "v"))
    state = CatalogueState()
    state.apply_changes(mine)
    assert state.apply_changes(chain_changes(theirs, put_edits(organisation("c")))) == []
    assert (state.number, state.divergence) == (1, Divergence.DIGEST)
    snapshot = theirs.with_changes(chain_changes(theirs, put_edits(organisation("c"))))
    assert state.install_snapshot(snapshot)
    assert state.divergence is Divergence.NONE


def test_two_changes_with_the_same_number_are_detected():
    state = CatalogueState()
    state.apply_changes(chain_changes(Catalogue(), put_edits(organisation("a")), "v"))
    state.apply_changes(chain_changes(Catalogue(), put_edits(organisation("b")), "w"))
    assert state.divergence is Divergence.SAME_NUMBER


def test_changes_round_trip_and_malformed_ones_are_rejected():
    change = chain_changes(Catalogue(), put_edits(organisation()))[0]
    assert from_wire(to_wire(change)) == change
    good = to_wire(change)
    for index, value in ((0, 0), (0, "1"), (1, "nokind"), (2, "text"), (4, None), (6, 1.5)):
        with pytest.raises(ValueError, match="a change"):
            from_wire([*good[:index], value, *good[index + 1 :]])
    with pytest.raises(ValueError, match="list of 7"):
        from_wire(good[:6])


LENGTH = 30


@functools.cache
def accepted_changes(seed):
    """Return a random history: the catalogue after each number, and the changes."""
    rng = random.Random(seed)
    truth = [Catalogue()]
    changes = []
    for _ in range(LENGTH):
        edits = put_edits(organisation(f"o{rng.randrange(5)}", weight=rng.randrange(1, 99)))
        if edits[0][0] in truth[-1].records and rng.random() < 0.3:
            edits = [(edits[0][0], None)]
        changes += chain_changes(truth[-1], edits)
        truth.append(truth[-1].with_changes(changes[-1:]))
    return truth, changes


class StateMachine(RuleBasedStateMachine):
    """Deliver changes and snapshots to three states in any order, or not at all."""

    @initialize(seed=st.integers(0, 3))
    def accept_changes(self, seed):
        self.truth, self.changes = accepted_changes(seed)
        self.states = [CatalogueState() for _ in range(3)]
        self.floors = [0, 0, 0]

    def _check_progress(self, index):
        assert self.states[index].number >= self.floors[index]
        self.floors[index] = self.states[index].number

    @rule(index=st.integers(0, 2), picks=st.lists(st.integers(0, LENGTH - 1), max_size=8))
    def deliver(self, index, picks):
        self.states[index].apply_changes(self.changes[pick] for pick in picks)
        self._check_progress(index)

    @rule(index=st.integers(0, 2), number=st.integers(0, LENGTH))
    def hand_over(self, index, number):
        taken = self.states[index].install_snapshot(self.truth[number])
        assert taken == (number > self.floors[index])
        self._check_progress(index)

    @rule(index=st.integers(0, 2), source=st.integers(0, 2))
    def compare(self, index, source):
        self._pull(self.states[index], self.states[source])
        assert self.states[index].number >= self.states[source].number
        self._check_progress(index)

    def _pull(self, state, source):
        changes = source.changes_since(state.number)
        if changes is None:
            state.install_snapshot(source.in_force)
        else:
            state.apply_changes(changes)

    @invariant()
    def each_state_is_one_that_was_accepted(self):
        for state in getattr(self, "states", ()):
            assert state.in_force.digest == self.truth[state.number].digest
            assert state.divergence is Divergence.NONE
            fresh = build_catalogue(state.number, state.in_force.records)
            assert fresh.digest == state.in_force.digest

    def teardown(self):
        states = getattr(self, "states", None)
        if not states:
            return
        numbers = None
        while numbers != [state.number for state in states]:
            numbers = [state.number for state in states]
            ahead = max(states, key=lambda state: state.number)
            for state in states:
                self._pull(state, ahead)
        assert len({state.in_force.digest for state in states}) == 1


TestStateMachine = StateMachine.TestCase
TestStateMachine.settings = settings(derandomize=True, max_examples=40, deadline=None)
