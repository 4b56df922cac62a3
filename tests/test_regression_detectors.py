"""Test that regressions are detected on any route, at any load level and at any time."""

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


def test_a_regression_on_one_route_or_level_is_not_masked_by_the_others():
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


def test_history_is_no_evidence_when_the_old_version_regressed_as_well():
    cells = {cell_key(1, Side.OLD): Cell(1_000, 4), cell_key(5, Side.NEW): Cell(100, 60)}
    cells[cell_key(5, Side.OLD)] = Cell(5, 0)
    assert find_regression_vs_history(cells, cells, 5, 0.001).excess > 0.0
    cells[cell_key(5, Side.OLD)] = Cell(5, 1)
    assert find_regression_vs_history(cells, cells, 5, 0.001).excess < 0.0
    cells[cell_key(5, Side.OLD)] = Cell(2, 0)
    assert find_regression_vs_history(cells, cells, 5, 0.001).excess < 0.0


def test_good_history_does_not_mask_a_late_regression():
    detector = LateRegressionDetector(starts_at=0.0, period_s=2.0, expected=40)
    new, old = cell_key(4, Side.NEW), cell_key(4, Side.OLD)
    cells = {new: Cell(20_000, 20), old: Cell(20_000, 20)}
    assert detector.find(50.0, cells, 4).excess < 0.0
    cells = {new: Cell(20_040, 40), old: Cell(20_040, 20)}
    assert find_regression(cells, REGRESSION_ALPHA, REGRESSION_MARGINS).excess < 0.0
    assert detector.find(51.0, cells, 4).excess > 0.0


def test_a_late_regression_is_found_with_little_traffic_on_the_old_version():
    detector = LateRegressionDetector(starts_at=0.0, period_s=2.0, expected=40)
    new, old = cell_key(5, Side.NEW), cell_key(5, Side.OLD)
    cells = {new: Cell(9_000, 9), old: Cell(1_000, 1)}
    detector.find(50.0, cells, 5)
    cells = {new: Cell(9_030, 21), old: Cell(1_010, 1)}
    assert detector.find(51.0, cells, 5).excess > 0.0


def test_all_judges_restart_the_comparison_at_the_same_times():
    new, old = cell_key(4, Side.NEW), cell_key(4, Side.OLD)
    findings = []
    for times in ((40.1,), (40.1, 40.9, 41.9)):
        detector = LateRegressionDetector(starts_at=0.0, period_s=2.0, expected=40)
        for time_s in times:
            detector.find(time_s, {new: Cell(500, 1), old: Cell(500, 1)}, 4)
        cells = {new: Cell(540, 9), old: Cell(540, 1)}
        findings.append(detector.find(42.5, cells, 4))
    assert findings[0] == findings[1]
    assert findings[0].why
