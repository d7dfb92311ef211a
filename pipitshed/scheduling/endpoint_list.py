"""The endpoint list: applies discovery's updates to the workers, and removes departed workers in time."""

from __future__ import annotations

from itertools import takewhile

from pipitshed.scheduling import outlier_ejection
from pipitshed.scheduling.events import (
    UNKNOWN_ZONE,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    UpdateKind,
    WorkerId,
)
from pipitshed.scheduling.job_state import Scope, cell_scope
from pipitshed.scheduling.settings import Settings, WeightKind
from pipitshed.scheduling.weighted_pools import Pools
from pipitshed.scheduling.worker_state import Worker

LIVE_WEIGHT_SMOOTHING = 0.1  # weight of a new sample; live weights follow the load with a delay
DEPARTED_RETENTION_MS = 60_000.0  # longer than any ejection, except one that the worker requested
WEIGHT_COUNT = 3  # weights of a worker: the plan's, the list's and an equal one

PoolKey = tuple[int, frozenset[int] | None]  # a job's class and its compatible interfaces


class EndpointList:
    """The workers that discovery lists, and the weighted pools from which they are drawn."""

    __slots__ = ("settings", "workers", "departed_at_ms", "pools", "planned_workers")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.workers: dict[WorkerId, Worker] = {}
        self.departed_at_ms: dict[WorkerId, float] = {}  # of workers that are no longer listed, oldest first
        self.pools: Pools[Worker] = Pools(self._weights, WEIGHT_COUNT)
        self.planned_workers: set[WorkerId] = set()  # ready workers with weights from a placement plan

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; a change of the kind of weights rebuilds the pools."""
        if settings.weight_kind is not self.settings.weight_kind:
            self.pools.clear()
        has_new_zones = settings.zone_count != self.settings.zone_count
        self.settings = settings
        if has_new_zones:
            for worker in self.workers.values():
                self.pools.change_tags(worker, self._tags(worker))

    def apply_update(self, update: EndpointsUpdated, now_ms: float) -> None:
        """Apply an update of the list; a failed fetch changes nothing."""
        if update.kind is UpdateKind.FETCH_FAILED:
            return
        listed = set()
        for entry in update.entries:
            self._apply_entry(entry, now_ms)
            listed.add(entry.worker)
        if update.kind is not UpdateKind.DELTA:
            self._remove_all_except(listed, now_ms)
        self._remove_departed(now_ms)

    def _apply_entry(self, entry: EndpointEntry, now_ms: float) -> None:
        worker = self.workers.get(entry.worker)
        if worker is None:
            if entry.state is EndpointState.REMOVED:
                return
            worker = self.workers[entry.worker] = Worker(entry)
            self.pools.add(worker, self._tags(worker))
        elif (entry.zone, entry.cell) != (worker.zone, worker.cell):
            worker.zone, worker.cell = entry.zone, entry.cell
            self.pools.change_tags(worker, self._tags(worker))
        before = worker.selection_fields()
        if self.settings.weight_kind is WeightKind.LIVE:
            worker.weight += LIVE_WEIGHT_SMOOTHING * (entry.weight - worker.weight)
        elif entry.weight > 0:
            worker.weight = entry.weight
        worker.ready = entry.state is EndpointState.READY
        worker.kind = entry.worker_kind
        worker.job_classes = entry.job_classes
        worker.interface = entry.interface
        worker.planned_weights = entry.planned_weights
        if before != worker.selection_fields():
            self._update_weights(worker)
        if entry.state is EndpointState.REMOVED:
            self.departed_at_ms.setdefault(worker.id, now_ms)
        else:
            self.departed_at_ms.pop(worker.id, None)
        if entry.started_at_ms > worker.started_at_ms:
            worker.started_at_ms = entry.started_at_ms
            worker.slow_start_bucket = None
            outlier_ejection.end_all_ejections(worker)  # the ejections were due to the previous process

    def _remove_all_except(self, listed: set[WorkerId], now_ms: float) -> None:
        """Mark the workers that a snapshot lacks as departed."""
        for worker in self.workers.values():
            if worker.id not in listed:
                self.departed_at_ms.setdefault(worker.id, now_ms)
                if worker.ready:
                    worker.ready = False
                    self._update_weights(worker)

    def _remove_departed(self, now_ms: float) -> None:
        """Remove workers that departed long ago, except those with attempts in flight or an ejection.

        A list may lack a worker by mistake, so a worker that is listed again within the retention time keeps
        its state. A worker that is listed again later counts as new.
        """
        departed = self.departed_at_ms
        for worker_id in list(
            takewhile(lambda worker_id: departed[worker_id] <= now_ms - DEPARTED_RETENTION_MS, departed)
        ):
            worker = self.workers[worker_id]
            del departed[worker_id]
            if worker.in_flight_count or outlier_ejection.is_ejected(worker, now_ms):
                departed[worker_id] = now_ms  # moves the worker to the end, to be checked again
            else:
                del self.workers[worker_id]
                self.pools.remove(worker)

    def _update_weights(self, worker: Worker) -> None:
        """Apply a worker's changed fields to the weighted pools."""
        if worker.ready and worker.planned_weights:
            self.planned_workers.add(worker.id)
        else:
            self.planned_workers.discard(worker.id)
        self.pools.change(worker)

    def _tags(self, worker: Worker) -> tuple[Scope, ...]:
        """The scopes that a worker belongs to; they are the tags of its pools.

        Where there are several zones, a worker of unknown zone may be in any of them, so it recognises no
        other worker's jobs, and no other worker recognises its own.
        """
        own_cell = cell_scope(worker.cell, worker.id)
        if worker.zone == UNKNOWN_ZONE and self.settings.zone_count > 1:
            return None, own_cell
        return None, ("zone", worker.zone), own_cell

    @staticmethod
    def takes_class(worker: Worker, class_index: int) -> bool:
        """Whether the worker is listed as ready to take jobs of this class."""
        return worker.ready and (worker.job_classes is None or class_index in worker.job_classes)

    def _weights(self, worker: Worker, key: PoolKey) -> tuple[float, ...] | None:
        """A worker's weights for a pool key; None where the worker can't run its jobs.

        The pool draws by the first kind of weight that any of its workers has: the plan's, then the list's,
        then an equal one.
        """
        class_index, interfaces = key
        if (
            not self.takes_class(worker, class_index)
            or (interfaces is not None and worker.interface not in interfaces)
            or (self.settings.classes[class_index].worker_kind not in (None, worker.kind))
        ):
            return None
        listed_weight = 0.0 if self.settings.weight_kind is WeightKind.NONE else worker.weight
        planned = worker.planned_weights or ()  # shorter than the classes if some were added after the plan
        planned_weight = planned[class_index] if class_index < len(planned) else 0.0
        return planned_weight, listed_weight, 1.0
