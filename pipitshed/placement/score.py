"""What a plan comes to, from its parts alone: judges any plan, ours or hand-made, without the solver."""

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

CLOSE = 1e-6  # by which a use may overstep its bound: rounding


@dataclass
class Score:
    """The goals' values and what the plan breaks."""

    worst_use: float = 0.0  # use of the worst planner, of its cap, with any one zone lost
    late: float = 0.0  # late work, as a part of what the fleet can do, estimated
    crossing: float = 0.0  # cost of crossings a second
    movement: float = 0.0  # jobs a second that go elsewhere than before
    use: dict[str, dict[str, float]] = field(default_factory=dict)  # planner: resource: part of its cap
    violations: dict[str, float] = field(default_factory=dict)  # constraint: by how much

    def vector(self) -> tuple[float, float, float, float]:
        return self.worst_use, self.late, self.crossing, self.movement


def score(
    fleet: Fleet,
    parts: Mapping[str, Mapping[str, int]],
    units: int,
    before: Mapping[str, Mapping[str, int]] | None = None,
) -> Score:
    """The score of these parts (group: planner: units)."""
    made, wanted = Score(), groups(fleet)
    by_id = {planner.id: planner for planner in fleet.planners}
    load = {planner.id: dict.fromkeys(RESOURCES, 0.0) for planner in fleet.planners}
    total = math.fsum(group.work for group in wanted)
    shares = dict.fromkeys(by_id, 0.0)
    for group in wanted:
        held = parts.get(group.name, {})
        if sum(held.values()) != units:
            made.violations[f"all of {group.name} is placed"] = abs(units - sum(held.values())) / units
        for name, count in held.items():
            planner = by_id.get(name)
            if planner is None:
                made.violations[f"{name} is no planner of the fleet"] = count / units
                continue
            if (planner.slots < group.slots or planner.memory < group.memory) and count:
                made.violations[f"{name} can't hold a job of {group.name}"] = count / units
            for resource, need in resource_demand(group).items():
                load[name][resource] += need * count / units
            shares[name] += group.work * count / units / total
            made.crossing += group.rate * count / units * crossing_cost(fleet, group, planner.zone)
    _uses(fleet, made, load)
    _lates(fleet, made, load, total, wanted)
    _constraints(fleet, made, shares, units, wanted, total)
    if before is not None:
        for group in wanted:
            held, old = parts.get(group.name, {}), before.get(group.name, {})
            whole = sum(old.values()) or 1
            made.movement += (
                group.rate
                / 2
                * sum(
                    abs(held.get(name, 0) / units - old.get(name, 0) / whole)
                    for name in {*held, *old} & by_id.keys()
                )
            )
    return made


def _uses(fleet: Fleet, made: Score, load: dict[str, dict[str, float]]) -> None:
    zones = sorted({planner.zone for planner in fleet.planners})
    for planner in fleet.planners:
        have = usable_resources(planner)
        made.use[planner.id] = {}
        for name in RESOURCES:
            used = load[planner.id][name]
            part = used / have[name] if have[name] > 0 else math.inf if used else 0.0
            made.use[planner.id][name] = part
            made.worst_use = max(made.worst_use, part)
            if part > 1 + CLOSE:
                made.violations[f"{name} of {planner.id}"] = part - 1
    for zone in zones if len(zones) > 1 else []:
        rest = math.fsum(usable_resources(one)["cores"] for one in fleet.planners if one.zone != zone)
        for name in RESOURCES:
            lost = math.fsum(load[one.id][name] for one in fleet.planners if one.zone == zone)
            for planner in fleet.planners:
                have = usable_resources(planner)
                if planner.zone == zone or have[name] <= 0 or not rest:
                    continue
                part = (load[planner.id][name] + lost * have["cores"] / rest) / have[name]
                made.worst_use = max(made.worst_use, part)
                if fleet.constraints.headroom == "zone" and part > 1 + CLOSE:
                    made.violations[f"{name} of {planner.id} without {zone}"] = part - 1


def _lates(
    fleet: Fleet, made: Score, load: dict[str, dict[str, float]], total: float, wanted: list[Group]
) -> None:
    rate = math.fsum(group.rate for group in wanted)
    if not rate:
        return
    wait = math.fsum(group.wait * group.rate for group in wanted) / rate
    for planner in fleet.planners:
        use = load[planner.id]["cores"] / (planner.cores * planner.speed)
        made.late += max(
            slope * use + at_zero
            for slope, at_zero in lateness(planner, total / rate, wait, fleet_capacity(fleet))
        )


def _constraints(
    fleet: Fleet, made: Score, shares: dict[str, float], units: int, wanted: list[Group], total: float
) -> None:
    slack = max((group.work for group in wanted), default=0.0) / units / total / 2 if total else 0.0
    for planner in fleet.planners:
        share = shares[planner.id]
        if share > fleet.constraints.most + CLOSE:
            made.violations[f"most of {planner.id}"] = share - fleet.constraints.most
        if planner.excluded and share > CLOSE:
            made.violations[f"{planner.id} is excluded"] = share
        if planner.pinned is not None and abs(share - planner.pinned) > slack + CLOSE:
            made.violations[f"{planner.id} is pinned"] = abs(share - planner.pinned)
    asked = work_by_tenant(fleet)
    have = math.fsum(usable_resources(planner)["cores"] for planner in fleet.planners if not planner.excluded)
    for floor in fleet.constraints.floors:
        kept = max(0.0, floor.share * have - asked.get(floor.tenant, 0.0))
        if kept > have - total + CLOSE * max(1.0, have):
            made.violations[f"share of {floor.tenant}"] = kept - (have - total)


def capacity(planner: Planner) -> float:
    """What a planner can do, in s at speed 1 a second."""
    return usable_resources(planner)["cores"]
