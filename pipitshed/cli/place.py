"""`pipitshed place`: commands that make and check placement plans."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from pipitshed.cli.options import fail
from pipitshed.placement import plan as plans
from pipitshed.placement.explain import explain as explain_resources
from pipitshed.placement.learn import learn as learn_from_lines
from pipitshed.placement.model import Fleet, FleetError, read
from pipitshed.placement.plan import Plan, PlanError, PlannerEntry
from pipitshed.placement.score import capacity, score
from pipitshed.placement.solve import GOALS, SolveResult, solve

EXIT_CONSTRAINT_BROKEN = 1
MIN_SHOWN_FRACTION = 1e-12  # smaller differences between fractions are rounding errors
MS_PER_S = 1000
# The text of `--help`; the docstring of the function is for its readers.
SOLVE_HELP = (
    "Compute the placement plan of the fleet in FILE. Exit code 1: not all constraints can be met; the "
    "conflict is printed, and the plan with the least violation is written, marked as relaxed."
)

file_argument = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.group()
def place() -> None:
    """Make and check placement plans: the share of each zone's jobs that each planner gets."""


@place.command("solve", help=SOLVE_HELP)
@click.argument("file", type=file_argument)
@click.option("-o", "--out", type=click.Path(path_type=Path, dir_okay=False), required=True)
@click.option(
    "--before", type=file_argument, help="The plan in force; as little as possible is moved from it."
)
def solve_command(file: Path, out: Path, before: Path | None) -> None:
    """Compute the placement plan of the fleet in a file, and write it."""
    fleet = _read_fleet(file)
    current = _read_plan(before) if before is not None else None
    started_at = time.perf_counter()
    answer = solve(fleet, current.parts if current is not None else None)
    duration_ms = (time.perf_counter() - started_at) * MS_PER_S
    for name, shortfall in answer.conflict.items():
        click.echo(f"in conflict: {name}: short of {shortfall}", err=True)
    if answer.parts is None:
        fail(f"{file}: no plan found, even with relaxed constraints")
    plan = _make_plan(fleet, answer, answer.parts, current)
    out.write_bytes(plans.write(plan))
    goals = ", ".join(f"{name} {value:.4g}" for name, value in plan.goals.items())
    exactness = "exact" if plan.exact else f"gap {plan.gap:.2g}"
    relaxed = ", RELAXED" if answer.relaxed else ""
    click.echo(f"{out}: number {plan.number}, {exactness}, {goals}, {duration_ms:.0f} ms{relaxed}")
    sys.exit(EXIT_CONSTRAINT_BROKEN if answer.conflict else 0)


@place.command("explain")
@click.argument("fleet", type=file_argument)
@click.option("--planner", help="Show only this planner.")
@click.option("--most", "max_rows", default=12, show_default=True, help="Maximum number of rows.")
def explain_command(fleet: Path, planner: str | None, max_rows: int) -> None:
    """Show which resource limits each planner in FLEET, and the gain from one more unit of it."""
    rows = explain_resources(_read_fleet(fleet))
    if not rows:
        fail("not all constraints can be met; `place solve` prints the conflict")
    click.echo(f"{'planner':<20} {'resource':<8} {'use':>7}  fall of the worst use with one more")
    for row in [row for row in rows if planner in (None, row.planner)][:max_rows]:
        gain = f"{row.gain_per_unit:.5f}" if row.binds else "-"
        click.echo(f"{row.planner:<20} {row.resource:<8} {row.use:>7.3f}  {gain}")


@place.command("diff")
@click.argument("a", type=file_argument)
@click.argument("b", type=file_argument)
def diff_command(a: Path, b: Path) -> None:
    """Show the jobs that move from plan A to plan B, the largest moves first."""
    moves = _moves(_read_plan(a), _read_plan(b))
    for move in sorted(moves, key=lambda move: (-abs(move.fraction), move.group, move.worker)):
        click.echo(f"{move.group:<24} {move.worker:<20} {move.fraction:+8.2%}")
    total = (
        sum(abs(move.fraction) for move in moves) / 2
    )  # each move counts at the worker that loses jobs and at the one that gains them
    click.echo(f"{total:.2%} of a group's jobs move, summed over all groups")


@place.command("check")
@click.argument("plan", type=file_argument)
@click.option("--fleet", type=file_argument, required=True)
def check_command(plan: Path, fleet: Path) -> None:
    """Check a plan against a fleet. Exit code 1: it violates a constraint."""
    model, checked = _read_fleet(fleet), _read_plan(plan)
    result = score(model, checked.parts, checked.units)
    for name, value in zip(GOALS, result.vector(), strict=True):
        click.echo(f"{name:<12} {value:.6g}")
    for name, excess in sorted(result.violations.items()):
        click.echo(f"violated: {name}, by {excess:.4g}")
    sys.exit(EXIT_CONSTRAINT_BROKEN if result.violations else 0)


@place.command("learn")
@click.argument("logs", type=file_argument, nargs=-1, required=True)
def learn_command(logs: tuple[Path, ...]) -> None:
    """Estimate speeds and demand from the log lines of finished attempts (JSON lines)."""
    estimates = learn_from_lines(line for path in logs for line in path.read_bytes().splitlines())
    click.echo(msgspec.json.format(msgspec.json.encode(estimates), indent=1).decode())


def _read_fleet(path: Path) -> Fleet:
    try:
        return read(path.read_text())
    except FleetError as error:
        fail("\n".join(f"{path}: {line}" for line in str(error).splitlines()))


def _read_plan(path: Path) -> Plan:
    try:
        return plans.read(path.read_bytes())
    except PlanError as error:
        fail(f"{path}: {error}")


def _make_plan(
    fleet: Fleet, answer: SolveResult, parts: dict[str, dict[str, int]], current: Plan | None
) -> Plan:
    """Make the plan of the solver's answer, with the number after that of the current plan."""
    result = score(fleet, parts, answer.units, current.parts if current is not None else None)
    return Plan(
        plans.FORMAT,
        current.number + 1 if current is not None else 1,
        time.time(),
        fleet.life_s,
        answer.units,
        {worker.id: PlannerEntry(worker.zone, worker.model, capacity(worker)) for worker in fleet.planners},
        parts,
        dict(zip(GOALS, result.vector(), strict=True)),
        answer.exact,
        max(0.0, result.worst_use - answer.goals[0]) if answer.goals else 0.0,
        answer.relaxed,
    )


@dataclass(frozen=True, slots=True)
class _Move:
    """The change of a worker's fraction of a group's jobs, from one plan to another."""

    group: str
    worker: str
    fraction: float


def _moves(old: Plan, new: Plan) -> list[_Move]:
    moves = []
    for group in sorted(old.parts.keys() | new.parts.keys()):
        before, after = old.parts.get(group, {}), new.parts.get(group, {})
        for worker in before.keys() | after.keys():
            fraction = after.get(worker, 0) / new.units - before.get(worker, 0) / old.units
            if abs(fraction) > MIN_SHOWN_FRACTION:
                moves.append(_Move(group, worker, fraction))
    return moves
