"""What binds in a plan, and what one more core or slot would be worth there: the duals of its worst use."""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.placement.model import Fleet
from pipitshed.placement.program import Solver
from pipitshed.placement.solve import RESOURCES, build

BINDS = 1e-6


@dataclass
class ResourceValue:
    """One resource of one planner, or of each of several that are alike."""

    planner: str
    resource: str
    use: float  # part of its cap
    binds: bool
    gain_per_unit: float  # by which the worst use falls with one more core, slot or unit of memory there


def explain(fleet: Fleet) -> list[ResourceValue]:
    """All resources, the most valuable first. The use is that of the linear program's best; the worth follows
    from its duals: a row's use is load over capacity, so one more of n changes it by use / n. Empty in a
    conflict.
    """
    built = build(fleet, whole=False)
    solution = Solver(built.program).solve(built.goals[:1])
    if solution is None:
        return []
    found: dict[tuple[int, str], ResourceValue] = {}
    used: dict[int, tuple[int, str]] = {}  # the column of a use: whose it is
    for number, (kind, resource) in built.use_rows.items():
        [column] = [one for one in built.program.rows[number].terms if one != built.worst_use_column]
        used[column] = kind, resource
        planner = built.reduced.kinds[kind].planners[0]
        found[kind, resource] = ResourceValue(
            planner.id, resource, float(solution.values[column]), False, 0.0
        )
    for row, dual in zip(built.program.rows, solution.duals, strict=False):
        if abs(dual) < BINDS or built.worst_use_column not in row.terms:
            continue
        for column in row.terms:
            if column not in used:
                continue
            kind, resource = used[column]
            worth = found[kind, resource]
            planner = built.reduced.kinds[kind].planners[0]
            amount = {"cores": planner.cores, "slots": planner.slots, "memory": planner.memory}[resource]
            total = sum(
                float(solution.values[one]) * value / row.terms[column]
                for one, value in row.terms.items()
                if one != built.worst_use_column
            )
            worth.binds = True
            worth.gain_per_unit += abs(float(dual)) * total / amount
    order = {name: place for place, name in enumerate(RESOURCES)}
    return sorted(
        found.values(), key=lambda one: (-one.gain_per_unit, -one.use, one.planner, order[one.resource])
    )
