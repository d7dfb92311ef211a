"""Compares the placement solver with exhaustive search on seeded fleets.

    python -m benchmarks.placement_proof [--fleets 2000] [--jobs 8]

Also checks that each reported conflict is minimal: without any one of its constraints the others can be met.
Fleets have 2 to 8 planners in one or two zones, one or two demand groups, and constraints that often cannot
all be met.
"""

from __future__ import annotations

import multiprocessing
import random
import time
from collections import Counter

import click

from pipitshed.placement.brute import MAX_PLANS, plan_count, search
from pipitshed.placement.model import Constraints, Demand, Fleet, Floor, Planner, groups
from pipitshed.placement.program import Solver
from pipitshed.placement.score import score
from pipitshed.placement.solve import build, solve

RELATIVE_TOLERANCE = 1e-6


def random_fleet(seed: int) -> Fleet:
    """One fleet; a larger one has fewer units per group, so that all plans can be enumerated."""
    rng = random.Random(seed)
    size = rng.randint(2, 8)
    near_equal_speeds = rng.random() < 0.15
    speed_choices = [1.0, 1.0 + 1e-6] if near_equal_speeds else [0.6, 1.0, 1.0, 1.6]
    speeds = [rng.choice(speed_choices) for _ in range(size)]
    planners = tuple(
        Planner(
            f"p{place}",
            rng.choice("ab"),
            "m",
            4.0,
            speeds[place],
            rng.choice([3.0, 8.0, 8.0]),
            rng.choice([2.0, 8.0, 100.0]),
            rng.choice([0.8, 1.0]),
            rng.random() < 0.04,
            rng.choice([0.0, 0.25, 0.5]) if rng.random() < 0.05 else None,
        )
        for place in range(size)
    )
    planners = tuple(Planner(one.id, one.zone) if one.excluded and one.pinned else one for one in planners)
    total = sum(one.cores * one.speed for one in planners)
    classes = rng.choice([1, 1, 1, 2])
    demand = []
    for number in range(classes):
        work = rng.uniform(0.2, 1.5)
        demand.append(
            Demand(
                f"c{number}",
                rng.uniform(0.05, 0.7) * total / work / classes,
                work,
                rng.choice(["x", "y"]),
                float(rng.choice([1, 1, 2, 4])),
                rng.choice([0.0, 0.2, 0.6]),
                rng.uniform(0.3, 2.0),
                rng.choice("ab"),
            )
        )
    zones = {one.zone for one in planners}
    demand = [
        one
        if one.zone in zones
        else Demand(
            one.job_class, one.rate, one.work, one.tenant, one.slots, one.memory, one.wait, min(zones)
        )
        for one in demand
    ]
    floors = (Floor("x", rng.choice([0.2, 0.5])),) if rng.random() < 0.2 else ()
    units = 8
    while plan_count(units, size, classes) > MAX_PLANS // 40:
        units -= 1
    return Fleet(
        planners,
        (),
        tuple(demand),
        Constraints(rng.choice(["none", "none", "zone"]), rng.choice([1.0, 1.0, 0.6]), floors),
        max(1, units),
    )


def check_fleet(seed: int) -> tuple[str, str]:
    """Return `equal`, `conflict`, `empty` (no demand) or `fault`, and for a fault its description."""
    fleet = random_fleet(seed)
    if not groups(fleet):
        return "empty", ""
    plan_in_force = None
    if seed % 3 == 0:
        # A plan in force that assigns every group to the first planner.
        name = min(planner.id for planner in fleet.planners)
        plan_in_force = {group.name: {name: fleet.units} for group in groups(fleet)}
    solution, optimum = solve(fleet, plan_in_force, whole=True), search(fleet, plan_in_force)
    if (optimum is None) != bool(solution.conflict):
        return "fault", f"seed {seed}: feasible {optimum is not None}, conflict {solution.conflict}"
    if optimum is None:
        return _check_minimal_conflict(seed, fleet, list(solution.conflict), solution.relaxed)
    evaluation = score(fleet, solution.parts or {}, solution.units, plan_in_force)
    if evaluation.violations:
        return "fault", f"seed {seed}: broken {evaluation.violations}"
    for ours, theirs in zip(evaluation.vector(), optimum[1].vector(), strict=True):
        if abs(ours - theirs) > RELATIVE_TOLERANCE * max(1.0, abs(theirs)):
            return "fault", f"seed {seed}: {evaluation.vector()} against {optimum[1].vector()}"
    return "equal", ""


def _check_minimal_conflict(
    seed: int, fleet: Fleet, conflict: list[str], relaxed: dict[str, float]
) -> tuple[str, str]:
    program = build(fleet, whole=True).program
    names = set(program.names())
    if Solver(program, names - set(conflict)).feasible():
        return "fault", f"seed {seed}: {conflict} can be met together"
    for name in conflict:
        if not Solver(program, names - set(conflict) | {name}).feasible():
            return "fault", f"seed {seed}: {name} is not needed in the conflict {conflict}"
    return ("conflict", "") if relaxed else ("fault", f"seed {seed}: no relaxation for {conflict}")


@click.command()
@click.option("--fleets", default=2000, show_default=True)
@click.option("--first", default=0, show_default=True, help="Seed of the first fleet.")
@click.option("--jobs", default=8, show_default=True)
def main(fleets: int, first: int, jobs: int) -> None:
    """Check the fleets; the exit code is 1 if any has a fault."""
    started_at = time.perf_counter()
    with multiprocessing.Pool(jobs) as pool:
        results = pool.map(check_fleet, range(first, first + fleets), chunksize=8)
    for verdict, description in results:
        if verdict == "fault":
            click.echo(description, err=True)
    counts = Counter(verdict for verdict, _ in results)
    click.echo(
        f"{fleets} fleets in {time.perf_counter() - started_at:.0f} s: "
        + ", ".join(f"{name} {number}" for name, number in sorted(counts.items()))
    )
    raise SystemExit(1 if counts["fault"] else 0)


if __name__ == "__main__":
    main()
