"""Route table and plan in, weights out: what a scheduler follows, without I/O and without the solver.

A weight is a planner's part of the zone's jobs of one class, per hundred thousand. Between plans, and as
planners come and go, weights are eased: no step shifts more than STEP of a class's load.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from pipitshed.placement.plan import Plan, PlanError
from pipitshed.scheduling.events import EndpointEntry, EndpointState, WorkerId

WEIGHT_SCALE = 100_000.0
MAX_LOAD_SHIFT_PER_STEP = 0.1  # part of a class's load that one step may shift
STEP_INTERVAL_S = 1.0  # s between steps

Weights = dict[WorkerId, tuple[float, ...]]


@dataclass
class Follower:
    """The plan in force and how far it is eased in."""

    zone: str
    classes: Sequence[str]  # by number; one that was changed stands here again by the same name
    slow_start_ms: float = 0.0  # ms for which a planner that has just started is cold
    plan: Plan | None = None
    _fractions: dict[str, dict[WorkerId, float]] = field(default_factory=dict)  # by class: parts in force
    in_transition: bool = False  # the last step did not come to the plan's own parts yet

    def offer(self, plan: Plan, now: float, listed: Iterable[EndpointEntry]) -> None:
        """Take a plan whole; PlanError with the reason, and the one in force stands. `now`: Unix time, s."""
        if self.plan is not None and plan.number < self.plan.number:
            raise PlanError(f"is number {plan.number}, older than {self.plan.number} in force")
        if now > plan.made + plan.life_s:
            raise PlanError("has outlived its life")
        if not any(group.startswith(f"{self.zone}/") for group in plan.parts):
            raise PlanError(f"has nothing for zone {self.zone}")
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
            raise PlanError("is for another fleet: no planner that it uses is listed")
        self.plan = plan

    def weights(self, entries: Iterable[EndpointEntry], now: float) -> Weights | None:
        """The weights by class of each ready planner; None where the list's own count: no plan, or its life
        is over. `now`: Unix time, s.
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
        """Guards cold planners: none is raised above what the list itself would give it."""
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
        """The plan's parts among those that are ready. One that it does not know gets what its listed weight
        is to those known, scaled to what the plan gives these.
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
        # What the plan wants nothing on, and nothing else is there: the list's weights, rather than nowhere.
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
        """One step towards the new parts. What has left frees its part at once, in proportion."""
        remaining = {worker: fraction for worker, fraction in old.items() if worker in ready}
        total = sum(remaining.values())
        # One that has come meanwhile begins with nothing, and is raised by steps.
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
