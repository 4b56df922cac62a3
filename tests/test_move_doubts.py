"""Test how a new version that was doubted just after a step clears itself."""

import pytest

from tarragonwind.core.entries import MoveEntry
from tarragonwind.core.evidence import Cell, CellKey, LoadLevel, Side, pack_cells
from tarragonwind.core.move_doubts import FIRST_CLEARING_TRIALS, DoubtWindow
from tarragonwind.core.move_messages import MoveReport
from tarragonwind.core.moves import MoveJudge

STEP = 5


class Evidence:
    """Report growing counts of first bytes at one step to a judge."""

    def __init__(self, step=STEP):
        move = MoveEntry(
            name="upgrade",
            owner="tests",
            pool="drafting",
            from_version="v1",
            to_version="v2",
            starts_at=1.0,
            done_by=61.0,
        )
        self.judge = MoveJudge(move, 1.0)
        self.cells = {side: Cell() for side in Side}
        self.step = step
        self.now = 30.0
        self.sequence = 0

    def add(self, new=0, new_slow=0, old=0, old_slow=0):
        """Add outcomes; return why the new version is in doubt."""
        for side, count, slow in ((Side.NEW, new, new_slow), (Side.OLD, old, old_slow)):
            added = Cell(finished=count, first_byte_trials=count, first_byte_slow=slow)
            added.answer_trials = count
            self.cells[side] = self.cells[side].plus(added)
        self.now += 0.25
        self.sequence += 1
        rows = pack_cells(
            (CellKey(self.step, side, "chat", LoadLevel.LOW), cell)
            for side, cell in self.cells.items()
        )
        report = MoveReport("m", 1, self.sequence, self.now, self.step, 20.0, "", rows)
        self.judge.receive("host-0", report)
        self.judge.evaluate(self.now)
        return self.judge.doubt


def test_a_good_version_that_was_slow_just_after_a_step_clears_the_doubt_at_its_small_share():
    """Guards against a good move that misses its time since the first seconds of a step count."""
    evidence = Evidence()
    assert evidence.add(new=20, new_slow=12, old=40, old_slow=4)
    assert evidence.add(new=FIRST_CLEARING_TRIALS // 2, old=70, old_slow=7)
    assert not evidence.add(new=FIRST_CLEARING_TRIALS // 2, old=70, old_slow=7)
    assert not evidence.add(new=10, new_slow=1, old=10, old_slow=1)
    assert not evidence.judge.taken_back


@pytest.mark.parametrize("slow", [3, 5, 8])
def test_a_version_that_stays_slow_stays_in_doubt(slow):
    evidence = Evidence()
    assert evidence.add(new=20, new_slow=12, old=40, old_slow=4)
    for _ in range(4):
        doubt = evidence.add(new=FIRST_CLEARING_TRIALS, new_slow=slow, old=90, old_slow=4)
        assert doubt or evidence.judge.taken_back


def create_cells(new_good=0, new_bad=0, old=100):
    return {
        CellKey(STEP, Side.NEW, "chat", LoadLevel.LOW): Cell(new_good + new_bad, new_bad),
        CellKey(STEP, Side.OLD, "chat", LoadLevel.LOW): Cell(old),
    }


def fails_more_than(share):
    def find_doubt(cells):
        cell = cells[CellKey(STEP, Side.NEW, "chat", LoadLevel.LOW)]
        return "worse" if cell.failed > cell.finished * share else ""

    return find_doubt


def find(window, **counts):
    """Doubt a version of whose outcomes a third failed; more than a tenth keeps the doubt."""
    return window.find(STEP, create_cells(**counts), fails_more_than(0.33), fails_more_than(0.1))


def test_a_version_that_is_doubted_again_needs_twice_as_much_to_clear_itself():
    window = DoubtWindow()
    assert find(window, new_bad=60)
    assert find(window, new_bad=60, new_good=FIRST_CLEARING_TRIALS - 1, old=200)
    assert not find(window, new_bad=60, new_good=FIRST_CLEARING_TRIALS, old=200)
    assert find(window, new_bad=160, new_good=FIRST_CLEARING_TRIALS, old=200)
    assert find(window, new_bad=160, new_good=2 * FIRST_CLEARING_TRIALS, old=300)
    assert not find(window, new_bad=160, new_good=3 * FIRST_CLEARING_TRIALS, old=300)


def test_the_next_step_counts_anew():
    window = DoubtWindow()
    assert find(window, new_bad=60)
    assert not window.find(STEP + 1, create_cells(), lambda cells: "", lambda cells: "")
    assert find(window, new_bad=60, new_good=FIRST_CLEARING_TRIALS, old=200)


def test_outcomes_without_any_of_the_old_version_beside_them_clear_nothing():
    window = DoubtWindow()
    assert find(window, new_bad=60, old=100)
    assert find(window, new_bad=60, new_good=20, old=100)
