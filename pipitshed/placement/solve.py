"""Solves a fleet for a plan: builds the linear program and its goals, and explains conflicts."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pipitshed.placement.model import Fleet, Group, Planner, groups, work_by_tenant
from pipitshed.placement.program import INFINITY, Program, Row, Solver, smallest_conflict

EXACT_COLUMNS = 64  # programs with more columns are solved in fractions instead of whole units
EXACT_UNITS = 64  # and so are fleets with more units
ALIKE_MIN_PLANNERS = 200  # fleets of this size merge planners whose figures differ by up to ALIKE_TOLERANCE
ALIKE_TOLERANCE = 0.02
MAX_SEPARATE_PARTS = 2000  # above it, all planners of a zone that can hold the same jobs share one column
MIN_UNITS_PER_PLANNER = 16  # so that no weight rounds to 0
RESOURCES = ("cores", "slots", "memory")
KNOTS = (0.0, 0.3, 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 0.98, 1.0)  # of use, for the chords of `lateness`
GOALS = ("worst use", "late", "crossing", "movement")

Parts = dict[str, dict[str, int]]  # group: planner: units


@dataclass
class Kind:
    """Planners that are alike; the program has one column for each kind and group."""

    planners: list[Planner]
    zone: str
    usable_resources: dict[str, float]  # mean over the planners, see `usable_resources`
    typical: Planner  # has the mean figures

    def parts(self) -> list[tuple[str, float]]:
        """Each planner's fraction of the kind's jobs, in proportion to capacity."""
        total = math.fsum(usable_resources(planner)["cores"] for planner in self.planners)
        return [(planner.id, usable_resources(planner)["cores"] / total) for planner in self.planners]

    @property
    def capacity(self) -> float:
        return self.usable_resources["cores"]


@dataclass
class ReducedFleet:
    """A fleet with similar planners merged into kinds."""

    fleet: Fleet
    groups: list[Group]
    kinds: list[Kind]
    units: int
    exact: bool  # whether the program is solved in whole units

    @property
    def work(self) -> float:
        return math.fsum(group.work for group in self.groups)

    def zones(self) -> list[str]:
        """The zones whose loss is considered; none if the fleet has only one zone."""
        names = sorted({kind.zone for kind in self.kinds})
        return names if len(names) > 1 else []

    def load_fraction_without(self, kind: Kind, lost_zone: str) -> float:
        """The fraction of a lost zone's load that one planner of the kind gets, in proportion to capacity."""
        remaining_capacity = math.fsum(
            other.capacity * len(other.planners) for other in self.kinds if other.zone != lost_zone
        )
        return kind.capacity / remaining_capacity if remaining_capacity else 0.0


def resource_demand(group: Group) -> dict[str, float]:
    """What a group needs of each resource: cores, slots or memory units times s at speed 1, per second."""
    return {"cores": group.work, "slots": group.slot_work, "memory": group.memory_work}


def usable_resources(planner: Planner) -> dict[str, float]:
    """What the plan may use of a planner's resources, in the units of `resource_demand`."""
    return {
        "cores": planner.cores * planner.speed * planner.cap,
        "slots": planner.slots * planner.speed * planner.cap,
        "memory": planner.memory * planner.speed * planner.cap,
    }


