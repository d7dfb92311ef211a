"""`pipitshed testbed`, formerly `pipitshed lab`: runs schedulers with simulated clients and planners."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import uvloop
from rich.console import Console
from rich.progress import Progress

from pipitshed.cli.options import fail
from pipitshed.testbed import experiment as experiments
from pipitshed.testbed.accounts import broken_rules
from pipitshed.testbed.up import up as run_up

if TYPE_CHECKING:
    from pipitshed.testbed.fleet.scenario import Fault, Scenario, SettingChange

EXIT_CHECK_FAILED = 1  # a run violated a rule or failed an oracle
MAX_PLANNERS = 200
MAX_PROCESSES = 60
ANY_LOOPBACK_PORT = "127.0.0.1:0"
# The texts of `--help`; the docstrings of the functions are for their readers.
RUN_HELP = (
    "Run an experiment on loopback and print its results as JSON, or compare its arms. Exit code 1: a rule "
    "was violated."
)
FLEET_HELP = (
    "Run a scenario with several scheduler processes and faults between them. Exit code 1: an oracle failed; "
    "the failing script is printed."
)
OVERLOAD_HELP = (
    "Simulate steps of load on a fleet in virtual time, and print what was served over time. Each scheduler "
    "makes its real decisions; workers, clients and the network are simulated."
)


@click.group()
def testbed() -> None:
    """Run schedulers with simulated clients, discovery and planners, for trials and measurements."""


@testbed.command()
@click.option(
    "--planners",
    "worker_count",
    default=6,
    show_default=True,
    type=click.IntRange(1, MAX_PLANNERS),
    help="Number of planners.",
)
@click.option(
    "--interface",
    default="mixed",
    show_default=True,
    type=click.Choice(["1", "2", "mixed"]),
    help="The interface of the planners.",
)
@click.option("--gearman/--no-gearman", default=False, help="Also listen for Gearman clients and workers.")
@click.option("--listen", default=ANY_LOOPBACK_PORT, show_default=True, help="The address for HTTP clients.")
def up(worker_count: int, interface: str, gearman: bool, listen: str) -> None:
    """Start a scheduler with simulated discovery and planners on loopback; show a live table until Ctrl-C."""
    experiments.raise_descriptor_limit()
    shape = experiments.FleetFile(planners=worker_count, interface=interface)  # type: ignore[arg-type]
    try:
        asyncio.run(run_up(shape, listen, ANY_LOOPBACK_PORT if gearman else "", Console()))
    except (OSError, RuntimeError) as error:
        fail(error)


@testbed.command(help=RUN_HELP)
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--json", "out", type=click.Path(path_type=Path), help="The file for the results.")
@click.option("--short", is_flag=True, help="Send the file's `short-requests` instead of `requests`.")
@click.option("--seed", type=int, help="Overrides the file's seed.")
@click.option(
    "--seeds",
    "seed_count",
    default=20,
    show_default=True,
    help="For a file with arms: number of paired runs.",
)
@click.option("--jobs", default=3, show_default=True, help="For a file with arms: number of parallel runs.")
def run(file: Path, out: Path | None, short: bool, seed: int | None, seed_count: int, jobs: int) -> None:
    """Run an experiment, or compare its variants."""
    try:
        experiment = experiments.read(file.read_text())
    except experiments.ExperimentError as error:
        fail(f"{file}: {error}")
    experiments.raise_descriptor_limit()
    request_count = experiment.clients.short_requests if short else experiment.clients.requests
    if experiment.arms:
        from pipitshed.testbed.arms import compare  # needs the solver, which is in another extra

        compared = compare(experiment, request_count, seed_count, jobs)
        _write_json(compared, out)
        sys.exit(EXIT_CHECK_FAILED if compared["broken"] else 0)
    figures = _run_once(experiment, request_count, experiment.seed if seed is None else seed)
    _write_json(figures, out)
    for rule in broken_rules(figures):
        click.echo(f"pipitshed: violated rule: {rule}", err=True)
    sys.exit(EXIT_CHECK_FAILED if broken_rules(figures) else 0)


def _run_once(experiment: experiments.Experiment, request_count: int, seed: int) -> dict[str, object]:
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(experiment.name, total=request_count)
        return asyncio.run(
            experiments.run_experiment(
                experiment,
                request_count,
                seed,
                lambda done_count: progress.update(task, completed=done_count),
            )
        )


def _write_json(figures: Any, out: Path | None) -> None:
    """Print figures as JSON, and also write them to `out` where it is given."""
    text = json.dumps(figures, indent=1)
    if out is not None:
        out.write_text(text + "\n")
    click.echo(text)


@testbed.command(help=FLEET_HELP)
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--seed",
    "first_seed",
    default=1,
    show_default=True,
    help="The seed for the random faults of the scenario.",
)
@click.option(
    "--seeds",
    "seed_count",
    default=1,
    show_default=True,
    help="Number of runs, with this seed and the following ones.",
)
@click.option(
    "--processes",
    "process_count",
    type=click.IntRange(1, MAX_PROCESSES),
    help="Overrides the file's number of processes.",
)
@click.option(
    "--report", type=click.Path(path_type=Path), help="The file for the verdicts, one JSON line for each run."
)
@click.option("--logs", type=click.Path(path_type=Path), help="The folder for the logs of each run.")
@click.option(
    "--shrink",
    "max_shrink_runs",
    default=0,
    show_default=True,
    help="Maximum number of extra runs to find the smallest failing script.",
)
def fleet(
    file: Path,
    first_seed: int,
    seed_count: int,
    process_count: int | None,
    report: Path | None,
    logs: Path | None,
    max_shrink_runs: int,
) -> None:
    """Run a scenario with several scheduler processes, once for each seed."""
    from pipitshed.testbed.fleet.scenario import ScenarioError, read

    try:
        scenario = read(file.read_text(), process_count)
    except ScenarioError as error:
        fail(f"{file}: {error}")
    experiments.raise_descriptor_limit()
    failed_count = 0
    for seed in range(first_seed, first_seed + seed_count):
        scenario_run = _ScenarioRun.draw(scenario, seed)
        verdict = scenario_run.run(scenario_run.faults, logs / str(seed) if logs else None)
        _report_verdict(verdict, report)
        if verdict["wrong"]:
            failed_count += 1
            script = scenario_run.failing_script(max_shrink_runs)
            click.echo(f"# the scenario fails with seed {seed}:\n{script}", err=True)
    sys.exit(EXIT_CHECK_FAILED if failed_count else 0)


def _report_verdict(verdict: dict[str, Any], report: Path | None) -> None:
    """Print a verdict as JSON, and also append it to `report` where it is given."""
    text = json.dumps(verdict)
    click.echo(text)
    if report is not None:
        with report.open("a") as out:
            out.write(text + "\n")


@dataclass(frozen=True)
class _ScenarioRun:
    """A scenario with the random faults and settings changes of one seed."""

    scenario: Scenario
    seed: int
    faults: tuple[Fault, ...]
    puts: tuple[SettingChange, ...]

    @classmethod
    def draw(cls, scenario: Scenario, seed: int) -> _ScenarioRun:
        from pipitshed.testbed.fleet.scenario import draw_faults, draw_setting_changes

        return cls(scenario, seed, draw_faults(scenario, seed), draw_setting_changes(scenario, seed))

    def run(self, faults: tuple[Fault, ...], logs: Path | None = None) -> dict[str, Any]:
        """Run the scenario with these faults, and return the verdict."""
        from pipitshed.testbed.fleet.scenario_run import run_scenario

        return uvloop.run(run_scenario(self.scenario, faults, self.seed, logs, self.puts))

    def failing_script(self, max_shrink_runs: int) -> str:
        """Return the script of the run, with the faults reduced as far as `max_shrink_runs` allow."""
        from pipitshed.testbed.fleet.scenario import scenario_text
        from pipitshed.testbed.fleet.scenario_run import shrink_faults

        faults = self.faults
        if max_shrink_runs:
            faults = shrink_faults(faults, lambda fewer: bool(self.run(fewer)["wrong"]), max_shrink_runs)
        return scenario_text(self.scenario, faults, self.puts)


@testbed.command(help=OVERLOAD_HELP)
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--seed", type=int, help="Overrides the file's seed.")
@click.option("--json", "out", type=click.Path(path_type=Path), help="The file for the figures.")
@click.option("--plot", type=click.Path(path_type=Path), help="The image file for a plot over time.")
def overload(file: Path, seed: int | None, out: Path | None, plot: Path | None) -> None:
    """Run an overload scenario, and print its table."""
    from pipitshed.testbed.overload.plot import draw
    from pipitshed.testbed.overload.scenario import ScenarioError, read
    from pipitshed.testbed.overload.simulation import Simulation

    try:
        scenario = read(file.read_text())
    except (ScenarioError, UnicodeDecodeError) as error:
        fail(f"{file}: {error}")
    figures = Simulation(scenario, scenario.seed if seed is None else seed).run()
    click.echo(figures.table())
    try:
        if out is not None:
            out.write_text(json.dumps(figures.to_json(), indent=1) + "\n")
        if plot is not None:
            draw(scenario, figures, plot)
    except (ImportError, OSError, ValueError) as error:
        fail(error)
