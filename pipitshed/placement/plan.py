"""A plan's file: numbered, with a checksum and a life; read whole or turned down with a reason."""

from __future__ import annotations

import hashlib
import math

import msgspec

FORMAT = 1


class PlanError(ValueError):
    """The plan can't be used; the text says why."""


class PlannerEntry(msgspec.Struct, frozen=True):
    """What the plan knows of one planner."""

    zone: str
    model: str
    capacity: float  # s at speed 1 a second, at its cap


class Plan(msgspec.Struct, frozen=True, omit_defaults=True):
    """Parts of each zone's jobs by class and planner, in whole units."""

    format: int
    number: int  # rises from plan to plan
    made: float  # Unix time, s
    life_s: float
    units: int
    planners: dict[str, PlannerEntry]
    parts: dict[str, dict[str, int]]  # `zone/class`: planner: units; they add up to `units`
    goals: dict[str, float] = {}
    exact: bool = True
    gap: float = 0.0  # by which the worst planner's use may lie over the best there is
    relaxed: dict[str, float] = {}  # constraints that it oversteps, and by how much
    checksum: str = ""


def _checksum(plan: Plan) -> str:
    without_checksum = msgspec.structs.replace(plan, checksum="")
    return hashlib.sha256(msgspec.json.encode(without_checksum, order="sorted")).hexdigest()


def write(plan: Plan) -> bytes:
    """The file's bytes, with the checksum."""
    with_checksum = msgspec.structs.replace(plan, checksum=_checksum(plan))
    return msgspec.json.format(msgspec.json.encode(with_checksum), indent=1) + b"\n"


def read(data: bytes) -> Plan:
    """The plan; PlanError where it is half written, changed by hand or of no use."""
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except msgspec.MsgspecError as error:
        raise PlanError(f"is no plan: {error}") from None
    if plan.format != FORMAT:
        raise PlanError(f"is of format {plan.format}, not {FORMAT}")
    if plan.checksum != _checksum(plan):
        raise PlanError("does not add up to its checksum: it is half written or was changed")
    if plan.units < 1 or not math.isfinite(plan.made) or not 0 < plan.life_s < math.inf:
        raise PlanError("has no units, no time or no life")
    for group, units_by_planner in plan.parts.items():
        if (
            "/" not in group
            or any(units < 0 for units in units_by_planner.values())
            or (not plan.relaxed and sum(units_by_planner.values()) != plan.units)
        ):
            raise PlanError(f"{group} does not add up to {plan.units} units")
        if unknown_planners := units_by_planner.keys() - plan.planners.keys():
            raise PlanError(
                f"{group} names planners that the plan does not describe: {sorted(unknown_planners)[0]}"
            )
    return plan
