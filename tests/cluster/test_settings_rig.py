"""Replicated settings in the testbed: its oracles, and runs with partitioned and killed processes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
import uvloop

from pipitshed.cluster.messages import ClusterMessage, CommitStatusResponse, PutResponse, RowsResponse
from pipitshed.cluster.messages import Put as PutRow
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.replication.row_table import NOT_COMPARED
from pipitshed.testbed.fleet import oracles, row_oracles
from pipitshed.testbed.fleet.oracles import InForce, Instance, Logs
from pipitshed.testbed.fleet.scenario import (
    Fault,
    FleetShape,
    Scenario,
    ScenarioError,
    SettingChange,
    SettingChangeMix,
    Traffic,
    draw_setting_changes,
    read,
    scenario_text,
)
from pipitshed.testbed.fleet.scenario_run import run_scenario
from pipitshed.testbed.fleet.setting_changes import SettingChanges

FAST_TIMINGS = ProtocolTimings(period=0.1, ack_within=0.05, sync=0.6, sync_with_gone=1.0, tombstones=30.0)
SHARE, QUOTA = "tenant/andes-retail/share", "tenant/andes-retail/allowancePerS"
GROUPS = [pytest.mark.xdist_group("rig-1"), pytest.mark.xdist_group("rig-2")]


def run_case(puts: tuple[SettingChange, ...], *faults: Fault, processes: int = 4) -> dict[str, Any]:
    """Run these changes and faults; return the testbed's result."""
    scenario = Scenario(
        "case", FleetShape(processes, 2, 2, scales=FAST_TIMINGS), Traffic(20.0), settle_within=6.0
    )
    return uvloop.run(run_scenario(scenario, faults, 1, None, puts))


@GROUPS[0]
def test_changes_with_a_killed_writer_a_lost_disk_and_a_wrong_clock() -> None:
    puts = tuple(
        SettingChange(at, "s1", SHARE, f"0.{place}") for place, at in enumerate((0.0, 0.4, 2.5, 3.0), 1)
    )
    result = run_case(
        (*puts, SettingChange(0.2, "s2", QUOTA, "80")),
        Fault(0.6, "kill", ("s1",), lasts=0.8),
        Fault(0.7, "kill", ("s3",), lasts=0.5, disk=False),
        Fault(1.8, "clock", ("s2",), lasts=1.5, amount=-3000.0),
    )
    assert result["wrong"] == [] and result["puts_in_force"] >= 3


@GROUPS[1]
def test_changes_in_both_halves_of_a_partition_and_at_a_paused_process() -> None:
    puts = (
        SettingChange(0.5, "s1", SHARE, "0.1"),
        SettingChange(3.0, "s2", SHARE, "0.2"),
        SettingChange(3.2, "s1", QUOTA, "70"),
        SettingChange(6.0, "s3", SHARE, "0.3"),
    )
    result = run_case(
        puts,
        Fault(0.2, "cut-zone", ("zone-1",), lasts=4.0),
        Fault(5.0, "pause", ("s4",), lasts=2.5),
        processes=5,
    )
    assert result["wrong"] == [] and result["puts_in_force"] >= 2


def test_change_rejected_by_a_just_started_scheduler_is_put_again() -> None:
    """Guards against runs that depend on how fast a process starts: a change is put again if the scheduler
    rejected it because it had not compared its rows with a peer yet, and after no other rejection."""
    answers = [NOT_COMPARED, NOT_COMPARED, "", "has changed since it was read"]
    messages: list[ClusterMessage] = []

    class Scripted(SettingChanges):
        async def _request(self, process: Any, message: Any, wanted: Any) -> Any:
            messages.append(message)
            if wanted is RowsResponse:
                return RowsResponse("s1", ())
            return (
                PutResponse("s1", answers.pop(0), 1, 1)
                if wanted is PutResponse
                else CommitStatusResponse(True, (), (), ())
            )

    log: list[str] = []
    up = Mock(accepts_clients=True)
    up.name = "s1"
    puts = Scripted(Mock(all=[up]), lambda event, **_fields: log.append(event))
    assert uvloop.run(puts.put_and_follow(SettingChange(0.0, "s1", SHARE, "0.1"))) == "in force"
    assert sum(isinstance(message, PutRow) for message in messages) == 3 and log == ["put"]
    assert (
        uvloop.run(puts.put_and_follow(SettingChange(0.0, "s1", SHARE, "0.1"))) == "refused" and not answers
    )


# ---- The oracles


def logs(**changes: Any) -> Logs:
    """Logs of s1 and s2, which apply a row at 10 s; s1 reports it in force at 20 s; `changes` are of s2."""
    s1, s2 = Instance("s1", 0, 1, 11, 1.0, started=1.5), Instance("s2", 1, 1, 22, 1.0, started=1.5)
    s1.acting = [(10.0, {SHARE: (1, 2)})]
    s1.in_force = [InForce(20.0, SHARE, (1, 2), changes.pop("said", {"s1": 11, "s2": 22}))]
    s2.acting = [(9.0, {SHARE: (1, 1)}), (10.0, {SHARE: (1, 2)})]
    for name, value in changes.items():
        setattr(s2, name, value)
    return Logs([s1, s2], [], 30.0, 40.0, [])


