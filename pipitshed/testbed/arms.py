"""Runs the arms (variants) of an experiment with the same seeds, and compares them in pairs."""

from __future__ import annotations

import asyncio
import math
import multiprocessing
import statistics
import time
from collections.abc import Sequence
from typing import Any

from pipitshed.placement import plan as plans
from pipitshed.placement.model import Constraints, Demand, Planner
from pipitshed.placement.model import Fleet as PlacementFleet
from pipitshed.placement.plan import Plan, PlannerEntry
from pipitshed.placement.score import capacity
from pipitshed.placement.solve import solve
from pipitshed.testbed.accounts import broken_rules
from pipitshed.testbed.experiment import Experiment, raise_descriptor_limit, run_experiment
from pipitshed.testbed.fleet.standins import ZONES, PlannerFleet

FIGURES = ("in_time_quote", "in_time_book", "worst_use", "crossings")
T95 = {4: 3.18, 5: 2.78, 8: 2.36, 10: 2.26, 20: 2.09}  # Student's t for 95%, by the number of pairs


def solved(experiment: Experiment, fleet: PlannerFleet) -> bytes:
    """Solve a placement plan for the experiment's fleet and traffic; exits where there is none."""
    shape, traffic = experiment.fleet, experiment.clients
    planners = tuple(
        Planner(member.name, member.zone, "m", float(shape.slots), member.speed, float(shape.slots))
        for member in fleet.members
    )
    demand = tuple(
        Demand(name, rate, sum(span) / 2000, wait=traffic.wanted_ms[name] / 1000, zone=ZONES[0])
        for name, rate, span in (
            ("quote", traffic.rate * (1 - traffic.book), shape.quote_ms),
            ("book", traffic.rate * traffic.book, shape.book_ms),
        )
    )
    placement_fleet = PlacementFleet(planners, (), demand, Constraints(), 1000)
    answer = solve(placement_fleet)
    if answer.parts is None or answer.conflict:
        raise SystemExit(f"no plan for this fleet: {answer.conflict}")
    return plans.write(
        Plan(
            plans.FORMAT,
            1,
            time.time(),
            placement_fleet.life_s,
            answer.units,
            {
                planner.id: PlannerEntry(planner.zone, planner.model, capacity(planner))
                for planner in planners
            },
            answer.parts,
        )
    )


def _run_one(job: tuple[Experiment, int, int, int]) -> dict[str, Any]:
    experiment, place, requests, seed = job
    raise_descriptor_limit()
    figures = asyncio.run(run_experiment(experiment, requests, seed, arm=experiment.arms[place]))
    return {name: figures[name] for name in FIGURES} | {"broken": broken_rules(figures)}


def compare(experiment: Experiment, requests: int, seeds: int, jobs: int) -> dict[str, Any]:
    """Run all arms; return each arm's means, and differences from the first arm with 95% intervals."""
    work = [
        (experiment, place, requests, experiment.seed + seed)
        for seed in range(seeds)
        for place in range(len(experiment.arms))
    ]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        found = pool.map(_run_one, work, chunksize=1)
    by_arm = [found[place :: len(experiment.arms)] for place in range(len(experiment.arms))]
    arms: dict[str, Any] = {}
    for arm, runs in zip(experiment.arms, by_arm, strict=True):
        arms[arm.name] = {name: round(statistics.fmean(run[name] for run in runs), 4) for name in FIGURES}
        arms[arm.name]["against_first"] = {
            name: _interval([run[name] - base[name] for run, base in zip(runs, by_arm[0], strict=True)])
            for name in FIGURES
        }
    return {
        "experiment": experiment.name,
        "seeds": seeds,
        "requests": requests,
        "arms": arms,
        "broken": sorted({rule for run in found for rule in run["broken"]}),
    }


def _interval(differences: Sequence[float]) -> list[float]:
    """Mean, lower and upper bound of the 95% interval; the mean alone for fewer than two differences."""
    mean, count = statistics.fmean(differences), len(differences)
    if count < 2:
        return [round(mean, 4)]
    half = T95.get(count, 2.0 if count > 20 else 4.3) * statistics.stdev(differences) / math.sqrt(count)
    return [round(mean, 4), round(mean - half, 4), round(mean + half, 4)]
