"""From a fleet to a plan: the program, its goals in order, and what can't be met."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pipitshed.placement.model import Fleet, Group, Planner, groups, work_by_tenant
from pipitshed.placement.program import INFINITY, Program, Row, Solver, smallest_conflict

EXACT_COLUMNS = 64  # up to so many parts the program is solved in whole units
EXACT_UNITS = 64
ALIKE_FROM = 200  # planners from which those that differ by less than ALIKE count as alike
ALIKE = 0.02
LARGE = 2000  # parts from which a zone's planners that can hold the same jobs are one column
UNITS_EACH = 16  # units a planner at least, so that no weight rounds to nothing
RESOURCES = ("cores", "slots", "memory")
KNOTS = (0.0, 0.3, 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 0.98, 1.0)  # of use; lateness is chords between
GOALS = ("worst use", "late", "crossing", "movement")

Parts = dict[str, dict[str, int]]  # group: planner: units


@dataclass
class Kind:
    """Planners that are alike: one column for each group."""

    planners: list[Planner]
    zone: str
    usable_resources: dict[
        str, float
    ]  # resource: the mean of it at a planner's cap, in s at speed 1 a second
    typical: Planner

    def parts(self) -> list[tuple[str, float]]:
        """Each planner's part of what goes to the kind: by capacity."""
        total = math.fsum(usable_resources(one)["cores"] for one in self.planners)
        return [(one.id, usable_resources(one)["cores"] / total) for one in self.planners]

    @property
    def capacity(self) -> float:
        return self.usable_resources["cores"]


@dataclass
class ReducedFleet:
    """A fleet as the program sees it."""

    fleet: Fleet
    groups: list[Group]
    kinds: list[Kind]
    units: int
    exact: bool

    @property
    def work(self) -> float:
        return math.fsum(group.work for group in self.groups)

    def zones(self) -> list[str]:
        """Zones that can be lost: others remain."""
        named = sorted({kind.zone for kind in self.kinds})
        return named if len(named) > 1 else []

    def moved(self, kind: Kind, lost: str) -> float:
        """The part of a lost zone's load that one planner of the kind gets: in proportion to capacity."""
        rest = math.fsum(one.capacity * len(one.planners) for one in self.kinds if one.zone != lost)
        return kind.capacity / rest if rest else 0.0


def resource_demand(group: Group) -> dict[str, float]:
    """What a group takes of each resource, in s at speed 1 a second."""
    return {"cores": group.work, "slots": group.slot_work, "memory": group.memory_work}


def usable_resources(planner: Planner) -> dict[str, float]:
    """What a planner has of each."""
    return {
        "cores": planner.cores * planner.speed * planner.cap,
        "slots": planner.slots * planner.speed * planner.cap,
        "memory": planner.memory * planner.speed * planner.cap,
    }


def reduce_fleet(fleet: Fleet, whole: bool | None = None) -> ReducedFleet:
    """Planners by kind, and whether whole units are solved for."""
    wanted = groups(fleet)
    columns = max(1, len(wanted)) * len(fleet.planners)
    exact = columns <= EXACT_COLUMNS and fleet.units <= EXACT_UNITS if whole is None else whole
    by_key: dict[Any, list[Planner]] = {}
    for planner in sorted(fleet.planners, key=lambda one: one.id):
        figures: tuple[Any, ...] = (planner.cores, planner.speed, planner.slots, planner.memory, planner.cap)
        if len(fleet.planners) >= ALIKE_FROM:
            figures = tuple(round(math.log(max(value, 1e-12)) / math.log1p(ALIKE)) for value in figures)
        alone = exact or planner.pinned is not None
        key = (planner.zone, figures, planner.excluded, planner.id if alone else "")
        by_key.setdefault(key, []).append(planner)
    if len(by_key) * len(wanted) > LARGE:
        merged: dict[Any, list[Planner]] = {}
        for held in by_key.values():
            first = held[0]
            fits = tuple(first.slots >= group.slots and first.memory >= group.memory for group in wanted)
            single = first.id if first.pinned is not None else ""
            merged.setdefault((first.zone, fits, first.excluded, single), []).extend(held)
        by_key = {key: sorted(held, key=lambda one: one.id) for key, held in merged.items()}
    kinds = []
    for held in by_key.values():
        mean = {
            name: math.fsum(usable_resources(one)[name] for one in held) / len(held) for name in RESOURCES
        }
        first = held[0]
        cores = math.fsum(one.cores for one in held) / len(held)
        cap = math.fsum(one.cap for one in held) / len(held)
        speed = mean["cores"] / cores / cap
        typical = (
            first
            if len(held) == 1
            else Planner(first.id, first.zone, first.model, cores, speed, first.slots, first.memory, cap)
        )
        kinds.append(Kind(held, first.zone, mean, typical))
    units = fleet.units if exact else max(fleet.units, UNITS_EACH * len(fleet.planners))
    return ReducedFleet(fleet, wanted, kinds, units, exact)


