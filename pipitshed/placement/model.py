"""The fleet file: planners, demand and constraints, parsed and validated; errors name the line."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterator
from typing import Literal

import msgspec

from pipitshed.protocols.toml import line_of_item

MIN_FIGURE, MAX_FIGURE = 1e-9, 1e9  # bounds of every figure that is not 0


class Planner(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """One planner: a worker as the fleet file describes it."""

    id: str
    zone: str
    model: str = "standard"
    cores: float = 4.0
    speed: float = 1.0  # of one core, relative to a reference core
    slots: float = 8.0
    memory: float = 1e9  # units
    cap: float = 1.0  # largest fraction of its cores, slots and memory that the plan may use
    excluded: bool = False
    pinned: float | None = None  # exact fraction of the fleet's whole work that it must get


class Schedulers(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The schedulers of one zone. Demand without a zone arrives at the zones in proportion to the counts."""

    zone: str
    count: int = 1


class Demand(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The jobs of one class and tenant."""

    job_class: str = msgspec.field(name="class")
    rate: float = 0.0  # jobs per second
    work: float = 1.0  # s of one core at speed 1, per job
    tenant: str = ""
    slots: float = 1.0  # per job
    memory: float = 0.0  # units per job
    wait: float = 1.0  # s that a job may wait and still be in time
    zone: str = ""  # where the jobs arrive; if empty, in proportion to the counts of schedulers


class Floor(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """A tenant's guaranteed share of the fleet's capacity, reserved even while the tenant does not use it."""

    tenant: str
    share: float


class Constraints(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The constraints that a plan must satisfy besides the capacity of each planner."""

    headroom: Literal["none", "zone"] = "none"  # zone: if any one zone fails, the others can carry all load
    most: float = 1.0  # largest fraction of the fleet's whole work that one planner may get
    floors: tuple[Floor, ...] = ()
    crossing: dict[str, float] = {}  # cost per job that zone b runs for zone a, by `a > b`
    default_crossing: float = 1.0  # cost per job for pairs of zones that `crossing` does not name


class Fleet(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, frozen=True):
    """The content of a fleet file."""

    planners: tuple[Planner, ...]
    schedulers: tuple[Schedulers, ...] = ()
    demand: tuple[Demand, ...] = ()
    constraints: Constraints = Constraints()
    units: int = 1000  # into which each group's jobs are divided
    life_s: float = 86_400.0  # how long a plan is valid


class FleetError(ValueError):
    """The fleet file is invalid. The message has one line for each problem."""


def read(text: str) -> Fleet:
    """Parse and validate the text of a fleet file; FleetError lists all problems."""
    try:
        fleet = msgspec.convert(tomllib.loads(text), Fleet)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FleetError(str(error)) from None
    problems = [f"line {line}: {location}: {problem}" for line, location, problem in _problems(fleet, text)]
    if problems:
        raise FleetError("\n".join(problems))
    return fleet


def _in_range(value: float, zero_allowed: bool = True) -> bool:
    return math.isfinite(value) and ((zero_allowed and value == 0) or MIN_FIGURE <= value <= MAX_FIGURE)


def _problems(fleet: Fleet, text: str) -> Iterator[tuple[int, str, str]]:
    seen_ids: set[str] = set()
    zones = {planner.zone for planner in fleet.planners} | {entry.zone for entry in fleet.schedulers}
    if not fleet.planners:
        yield 1, "planners", "the fleet has none"
    if fleet.units < 1:
        yield 1, "units", "must be 1 or more"
    if not _in_range(fleet.life_s, False):
        yield 1, "life-s", "is out of range"
    for index, planner in enumerate(fleet.planners):
        location = f"planner {planner.id or index}"
        if not planner.id or planner.id in seen_ids:
            yield line_of_item(text, "planners", index, "id"), location, "has no unique id"
        seen_ids.add(planner.id)
        for name in ("cores", "speed", "slots", "memory", "cap"):
            if not _in_range(getattr(planner, name), name in ("slots", "memory")):
                yield line_of_item(text, "planners", index, name), location, f"{name} is out of range"
        if planner.pinned is not None and not 0 <= planner.pinned <= 1:
            yield (
                line_of_item(text, "planners", index, "pinned"),
                location,
                "pinned is not a fraction from 0 to 1",
            )
        if planner.excluded and planner.pinned:
            yield line_of_item(text, "planners", index, "pinned"), location, "is both excluded and pinned"
    for index, entry in enumerate(fleet.schedulers):
        if entry.count < 0:
            yield (
                line_of_item(text, "schedulers", index, "count"),
                f"schedulers {entry.zone}",
                "count is below 0",
            )
    for index, demand in enumerate(fleet.demand):
        location = f"demand {demand.job_class} {demand.tenant}".rstrip()
        for name in ("rate", "work", "slots", "memory", "wait"):
            if not _in_range(getattr(demand, name), name not in ("work", "slots", "wait")):
                yield line_of_item(text, "demand", index, name), location, f"{name} is out of range"
        if demand.zone and demand.zone not in zones:
            yield line_of_item(text, "demand", index, "zone"), location, f"there is no zone {demand.zone!r}"
        if not demand.zone and not any(entry.count > 0 for entry in fleet.schedulers):
            yield (
                line_of_item(text, "demand", index),
                location,
                "has no zone, and the fleet has no schedulers",
            )
    total = sum(floor.share for floor in fleet.constraints.floors)
    if total > 1 + 1e-9 or any(not 0 <= floor.share <= 1 for floor in fleet.constraints.floors):
        yield (
            1,
            "constraints.floors",
            f"the shares add up to {total:g}; each must be 0 to 1, all together 1 at most",
        )
    if not 0 < fleet.constraints.most <= 1:
        yield 1, "constraints.most", "is not a fraction above 0 and up to 1"


class Group(msgspec.Struct, frozen=True):
    """The jobs of one class that arrive at one zone, summed over tenants."""

    zone: str
    job_class: str
    rate: float  # jobs per second
    work: float  # s of cores at speed 1, per second
    slot_work: float  # slots times s at speed 1, per second
    memory_work: float  # memory units times s at speed 1, per second
    slots: float  # largest number of slots that one of its jobs takes
    memory: float  # largest number of memory units that one of its jobs takes
    wait: float  # mean wait that its jobs allow, in s

    @property
    def name(self) -> str:
        return f"{self.zone}/{self.job_class}"


def groups(fleet: Fleet) -> list[Group]:
    """All groups with a rate above 0, sorted by zone and class."""
    rates_by_group: dict[tuple[str, str], list[tuple[Demand, float]]] = {}
    scheduler_count = sum(entry.count for entry in fleet.schedulers)
    for demand in fleet.demand:
        zone_fractions = (
            [(demand.zone, 1.0)]
            if demand.zone
            else [
                (entry.zone, entry.count / scheduler_count) for entry in fleet.schedulers if entry.count > 0
            ]
        )
        for zone, fraction in zone_fractions:
            if demand.rate > 0:
                rates_by_group.setdefault((zone, demand.job_class), []).append(
                    (demand, demand.rate * fraction)
                )
    result = []
    for (zone, job_class), demands in sorted(rates_by_group.items()):
        rate = math.fsum(demand_rate for _, demand_rate in demands)
        result.append(
            Group(
                zone,
                job_class,
                rate,
                math.fsum(demand_rate * demand.work for demand, demand_rate in demands),
                math.fsum(demand_rate * demand.work * demand.slots for demand, demand_rate in demands),
                math.fsum(demand_rate * demand.work * demand.memory for demand, demand_rate in demands),
                max(demand.slots for demand, _ in demands),
                max(demand.memory for demand, _ in demands),
                math.fsum(demand_rate * demand.wait for demand, demand_rate in demands) / rate,
            )
        )
    return result


def work_by_tenant(fleet: Fleet) -> dict[str, float]:
    """The work that each tenant demands, in s of cores at speed 1 per second."""
    work: dict[str, float] = {}
    for demand in fleet.demand:
        work[demand.tenant] = work.get(demand.tenant, 0.0) + demand.rate * demand.work
    return work
