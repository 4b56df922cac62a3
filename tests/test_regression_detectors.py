"""Test that badness is found wherever and whenever it shows."""

from tarragonwind.core.evidence import Cell, CellKey, LoadLevel, Side, Signal
from tarragonwind.core.regression_detectors import (
    REGRESSION_ALPHA,
    REGRESSION_MARGINS,
    LateRegressionDetector,
    find_regression,
    find_regression_vs_history,
)


def cell_key(step, side, route="a", level=LoadLevel.LOW):
    return CellKey(step, side, route, level)


def test_badness_on_one_route_or_level_is_not_hidden_by_the_others():
    margins = dict.fromkeys(Signal, 0.05)
    for where in ({"route": "b"}, {"level": LoadLevel.HIGH}):
        cells = {
            cell_key(1, Side.OLD): Cell(5_000, 500),
            cell_key(1, Side.NEW): Cell(1_000, 100),
            cell_key(1, Side.OLD, **where): Cell(100, 0),
            cell_key(1, Side.NEW, **where): Cell(20, 12),
        }
        finding = find_regression(cells, 0.002, margins)
        assert finding.excess > 0.0
        assert "12 of 20" in finding.why


def test_the_past_is_not_held_against_a_version_when_the_old_one_got_worse_too():
    cells = {cell_key(1, Side.OLD): Cell(1_000, 4), cell_key(5, Side.NEW): Cell(100, 60)}
    cells[cell_key(5, Side.OLD)] = Cell(5, 0)
    assert find_regression_vs_history(cells, cells, 5, 0.001).excess > 0.0
    cells[cell_key(5, Side.OLD)] = Cell(5, 1)
    assert find_regression_vs_history(cells, cells, 5, 0.001).excess < 0.0
    cells[cell_key(5, Side.OLD)] = Cell(2, 0)
    assert find_regression_vs_history(cells, cells, 5, 0.001).excess < 0.0


def test_a_good_past_hides_no_late_badness():
    detector = LateRegressionDetector(starts_at=0.0, period_s=2.0, expected=40)
    new, old = cell_key(4, Side.NEW), cell_key(4, Side.OLD)
    cells = {new: Cell(20_000, 20), old: Cell(20_000, 20)}
    assert detector.find(50.0, cells, 4).excess < 0.0
    cells = {new: Cell(20_040, 40), old: Cell(20_040, 20)}
    assert find_regression(cells, REGRESSION_ALPHA, REGRESSION_MARGINS).excess < 0.0
    assert detector.find(51.0, cells, 4).excess > 0.0


def test_late_badness_shows_with_little_traffic_left_on_the_old_version():
    detector = LateRegressionDetector(starts_at=0.0, period_s=2.0, expected=40)
    new, old = cell_key(5, Side.NEW), cell_key(5, Side.OLD)
    cells = {new: Cell(9_000, 9), old: Cell(1_000, 1)}
    detector.find(50.0, cells, 5)
    cells = {new: Cell(9_030, 21), old: Cell(1_010, 1)}
    assert detector.find(51.0, cells, 5).excess > 0.0


def test_every_judge_starts_the_comparison_anew_at_the_same_times():
    new, old = cell_key(4, Side.NEW), cell_key(4, Side.OLD)
    findings = []
    for looks in ((40.1,), (40.1, 40.9, 41.9)):
        detector = LateRegressionDetector(starts_at=0.0, period_s=2.0, expected=40)
        for look in looks:
            detector.find(look, {new: Cell(500, 1), old: Cell(500, 1)}, 4)
        cells = {new: Cell(540, 9), old: Cell(540, 1)}
        findings.append(detector.find(42.5, cells, 4))
    assert findings[0] == findings[1]
    assert findings[0].why