def test_in_force_is_rejected_if_a_named_or_reachable_member_does_not_apply_the_row() -> None:
    late = [(9.0, {SHARE: (1, 1)}), (20.1, {SHARE: (1, 2)})]
    assert row_oracles.check_in_force(logs(), 6.0, 2) == []
    assert "s2 did not act on it" in row_oracles.check_in_force(logs(acting=late), 6.0, 2)[0]
    # Reported of another instance.
    assert "s2 did not act" in row_oracles.check_in_force(logs(life=23), 6.0, 2)[0]
    alone = {"s1": 11}
    # The second process applies the row, though it is not named.
    assert row_oracles.check_in_force(logs(said=alone), 6.0, 2) == []
    assert "without s2" in row_oracles.check_in_force(logs(said=alone, acting=late), 6.0, 2)[0]
    for exemption in ({"started": 16.0}, {"paused": [(12.0, 15.0)]}, {"ended": 20.5}):
        assert row_oracles.check_in_force(logs(said=alone, acting=late, **exemption), 6.0, 2) == []
    for exemption in ({"paused": [(2.0, 13.0)]}, {"ended": 22.0}):
        assert row_oracles.check_in_force(logs(said=alone, acting=late, **exemption), 6.0, 2) != []
    for fault, exempt in (
        ({"do": "cut", "a": ["s2"], "t": 12.0, "for": 3.0}, True),
        ({"do": "cut", "a": ["s2"], "t": 2.0, "for": 3.0}, False),
        ({"do": "loss", "a": ["s3"], "b": ["s4"], "t": 19.0, "for": 3.0}, False),
        ({"do": "cut-zone", "a": ["zone-2"], "t": 19.0, "for": 3.0}, True),
        ({"do": "kill", "a": ["s4"], "t": 19.0}, False),
    ):
        changed_logs = logs(said=alone, acting=late)
        changed_logs.faults.append(fault)
        assert (row_oracles.check_in_force(changed_logs, 6.0, 2) == []) is exempt, fault


def test_older_row_is_rejected_in_one_instance_and_after_a_restart_with_its_folder() -> None:
    assert row_oracles.check_no_regression(logs()) == []
    back = [(9.0, {SHARE: (1, 2)}), (10.0, {SHARE: (1, 1)})]
    assert "went back" in row_oracles.check_no_regression(logs(acting=back))[0]
    for rows, disk, wrong in (
        ({}, True, True),
        ({}, False, False),
        ({SHARE: (1, 1)}, True, True),
        ({SHARE: (2, 3)}, True, False),
    ):
        changed_logs = logs()
        changed_logs.instances.append(
            Instance(
                "s2",
                1,
                2,
                33,
                25.0,
                started=25.5,
                disk=disk,
                acting=[(25.4, rows), (25.6, {SHARE: (1, 2)})][: 1 + (rows == {})],
            )
        )
        assert ("started with" in "".join(row_oracles.check_no_regression(changed_logs))) is wrong, rows


def test_all_apply_the_same_rows_at_the_end_and_none_older_than_one_in_force() -> None:
    assert row_oracles.settled(logs()) == []
    assert "s2 acts on" in row_oracles.settled(logs(acting=[]))[0]
    gone = logs(acting=[(9.0, {SHARE: (1, 1)})])
    gone.instances[0].acting = [(9.0, {SHARE: (1, 1)})]
    assert row_oracles.settled(gone) == [f"{SHARE} (1, 2) was in force, and is no longer acted on"]


def test_logs_are_read_incrementally_in_whole_lines(tmp_path: Path) -> None:
    testbed_log, events = tmp_path / "rig.jsonl", tmp_path / "e1"
    testbed_log.write_text(
        json.dumps({"t": 1.0, "event": "spawn", "process": "s1", "place": 0, "start": 1, "events": "e1"})
        + "\n"
    )
    reading = oracles.LogReader(tmp_path)
    assert [instance.name for instance in reading.read_new().instances] == ["s1"]
    line = json.dumps({"t": 2.0, "event": "acting", "rows": [[SHARE, 1, 1]], "refused": [["k", "no"]]}) + "\n"
    events.write_text(line[:20])
    assert reading.read_new().instances[0].acting == []
    with events.open("a") as log:
        log.write(line[20:] + line)
    [instance] = reading.read_new().instances
    assert instance.acting == [(2.0, {SHARE: (1, 1)})] * 2 and instance.refused == [(2.0, "k", "no")] * 2
    assert len(reading.read_new().instances[0].acting) == 2  # no event is read twice


def test_changes_are_drawn_by_the_seed_and_a_script_repeats_them() -> None:
    scenario = Scenario("drawn", FleetShape(5), put_mix=SettingChangeMix(8, 5.0))
    assert len(draw_setting_changes(scenario, 3)) == 8
    assert (
        draw_setting_changes(scenario, 3)
        == draw_setting_changes(scenario, 3)
        != draw_setting_changes(scenario, 4)
    )
    assert draw_setting_changes(
        read(scenario_text(scenario, (), draw_setting_changes(scenario, 3))), 9
    ) == draw_setting_changes(scenario, 3)
    with pytest.raises(ScenarioError, match="line 4: there is no 's9'"):
        read('name = "x"\n[[put]]\nat = 1.0\na = "s9"\nkey = "k"\nvalue = "1"')
