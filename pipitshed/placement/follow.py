"""Route table and plan in, weights out: what a scheduler follows, without I/O and without the solver.

A weight is a planner's part of the zone's jobs of one class, per hundred thousand. Between plans, and as
planners come and go, weights are eased: no step shifts more than STEP of a class's load.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from pipitshed.placement.plan import Plan, PlanError
from pipitshed.scheduling.events import EndpointEntry, EndpointState, WorkerId

SCALE = 100_000.0
MAX_LOAD_SHIFT_PER_STEP = 0.1  # part of a class's load that one step may shift
STEP_INTERVAL_S = 1.0  # s between steps

Weights = dict[WorkerId, tuple[float, ...]]


@dataclass
class Follower:
    """The plan in force and how far it is eased in."""

    zone: str
    classes: Sequence[str]  # by number; one that was changed stands here again by the same name
    cold: float = 0.0  # ms for which a planner that has just started is cold
    plan: Plan | None = None
    _eased: dict[str, dict[WorkerId, float]] = field(default_factory=dict)  # by class: parts in force
    moving: bool = False  # the last step did not come to the plan's own parts yet

    def offer(self, plan: Plan, now: float, listed: Iterable[EndpointEntry]) -> None:
        """Take a plan whole; PlanError with the reason, and the one in force stands. `now`: Unix time, s."""
        if self.plan is not None and plan.number < self.plan.number:
            raise PlanError(f"is number {plan.number}, older than {self.plan.number} in force")
        if now > plan.made + plan.life_s:
            raise PlanError("has outlived its life")
        if not any(group.startswith(f"{self.zone}/") for group in plan.parts):
            raise PlanError(f"has nothing for zone {self.zone}")
        known = {entry.worker.decode() for entry in listed if entry.state is not EndpointState.REMOVED}
        used = {
            name
            for group, held in plan.parts.items()
            for name, units in held.items()
            if units and group.startswith(f"{self.zone}/")
        }
        if known and not known & used:
            raise PlanError("is for another fleet: no planner that it uses is listed")
        self.plan = plan

    def weights(self, entries: Iterable[EndpointEntry], now: float) -> Weights | None:
        """The weights by class of each ready planner; None where the list's own count: no plan, or its life
        is over. `now`: Unix time, s.
        """
        if self.plan is not None and now > self.plan.made + self.plan.life_s:
            self.plan = None
        if self.plan is None:
            self._eased.clear()
            return None
        ready = {entry.worker: entry for entry in entries if entry.state is EndpointState.READY}
        listed, names = self._listed(ready), dict.fromkeys(self.classes)
        wanted = {name: self._warm(self._wanted(self.plan, name, ready), ready, now) for name in names}
        self.moving = False
        self._eased = {name: self._ease(self._eased.get(name, listed), wanted[name], ready) for name in names}
        parts = [self._eased[name] for name in self.classes]
        return {worker: tuple(SCALE * held.get(worker, 0.0) for held in parts) for worker in ready}

    @staticmethod
    def _listed(ready: Mapping[WorkerId, EndpointEntry]) -> dict[WorkerId, float]:
        total = sum(entry.weight for entry in ready.values()) or 1.0
        return {worker: entry.weight / total for worker, entry in ready.items()}

    def _warm(
        self, parts: dict[WorkerId, float], ready: Mapping[WorkerId, EndpointEntry], now: float
    ) -> dict[WorkerId, float]:
        """Guards cold planners: none is raised above what the list itself would give it."""
        cold = [worker for worker, entry in ready.items() if now * 1000 - entry.started_at_ms < self.cold]
        listed = self._listed(ready) if cold else {}
        return parts | {worker: min(parts[worker], listed[worker]) for worker in cold}

    def _wanted(
        self, plan: Plan, job_class: str, ready: Mapping[WorkerId, EndpointEntry]
    ) -> dict[WorkerId, float]:
        """The plan's parts among those that are ready. One that it does not know gets what its listed weight
        is to those known, scaled to what the plan gives these.
        """
        held = plan.parts.get(f"{self.zone}/{job_class}")
        if held is None:
            return self._listed(ready)
        parts: dict[WorkerId, float] = {}
        known_weight = known_part = 0.0
        strangers = []
        for worker, entry in ready.items():
            name = worker.decode("utf-8", "replace")
            if name in plan.planners:
                parts[worker] = held.get(name, 0) / plan.units
                known_weight += entry.weight
                known_part += parts[worker]
            else:
                strangers.append(worker)
        for worker in strangers:
            parts[worker] = (
                ready[worker].weight * known_part / known_weight
                if known_weight and known_part
                else ready[worker].weight
            )
        total = sum(parts.values())
        # What the plan wants nothing on, and nothing else is there: the list's weights, rather than nowhere.
        return {worker: part / total for worker, part in parts.items()} if total else self._listed(ready)

    def _ease(
        self,
        old: Mapping[WorkerId, float],
        new: Mapping[WorkerId, float],
        ready: Mapping[WorkerId, EndpointEntry],
    ) -> dict[WorkerId, float]:
        """One step towards the new parts. What has left frees its part at once, in proportion."""
        staying = {worker: part for worker, part in old.items() if worker in ready}
        total = sum(staying.values())
        # One that has come meanwhile begins with nothing, and is raised by steps.
        start = {
            worker: staying.get(worker, 0.0) / total if total else new.get(worker, 0.0) for worker in ready
        }
        shift = sum(abs(new.get(worker, 0.0) - part) for worker, part in start.items()) / 2
        if shift <= MAX_LOAD_SHIFT_PER_STEP:
            return {worker: new.get(worker, 0.0) for worker in ready}
        self.moving = True
        part = MAX_LOAD_SHIFT_PER_STEP / shift
        return {worker: held + part * (new.get(worker, 0.0) - held) for worker, held in start.items()}