def reduce_fleet(fleet: Fleet, whole: bool | None = None) -> ReducedFleet:
    """Merge similar planners into kinds. `whole` forces whole units or fractions; None decides by size."""
    job_groups = groups(fleet)
    columns = max(1, len(job_groups)) * len(fleet.planners)
    exact = columns <= EXACT_COLUMNS and fleet.units <= EXACT_UNITS if whole is None else whole
    planners_by_key: dict[Any, list[Planner]] = {}
    for planner in sorted(fleet.planners, key=lambda member: member.id):
        figures: tuple[Any, ...] = (planner.cores, planner.speed, planner.slots, planner.memory, planner.cap)
        if len(fleet.planners) >= ALIKE_MIN_PLANNERS:
            figures = tuple(
                round(math.log(max(value, 1e-12)) / math.log1p(ALIKE_TOLERANCE)) for value in figures
            )
        separate = exact or planner.pinned is not None
        key = (planner.zone, figures, planner.excluded, planner.id if separate else "")
        planners_by_key.setdefault(key, []).append(planner)
    if len(planners_by_key) * len(job_groups) > MAX_SEPARATE_PARTS:
        merged: dict[Any, list[Planner]] = {}
        for planners in planners_by_key.values():
            first = planners[0]
            fits = tuple(first.slots >= group.slots and first.memory >= group.memory for group in job_groups)
            planner_id = first.id if first.pinned is not None else ""
            merged.setdefault((first.zone, fits, first.excluded, planner_id), []).extend(planners)
        planners_by_key = {
            key: sorted(planners, key=lambda member: member.id) for key, planners in merged.items()
        }
    kinds = []
    for planners in planners_by_key.values():
        mean = {
            name: math.fsum(usable_resources(member)[name] for member in planners) / len(planners)
            for name in RESOURCES
        }
        first = planners[0]
        cores = math.fsum(member.cores for member in planners) / len(planners)
        cap = math.fsum(member.cap for member in planners) / len(planners)
        speed = mean["cores"] / cores / cap
        typical = (
            first
            if len(planners) == 1
            else Planner(first.id, first.zone, first.model, cores, speed, first.slots, first.memory, cap)
        )
        kinds.append(Kind(planners, first.zone, mean, typical))
    units = fleet.units if exact else max(fleet.units, MIN_UNITS_PER_PLANNER * len(fleet.planners))
    return ReducedFleet(fleet, job_groups, kinds, units, exact)


def lateness(planner: Planner, mean_work: float, wait: float, total: float) -> list[tuple[float, float]]:
    """Chords (slope, value at 0) of a planner's late work over its use of cores.

    Late work is a fraction of `total`, the fleet's capacity. The mean wait is Sakasegawa's approximation for
    M/M/c; late work is the work times mean wait over allowed wait.
    """
    cores = max(1.0, planner.cores)
    service = mean_work / planner.speed

    def late_work(use: float) -> float:
        if use >= 1.0:
            use = 0.999
        waiting_factor: float = use ** (math.sqrt(2 * (cores + 1)) - 1)
        return (
            use
            * planner.cores
            * planner.speed
            / total
            * waiting_factor
            / (cores * (1 - use))
            * service
            / wait
        )

    points = [(use, late_work(use)) for use in KNOTS]
    chords, steepest = [], 0.0
    for (left, low), (right, high) in zip(points, points[1:], strict=False):
        steepest = max(steepest, (high - low) / (right - left))  # keeps the chords convex despite rounding
        chords.append((steepest, low - steepest * left))
    return chords


def fleet_capacity(fleet: Fleet) -> float:
    """The capacity of the whole fleet without caps, in s at speed 1 per second."""
    return math.fsum(planner.cores * planner.speed for planner in fleet.planners)


def crossing_cost(fleet: Fleet, group: Group, zone: str) -> float:
    """The cost of running one job of the group in that zone; 0 in the group's own zone."""
    if zone == group.zone:
        return 0.0
    return fleet.constraints.crossing.get(f"{group.zone} > {zone}", fleet.constraints.default_crossing)


@dataclass
class BuiltProgram:
    """The program, and what its columns and rows stand for."""

    reduced: ReducedFleet
    program: Program
    parts: dict[tuple[int, int], int]  # (group, kind): column of the part
    worst_use_column: int
    goals: list[dict[int, float]]  # column: coefficient
    use_rows: dict[int, tuple[int, str]] = field(default_factory=dict)  # row: kind, resource


