"""Which resources bind in a plan, and the value of one more core or slot: the duals of the worst use."""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.placement.model import Fleet
from pipitshed.placement.program import Solver
from pipitshed.placement.solve import RESOURCES, build

MIN_DUAL = 1e-6  # smaller duals are rounding errors


@dataclass
class ResourceValue:
    """One resource of one planner, or of each planner of a kind."""

    planner: str
    resource: str
    use: float  # as a fraction of what the planner's cap allows
    binds: bool
    gain_per_unit: float  # decrease of the worst use for one more core, slot or unit of memory there


def explain(fleet: Fleet) -> list[ResourceValue]:
    """All resources, the most valuable first; empty if the constraints are in conflict.

    The use is that of the linear program's optimum. The gain follows from its duals: a row's use is load over
    capacity, so one more of n units changes the use by use / n.
    """
    built = build(fleet, whole=False)
    solution = Solver(built.program).solve(built.goals[:1])
    if solution is None:
        return []
    values: dict[tuple[int, str], ResourceValue] = {}
    use_columns: dict[int, tuple[int, str]] = {}  # column: the kind and the resource whose use it holds
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
