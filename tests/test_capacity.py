"""The capacity measurements: fits, stored records, the rendered page, and the models."""

from __future__ import annotations

import json
import math
import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from loopback import SETTINGS

from benchmarks.capacity import gangs, page, requirements, urgent
from benchmarks.capacity.__main__ import main
from benchmarks.capacity.figures import Line, plus, ratio, text
from benchmarks.capacity.fits import FitError, fit
from benchmarks.capacity.held import timers_per_request
from benchmarks.capacity.hollow import AppliedSettings
from benchmarks.capacity.records import ROOT, Row, Run, read, read_all, write
from benchmarks.capacity.serving import configuration
from pipitshed.cluster.settings import SettingsTarget
from pipitshed.config.platform import load_platform_config
from pipitshed.config.row_overlay import overlay
from pipitshed.replication.row import Row as SettingsRow

SIZES = (10, 40, 90, 160, 250)
LINE = Line("planners", "calm", "cpu_us", "linear", "us")


def run_of(*sizes: int) -> dict[str, Run]:
    rows = [Row("planners", size, "calm", {"cpu_us": 5.0 + 2 * size}) for size in sizes]
    return {"planners": Run("planners", "command", "abc", "2026-12-02 05:00", "1 core", rows)}


@pytest.mark.parametrize(
    ("form", "shape"), [("linear", lambda n: n), ("sqrt", math.sqrt), ("n log n", lambda n: n * math.log(n))]
)
def test_a_fit_finds_the_line_that_made_the_points(form: str, shape) -> None:  # type: ignore[no-untyped-def]
    made_by = fit([(size, 7 + 3 * shape(size)) for size in SIZES], form)
    assert (made_by.a, made_by.b) == pytest.approx((7, 3))
    assert made_by.rms == pytest.approx(0, abs=1e-9) and made_by.worst == pytest.approx(0, abs=1e-9)
    assert made_by.at(250).value == pytest.approx(7 + 3 * shape(250)) and not made_by.at(250).extrapolated
    assert made_by.at(251).extrapolated


def test_a_constant_is_the_mean_and_its_residual_the_spread() -> None:
    line = fit([(10, 1.0), (20, 3.0), (30, 1.0), (40, 3.0)], "constant")
    assert (line.a, line.b, line.rms, line.worst) == (2.0, 0.0, 1.0, 1.0)


def test_a_relative_fit_is_close_at_small_sizes_too() -> None:
    points = [(1, 2.0), (10, 11.0), (100, 101.0), (1000, 700.0)]
    assert abs(fit(points, "linear", relative=True).at(1).value - 2.0) < 0.5
    assert abs(fit(points, "linear").at(1).value - 2.0) > 5


def test_four_points_at_three_sizes_are_too_few_for_a_fit() -> None:
    with pytest.raises(FitError):
        fit([(10, 1.0), (10, 1.1), (20, 2.0), (30, 3.0)], "linear")


def test_invalid_rows_are_left_out_of_slopes_but_stored(tmp_path: Path) -> None:
    rows = [
        Row("planners", 20, "calm", {"cpu_us": 2.0000001}),
        Row("planners", 10, "calm", {"cpu_us": 1.0}),
        Row("planners", 30, "calm", {"cpu_us": 9.0}, valid=False, why_not="80 ms late"),
        Row("planners", 30, "storm", {"cpu_us": 9.0}),
    ]
    kept = read(write(Run("planners", "command", "abc", "2026-12-02 05:00", "1 core", rows), tmp_path))
    assert kept.valid("calm", "cpu_us") == [(10, 1.0), (20, 2.0)]
    assert len(kept.rows) == 4 and kept.rows[2].why_not == "80 ms late"


def test_a_figure_is_printed_with_its_basis() -> None:
    runs = run_of(10, 20, 40, 80)
    texts = [text(LINE.at(size)(runs), "us") for size in (20, 30, 100)]
    assert texts == ["45 us", "65 us (fit)", "205 us (extrapolated)"]
    assert text(plus(LINE.at(20), LINE.at(100))(runs)) == "250 (extrapolated)"
    assert text(ratio(LINE.at(30), LINE.at(20))(runs)) == "1.44 (fit)"
    # Three sizes are too few for a fit: the figure of the largest size is printed with that size.
    assert text(LINE.at(90)(run_of(10, 20, 40)), "us") == "85 us (at 40, no slope)"
    assert text(plus(LINE.at(90), LINE.at(20))(run_of(10, 20, 40))) == "130 (at 40, no slope)"
    assert text(LINE.at(20)(run_of(10, 20, 40))) == "45"
    assert text(plus(LINE.at(20), LINE.at(20))({})) == "not measured"


def test_the_page_matches_the_json() -> None:
    result = CliRunner().invoke(main, ["--check"])
    assert (result.exit_code, result.output) == (0, "")


def test_a_changed_figure_is_found_on_the_page_and_in_the_json(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    runs, page_text = read_all(), page.PAGE.read_text()
    target = text(requirements.RELOAD.at(requirements.TEAMS)(runs))
    changed = tmp_path / "CAPACITY.md"
    changed.write_text(page_text.replace(f"| {target} |", "| 0.001 |"))
    monkeypatch.setattr(page, "PAGE", changed)
    result = CliRunner().invoke(main, ["--check"])
    assert result.exit_code == 1 and "+| 380 |" in result.output and "-| 380 |" in result.output
    row = next(row for row in runs["reload"].rows if row.size == requirements.TEAMS)
    row.figures["cpu_ms"] *= 2
    assert page.page_diff(page_text, runs)


def test_a_marker_for_an_unknown_table_is_an_error() -> None:
    with pytest.raises(page.PageError):
        page.render("<!-- capacity:planned -->\n<!-- /capacity -->", {})


def test_the_tests_that_the_page_names_exist() -> None:
    for failure in requirements.FAILURES:
        for name in failure.tests:
            file, _, function = name.partition("::")
            assert re.search(rf"^(async )?def {function}\(", (ROOT / file).read_text(), re.MULTILINE), name


def test_a_request_in_flight_has_at_most_four_timers() -> None:
    """Guards against extra timers; one each is for the deadline, the attempt's timeout, its start and its
    progress."""
    assert timers_per_request(configuration(1, 4)) <= 4


def test_the_modelled_fleet_is_deterministic_and_a_gang_starts_whole_where_slots_are_free() -> None:
    assert urgent.simulate(46, "full") == urgent.simulate(46, "full")
    assert gangs.gang(32, 0.5, 1)["whole"] == 1.0
    # Members are independent: where slots are short, some start and hold slots without use.
    short = gangs.gang(32, 0.98, 1)
    assert short["whole"] == 0.0 and short["started"] > 0 and short["held_slot_s"] > 0


def test_a_hollow_scheduler_applies_rows_as_the_program_does(tmp_path: Path) -> None:
    """Guards against a benchmark that measures a traceback: `AppliedSettings` once returned no file, and took
    settings for a full configuration."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
    applied = AppliedSettings(load_platform_config({"LB_CONFIG": str(path)}))
    target = SettingsTarget(applied.file, applied.apply)
    laid = overlay(target.file(), [SettingsRow("tenant/andes-retail/share", 1, 1, "s0", b"0.4")])
    assert not laid.rejected and applied.since == 0.0
    target.apply(laid.raw["settings"])
    assert applied.config.settings.tenants[0].quota_share == 0.4 and applied.since > 0.0
