"""Scheduler processes with injected faults: failures that the membership must handle, and the testbed."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop

from pipitshed.membership.timing import ProtocolTimings
from pipitshed.testbed.clients import ClientRequest, HttpClients
from pipitshed.testbed.fleet import oracles
from pipitshed.testbed.fleet.scenario import (
    Fault,
    FleetShape,
    Mix,
    Scenario,
    ScenarioError,
    Traffic,
    draw_faults,
    read,
    scenario_text,
)
from pipitshed.testbed.fleet.scenario_run import ScenarioRun, run_scenario, shrink_faults

# Three times as fast as the defaults, so that a case takes seconds.
FAST_TIMINGS = ProtocolTimings(period=0.1, ack_within=0.05, sync=0.6, sync_with_gone=1.0, tombstones=30.0)
SETTLE_WITHIN_S = 6.0  # the cases below need one to two seconds
WANTED_MS = 2000.0  # a request takes less than 200 ms
GROUPS = [pytest.mark.xdist_group("rig-1"), pytest.mark.xdist_group("rig-2")]  # two runs at a time


def run_case(*faults: Fault, processes: int = 4, **changes: Any) -> dict[str, Any]:
    """Run these faults; return the testbed's result."""
    scenario = Scenario(
        "case",
        FleetShape(processes, 2, 2, scales=FAST_TIMINGS),
        Traffic(30.0, wanted_ms=WANTED_MS),
        settle_within=SETTLE_WITHIN_S,
        **changes,
    )
    return uvloop.run(run_scenario(scenario, faults, 1))


@GROUPS[0]
def test_one_way_partition_causes_no_death_and_no_failed_request() -> None:
    result = run_case(Fault(0.0, "cut-one-way", ("s1",), ("s2",), lasts=4.0), all_in_time=True)
    assert result["wrong"] == [] and result["false_deaths"] == 0
    assert result["links"]["lost"] > 0 and result["requests"] > 100


@GROUPS[1]
def test_process_paused_for_five_seconds_rejoins_and_declares_no_member_dead() -> None:
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(
            "still", FleetShape(4, 2, 2, scales=FAST_TIMINGS), Traffic(30.0), settle_within=SETTLE_WITHIN_S
        )
        result = uvloop.run(
            run_scenario(scenario, (Fault(0.0, "pause", ("s2",), lasts=5.0),), 1, Path(folder))
        )
        assert result["wrong"] == [] and result["false_deaths"] == 0
        [paused] = [instance for instance in oracles.read(Path(folder)).instances if instance.name == "s2"]
        assert [death for death in paused.deaths if death[1] != "s2"] == []


@GROUPS[0]
def test_half_the_fleet_is_killed_and_restarted_without_disks() -> None:
    result = run_case(Fault(0.0, "kill", ("s1", "s3"), lasts=1.0, disk=False))
    assert result["wrong"] == []


@GROUPS[1]
def test_rolling_restart() -> None:
    result = run_case(Fault(0.0, "roll", lasts=0.0), processes=3)
    assert result["wrong"] == [] and result["unanswered"] == 0


@GROUPS[0]
def test_partition_with_a_join_and_deaths_heals() -> None:
    result = run_case(
        Fault(0.0, "cut-zone", ("zone-1",), lasts=6.0),
        Fault(1.0, "kill-for-good", ("s3",)),
        Fault(1.2, "kill-for-good", ("s4",)),
        Fault(1.5, "join", count=2),
        processes=5,
    )
    assert result["wrong"] == []


@GROUPS[1]
def test_name_in_use_goes_to_the_process_that_started_later() -> None:
    result = run_case(Fault(0.0, "double", ("s3",)))
    assert result["wrong"] == [] and result["displaced"] == 1


@GROUPS[0]
def test_flapping_member_and_one_with_its_clock_set_back_end_alive() -> None:
    flaps = [Fault(at, "kill", ("s4",), lasts=0.1) for at in (0.0, 0.2, 0.4)]
    result = run_case(*flaps, Fault(0.1, "clock", ("s3",), lasts=1.5, amount=-3600.0))
    assert result["wrong"] == []