def lateness(planner: Planner, mean_work: float, wait: float, total: float) -> list[tuple[float, float]]:
    """Chords (slope, at 0) of the late work at a planner, as a part of what the fleet can do, over its use of
    cores. The wait is Sakasegawa's approximation for M/M/c; what waits as long as it may counts as late.
    """
    cores = max(1.0, planner.cores)
    service = mean_work / planner.speed

    def late(use: float) -> float:
        if use >= 1.0:
            use = 0.999
        power: float = use ** (math.sqrt(2 * (cores + 1)) - 1)
        return use * planner.cores * planner.speed / total * power / (cores * (1 - use)) * service / wait

    points = [(use, late(use)) for use in KNOTS]
    chords, steepest = [], 0.0
    for (left, low), (right, high) in zip(points, points[1:], strict=False):
        steepest = max(steepest, (high - low) / (right - left))  # convex, whatever rounding says
        chords.append((steepest, low - steepest * left))
    return chords


def fleet_capacity(fleet: Fleet) -> float:
    """What the whole fleet can do, in s at speed 1 a second."""
    return math.fsum(planner.cores * planner.speed for planner in fleet.planners)


def crossing_cost(fleet: Fleet, group: Group, zone: str) -> float:
    """What one job of the group costs at a planner of that zone."""
    if zone == group.zone:
        return 0.0
    return fleet.constraints.crossing.get(f"{group.zone} > {zone}", fleet.constraints.default_crossing)


@dataclass
class Built:
    """The program with its columns by meaning."""

    reduced: ReducedFleet
    program: Program
    parts: dict[tuple[int, int], int]  # (group, kind): column of its units
    worst_use_column: int
    goals: list[dict[int, float]]
    use_rows: dict[int, tuple[int, str]] = field(default_factory=dict)  # row: kind, resource


def build(
    fleet: Fleet, before: Mapping[str, Mapping[str, int]] | None = None, whole: bool | None = None
) -> Built:
    """The program. Each part is a share of its group (0 to 1), or whole units of it."""
    made = reduce_fleet(fleet, whole)
    program, units = Program(), made.units if made.exact else 1
    parts: dict[tuple[int, int], int] = {}
    for g, group in enumerate(made.groups):
        for k, kind in enumerate(made.kinds):
            first = kind.planners[0]
            if first.slots >= group.slots and first.memory >= group.memory:
                parts[g, k] = program.add_column(0, units, made.exact)
        program.add_row(
            {parts[g, k]: 1.0 for k in range(len(made.kinds)) if (g, k) in parts},
            units,
            units,
            f"all of {group.name} is placed",
        )
    worst_use_column = program.add_column()
    use_rows: dict[int, tuple[int, str]] = {}
    late_columns: list[int] = []
    total = made.work
    mean_work = total / math.fsum(group.rate for group in made.groups) if made.groups else 1.0
    wait = (
        math.fsum(group.wait * group.rate for group in made.groups)
        / math.fsum(group.rate for group in made.groups)
        if made.groups
        else 1.0
    )
    used: dict[tuple[int, str], int] = {}  # each planner's use of a resource, of its cap
    for k, kind in enumerate(made.kinds):
        for name in RESOURCES:
            terms = {
                column: resource_demand(made.groups[g])[name]
                / units
                / len(kind.planners)
                / kind.usable_resources[name]
                for (g, one), column in parts.items()
                if one == k and resource_demand(made.groups[g])[name] > 0 and kind.usable_resources[name] > 0
            }
            if not terms:
                continue
            column = used[k, name] = program.add_column()
            program.add_row(terms | {column: -1.0}, 0, 0)
            program.add_row({column: 1.0}, -INFINITY, 1.0, f"{name} of {_named(kind)}")
            use_rows[len(program.rows)] = (k, name)
            program.add_row({column: 1.0, worst_use_column: -1.0}, -INFINITY, 0)
        shares = (
            {
                column: made.groups[g].work / units / len(kind.planners) / total
                for (g, one), column in parts.items()
                if one == k
            }
            if total
            else {}
        )
        if shares and fleet.constraints.most < 1:
            program.add_row(shares, -INFINITY, fleet.constraints.most, f"most of {_named(kind)}")
        if shares and kind.planners[0].excluded:
            program.add_row(shares, -INFINITY, 0, f"{_named(kind)} is excluded")
        pinned = kind.planners[0].pinned
        if pinned is not None and total:
            # Without any group that it can hold, nothing is what it carries.
            slack = max((group.work for group in made.groups), default=0.0) / units / total / 2 * made.exact
            program.add_row(shares, pinned - slack, pinned + slack, f"{_named(kind)} is pinned")
        if (k, "cores") in used:
            late = program.add_column()
            late_columns.append(late)
            for slope, at_zero in lateness(kind.typical, mean_work, wait, fleet_capacity(fleet)):
                count = len(kind.planners)
                program.add_row(
                    {used[k, "cores"]: slope * count * kind.typical.cap, late: -1.0},
                    -INFINITY,
                    -at_zero * count,
                )
    _losses(made, program, parts, used, worst_use_column, units)
    _floors(made, program)
    goals: list[dict[int, float]] = [
        {worst_use_column: 1.0},
        dict.fromkeys(late_columns, 1.0),
        {
            column: made.groups[g].rate / units * crossing_cost(fleet, made.groups[g], made.kinds[k].zone)
            for (g, k), column in parts.items()
        },
    ]
    goals.append(_movement(made, program, parts, before, units) if before is not None else {})
    golden = (math.sqrt(5) - 1) / 2
    goals.append(
        {column: k + 0.5 * ((g * len(made.kinds) + k + 1) * golden % 1.0) for (g, k), column in parts.items()}
    )
    return Built(made, program, parts, worst_use_column, goals, use_rows)


