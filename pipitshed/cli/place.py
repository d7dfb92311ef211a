"""The commands that make and judge plans."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec

from pipitshed.placement import plan as plans
from pipitshed.placement.explain import explain as explained
from pipitshed.placement.learn import learn as learnt
from pipitshed.placement.model import Fleet, FleetError, read
from pipitshed.placement.plan import Place, Plan, PlanError
from pipitshed.placement.score import capacity, score
from pipitshed.placement.solve import GOALS, solve

file_argument = click.Path(path_type=Path, exists=True, dir_okay=False)


def _end(text: object) -> None:
    click.echo(f"pipitshed: {text}", err=True)
    sys.exit(2)


def _fleet(path: Path) -> Fleet:
    try:
        return read(path.read_text())
    except FleetError as error:
        _end("\n".join(f"{path}: {line}" for line in str(error).splitlines()))
        raise


def _plan(path: Path) -> Plan:
    try:
        return plans.read(path.read_bytes())
    except PlanError as error:
        _end(f"{path}: {error}")
        raise


@click.group()
def place() -> None:
    """Plans: which part of each zone's jobs goes to each planner."""


@place.command("solve")
@click.argument("file", type=file_argument)
@click.option("-o", "--out", type=click.Path(path_type=Path, dir_okay=False), required=True)
@click.option("--before", type=file_argument, help="The plan in force: no more is moved than must be.")
def solve_command(file: Path, out: Path, before: Path | None) -> None:
    """Solve the fleet in FILE. Exit code 1 where the constraints can't all be met: the conflict is named, and
    the plan that oversteps least is written, marked so.
    """
    fleet = _fleet(file)
    held = _plan(before) if before is not None else None
    begun = time.perf_counter()
    answer = solve(fleet, held.parts if held is not None else None)
    took = time.perf_counter() - begun
    for name, short in answer.conflict.items():
        click.echo(f"in conflict: {name}: short of {short}", err=True)
    if answer.parts is None:
        _end(f"{file}: no plan, not even with constraints overstepped")
    assert answer.parts is not None
    judged = score(fleet, answer.parts, answer.units, held.parts if held is not None else None)
    made = Plan(
        plans.FORMAT,
        held.number + 1 if held is not None else 1,
        time.time(),
        fleet.life_s,
        answer.units,
        {one.id: Place(one.zone, one.model, capacity(one)) for one in fleet.planners},
        answer.parts,
        dict(zip(GOALS, judged.vector(), strict=True)),
        answer.exact,
        max(0.0, judged.worst - answer.goals[0]) if answer.goals else 0.0,
        answer.relaxed,
    )
    out.write_bytes(plans.write(made))
    goals = ", ".join(f"{name} {value:.4g}" for name, value in made.goals.items())
    click.echo(
        f"{out}: number {made.number}, {'exact' if made.exact else f'gap {made.gap:.2g}'}, {goals}, "
        f"{took * 1000:.0f} ms" + (", RELAXED" if answer.relaxed else "")
    )
    sys.exit(1 if answer.conflict else 0)


@place.command("explain")
@click.argument("fleet", type=file_argument)
@click.option("--planner", help="Only this one.")
@click.option("--most", default=12, show_default=True, help="Rows.")
def explain_command(fleet: Path, planner: str | None, most: int) -> None:
    """Which resource binds in FLEET, and what one more core, slot or unit of memory there would be worth."""
    rows = explained(_fleet(fleet))
    if not rows:
        _end("the constraints can't all be met: `place solve` names the conflict")
    click.echo(f"{'planner':<20} {'resource':<8} {'use':>7}  worst use falls, by one more")
    for row in [one for one in rows if planner in (None, one.planner)][:most]:
        worth = f"{row.one_more:.5f}" if row.binds else "-"
        click.echo(f"{row.planner:<20} {row.resource:<8} {row.use:>7.3f}  {worth}")


@place.command("diff")
@click.argument("a", type=file_argument)
@click.argument("b", type=file_argument)
def diff_command(a: Path, b: Path) -> None:
    """What moves between two plans, the most first."""
    old, new = _plan(a), _plan(b)
    rows = []
    for group in sorted(old.parts.keys() | new.parts.keys()):
        was, now = old.parts.get(group, {}), new.parts.get(group, {})
        for name in was.keys() | now.keys():
            moved = now.get(name, 0) / new.units - was.get(name, 0) / old.units
            if abs(moved) > 1e-12:
                rows.append((abs(moved), group, name, moved))
    for _, group, name, moved in sorted(rows, key=lambda row: (-row[0], row[1:3])):
        click.echo(f"{group:<24} {name:<20} {moved:+8.2%}")
    click.echo(f"{sum(row[0] for row in rows) / 2:.2%} of a group's jobs move, summed over groups")


@place.command("check")
@click.argument("plan", type=file_argument)
@click.option("--fleet", type=file_argument, required=True)
def check_command(plan: Path, fleet: Path) -> None:
    """Judge any plan against a fleet. Exit code 1 where it breaks a constraint."""
    told, held = _fleet(fleet), _plan(plan)
    judged = score(told, held.parts, held.units)
    for name, value in zip(GOALS, judged.vector(), strict=True):
        click.echo(f"{name:<12} {value:.6g}")
    for name, over in sorted(judged.broken.items()):
        click.echo(f"broken: {name}, by {over:.4g}")
    sys.exit(1 if judged.broken else 0)


@place.command("learn")
@click.argument("logs", type=file_argument, nargs=-1, required=True)
def learn_command(logs: tuple[Path, ...]) -> None:
    """Estimate speeds and demand from the program's log lines of settled exchanges (JSON lines)."""
    found = learnt(line for path in logs for line in path.read_bytes().splitlines())
    click.echo(msgspec.json.format(msgspec.json.encode(found), indent=1).decode())
