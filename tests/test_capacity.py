"""The measuring tool: its fits, its records, and the page that is made from them."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from benchmarks.capacity.fits import FitError, fit
from benchmarks.capacity.page import PAGE, PageError, differs, made
from benchmarks.capacity.records import Row, Run, read, read_all, write

SIZES = (10, 40, 90, 160, 250)


@pytest.mark.parametrize(("form", "shape"), [("linear", lambda n: n), ("sqrt", math.sqrt),
                                             ("n log n", lambda n: n * math.log(n))])
def test_a_fit_finds_the_line_that_made_the_points(form: str, shape) -> None:  # type: ignore[no-untyped-def]
    made_by = fit([(size, 7 + 3 * shape(size)) for size in SIZES], form)
    assert (made_by.a, made_by.b) == pytest.approx((7, 3))
    assert made_by.rms == pytest.approx(0, abs=1e-9) and made_by.worst == pytest.approx(0, abs=1e-9)
    assert made_by.at(250).value == pytest.approx(7 + 3 * shape(250)) and not made_by.at(250).extrapolated
    assert made_by.at(251).extrapolated


def test_a_constant_is_the_mean_and_its_residual_the_spread() -> None:
    line = fit([(10, 1.0), (20, 3.0), (30, 1.0), (40, 3.0)], "constant")
    assert (line.a, line.b, line.rms, line.worst) == (2.0, 0.0, 1.0, 1.0)


def test_three_sizes_are_no_slope_however_many_points() -> None:
    with pytest.raises(FitError):
        fit([(10, 1.0), (10, 1.1), (20, 2.0), (30, 3.0)], "linear")


def test_rows_that_do_not_count_are_in_no_slope_and_stay_on_file(tmp_path: Path) -> None:
    rows = [Row("planners", 20, "calm", {"cpu_us": 2.0000001}), Row("planners", 10, "calm", {"cpu_us": 1.0}),
            Row("planners", 30, "calm", {"cpu_us": 9.0}, valid=False, why_not="80 ms late"),
            Row("planners", 30, "storm", {"cpu_us": 9.0})]
    kept = read(write(Run("planners", "command", "abc", "2026-12-02 05:00", "1 core", rows), tmp_path))
    assert kept.valid("calm", "cpu_us") == [(10, 1.0), (20, 2.0)]
    assert len(kept.rows) == 4 and kept.rows[2].why_not == "80 ms late"


def test_the_page_says_what_the_json_says() -> None:
    assert differs(PAGE.read_text(), read_all()) == ""


def test_a_doctored_figure_is_found_on_the_page_and_in_the_json() -> None:
    runs, text = read_all(), PAGE.read_text()
    lines = text.splitlines(True)
    place = next(number for number, line in enumerate(lines) if line.startswith("| `"))
    lines[place] = lines[place].replace("| `", "| `9", 1)
    assert differs("".join(lines), runs)
    next(iter(runs.values())).rows[0].valid ^= True
    assert differs(text, runs)


def test_a_block_that_nobody_makes_is_an_error() -> None:
    with pytest.raises(PageError):
        made("<!-- capacity:planned -->\n<!-- /capacity -->", {})
