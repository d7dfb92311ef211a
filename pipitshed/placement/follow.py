"""Computes the weights by which a scheduler follows a plan; no I/O, and no import of the solver.

A weight is a planner's fraction of the zone's jobs of one class, times 100,000. When the plan or the set of
ready planners changes, the weights approach the new values in steps; no step shifts more than
MAX_LOAD_SHIFT_PER_STEP of a class's load.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from pipitshed.placement.plan import Plan, PlanError
from pipitshed.scheduling.events import EndpointEntry, EndpointState, WorkerId

WEIGHT_SCALE = 100_000.0
MAX_LOAD_SHIFT_PER_STEP = 0.1  # as a fraction of one class's load
STEP_INTERVAL_S = 1.0

Weights = dict[WorkerId, tuple[float, ...]]


@dataclass
class Follower:
    """The current plan, and the fractions of each class's load that are in effect."""

    zone: str
    classes: Sequence[str]  # names by class number; a changed class has a second number with the same name
    slow_start_ms: float = 0.0  # time after its start during which a planner counts as cold
    plan: Plan | None = None
    _fractions: dict[str, dict[WorkerId, float]] = field(default_factory=dict)  # by class; now in effect
    in_transition: bool = False  # whether the last step did not yet reach the plan's fractions

    def offer(self, plan: Plan, now: float, listed: Iterable[EndpointEntry]) -> None:
        """Adopt a plan. If it can't be used, raise PlanError with the reason and keep the current plan.

        `now` is Unix time in s.
        """
        if self.plan is not None and plan.number < self.plan.number:
            raise PlanError(f"has number {plan.number}, older than {self.plan.number} of the current plan")
        if now > plan.made + plan.life_s:
            raise PlanError("has expired")
        if not any(group.startswith(f"{self.zone}/") for group in plan.parts):
            raise PlanError(f"places no jobs of zone {self.zone}")
        listed_planners = {
            entry.worker.decode() for entry in listed if entry.state is not EndpointState.REMOVED
        }
        used_planners = {
            name
            for group, units_by_planner in plan.parts.items()
            for name, units in units_by_planner.items()
            if units and group.startswith(f"{self.zone}/")
        }
        if listed_planners and not listed_planners & used_planners:
            raise PlanError("is for another fleet: it uses no planner of the endpoint list")
        self.plan = plan

    def weights(self, entries: Iterable[EndpointEntry], now: float) -> Weights | None:
        """Take one step, and return each ready planner's weights by class number.

        None if there is no plan or the plan has expired: the endpoint list's weights apply then. `now` is
        Unix time in s.
        """
        if self.plan is not None and now > self.plan.made + self.plan.life_s:
            self.plan = None
        if self.plan is None:
            self._fractions.clear()
            return None
        ready = {entry.worker: entry for entry in entries if entry.state is EndpointState.READY}
        listed_fractions, class_names = self._listed_fractions(ready), dict.fromkeys(self.classes)
        target = {
            name: self._limit_cold(self._planned_fractions(self.plan, name, ready), ready, now)
            for name in class_names
        }
        self.in_transition = False
        self._fractions = {
            name: self._next_step(self._fractions.get(name, listed_fractions), target[name], ready)
            for name in class_names
        }
        fractions_by_class = [self._fractions[name] for name in self.classes]
        return {
            worker: tuple(WEIGHT_SCALE * fractions.get(worker, 0.0) for fractions in fractions_by_class)
            for worker in ready
        }

    @staticmethod
    def _listed_fractions(ready: Mapping[WorkerId, EndpointEntry]) -> dict[WorkerId, float]:
        total = sum(entry.weight for entry in ready.values()) or 1.0
        return {worker: entry.weight / total for worker, entry in ready.items()}

    def _limit_cold(
        self, fractions: dict[WorkerId, float], ready: Mapping[WorkerId, EndpointEntry], now: float
    ) -> dict[WorkerId, float]:
        """Limit cold planners to the fractions that the endpoint list's weights would give them."""
        cold_workers = [
            worker for worker, entry in ready.items() if now * 1000 - entry.started_at_ms < self.slow_start_ms
        ]
        listed_fractions = self._listed_fractions(ready) if cold_workers else {}
        return fractions | {
            worker: min(fractions[worker], listed_fractions[worker]) for worker in cold_workers
        }

    def _planned_fractions(
        self, plan: Plan, job_class: str, ready: Mapping[WorkerId, EndpointEntry]
    ) -> dict[WorkerId, float]:
        """The plan's fractions for the planners that are ready.

        A planner that the plan does not know gets a fraction in proportion to its listed weight, scaled by
        the ratio of planned fraction to listed weight of the known planners.
        """
        units_by_planner = plan.parts.get(f"{self.zone}/{job_class}")
        if units_by_planner is None:
            return self._listed_fractions(ready)
        fractions: dict[WorkerId, float] = {}
        known_weight = known_fraction = 0.0
        unknown_workers = []
        for worker, entry in ready.items():
            name = worker.decode("utf-8", "replace")
            if name in plan.planners:
                fractions[worker] = units_by_planner.get(name, 0) / plan.units
                known_weight += entry.weight
                known_fraction += fractions[worker]
            else:
                unknown_workers.append(worker)
        for worker in unknown_workers:
            fractions[worker] = (
                ready[worker].weight * known_fraction / known_weight
                if known_weight and known_fraction
                else ready[worker].weight
            )
        total = sum(fractions.values())
        # If the plan gives no jobs to any ready planner, the listed weights apply: jobs must go somewhere.
        return (
            {worker: fraction / total for worker, fraction in fractions.items()}
            if total
            else self._listed_fractions(ready)
        )

    def _next_step(
        self,
        old: Mapping[WorkerId, float],
        new: Mapping[WorkerId, float],
        ready: Mapping[WorkerId, EndpointEntry],
    ) -> dict[WorkerId, float]:
        """One step from the old fractions towards the new ones.

        The whole fraction of a planner that has left goes to the others in this step, in proportion.
        """
        remaining = {worker: fraction for worker, fraction in old.items() if worker in ready}
        total = sum(remaining.values())
        # A planner that has become ready since the last step starts at 0.
        start = {
            worker: remaining.get(worker, 0.0) / total if total else new.get(worker, 0.0) for worker in ready
        }
        load_shift = sum(abs(new.get(worker, 0.0) - fraction) for worker, fraction in start.items()) / 2
        if load_shift <= MAX_LOAD_SHIFT_PER_STEP:
            return {worker: new.get(worker, 0.0) for worker in ready}
        self.in_transition = True
        fraction = MAX_LOAD_SHIFT_PER_STEP / load_shift
        return {
            worker: start_fraction + fraction * (new.get(worker, 0.0) - start_fraction)
            for worker, start_fraction in start.items()
        }
