"""Time, memory and optimality gap of the placement solver by fleet size, as a table and a plot.

    python -m benchmarks.placement_scale [--most 10000] [--plot scale.png] [--json OUT]

Each size is solved in a process of its own, so that the peak memory is that of this size. `cold` is a first
solve; `again` is a solve from its plan and basis after one planner has become slower by a fifth.
"""

from __future__ import annotations

import json
import multiprocessing
import random
import resource
import time
from pathlib import Path
from typing import Any

import click

from pipitshed.placement.model import Constraints, Demand, Fleet, Planner, Schedulers
from pipitshed.placement.score import score
from pipitshed.placement.solve import reduce_fleet, solve

SIZES = [(12, 2), (100, 2), (100, 8), (1000, 8), (1000, 40), (10_000, 8), (10_000, 40)]
SPEEDS = {"fast": (1.4, 1.8), "standard": (0.85, 1.1), "slow": (0.51, 0.69)}


def fleet(planners: int, zones: int, seed: int = 1) -> Fleet:
    """A fleet of three machine models with a speed per planner; demand is 0.6 of the capacity."""
    rng = random.Random(seed)
    planner_list = []
    for number in range(planners):
        model = rng.choices(list(SPEEDS), (0.39, 0.28, 0.33))[0]
        planner_list.append(
            Planner(
                f"p{number:05d}",
                f"z{number % zones:02d}",
                model,
                4.0,
                round(rng.uniform(*SPEEDS[model]), 2),
                8.0,
                8.0,
            )
        )
    total = sum(planner.cores * planner.speed for planner in planner_list)
    demand = (
        Demand("quote", 0.25 * total / 0.3, 0.3, "x", memory=0.4, wait=0.25),
        Demand("book", 0.35 * total / 1.2, 1.2, "y", 1.5, memory=0.8, wait=1.0),
    )
    schedulers = tuple(Schedulers(f"z{zone:02d}", rng.randint(1, 4)) for zone in range(zones))
    return Fleet(tuple(planner_list), schedulers, demand, Constraints(), 1000)


def measure(size: tuple[int, int]) -> dict[str, Any]:
    base_fleet = fleet(*size)
    started_at = time.perf_counter()
    cold_solution = solve(base_fleet)
    cold_s = time.perf_counter() - started_at
    changed_planner = base_fleet.planners[len(base_fleet.planners) // 2]
    slower = Planner(
        changed_planner.id,
        changed_planner.zone,
        changed_planner.model,
        changed_planner.cores,
        changed_planner.speed * 0.8,
        changed_planner.slots,
        changed_planner.memory,
    )
    planners = tuple(slower if planner is changed_planner else planner for planner in base_fleet.planners)
    changed = Fleet(
        planners, base_fleet.schedulers, base_fleet.demand, base_fleet.constraints, base_fleet.units
    )
    started_at = time.perf_counter()
    again_solution = solve(changed, cold_solution.parts, cold_solution.basis)
    again_s = time.perf_counter() - started_at
    evaluation = score(base_fleet, cold_solution.parts or {}, cold_solution.units)
    problem_shape = reduce_fleet(base_fleet)
    return {
        "planners": size[0],
        "zones": size[1],
        "kinds": len(problem_shape.kinds),
        "cold_s": round(cold_s, 3),
        "again_s": round(again_s, 3),
        "worst_use": round(evaluation.worst_use, 5),
        "gap": round(evaluation.worst_use - cold_solution.goals[0], 6),
        "conflict": len(cold_solution.conflict) + len(again_solution.conflict),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
    }


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for zones in sorted({row["zones"] for row in rows}):
        zone_rows = [row for row in rows if row["zones"] == zones]
        [line] = axes.plot(
            [row["planners"] for row in zone_rows],
            [row["cold_s"] for row in zone_rows],
            "o-",
            label=f"{zones} zones, cold",
        )
        axes.plot(
            [row["planners"] for row in zone_rows],
            [row["again_s"] for row in zone_rows],
            "x--",
            color=line.get_color(),
            label=f"{zones} zones, after one change",
        )
    axes.set(
        xscale="log", yscale="log", xlabel="planners", ylabel="seconds a solve", title="Time to solve a plan"
    )
    axes.grid(True, which="both", alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=130)


@click.command()
@click.option("--most", default=10_000, show_default=True, help="The largest number of planners.")
@click.option("--plot", type=click.Path(path_type=Path))
@click.option("--json", "out", type=click.Path(path_type=Path))
def main(most: int, plot: Path | None, out: Path | None) -> None:
    """Measure each size and print the table."""
    rows = []
    for size in SIZES:
        if size[0] > most:
            continue
        with multiprocessing.get_context("spawn").Pool(1) as pool:
            rows.append(pool.apply(measure, (size,)))
        if len(rows) == 1:
            click.echo("  ".join(f"{name:>9}" for name in rows[0]))
        click.echo("  ".join(f"{value:>9}" for value in rows[-1].values()))
    if out is not None:
        out.write_text(json.dumps(rows, indent=1) + "\n")
    if plot is not None:
        draw(rows, plot)


if __name__ == "__main__":
    main()
