"""Statistics from a fleet's decision logs: they show a failing planner, and schedulers without updates."""

from __future__ import annotations

from pathlib import Path

from benchmarks.fleet_trace import summarize

WITH_UPDATES = """0.000 INFO listening on 127.0.0.1:5000
0.1 100.0 > Send job=1 worker=s-a timeout=0.0
0.2 100.1 < Finished job=1 attempt=0 worker=s-a outcome=OK elapsed=600.0 settled=True
13.0 113.0 < ListNews kind=DELTA version=3 entries=s-b:READY:0:0
14.0 114.0 < Submitted job=2 time_left=4970.0 job_class=0 tenant=0
"""
WITHOUT_UPDATES = """0.1 100.0 > Send job=1 worker=s-b timeout=0.0
0.2 100.0 < Finished job=1 attempt=0 worker=s-b outcome=ERROR elapsed=15.0 settled=False
0.3 100.3 > Send job=2 worker=s-b timeout=0.0
0.4 100.4 < Finished job=2 attempt=0 worker=s-b outcome=ERROR elapsed=12.0 settled=False
3.0 103.0 > WatchList on=True
3.1 103.1 < ListNews kind=FAILED version=0
14.0 114.0 < Submitted job=3 time_left=4970.0 job_class=0 tenant=0
14.0 114.0 > Refuse job=3 retry_after=62.5
"""


def test_a_failing_planner_and_schedulers_without_updates_are_counted(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_text(WITH_UPDATES)
    (tmp_path / "n1.log").write_text(WITHOUT_UPDATES)
    report = summarize(tmp_path, after=12.0)
    assert report["sends"] == 3 and report["planners"] == 2
    assert report["failing"] == [("s-b", 2, 1.33)]
    assert report["error_ms_median"] == 13.5 and report["served_ms_median"] == 600.0
    assert report["list_calls"] == [(2.5, 1, {"FAILED": 1}), (12.5, 0, {"DELTA": 1})]
    assert report["hearing"] == {"schedulers": 1, "Submitted": 1}
    assert report["blind"] == {"schedulers": 1, "Submitted": 1, "Refuse": 1}
