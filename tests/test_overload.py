"""The overload simulation: its scenario file, its workers, and that a seed gives the same figures again."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from loopback import ROOT

from pipitshed.cli.commands import main
from pipitshed.scheduling.events import Outcome
from pipitshed.testbed.overload.figures import Count, OverloadFigures
from pipitshed.testbed.overload.scenario import ClientsFile, WorkersFile, read
from pipitshed.testbed.overload.simulation import Simulation
from pipitshed.testbed.overload.worker import Worker, WorkerJob
from pipitshed.testbed.virtual_time import VirtualTime

SMALL_TEXT = """
name = "small"
workers = { count = 6, slots = 2, work-ms = 100.0 }
clients = { schedulers = 4, jobs-per-s = 15.0 }
load = { steps = [1.5], step-s = 2.0, first-rest-s = 4.0, rest-s = 4.0 }
"""
SMALL = read(SMALL_TEXT)
EXAMPLE = ROOT / "experiments" / "overload.toml"


@pytest.mark.parametrize(
    "text, expected",
    [
        ("name = ", "Invalid value"),
        ("", "missing required field `name`"),
        ('name = "a"\nworkres = {}', "unknown field `workres`"),
        ('name = "a"\nworkers = { count = "ten" }', "Expected `int`, got `str`"),
        ('name = "a"\nworkers = { count = 0 }', "workers.count must be 1 to 1000"),
        ('name = "a"\nworkers = { hung = 101 }', "workers.hung must be 0 to workers.count"),
        ('name = "a"\nworkers = { work-ms = nan }', "workers.work-ms must be more than 0"),
        ('name = "a"\nworkers = { queue = -1 }', "workers.queue must not be negative"),
        ('name = "a"\nclients = { schedulers = 1001 }', "clients.schedulers must be 1 to 1000"),
        ('name = "a"\nload = { steps = [] }', "load.steps must have factors of more than 0"),
        ('name = "a"\nload = { rest-s = inf }', "the scenario has over 1000000 jobs"),
        ('name = "a"\nclients = { jobs-per-s = 1e9 }', "the scenario has over 1000000 jobs"),
        ('name = "a"\nload = { rest-s = 4.2 }', "load.rest-s must be a multiple of 0.5"),
        ('name = "a"\nrules = { repeat = "often" }', "Invalid enum value 'often'"),
        ('name = "\xff"', "can't decode byte"),
    ],
)
def test_an_invalid_scenario_is_reported_in_one_line(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(text, encoding="latin-1")
    result = CliRunner().invoke(main, ["testbed", "overload", str(path)])
    assert result.exit_code == 2, result.output
    assert expected in result.output and result.output.count("\n") == 1


def test_the_command_prints_the_table_and_writes_the_figures(tmp_path: Path) -> None:
    path, out, plot = tmp_path / "scenario.toml", tmp_path / "figures.json", tmp_path / "plot.png"
    path.write_text(SMALL_TEXT)
    command = ["testbed", "overload", str(path), "--json", str(out), "--plot", str(plot)]
    result = CliRunner().invoke(main, command)
    assert result.exit_code == 0, result.output
    assert "load x 1.50:" in result.output and plot.stat().st_size > 0
    assert json.loads(out.read_text())["steps"][0]["factor"] == 1.5


def test_a_folder_that_is_missing_is_reported_in_one_line(tmp_path: Path) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(SMALL_TEXT)
    result = CliRunner().invoke(main, ["testbed", "overload", str(path), "--json", str(tmp_path / "a" / "b")])
    assert result.exit_code == 2 and "No such file" in result.output.splitlines()[-1]


def test_the_same_seed_gives_the_same_figures() -> None:
    first, again, other = (Simulation(SMALL, seed).run() for seed in (1, 1, 2))
    assert first == again != other


def test_jobs_are_neither_lost_nor_counted_twice() -> None:
    """At a light load each job is served, by one attempt."""
    light = msgspec.structs.replace(SMALL, clients=ClientsFile(schedulers=4, jobs_per_s=3.0))
    rows = [row for _, row in Simulation(light, 1).run().rows]
    totals = {count: sum(row[count] for row in rows) for count in Count}
    assert totals[Count.REFUSED] == totals[Count.CANCELLED_BEFORE_START] == 0
    assert totals[Count.SENT] == totals[Count.SUBMITTED]
    assert totals[Count.SUBMITTED] - 4 <= totals[Count.OK] <= totals[Count.SUBMITTED]


def test_the_example_is_valid() -> None:
    scenario = read(EXAMPLE.read_text())
    assert scenario.load_factor(9.9) == 1.0 and scenario.load_factor(10.0) == scenario.load.steps[0]


MANY_SCHEDULERS = """
name = "many schedulers"
workers = { count = 40, slots = 3, cancel-drops-queued = false }
clients = { schedulers = 80, jobs-per-s = 3.0 }
load = { steps = [%s], rest-s = 8.0 }
"""
SERVED_FRACTION = 0.9  # of what is offered, or of the capacity if that is less
MAX_RECOVERY_S = 2.0
MAX_CANCELLED_AT_REST = 0.02


def run_step(factor: float, seed: int) -> OverloadFigures:
    """A fleet at 0.6 of its capacity, with one step of the load; its workers run what is cancelled."""
    return Simulation(read(MANY_SCHEDULERS % factor), seed).run()


# Guards against a fleet that collapses a little above its usual load, and takes ten seconds to come back.
def test_a_burst_below_the_capacity_is_served() -> None:
    for seed in (1, 2, 3, 4):
        figures = run_step(1.25, seed)
        [step] = figures.steps
        assert step.goodput >= SERVED_FRACTION * 1.25 * figures.offered, seed
        assert step.recovery_s is not None and step.recovery_s <= MAX_RECOVERY_S, seed


def test_twice_the_capacity_leaves_the_capacity_in_use() -> None:
    for seed in (1, 2, 3):
        [step] = run_step(2.0 / 0.6, seed).steps
        assert step.goodput >= SERVED_FRACTION, seed
        assert step.recovery_s is not None and step.recovery_s <= MAX_RECOVERY_S, seed


def test_at_rest_few_attempts_are_cancelled_before_their_start() -> None:
    for seed in (1, 2, 3):
        assert run_step(1.0, seed).rest_cancelled < MAX_CANCELLED_AT_REST, seed


class WorkerRig:
    """A worker, and what it has reported of each job."""

    def __init__(self, file: WorkersFile) -> None:
        self.time = VirtualTime()
        self.wasted_count = 0
        self.worker = Worker(b"w1", file, self.time, self._wasted)
        self.started: list[str] = []
        self.ended: list[tuple[str, Outcome]] = []

    def _wasted(self) -> None:
        self.wasted_count += 1

    def submit(self, name: str) -> WorkerJob:
        job = WorkerJob(
            100.0, lambda: self.started.append(name), lambda outcome: self.ended.append((name, outcome))
        )
        self.worker.submit(job)
        return job


def test_a_worker_runs_its_queue_in_order_and_rejects_beyond_it() -> None:
    rig = WorkerRig(WorkersFile(slots=1, queue=1))
    for name in ("a", "b", "c"):
        rig.submit(name)
    rig.time.run(1000.0)
    assert rig.started == ["a", "b"]
    assert rig.ended == [("c", Outcome.REJECTED), ("a", Outcome.OK), ("b", Outcome.OK)]


@pytest.mark.parametrize("drops_queued, wasted_count", [(True, 0), (False, 1)])
def test_a_cancelled_job_that_waits_is_dropped_or_run_for_nothing(
    drops_queued: bool, wasted_count: int
) -> None:
    rig = WorkerRig(WorkersFile(slots=1, cancel_drops_queued=drops_queued))
    rig.submit("a")
    rig.worker.cancel(rig.submit("b"))
    rig.time.run(1000.0)
    assert rig.ended == [("a", Outcome.OK)] and rig.started == ["a"]
    assert rig.wasted_count == wasted_count


@pytest.mark.parametrize("stops_running, second_ends_at_ms", [(True, 150.0), (False, 200.0)])
def test_a_cancelled_job_that_runs_frees_its_slot_or_keeps_it(
    stops_running: bool, second_ends_at_ms: float
) -> None:
    rig = WorkerRig(WorkersFile(slots=1, cancel_stops_running=stops_running))
    running = rig.submit("a")
    rig.submit("b")
    rig.time.run(50.0)
    rig.worker.cancel(running)
    rig.time.run(second_ends_at_ms - 1)
    assert not rig.ended
    rig.time.run(second_ends_at_ms)
    assert rig.ended == [("b", Outcome.OK)]


def test_a_worker_accepts_connections_one_after_the_other_up_to_its_limit() -> None:
    worker = WorkerRig(WorkersFile(connections=2, handshake_ms=3.0)).worker
    assert [worker.connect() for _ in range(3)] == [3.0, 6.0, None]
    worker.disconnect()
    assert worker.connect() == 9.0


def test_a_hung_worker_starts_nothing() -> None:
    rig = WorkerRig(WorkersFile(slots=1, queue=1))
    rig.worker.is_hung = True
    rig.submit("a")
    rig.submit("b")
    rig.time.run(1000.0)
    assert not rig.started and rig.ended == [("b", Outcome.REJECTED)]
