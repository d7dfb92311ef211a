"""What binds in a plan, and what one more core or slot would be worth there: the duals of its worst use."""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.placement.model import Fleet
from pipitshed.placement.program import Solver
from pipitshed.placement.solve import RESOURCES, build

MIN_DUAL = 1e-6


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
    values: dict[tuple[int, str], ResourceValue] = {}
    use_columns: dict[int, tuple[int, str]] = {}  # the column of a use: whose it is
    for row_index, (kind_index, resource) in built.use_rows.items():
        [column] = [other for other in built.program.rows[row_index].terms if other != built.worst_use_column]
        use_columns[column] = kind_index, resource
        planner = built.reduced.kinds[kind_index].planners[0]
        values[kind_index, resource] = ResourceValue(
            planner.id, resource, float(solution.values[column]), False, 0.0
        )
    for row, dual in zip(built.program.rows, solution.duals, strict=False):
        if abs(dual) < MIN_DUAL or built.worst_use_column not in row.terms:
            continue
        for column in row.terms:
            if column not in use_columns:
                continue
            kind_index, resource = use_columns[column]
            resource_value = values[kind_index, resource]
            planner = built.reduced.kinds[kind_index].planners[0]
            amount = {"cores": planner.cores, "slots": planner.slots, "memory": planner.memory}[resource]
            total = sum(
                float(solution.values[other]) * value / row.terms[column]
                for other, value in row.terms.items()
                if other != built.worst_use_column
            )
            resource_value.binds = True
            resource_value.gain_per_unit += abs(float(dual)) * total / amount
    order = {name: position for position, name in enumerate(RESOURCES)}
    return sorted(
        values.values(),
        key=lambda entry: (-entry.gain_per_unit, -entry.use, entry.planner, order[entry.resource]),
    )