@GROUPS[1]
def test_members_stay_joined_while_all_seeds_are_dead_and_accept_them_back() -> None:
    result = run_case(Fault(0.0, "kill", ("s1", "s2"), lasts=3.0), processes=5)
    assert result["wrong"] == []


@GROUPS[0]
def test_lost_duplicated_reordered_delayed_and_throttled_messages_do_no_harm() -> None:
    everyone = ("s1", "s2", "s3", "s4")
    result = run_case(
        Fault(0.0, "duplicate", everyone, lasts=3.0, amount=0.5),
        Fault(0.0, "reorder", everyone, lasts=3.0, amount=0.4),
        Fault(0.0, "drip", ("s2",), lasts=3.0, amount=2000.0),
        Fault(0.5, "loss", ("s1",), lasts=2.0, amount=0.2),
        Fault(1.0, "reset", ("s1",)),
        Fault(0.5, "jitter", ("s4",), lasts=2.0, amount=0.03),
        all_in_time=True,
    )
    assert result["wrong"] == []
    assert result["links"]["doubled"] > 10 and result["links"]["reordered"] > 10


@GROUPS[1]
def test_scheduler_without_reachable_peers_serves() -> None:
    result = run_case(Fault(0.0, "cut", ("s1", "s2", "s3"), lasts=2.0), processes=3, all_in_time=True)
    assert result["wrong"] == []


# ---- The testbed itself


def test_same_scenario_and_seed_give_the_same_faults_and_a_script_repeats_them() -> None:
    scenario = Scenario("drawn", FleetShape(5), mix=Mix(8, 5.0, kinds={"cut": 1.0, "kill": 1.0, "loss": 1.0}))
    assert draw_faults(scenario, 3) == draw_faults(scenario, 3) != draw_faults(scenario, 4)
    again = read(scenario_text(scenario, draw_faults(scenario, 3)))
    assert draw_faults(again, 9) == draw_faults(scenario, 3)


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ('name = "x"\n[[fault]]\nat = 1.0\ndo = "cut"\na = ["s9"]', "line 5: there is no 's9'"),
        ('name = "x"\n[[fault]]\nat = 1.0\ndo = "cut"', "names no process or zone"),
        ('name = "x"\n[[fault]]\nat = 1.0\ndo = "eat"\na = ["s1"]', "eat"),
        ('name = "x"\n[fleet]\nprocesses = 90', "1 to 60"),
    ],
)
def test_invalid_scenario_is_rejected_with_the_reason(text: str, what: str) -> None:
    with pytest.raises(ScenarioError, match=what):
        read(text)


def test_shrunk_script_keeps_the_faults_that_the_failure_needs() -> None:
    faults = tuple(Fault(float(at), "cut", ("s1",)) for at in range(12))
    needed = {faults[2], faults[9]}
    assert set(shrink_faults(faults, lambda some: needed <= set(some), 100)) == needed


def test_events_after_the_run_are_not_part_of_the_verdict(tmp_path: Path) -> None:
    """Guards against a verdict from after the run: all processes end then, and no member disagrees."""
    testbed_events = [
        {"t": 1.0, "event": "spawn", "process": "s1", "place": 0, "start": 1, "events": "e1"},
        {"t": 1.0, "event": "spawn", "process": "s2", "place": 1, "start": 1, "events": "e2"},
        {"t": 5.0, "event": "over"},
        {"t": 9.0, "event": "end"},
        {"t": 9.1, "event": "term", "process": "s1", "place": 0, "start": 1},
        {"t": 9.1, "event": "term", "process": "s2", "place": 1, "start": 1},
    ]
    (tmp_path / "rig.jsonl").write_text("\n".join(map(json.dumps, testbed_events)))
    for number, life in enumerate((11, 22), 1):
        name = f"s{number}"
        views = [(2.0, [[name, life]]), (6.5, [["s1", 11], ["s2", 22]]), (9.2, [[name, life]])]
        events = [{"t": 1.5, "event": "started", "life": life}] + [
            {"t": when, "event": "view", "living": living}
            for when, living in views
            if number == 1 or when != 6.5
        ]
        (tmp_path / f"e{number}").write_text("\n".join(map(json.dumps, events)))
    after, wrong = oracles.settled(oracles.read(tmp_path))
    assert after is None and wrong == ["s2 holds another view: lacks ['s1'], has []"]


