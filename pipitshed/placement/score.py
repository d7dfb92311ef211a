"""Scores any plan, solved or handwritten, from its parts alone; does not run the solver."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from pipitshed.placement.model import Fleet, Group, Planner, groups, work_by_tenant
from pipitshed.placement.solve import (
    RESOURCES,
    crossing_cost,
    fleet_capacity,
    lateness,
    resource_demand,
    usable_resources,
)

ROUNDING_TOLERANCE = 1e-6  # excess over a bound that counts as a rounding error


@dataclass
class Score:
    """The values of the goals, and the constraints that the plan violates."""

    worst_use: float = 0.0  # highest use of any planner, as a fraction of its cap, with up to one zone lost
    late: float = 0.0  # estimated late work, as a fraction of the fleet's capacity
    crossing: float = 0.0  # cost of jobs that run in another zone, per second
    movement: float = 0.0  # jobs per second that go to another planner than before
    use: dict[str, dict[str, float]] = field(default_factory=dict)  # planner: resource: fraction of its cap
    violations: dict[str, float] = field(default_factory=dict)  # constraint: by how much

    def vector(self) -> tuple[float, float, float, float]:
        return self.worst_use, self.late, self.crossing, self.movement


def score(
    fleet: Fleet,
    parts: Mapping[str, Mapping[str, int]],
    units: int,
    before: Mapping[str, Mapping[str, int]] | None = None,
) -> Score:
    """The score of a plan with these parts (group: planner: units), compared with the parts `before`."""
    result, job_groups = Score(), groups(fleet)
    by_id = {planner.id: planner for planner in fleet.planners}
    load = {planner.id: dict.fromkeys(RESOURCES, 0.0) for planner in fleet.planners}
    total = math.fsum(group.work for group in job_groups)
    shares = dict.fromkeys(by_id, 0.0)
    for group in job_groups:
        units_by_planner = parts.get(group.name, {})
        if sum(units_by_planner.values()) != units:
            result.violations[f"all of {group.name} is placed"] = (
                abs(units - sum(units_by_planner.values())) / units
            )
        for name, count in units_by_planner.items():
            planner = by_id.get(name)
            if planner is None:
                result.violations[f"{name} is not a planner of the fleet"] = count / units
                continue
            if (planner.slots < group.slots or planner.memory < group.memory) and count:
                result.violations[f"{name} can't hold a job of {group.name}"] = count / units
            for resource, need in resource_demand(group).items():
                load[name][resource] += need * count / units
            shares[name] += group.work * count / units / total
            result.crossing += group.rate * count / units * crossing_cost(fleet, group, planner.zone)
    _add_use(fleet, result, load)
    _add_late_work(fleet, result, load, total, job_groups)
    _add_violations(fleet, result, shares, units, job_groups, total)
    if before is not None:
        for group in job_groups:
            units_by_planner, units_before = parts.get(group.name, {}), before.get(group.name, {})
            total_before = sum(units_before.values()) or 1
            result.movement += (
                group.rate
                / 2
                * sum(
                    abs(units_by_planner.get(name, 0) / units - units_before.get(name, 0) / total_before)
                    for name in {*units_by_planner, *units_before} & by_id.keys()
                )
            )
    return result


def _add_use(fleet: Fleet, result: Score, load: dict[str, dict[str, float]]) -> None:
    zones = sorted({planner.zone for planner in fleet.planners})
    for planner in fleet.planners:
        available = usable_resources(planner)
        result.use[planner.id] = {}
        for name in RESOURCES:
            used = load[planner.id][name]
            fraction = used / available[name] if available[name] > 0 else math.inf if used else 0.0
            result.use[planner.id][name] = fraction
            result.worst_use = max(result.worst_use, fraction)
            if fraction > 1 + ROUNDING_TOLERANCE:
                result.violations[f"{name} of {planner.id}"] = fraction - 1
    for zone in zones if len(zones) > 1 else []:
        remaining_capacity = math.fsum(
            usable_resources(other)["cores"] for other in fleet.planners if other.zone != zone
        )
        for name in RESOURCES:
            lost_load = math.fsum(load[other.id][name] for other in fleet.planners if other.zone == zone)
            for planner in fleet.planners:
                available = usable_resources(planner)
                if planner.zone == zone or available[name] <= 0 or not remaining_capacity:
                    continue
                fraction = (
                    load[planner.id][name] + lost_load * available["cores"] / remaining_capacity
                ) / available[name]
                result.worst_use = max(result.worst_use, fraction)
                if fleet.constraints.headroom == "zone" and fraction > 1 + ROUNDING_TOLERANCE:
                    result.violations[f"{name} of {planner.id} without {zone}"] = fraction - 1


def _add_late_work(
    fleet: Fleet, result: Score, load: dict[str, dict[str, float]], total: float, job_groups: list[Group]
) -> None:
    rate = math.fsum(group.rate for group in job_groups)
    if not rate:
        return
    wait = math.fsum(group.wait * group.rate for group in job_groups) / rate
    for planner in fleet.planners:
        use = load[planner.id]["cores"] / (planner.cores * planner.speed)
        result.late += max(
            slope * use + at_zero
            for slope, at_zero in lateness(planner, total / rate, wait, fleet_capacity(fleet))
        )


def _add_violations(
    fleet: Fleet, result: Score, shares: dict[str, float], units: int, job_groups: list[Group], total: float
) -> None:
    slack = max((group.work for group in job_groups), default=0.0) / units / total / 2 if total else 0.0
    for planner in fleet.planners:
        share = shares[planner.id]
        if share > fleet.constraints.most + ROUNDING_TOLERANCE:
            result.violations[f"most of {planner.id}"] = share - fleet.constraints.most
        if planner.excluded and share > ROUNDING_TOLERANCE:
            result.violations[f"{planner.id} is excluded"] = share
        if planner.pinned is not None and abs(share - planner.pinned) > slack + ROUNDING_TOLERANCE:
            result.violations[f"{planner.id} is pinned"] = abs(share - planner.pinned)
    demanded = work_by_tenant(fleet)
    allowed_capacity = math.fsum(
        usable_resources(planner)["cores"] for planner in fleet.planners if not planner.excluded
    )
    for floor in fleet.constraints.floors:
        reserved = max(0.0, floor.share * allowed_capacity - demanded.get(floor.tenant, 0.0))
        if reserved > allowed_capacity - total + ROUNDING_TOLERANCE * max(1.0, allowed_capacity):
            result.violations[f"share of {floor.tenant}"] = reserved - (allowed_capacity - total)


def capacity(planner: Planner) -> float:
    """A planner's capacity with its cap applied, in s at speed 1 per second."""
    return usable_resources(planner)["cores"]