def _named(kind: Kind) -> str:
    first = kind.planners[0].id
    return first if len(kind.planners) == 1 else f"each of {len(kind.planners)} like {first}"


def _losses(
    made: ReducedFleet,
    program: Program,
    parts: Mapping[tuple[int, int], int],
    used: Mapping[tuple[int, str], int],
    worst_use_column: int,
    units: int,
) -> None:
    """Each planner's use with one zone lost, whose load moves to the others in proportion to capacity."""
    for zone in made.zones():
        for name in RESOURCES:
            load = {
                column: resource_demand(made.groups[g])[name] / units
                for (g, k), column in parts.items()
                if made.kinds[k].zone == zone and resource_demand(made.groups[g])[name] > 0
            }
            if not load:
                continue
            lost = program.add_column()
            program.add_row(load | {lost: -1.0}, 0, 0)
            for k, kind in enumerate(made.kinds):
                if kind.zone == zone or kind.usable_resources[name] <= 0:
                    continue
                terms = {lost: made.moved(kind, zone) / kind.usable_resources[name]}
                if (k, name) in used:
                    terms[used[k, name]] = 1.0
                program.add_row(terms | {worst_use_column: -1.0}, -INFINITY, 0)
                if made.fleet.constraints.headroom == "zone":
                    program.add_row(terms, -INFINITY, 1.0, f"{name} of {_named(kind)} without {zone}")


def _floors(made: ReducedFleet, program: Program) -> None:
    """Capacity beside the demand, so that each tenant could have its share of all work."""
    asked = work_by_tenant(made.fleet)
    total = math.fsum(
        kind.capacity * len(kind.planners) for kind in made.kinds if not kind.planners[0].excluded
    )
    work = made.work
    for floor in made.fleet.constraints.floors:
        kept = max(0.0, floor.share * total - asked.get(floor.tenant, 0.0))
        if kept:
            one = program.add_column(1.0, 1.0)
            program.add_row({one: kept}, -INFINITY, total - work, f"share of {floor.tenant}")


def _movement(
    made: ReducedFleet,
    program: Program,
    parts: Mapping[tuple[int, int], int],
    before: Mapping[str, Mapping[str, int]],
    units: int,
) -> dict[int, float]:
    """The jobs a second that go elsewhere than by the plan in force."""
    goal: dict[int, float] = {}
    for (g, k), column in parts.items():
        group, kind = made.groups[g], made.kinds[k]
        held = before.get(group.name, {})
        whole = sum(held.values()) or 1
        old = math.fsum(held.get(planner.id, 0) for planner in kind.planners) / whole * units
        away = program.add_column()
        program.add_row({column: 1.0, away: -1.0}, -INFINITY, old)
        program.add_row({column: -1.0, away: -1.0}, -INFINITY, -old)
        goal[away] = group.rate / units / 2
    return goal


# ---- from a solution to parts


@dataclass
class SolveResult:
    """A plan's parts, or why there is none."""

    parts: Parts | None
    units: int
    goals: list[float]  # what the program reached for GOALS
    exact: bool
    conflict: dict[str, str] = field(default_factory=dict)  # constraint: what it is short of, alone
    relaxed: dict[str, float] = field(default_factory=dict)  # constraint: by how much the plan oversteps it
    basis: Any = None


