"""The commands of the testbed: `pipitshed testbed`, also accepted as `pipitshed lab`."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.progress import Progress

from pipitshed.testbed import experiment as experiments
from pipitshed.testbed.accounts import broken
from pipitshed.testbed.up import up as run_up


@click.group()
def testbed() -> None:
    """A scheduler between stand-ins, to try things and to measure them."""


@testbed.command()
@click.option("--planners", default=6, show_default=True, type=click.IntRange(1, 200), help="How many.")
@click.option(
    "--interface",
    default="mixed",
    show_default=True,
    type=click.Choice(["1", "2", "mixed"]),
    help="What they speak.",
)
@click.option("--gearman/--no-gearman", default=False, help="Listen for Gearman clients and workers too.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Where HTTP clients connect.")
def up(planners: int, interface: str, gearman: bool, listen: str) -> None:
    """Start a scheduler, stand-in discovery and planners on loopback; a live table until Ctrl-C."""
    experiments.raise_descriptors()
    shape = experiments.FleetFile(planners=planners, interface=interface)  # type: ignore[arg-type]
    try:
        asyncio.run(run_up(shape, listen, "127.0.0.1:0" if gearman else "", Console()))
    except (OSError, RuntimeError) as error:
        click.echo(f"pipitshed: {error}", err=True)
        sys.exit(2)


@testbed.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--json", "out", type=click.Path(path_type=Path), help="Where the account goes.")
@click.option("--short", is_flag=True, help="As many requests as the file's `short-requests`.")
@click.option("--seed", type=int, help="Instead of the file's.")
@click.option("--seeds", default=20, show_default=True, help="For a file with arms: pairs of plays.")
@click.option("--jobs", default=3, show_default=True, help="For a file with arms: plays at a time.")
def run(file: Path, out: Path | None, short: bool, seed: int | None, seeds: int, jobs: int) -> None:
    """Play an experiment on loopback and give the exact account, or compare its arms; exit code 1 where a
    rule broke.
    """
    try:
        experiment = experiments.read(file.read_text())
    except experiments.ExperimentError as error:
        click.echo(f"pipitshed: {file}: {error}", err=True)
        sys.exit(2)
    experiments.raise_descriptors()
    requests = experiment.clients.short_requests if short else experiment.clients.requests
    if experiment.arms:
        from pipitshed.testbed.arms import compare  # it needs the solver, an extra of its own

        compared = compare(experiment, requests, seeds, jobs)
        text = json.dumps(compared, indent=1)
        if out is not None:
            out.write_text(text + "\n")
        click.echo(text)
        sys.exit(1 if compared["broken"] else 0)
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(experiment.name, total=requests)
        figures = asyncio.run(
            experiments.play(
                experiment,
                requests,
                experiment.seed if seed is None else seed,
                lambda done: progress.update(task, completed=done),
            )
        )
    text = json.dumps(figures, indent=1)
    if out is not None:
        out.write_text(text + "\n")
    click.echo(text)
    for fault in broken(figures):
        click.echo(f"pipitshed: broken: {fault}", err=True)
    sys.exit(1 if broken(figures) else 0)


@testbed.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--seed", default=1, show_default=True, help="Of the faults that the scenario draws.")
@click.option("--seeds", default=1, show_default=True, help="Plays, with this seed and the next ones.")
@click.option("--processes", type=click.IntRange(1, 60), help="Instead of the file's.")
@click.option("--report", type=click.Path(path_type=Path), help="Where the verdicts go, a JSON line a play.")
@click.option("--logs", type=click.Path(path_type=Path), help="A folder that keeps the logs of each play.")
@click.option("--shrink", default=0, show_default=True, help="Plays at most to find the smallest script.")
def fleet(
    file: Path,
    seed: int,
    seeds: int,
    processes: int | None,
    report: Path | None,
    logs: Path | None,
    shrink: int,
) -> None:
    """Play a scenario with several processes and faults between them; exit code 1 where an oracle says no,
    with the script that fails.
    """
    from pipitshed.testbed.fleet import play as rig
    from pipitshed.testbed.fleet.scenario import Fault, ScenarioError, drawn, drawn_puts, read, script

    try:
        scenario = read(file.read_text(), processes)
    except ScenarioError as error:
        click.echo(f"pipitshed: {file}: {error}", err=True)
        sys.exit(2)
    experiments.raise_descriptors()
    failed = 0
    for number in range(seed, seed + seeds):
        faults, puts = drawn(scenario, number), drawn_puts(scenario, number)
        verdict = uvloop.run(rig.play(scenario, faults, number, logs / str(number) if logs else None, puts))
        text = json.dumps(verdict)
        click.echo(text)
        if report is not None:
            with report.open("a") as out:
                out.write(text + "\n")
        if not verdict["wrong"]:
            continue
        failed += 1

        def fails(fewer: tuple[Fault, ...], number: int = number) -> bool:
            puts = drawn_puts(scenario, number)
            return bool(uvloop.run(rig.play(scenario, fewer, number, None, puts))["wrong"])

        least = rig.smallest(faults, fails, shrink) if shrink else faults
        click.echo(f"# it fails with seed {number}:\n{script(scenario, least, puts)}", err=True)
    sys.exit(1 if failed else 0)