def test_oracles_reject_each_kind_of_violation(tmp_path: Path) -> None:
    """Hand-made logs, each with one violation."""

    def logs(**wrong: Any) -> oracles.Logs:
        s1, s2 = oracles.Instance("s1", 0, 1, 11, 1.0), oracles.Instance("s2", 1, 1, 22, 1.0)
        for instance in (s1, s2):
            instance.views.append((2.0, wrong.get(instance.name, {"s1": 11, "s2": 22})))
        s2.deaths += wrong.get("deaths", [])
        s2.paused += wrong.get("away", [])
        return oracles.Logs([s1, s2], [], 5.0, 9.0, [])

    assert oracles.settled(logs()) == (0.0, [])
    assert oracles.settled(oracles.Logs([], [], 5.0, 9.0, []))[1] == ["no process runs"]
    assert "lacks ['s1']" in oracles.settled(logs(s2={"s2": 22}))[1][0]
    assert "lacks ['s1']" in oracles.settled(logs(s2={"s1": 10, "s2": 22}))[1][0]  # of an earlier instance
    assert "has ['s3']" in oracles.settled(logs(s1={"s1": 11, "s2": 22, "s3": 33}))[1][0]
    assert oracles.false_deaths(logs(deaths=[(3.0, "s1", 11)])) == 1
    assert oracles.false_deaths(logs(deaths=[(3.0, "s1", 10)])) == 0  # that instance was dead
    assert oracles.false_deaths(logs(deaths=[(3.0, "s1", 11)], away=[(2.0, 4.0)])) == 0


@pytest.mark.parametrize(
    ("job_class", "killed", "retried"),
    [("book", True, False), ("book", False, True), ("quote", True, True)],
)
def test_keyed_job_that_a_killed_scheduler_may_have_accepted_is_not_retried(
    job_class: str, killed: bool, retried: bool
) -> None:
    """Guards against a job that runs in two zones: on a busy machine a scheduler was killed after it had read
    a request from a kept connection and forwarded it; the testbed sent the request to a second scheduler."""

    async def run() -> None:
        heads: list[int] = []

        async def serve(place: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0]))
                heads.append(place)
                if place == 0 and len(heads) > 1:
                    if killed:
                        places[0].accepts_clients, places[0].killed = False, places[0].starts
                    writer.close()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        def on(place: int) -> Any:
            return lambda reader, writer: serve(place, reader, writer)

        servers = [await asyncio.start_server(on(place), "127.0.0.1", 0) for place in range(2)]
        places = [
            SimpleNamespace(place=place, starts=1, accepts_clients=True, killed=0, real=("127.0.0.1", 0))
            for place in range(2)
        ]
        testbed = ScenarioRun.__new__(ScenarioRun)
        testbed.processes, testbed.targets, testbed._rng = SimpleNamespace(all=places), {}, random.Random(2)  # type: ignore
        testbed._clients = {
            place: HttpClients(server.sockets[0].getsockname()[1]) for place, server in enumerate(servers)
        }
        jobs = [ClientRequest(token, "http-v1", job_class, token, "t", 1.0, 1) for token in ("a", "b")]
        for job in jobs:
            await testbed._send_until_accepted(job, places[0])  # type: ignore[arg-type]
        assert heads[:2] == [0, 0] and (len(heads) > 2) == retried
        for clients in testbed._clients.values():
            clients.close()
        for server in servers:
            server.close()

    asyncio.run(run())
