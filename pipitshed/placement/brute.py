"""Exhaustive search over all whole-unit plans of a small fleet: for proof alone."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator, Mapping

from pipitshed.placement.model import Fleet, groups
from pipitshed.placement.program import GOAL_TOLERANCE
from pipitshed.placement.score import Score, score
from pipitshed.placement.solve import Parts

MAX_PLANS = 200_000  # plans that are tried at most


def splits(units: int, places: int) -> Iterator[tuple[int, ...]]:
    """All ways to put so many units on so many places."""
    for bars in itertools.combinations(range(units + places - 1), places - 1):
        ends = (-1, *bars, units + places - 1)
        yield tuple(ends[place + 1] - ends[place] - 1 for place in range(places))


def plan_count(units: int, places: int, groups_: int) -> int:
    """How many plans there are."""
    return int(math.comb(units + places - 1, places - 1) ** groups_)


def search(fleet: Fleet, before: Mapping[str, Mapping[str, int]] | None = None) -> tuple[Parts, Score] | None:
    """The best plan by the goals in order, each with the tolerance of the solver; None where none keeps the
    constraints. OverflowError where there are more than MOST plans.
    """
    wanted = groups(fleet)
    names = sorted(planner.id for planner in fleet.planners)
    if plan_count(fleet.units, len(names), len(wanted)) > MAX_PLANS:
        raise OverflowError("too many plans")
    each = list(splits(fleet.units, len(names)))
    good: list[tuple[Parts, Score]] = []
    for chosen in itertools.product(each, repeat=len(wanted)):
        parts = {
            group.name: {name: units for name, units in zip(names, split, strict=True) if units}
            for group, split in zip(wanted, chosen, strict=True)
        }
        judged = score(fleet, parts, fleet.units, before)
        if not judged.violations:
            good.append((parts, judged))
    for goal in range(4):
        if not good:
            return None
        best = min(judged.vector()[goal] for _, judged in good)
        good = [one for one in good if one[1].vector()[goal] <= best + GOAL_TOLERANCE * max(1.0, abs(best))]
    return good[0]
