"""`pipitshed testbed`, also accepted as `pipitshed lab`: runs of a scheduler between stand-ins."""

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

EXIT_BROKEN = 1  # a rule broke, or an oracle failed
MAX_PLANNERS = 200
MAX_PROCESSES = 60
ANY_LOOPBACK_PORT = "127.0.0.1:0"
# The texts of `--help`, apart from the doc comments.
RUN_HELP = (
    "Play an experiment on loopback and give the exact account, or compare its arms; exit code 1 where a "
    "rule broke."
)
FLEET_HELP = (
    "Play a scenario with several processes and faults between them; exit code 1 where an oracle says no, "
    "with the script that fails."
)


@click.group()
def testbed() -> None:
    """A scheduler between stand-ins, to try things and to measure them."""


@testbed.command()
@click.option(
    "--planners",
    "worker_count",
    default=6,
    show_default=True,
    type=click.IntRange(1, MAX_PLANNERS),
    help="How many.",
)
@click.option(
    "--interface",
    default="mixed",
    show_default=True,
    type=click.Choice(["1", "2", "mixed"]),
    help="What they speak.",
)
@click.option("--gearman/--no-gearman", default=False, help="Listen for Gearman clients and workers too.")
@click.option("--listen", default=ANY_LOOPBACK_PORT, show_default=True, help="Where HTTP clients connect.")
def up(worker_count: int, interface: str, gearman: bool, listen: str) -> None:
    """Start a scheduler, stand-in discovery and planners on loopback; a live table until Ctrl-C."""
    experiments.raise_descriptor_limit()
    shape = experiments.FleetFile(planners=worker_count, interface=interface)  # type: ignore[arg-type]
    try:
        asyncio.run(run_up(shape, listen, ANY_LOOPBACK_PORT if gearman else "", Console()))
    except (OSError, RuntimeError) as error:
        fail(error)


@testbed.command(help=RUN_HELP)
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--json", "out", type=click.Path(path_type=Path), help="Where the account goes.")
@click.option("--short", is_flag=True, help="As many requests as the file's `short-requests`.")
@click.option("--seed", type=int, help="Instead of the file's.")
@click.option(
    "--seeds", "seed_count", default=20, show_default=True, help="For a file with arms: pairs of plays."
)
@click.option("--jobs", default=3, show_default=True, help="For a file with arms: plays at a time.")
def run(file: Path, out: Path | None, short: bool, seed: int | None, seed_count: int, jobs: int) -> None:
    """Run an experiment, or compare its variants."""
    try:
        experiment = experiments.read(file.read_text())
    except experiments.ExperimentError as error:
        fail(f"{file}: {error}")
    experiments.raise_descriptor_limit()
    request_count = experiment.clients.short_requests if short else experiment.clients.requests
    if experiment.arms:
        from pipitshed.testbed.arms import compare  # it needs the solver, an extra of its own

        compared = compare(experiment, request_count, seed_count, jobs)
        _write_json(compared, out)
        sys.exit(EXIT_BROKEN if compared["broken"] else 0)
    figures = _run_once(experiment, request_count, experiment.seed if seed is None else seed)
    _write_json(figures, out)
    for rule in broken_rules(figures):
        click.echo(f"pipitshed: broken: {rule}", err=True)
    sys.exit(EXIT_BROKEN if broken_rules(figures) else 0)


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
    """Print figures, and write them to a file where one is given."""
    text = json.dumps(figures, indent=1)
    if out is not None:
        out.write_text(text + "\n")
    click.echo(text)


@testbed.command(help=FLEET_HELP)
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--seed", "first_seed", default=1, show_default=True, help="Of the faults that the scenario draws."
)
@click.option(
    "--seeds", "seed_count", default=1, show_default=True, help="Plays, with this seed and the next ones."
)
@click.option(
    "--processes",
    "process_count",
    type=click.IntRange(1, MAX_PROCESSES),
    help="Instead of the file's.",
)
@click.option("--report", type=click.Path(path_type=Path), help="Where the verdicts go, a JSON line a play.")
@click.option("--logs", type=click.Path(path_type=Path), help="A folder that keeps the logs of each play.")
@click.option(
    "--shrink",
    "max_shrink_runs",
    default=0,
    show_default=True,
    help="Plays at most to find the smallest script.",
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
    """Run a scenario with several processes, once for each seed."""
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
            click.echo(f"# it fails with seed {seed}:\n{script}", err=True)
    sys.exit(EXIT_BROKEN if failed_count else 0)


def _report_verdict(verdict: dict[str, Any], report: Path | None) -> None:
    """Print a verdict, and append it to the report where one is given."""
    text = json.dumps(verdict)
    click.echo(text)
    if report is not None:
        with report.open("a") as out:
            out.write(text + "\n")


@dataclass(frozen=True)
class _ScenarioRun:
    """A scenario with the faults and settings changes that one seed draws."""

    scenario: Scenario
    seed: int
    faults: tuple[Fault, ...]
    puts: tuple[SettingChange, ...]

    @classmethod
    def draw(cls, scenario: Scenario, seed: int) -> _ScenarioRun:
        from pipitshed.testbed.fleet.scenario import draw_faults, draw_setting_changes

        return cls(scenario, seed, draw_faults(scenario, seed), draw_setting_changes(scenario, seed))

    def run(self, faults: tuple[Fault, ...], logs: Path | None = None) -> dict[str, Any]:
        """Run it with these faults, and return the verdict."""
        from pipitshed.testbed.fleet.scenario_run import run_scenario

        return uvloop.run(run_scenario(self.scenario, faults, self.seed, logs, self.puts))

    def failing_script(self, max_shrink_runs: int) -> str:
        """The script of the run, with the fewest faults that still fail."""
        from pipitshed.testbed.fleet.scenario import scenario_text
        from pipitshed.testbed.fleet.scenario_run import shrink_faults

        faults = self.faults
        if max_shrink_runs:
            faults = shrink_faults(faults, lambda fewer: bool(self.run(fewer)["wrong"]), max_shrink_runs)
        return scenario_text(self.scenario, faults, self.puts)
