"""Records what attempts show: the capacity of the fleet, service times, and the state of their workers."""

from __future__ import annotations

import random

from pipitshed.scheduling import outlier_ejection, slow_start
from pipitshed.scheduling.capacity_estimate import LoadEstimate, ServiceStatistics, missed_objective
from pipitshed.scheduling.endpoint_list import EndpointList
from pipitshed.scheduling.events import NOT_EXECUTED_OUTCOMES, AttemptFinished, Outcome
from pipitshed.scheduling.job_state import Attempt, Job
from pipitshed.scheduling.recent_counts import AttemptWindow
from pipitshed.scheduling.settings import Settings
from pipitshed.scheduling.worker_state import Worker
from pipitshed.scheduling.worker_throughput import WorkerThroughput


class AttemptRecorder:
    """Updates the estimates and the workers at each step of an attempt; it decides nothing."""

    __slots__ = ("settings", "_endpoints", "_window", "_load", "_statistics", "_throughput", "_rng")

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointList,
        window: AttemptWindow,
        load: LoadEstimate,
        statistics: ServiceStatistics,
        throughput: WorkerThroughput,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._endpoints = endpoints
        self._window = window
        self._load = load
        self._statistics = statistics
        self._throughput = throughput
        self._rng = rng

    def dispatched(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        """Record a new attempt, which takes an idle connection of its worker if there is one."""
        worker = attempt.worker
        worker.in_flight_count += 1
        idle_ms = now_ms - worker.idle_connection_at_ms
        worker.idle_connection_count = (
            max(0, worker.idle_connection_count - 1) if idle_ms < self.settings.limits.idle_timeout_ms else 0
        )
        if self.settings.workers_report_start:
            worker.unstarted_count += 1
            return
        self._record_running(job, worker, now_ms)
        # Starts are not reported, so the attempt counts as running from now on. With load reports, the slots
        # that this dispatcher's jobs use show a lack of capacity early; without them only late answers do.
        attempt.started = True
        attempt.capacity_recorded = self._load.total_slots > 0
        if attempt.capacity_recorded:
            self._window.add(now_ms, self._load.is_crowded(worker))
        worker.reserved_slots += job.slots

    def started(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        """Record a start that the worker reported."""
        worker = attempt.worker
        attempt.started = True
        attempt.started_at_ms = attempt.last_progress_at_ms = now_ms
        worker.unstarted_count = max(0, worker.unstarted_count - 1)
        self._record_running(job, worker, now_ms)
        worker.reserved_slots += job.slots
        if not attempt.capacity_recorded:
            self._record_capacity(worker, now_ms)
        attempt.capacity_recorded = True

    def progressed(self, job: Job, attempt: Attempt, done_fraction: float, now_ms: float) -> None:
        """Record a progress that the worker reported."""
        attempt.last_progress_at_ms = now_ms
        self._record_speed(job, attempt, done_fraction, now_ms)

    def start_overdue(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        """Record, once for each attempt, that the worker has not started the job in time."""
        if not attempt.capacity_recorded:
            attempt.capacity_recorded = True
            self._record_no_capacity(attempt.worker, now_ms)
            job.no_capacity_count += 1

    def stalled(self, attempt: Attempt, now_ms: float) -> None:
        """Record that the worker has stopped reporting progress."""
        self._record_no_capacity(attempt.worker, now_ms)

    def finished(self, job: Job, attempt: Attempt, event: AttemptFinished, now_ms: float) -> None:
        """Release what the attempt used at its worker, and record its outcome."""
        self._release(job, attempt, event, now_ms)
        worker = attempt.worker
        if attempt.not_executed and not self._endpoints.takes_class(worker, job.class_index):
            job.departed_worker_count += 1  # this does not show a lack of capacity
        if event.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            if not attempt.capacity_recorded or not self.settings.workers_report_start:
                self._record_no_capacity(worker, now_ms, event.outcome is Outcome.REJECTED)
            job.no_capacity_count += 1
        elif event.outcome is Outcome.ERROR:
            outlier_ejection.eject_for_error(worker, job.id, now_ms)
            job.error_count += 1  # the attempt window ignores errors, so this count allows a further attempt
        elif event.outcome is Outcome.RESET:
            job.reset_count += 1  # likewise: a stale connection, or a worker that crashed
        elif event.outcome is Outcome.OK:
            self._record_served(job, attempt, event.elapsed_ms, now_ms)

    def _release(self, job: Job, attempt: Attempt, event: AttemptFinished, now_ms: float) -> None:
        """Release the slots and the connection that the attempt used at its worker."""
        worker = attempt.worker
        attempt.in_flight = False
        worker.in_flight_count -= 1
        attempt.not_executed = event.outcome in NOT_EXECUTED_OUTCOMES
        job.served = job.served or event.outcome is Outcome.OK
        self._load.record_report(worker, event.load_report)
        if attempt.started:
            worker.reserved_slots = max(0.0, worker.reserved_slots - job.slots)
        else:
            worker.unstarted_count = max(0, worker.unstarted_count - 1)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            worker.idle_connection_count += 1
            worker.idle_connection_at_ms = now_ms

    def _record_served(self, job: Job, attempt: Attempt, elapsed_ms: float, now_ms: float) -> None:
        service_time_ms = now_ms - attempt.started_at_ms if attempt.started else elapsed_ms
        self._statistics.record_served(job, service_time_ms, self.settings.weight_by_work)
        self._record_throughput(attempt, service_time_ms, now_ms)
        self._record_speed(job, attempt, 1.0, now_ms)
        outlier_ejection.decrement_error_count(attempt.worker)
        if not attempt.capacity_recorded:
            late = missed_objective(job, service_time_ms)
            self._record_capacity(attempt.worker, now_ms, late and not self.settings.workers_report_start)

    def _record_running(self, job: Job, worker: Worker, now_ms: float) -> None:
        """Record what a warm worker runs; a backlog that it is sent does not show what it can run."""
        if job.latest_slow_start_ms is None and not slow_start.is_warming_up(
            worker, self.settings.guarantees.slow_start_ms, now_ms
        ):
            self._throughput.record_started(worker.kind, worker.running_count)

    def _record_throughput(self, attempt: Attempt, service_time_ms: float, now_ms: float) -> None:
        """Record the service time that the job would have had at its worker's full capacity."""
        worker, guarantees = attempt.worker, self.settings.guarantees
        if slow_start.is_warming_up(worker, guarantees.slow_start_ms, now_ms):
            service_time_ms *= slow_start.capacity_fraction(worker, guarantees, attempt.dispatched_at_ms)
        self._throughput.record_served(worker.kind, service_time_ms)

    def _record_speed(self, job: Job, attempt: Attempt, done_fraction: float, now_ms: float) -> None:
        if self.settings.workers_report_start:
            self._statistics.record_speed(job, attempt, done_fraction, now_ms)

    def _record_no_capacity(self, worker: Worker, now_ms: float, rejected: bool = False) -> None:
        self._window.add(now_ms, True, rejected)
        outlier_ejection.eject_for_no_capacity(worker, now_ms, self._rng)

    def _record_capacity(self, worker: Worker, now_ms: float, late: bool = False) -> None:
        self._window.add(now_ms, late)
        outlier_ejection.end_capacity_ejection(worker)