def build(
    fleet: Fleet, before: Mapping[str, Mapping[str, int]] | None = None, whole: bool | None = None
) -> BuiltProgram:
    """Build the program. Each part is a fraction of its group (0 to 1), or a number of whole units of it."""
    reduced = reduce_fleet(fleet, whole)
    program, units = Program(), reduced.units if reduced.exact else 1
    parts: dict[tuple[int, int], int] = {}
    for g, group in enumerate(reduced.groups):
        for k, kind in enumerate(reduced.kinds):
            first = kind.planners[0]
            if first.slots >= group.slots and first.memory >= group.memory:
                parts[g, k] = program.add_column(0, units, reduced.exact)
        program.add_row(
            {parts[g, k]: 1.0 for k in range(len(reduced.kinds)) if (g, k) in parts},
            units,
            units,
            f"all of {group.name} is placed",
        )
    worst_use_column = program.add_column()
    use_rows: dict[int, tuple[int, str]] = {}
    late_columns: list[int] = []
    total = reduced.work
    mean_work = total / math.fsum(group.rate for group in reduced.groups) if reduced.groups else 1.0
    wait = (
        math.fsum(group.wait * group.rate for group in reduced.groups)
        / math.fsum(group.rate for group in reduced.groups)
        if reduced.groups
        else 1.0
    )
    use_columns: dict[tuple[int, str], int] = {}  # (kind, resource): column of its use, a fraction of the cap
    for k, kind in enumerate(reduced.kinds):
        for name in RESOURCES:
            terms = {
                column: resource_demand(reduced.groups[g])[name]
                / units
                / len(kind.planners)
                / kind.usable_resources[name]
                for (g, kind_index), column in parts.items()
                if kind_index == k
                and resource_demand(reduced.groups[g])[name] > 0
                and kind.usable_resources[name] > 0
            }
            if not terms:
                continue
            column = use_columns[k, name] = program.add_column()
            program.add_row(terms | {column: -1.0}, 0, 0)
            program.add_row({column: 1.0}, -INFINITY, 1.0, f"{name} of {_kind_name(kind)}")
            use_rows[len(program.rows)] = (k, name)
            program.add_row({column: 1.0, worst_use_column: -1.0}, -INFINITY, 0)
        shares = (
            {
                column: reduced.groups[g].work / units / len(kind.planners) / total
                for (g, kind_index), column in parts.items()
                if kind_index == k
            }
            if total
            else {}
        )
        if shares and fleet.constraints.most < 1:
            program.add_row(shares, -INFINITY, fleet.constraints.most, f"most of {_kind_name(kind)}")
        if shares and kind.planners[0].excluded:
            program.add_row(shares, -INFINITY, 0, f"{_kind_name(kind)} is excluded")
        pinned = kind.planners[0].pinned
        if pinned is not None and total:
            # If the planner can hold no group, there are no terms: the load is 0.
            slack = (
                max((group.work for group in reduced.groups), default=0.0) / units / total / 2 * reduced.exact
            )
            program.add_row(shares, pinned - slack, pinned + slack, f"{_kind_name(kind)} is pinned")
        if (k, "cores") in use_columns:
            late_column = program.add_column()
            late_columns.append(late_column)
            for slope, at_zero in lateness(kind.typical, mean_work, wait, fleet_capacity(fleet)):
                count = len(kind.planners)
                program.add_row(
                    {use_columns[k, "cores"]: slope * count * kind.typical.cap, late_column: -1.0},
                    -INFINITY,
                    -at_zero * count,
                )
    _add_zone_losses(reduced, program, parts, use_columns, worst_use_column, units)
    _add_floors(reduced, program)
    goals: list[dict[int, float]] = [
        {worst_use_column: 1.0},
        dict.fromkeys(late_columns, 1.0),
        {
            column: reduced.groups[g].rate
            / units
            * crossing_cost(fleet, reduced.groups[g], reduced.kinds[k].zone)
            for (g, k), column in parts.items()
        },
    ]
    goals.append(_add_movement(reduced, program, parts, before, units) if before is not None else {})
    # The last goal breaks ties: its distinct coefficients make the solver choose one of several equal plans.
    golden = (math.sqrt(5) - 1) / 2
    goals.append(
        {
            column: k + 0.5 * ((g * len(reduced.kinds) + k + 1) * golden % 1.0)
            for (g, k), column in parts.items()
        }
    )
    return BuiltProgram(reduced, program, parts, worst_use_column, goals, use_rows)


def _kind_name(kind: Kind) -> str:
    first = kind.planners[0].id
    return first if len(kind.planners) == 1 else f"each of {len(kind.planners)} like {first}"