def solve(
    fleet: Fleet,
    before: Mapping[str, Mapping[str, int]] | None = None,
    basis: Any = None,
    whole: bool | None = None,
) -> SolveResult:
    """The plan by the goals in order, or the smallest set in conflict, with the plan that oversteps least."""
    built = build(fleet, before, whole)
    if not built.reduced.groups:
        return SolveResult({}, built.reduced.units, [0.0] * len(GOALS), True)
    solver = Solver(built.program)
    solver.set_start_basis(basis)
    solution = solver.solve(built.goals)
    if solution is not None:
        return SolveResult(
            _parts(built, solution.values),
            built.reduced.units,
            solution.goals[: len(GOALS)],
            built.reduced.exact,
            basis=solution.basis,
        )
    conflict = smallest_conflict(built.program)
    short = {name: _short(built, name, conflict) for name in conflict}
    over, values = _relax(built)
    parts = _parts(built, values) if values is not None else None
    return SolveResult(parts, built.reduced.units, [], built.reduced.exact, short, over)


def _elastic(program: Program, names: set[str], hard: set[str]) -> tuple[Program, dict[str, list[int]]]:
    """The program with slack for these constraints, of the others only `hard`."""
    made = Program(list(program.lower), list(program.upper), list(program.integer))
    slacks: dict[str, list[int]] = {}
    for row in program.rows:
        terms = dict(row.terms)
        if row.name in names:
            if row.lower > -INFINITY:
                under = made.add_column()
                terms[under] = 1.0
                slacks.setdefault(row.name, []).append(under)
            if row.upper < INFINITY:
                over = made.add_column()
                terms[over] = -1.0
                slacks.setdefault(row.name, []).append(over)
        elif row.name and row.name not in hard:
            continue
        made.rows.append(Row(terms, row.lower, row.upper, row.name, row.scale))
    return made, slacks


def _short(built: Built, name: str, conflict: list[str]) -> str:
    """By how much this constraint alone would have to give, the conflict's others held, in its own words:
    cores, slots or units of memory of such a planner, jobs a second that find no place, parts of the load.
    """
    program = built.program
    made, slacks = _elastic(program, {name}, set(conflict) - {name})
    solution = Solver(made).solve([dict.fromkeys(slacks[name], 1.0)])
    if solution is None:
        return "more than it alone can give"
    scale = next(row.scale for row in program.rows if row.name == name)
    amount = solution.goals[0] * scale
    for kind in built.reduced.kinds:
        for resource in RESOURCES:
            if f"{name} without ".startswith(f"{resource} of {_named(kind)} without "):
                # A use is a part of the cap; what is missing grows by it.
                first = kind.planners[0]
                have = {"cores": first.cores, "slots": first.slots, "memory": first.memory}[resource]
                return f"{amount * have * first.cap:.4g} {resource} in {kind.zone}"
    for group in built.reduced.groups:
        if name == f"all of {group.name} is placed":
            units = built.reduced.units if built.reduced.exact else 1
            return f"{amount / units * group.rate:.4g} jobs a second from {group.zone}"
    return f"{amount:.4g} s of cores a second" if name.startswith("share of") else f"{amount:.4g} of the load"


def _relax(built: Built) -> tuple[dict[str, float], Any]:
    """The least sum of oversteps, and among the plans with it the best by the goals."""
    program = built.program
    placed = {name for name in program.names() if name.endswith(" is placed")}
    for soft in (set(program.names()) - placed, set(program.names())):
        made, slacks = _elastic(program, soft, set(program.names()) - soft)
        columns = [column for held in slacks.values() for column in held]
        solution = Solver(made).solve([dict.fromkeys(columns, 1.0), *built.goals])
        if solution is not None:
            over = {
                name: float(sum(solution.values[column] for column in held)) for name, held in slacks.items()
            }
            return {name: value for name, value in over.items() if value > 1e-7}, solution.values
    return {}, None


def _parts(built: Built, values: Any) -> Parts:
    """Whole units by planner: alike planners get alike parts, and remainders go by size, then by id."""
    made, parts = built.reduced, {}
    for g, group in enumerate(made.groups):
        wanted: list[tuple[str, float]] = []
        for k, kind in enumerate(made.kinds):
            if (g, k) in built.parts:
                value = float(values[built.parts[g, k]]) * (1 if made.exact else made.units)
                wanted += [(name, value * part) for name, part in kind.parts()]
        units = {name: math.floor(value + 1e-6) for name, value in wanted}
        missing = round(math.fsum(value for _, value in wanted)) - sum(units.values())
        by_rest = sorted(wanted, key=lambda one: (-(one[1] - units[one[0]]), one[0]))
        for name, _ in by_rest[: max(0, missing)]:
            units[name] += 1
        parts[group.name] = {name: count for name, count in sorted(units.items()) if count}
    return parts
