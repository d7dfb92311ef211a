"""The plan file: numbered, with a checksum and a validity period; accepted as a whole or not at all."""

from __future__ import annotations

import hashlib
import math

import msgspec

FORMAT = 1


class PlanError(ValueError):
    """The plan can't be used. The message is a predicate such as `has expired`; the caller names the plan."""


class PlannerEntry(msgspec.Struct, frozen=True):
    """One planner as the plan describes it."""

    zone: str
    model: str
    capacity: float  # s of work at speed 1 per second, with the planner's cap applied


class Plan(msgspec.Struct, frozen=True, omit_defaults=True):
    """Fractions of each zone's jobs by class and planner, in whole units."""

    format: int
    number: int  # increases from plan to plan
    made: float  # when the plan was made: Unix time in s
    life_s: float  # validity period, from `made`
    units: int  # into which each group's jobs are divided
    planners: dict[str, PlannerEntry]  # by planner id
    parts: dict[str, dict[str, int]]  # `zone/class`: planner id: units; each group adds up to `units`
    goals: dict[str, float] = {}  # by the names of solve.GOALS
    exact: bool = True  # whether the solver worked in whole units
    gap: float = 0.0  # upper bound of how far the worst use is above the optimum
    relaxed: dict[str, float] = {}  # violated constraint: by how much
    checksum: str = ""


def _checksum(plan: Plan) -> str:
    without_checksum = msgspec.structs.replace(plan, checksum="")
    return hashlib.sha256(msgspec.json.encode(without_checksum, order="sorted")).hexdigest()


def write(plan: Plan) -> bytes:
    """The plan file's bytes, with the checksum."""
    with_checksum = msgspec.structs.replace(plan, checksum=_checksum(plan))
    return msgspec.json.format(msgspec.json.encode(with_checksum), indent=1) + b"\n"


def read(data: bytes) -> Plan:
    """Parse a plan file; PlanError if it is truncated, was changed by hand or is inconsistent."""
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except msgspec.MsgspecError as error:
        raise PlanError(f"is not a valid plan file: {error}") from None
    if plan.format != FORMAT:
        raise PlanError(f"has format {plan.format} instead of {FORMAT}")
    if plan.checksum != _checksum(plan):
        raise PlanError("does not match its checksum: it is truncated or was changed")
    if plan.units < 1 or not math.isfinite(plan.made) or not 0 < plan.life_s < math.inf:
        raise PlanError("has an invalid value in units, made or life_s")
    for group, units_by_planner in plan.parts.items():
        if (
            "/" not in group
            or any(units < 0 for units in units_by_planner.values())
            or (not plan.relaxed and sum(units_by_planner.values()) != plan.units)
        ):
            raise PlanError(f"has units in group {group} that don't add up to {plan.units}")
        if unknown_planners := units_by_planner.keys() - plan.planners.keys():
            raise PlanError(
                f"uses planners in group {group} that it does not describe: {sorted(unknown_planners)[0]}"
            )
    return plan