def _add_zone_losses(
    reduced: ReducedFleet,
    program: Program,
    parts: Mapping[tuple[int, int], int],
    use_columns: Mapping[tuple[int, str], int],
    worst_use_column: int,
    units: int,
) -> None:
    """Add each planner's use while one zone is lost and its load moves to the others by capacity."""
    for zone in reduced.zones():
        for name in RESOURCES:
            load = {
                column: resource_demand(reduced.groups[g])[name] / units
                for (g, k), column in parts.items()
                if reduced.kinds[k].zone == zone and resource_demand(reduced.groups[g])[name] > 0
            }
            if not load:
                continue
            lost_load_column = program.add_column()
            program.add_row(load | {lost_load_column: -1.0}, 0, 0)
            for k, kind in enumerate(reduced.kinds):
                if kind.zone == zone or kind.usable_resources[name] <= 0:
                    continue
                terms = {
                    lost_load_column: reduced.load_fraction_without(kind, zone) / kind.usable_resources[name]
                }
                if (k, name) in use_columns:
                    terms[use_columns[k, name]] = 1.0
                program.add_row(terms | {worst_use_column: -1.0}, -INFINITY, 0)
                if reduced.fleet.constraints.headroom == "zone":
                    program.add_row(terms, -INFINITY, 1.0, f"{name} of {_kind_name(kind)} without {zone}")


def _add_floors(reduced: ReducedFleet, program: Program) -> None:
    """Add the constraints that reserve, besides the demand, what each tenant's share still lacks."""
    demanded = work_by_tenant(reduced.fleet)
    total = math.fsum(
        kind.capacity * len(kind.planners) for kind in reduced.kinds if not kind.planners[0].excluded
    )
    work = reduced.work
    for floor in reduced.fleet.constraints.floors:
        reserved = max(0.0, floor.share * total - demanded.get(floor.tenant, 0.0))
        if reserved:
            reserve_column = program.add_column(1.0, 1.0)
            program.add_row({reserve_column: reserved}, -INFINITY, total - work, f"share of {floor.tenant}")


def _add_movement(
    reduced: ReducedFleet,
    program: Program,
    parts: Mapping[tuple[int, int], int],
    before: Mapping[str, Mapping[str, int]],
    units: int,
) -> dict[int, float]:
    """Add columns for the jobs per second that move to another kind; return the goal that sums them."""
    goal: dict[int, float] = {}
    for (g, k), column in parts.items():
        group, kind = reduced.groups[g], reduced.kinds[k]
        units_before = before.get(group.name, {})
        total_before = sum(units_before.values()) or 1
        old_value = (
            math.fsum(units_before.get(planner.id, 0) for planner in kind.planners) / total_before * units
        )
        movement_column = program.add_column()
        program.add_row({column: 1.0, movement_column: -1.0}, -INFINITY, old_value)
        program.add_row({column: -1.0, movement_column: -1.0}, -INFINITY, -old_value)
        goal[movement_column] = group.rate / units / 2
    return goal


# ---- solving and explaining


@dataclass
class SolveResult:
    """A plan's parts; in a conflict also the constraints that can't be met together."""

    parts: Parts | None
    units: int
    goals: list[float]  # the program's optimum for each of GOALS
    exact: bool
    conflict: dict[str, str] = field(default_factory=dict)  # constraint: by how much it alone falls short
    relaxed: dict[str, float] = field(default_factory=dict)  # constraint: by how much the plan violates it
    basis: Any = None  # start basis for a later `solve`


def solve(
    fleet: Fleet,
    before: Mapping[str, Mapping[str, int]] | None = None,
    basis: Any = None,
    whole: bool | None = None,
) -> SolveResult:
    """Find the best plan by the goals in order.

    If the constraints can't all be met, the result has a minimal conflict and the plan with the least
    violation. `before` are the current plan's parts; `whole` is passed to `reduce_fleet`.
    """
    built = build(fleet, before, whole)
    if not built.reduced.groups:
        return SolveResult({}, built.reduced.units, [0.0] * len(GOALS), True)
    solver = Solver(built.program)
    solver.set_start_basis(basis)
    solution = solver.solve(built.goals)
    if solution is not None:
        return SolveResult(
            _whole_units(built, solution.values),
            built.reduced.units,
            solution.goals[: len(GOALS)],
            built.reduced.exact,
            basis=solution.basis,
        )
    conflict = smallest_conflict(built.program)
    shortfalls = {name: _shortfall(built, name, conflict) for name in conflict}
    oversteps, values = _relax(built)
    parts = _whole_units(built, values) if values is not None else None
    return SolveResult(parts, built.reduced.units, [], built.reduced.exact, shortfalls, oversteps)


