"""Exhaustive search over all whole-unit plans of a small fleet; used only to check the solver."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator, Mapping

from pipitshed.placement.model import Fleet, groups
from pipitshed.placement.program import GOAL_TOLERANCE
from pipitshed.placement.score import Score, score
from pipitshed.placement.solve import Parts

MAX_PLANS = 200_000


def splits(units: int, planner_count: int) -> Iterator[tuple[int, ...]]:
    """Yield every way to split the units among the planners."""
    for bars in itertools.combinations(range(units + planner_count - 1), planner_count - 1):
        ends = (-1, *bars, units + planner_count - 1)
        yield tuple(ends[index + 1] - ends[index] - 1 for index in range(planner_count))


def plan_count(units: int, planner_count: int, group_count: int) -> int:
    """The number of plans that `search` has to score."""
    return int(math.comb(units + planner_count - 1, planner_count - 1) ** group_count)


def search(fleet: Fleet, before: Mapping[str, Mapping[str, int]] | None = None) -> tuple[Parts, Score] | None:
    """The best plan by the goals in order, each with the solver's tolerance.

    None if no plan satisfies the constraints. Raises OverflowError if there are more than MAX_PLANS plans.
    """
    job_groups = groups(fleet)
    names = sorted(planner.id for planner in fleet.planners)
    if plan_count(fleet.units, len(names), len(job_groups)) > MAX_PLANS:
        raise OverflowError("the fleet has too many plans to search")
    group_splits = list(splits(fleet.units, len(names)))
    feasible: list[tuple[Parts, Score]] = []
    for chosen in itertools.product(group_splits, repeat=len(job_groups)):
        parts = {
            group.name: {name: units for name, units in zip(names, split, strict=True) if units}
            for group, split in zip(job_groups, chosen, strict=True)
        }
        result = score(fleet, parts, fleet.units, before)
        if not result.violations:
            feasible.append((parts, result))
    for goal in range(4):
        if not feasible:
            return None
        best = min(result.vector()[goal] for _, result in feasible)
        feasible = [
            candidate
            for candidate in feasible
            if candidate[1].vector()[goal] <= best + GOAL_TOLERANCE * max(1.0, abs(best))
        ]
    return feasible[0]