def _elastic(program: Program, names: set[str], hard: set[str]) -> tuple[Program, dict[str, list[int]]]:
    """A copy of the program with slack for the constraints `names`; of the others, only `hard` are kept."""
    elastic = Program(list(program.lower), list(program.upper), list(program.integer))
    slacks: dict[str, list[int]] = {}
    for row in program.rows:
        terms = dict(row.terms)
        if row.name in names:
            if row.lower > -INFINITY:
                under_slack = elastic.add_column()
                terms[under_slack] = 1.0
                slacks.setdefault(row.name, []).append(under_slack)
            if row.upper < INFINITY:
                over_slack = elastic.add_column()
                terms[over_slack] = -1.0
                slacks.setdefault(row.name, []).append(over_slack)
        elif row.name and row.name not in hard:
            continue
        elastic.rows.append(Row(terms, row.lower, row.upper, row.name, row.scale))
    return elastic, slacks


def _shortfall(built: BuiltProgram, name: str, conflict: list[str]) -> str:
    """By how much this constraint would have to be relaxed if the others of the conflict are met.

    In the constraint's own unit: cores, slots or units of memory of one planner, jobs per second that can't
    be placed, or a fraction of the load.
    """
    program = built.program
    elastic, slacks = _elastic(program, {name}, set(conflict) - {name})
    solution = Solver(elastic).solve([dict.fromkeys(slacks[name], 1.0)])
    if solution is None:
        return "more than can be gained by relaxing it alone"
    scale = next(row.scale for row in program.rows if row.name == name)
    amount = solution.goals[0] * scale
    for kind in built.reduced.kinds:
        for resource in RESOURCES:
            if f"{name} without ".startswith(f"{resource} of {_kind_name(kind)} without "):
                # The use is a fraction of the cap, so the shortfall is multiplied by the cap.
                first = kind.planners[0]
                available = {"cores": first.cores, "slots": first.slots, "memory": first.memory}[resource]
                return f"{amount * available * first.cap:.4g} {resource} in {kind.zone}"
    for group in built.reduced.groups:
        if name == f"all of {group.name} is placed":
            units = built.reduced.units if built.reduced.exact else 1
            return f"{amount / units * group.rate:.4g} jobs a second from {group.zone}"
    return f"{amount:.4g} s of cores a second" if name.startswith("share of") else f"{amount:.4g} of the load"


def _relax(built: BuiltProgram) -> tuple[dict[str, float], Any]:
    """The violations and column values of the plan with the least sum of violations, then the best goals.

    The constraints that all jobs are placed are relaxed only if relaxing the others is not enough.
    """
    program = built.program
    placed = {name for name in program.names() if name.endswith(" is placed")}
    for soft in (set(program.names()) - placed, set(program.names())):
        elastic, slacks = _elastic(program, soft, set(program.names()) - soft)
        columns = [column for slack_columns in slacks.values() for column in slack_columns]
        solution = Solver(elastic).solve([dict.fromkeys(columns, 1.0), *built.goals])
        if solution is not None:
            oversteps = {
                name: float(sum(solution.values[column] for column in slack_columns))
                for name, slack_columns in slacks.items()
            }
            return {name: value for name, value in oversteps.items() if value > 1e-7}, solution.values
    return {}, None


def _whole_units(built: BuiltProgram, values: Any) -> Parts:
    """Round to whole units: planners of a kind get parts by capacity.

    Units that are left over go to the largest remainders, then by id.
    """
    reduced, parts = built.reduced, {}
    for g, group in enumerate(reduced.groups):
        targets: list[tuple[str, float]] = []
        for k, kind in enumerate(reduced.kinds):
            if (g, k) in built.parts:
                value = float(values[built.parts[g, k]]) * (1 if reduced.exact else reduced.units)
                targets += [(name, value * fraction) for name, fraction in kind.parts()]
        units = {name: math.floor(value + 1e-6) for name, value in targets}
        missing = round(math.fsum(value for _, value in targets)) - sum(units.values())
        by_remainder = sorted(targets, key=lambda target: (-(target[1] - units[target[0]]), target[0]))
        for name, _ in by_remainder[: max(0, missing)]:
            units[name] += 1
        parts[group.name] = {name: count for name, count in sorted(units.items()) if count}
    return parts
