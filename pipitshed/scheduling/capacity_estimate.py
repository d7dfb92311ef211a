"""Estimates of the workers' capacity, from recent attempts, load reports and service times."""

from __future__ import annotations

from pipitshed.scheduling.job_state import Attempt, Job
from pipitshed.scheduling.recent_counts import AttemptWindow
from pipitshed.scheduling.settings import Settings
from pipitshed.scheduling.worker_state import Worker

WINDOW_ATTEMPT_COUNT = 30  # window size of the paper's Equation 1
WINDOW_MAX_AGE_MS = 30_000.0  # older attempts do not reflect the present load
BUSY_PROBABILITY = 0.5  # no-capacity probability above which the workers count as busy
MEAN_SMOOTHING = 0.05  # weight of a new sample in a running mean
WORKER_SPEED_SMOOTHING = 0.5  # weight of a new sample in a worker's time per unit of work
SPEED_MAX_AGE_MS = 10_000.0  # older samples of a worker's time per unit of work are discarded
MIN_DONE_FRACTION = 0.05  # smallest progress from which a time per unit of work is derived
DEFAULT_WORKER_SLOTS = 4.0  # slots of a worker whose kind has reported none yet
CROWDED_SLOT_FRACTION = 0.5  # a worker with a larger part of its slots in use has no capacity


def new_attempt_window() -> AttemptWindow:
    """An empty attempt window, from which the no-capacity probability is computed."""
    return AttemptWindow(WINDOW_ATTEMPT_COUNT, WINDOW_MAX_AGE_MS)


def missed_objective(job: Job, service_time_ms: float) -> bool:
    """Whether a served job took longer than its class's latency objective allows for its work."""
    job_class = job.job_class
    work = job.work or service_time_ms / 2
    return service_time_ms > job_class.latency_objective_ms + job_class.latency_objective_per_work * work


class LoadEstimate:
    """Estimates the workers' slots and load, from the load reports that arrive with outcomes."""

    __slots__ = ("own_slots", "total_slots", "_slots_by_kind", "_report_index", "_scheduler_count")

    def __init__(self, settings: Settings) -> None:
        self.own_slots = 0.0  # mean slots that this dispatcher's jobs use on a worker that reports
        self.total_slots = 0.0  # the same for all dispatchers; 0 before the first report
        self._slots_by_kind: dict[int, float] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply the report fields and the scheduler count of new settings."""
        self._report_index = {name: index for index, name in enumerate(settings.report_fields)}
        self._scheduler_count = settings.scheduler_count

    def worker_slots(self, worker: Worker) -> float:
        """The slots of a worker: the most that any worker of its kind reported, or the default."""
        return self._slots_by_kind.get(worker.kind) or DEFAULT_WORKER_SLOTS

    def own_load_fraction(self) -> float:
        """This dispatcher's fraction of the load: by the reports, or 1 / scheduler count without reports."""
        return self.own_slots / self.total_slots if self.total_slots else 1.0 / self._scheduler_count

    def is_crowded(self, worker: Worker) -> bool:
        """Whether this dispatcher's jobs use more than its part of half of the worker's slots."""
        return (
            worker.reserved_slots
            > CROWDED_SLOT_FRACTION * self.worker_slots(worker) * self.own_load_fraction()
        )

    def record_report(self, worker: Worker, report: tuple[float, ...]) -> None:
        """Update the slots of the worker's kind and the mean load from a report.

        A report may lack some of free slots, queued jobs and jobs in flight (running and queued); the missing
        values are derived from the others and from the highest slot count seen.
        """
        if not report:
            return
        values = {name: report[index] for name, index in self._report_index.items() if index < len(report)}
        free, queued, in_flight = values.get("free_slots"), values.get("queue"), values.get("inflight")
        if free is None and in_flight is None:
            return
        slots = self._slots_by_kind.get(worker.kind, 0.0)
        if free is not None:
            used = 0.0 if in_flight is None else in_flight - (queued or 0.0)
            slots = self._slots_by_kind[worker.kind] = max(slots, round(free + used))
        elif in_flight is not None and queued is not None:
            slots = self._slots_by_kind[worker.kind] = max(slots, round(in_flight - queued))
        jobs_in_flight = slots - (free or 0.0) + (queued or 0.0) if in_flight is None else in_flight
        self.own_slots += MEAN_SMOOTHING * (worker.reserved_slots - self.own_slots)
        self.total_slots += MEAN_SMOOTHING * (max(worker.reserved_slots, jobs_in_flight) - self.total_slots)


class ServiceStatistics:
    """Running means over recent jobs."""

    __slots__ = (
        "mean_service_time_ms",
        "mean_slot_time_ms",
        "mean_priority_weight",
        "mean_value",
        "ms_per_work_unit",
        "served_fraction",
    )

    def __init__(self, class_count: int) -> None:
        self.mean_service_time_ms = [0.0] * class_count
        self.mean_slot_time_ms = 0.0  # over all classes: service time multiplied by slots
        self.mean_priority_weight = 0.0
        self.mean_value = 0.0  # priority weight per work
        self.ms_per_work_unit = 0.0  # 0 while unknown
        self.served_fraction = 1.0  # fraction of the admitted jobs

    def add_classes(self, class_count: int) -> None:
        """Extend the per-class means by the classes that new settings have added."""
        self.mean_service_time_ms += [0.0] * (class_count - len(self.mean_service_time_ms))

    def relative_work(self, job: Job) -> float:
        """A job's expected work as a multiple of the mean job's work."""
        if not self.mean_slot_time_ms:
            return job.slots
        return job.slots * self.mean_service_time_ms[job.class_index] / self.mean_slot_time_ms

    def relative_value(self, job: Job, weight_by_work: bool) -> float:
        """A job's priority weight per work as a multiple of the mean job's; 1 while unknown."""
        work = 1.0 if weight_by_work else self.mean_service_time_ms[job.class_index] * job.slots
        return job.job_class.priority_weight / work / self.mean_value if work and self.mean_value else 1.0

    def record_served(self, job: Job, service_time_ms: float, weight_by_work: bool) -> None:
        """Update the means with a served job."""
        means = self.mean_service_time_ms
        means[job.class_index] += MEAN_SMOOTHING * (service_time_ms - means[job.class_index])
        self.mean_slot_time_ms += MEAN_SMOOTHING * (service_time_ms * job.slots - self.mean_slot_time_ms)
        self.mean_priority_weight += MEAN_SMOOTHING * (
            job.job_class.priority_weight - self.mean_priority_weight
        )
        work = 1.0 if weight_by_work else self.mean_slot_time_ms or 1.0
        self.mean_value = self.mean_priority_weight / work

    def record_finished(self, job: Job) -> None:
        """Update the served fraction with a job that has its final answer, unless admission shed it."""
        if job.attempts or job.no_capacity_count:
            self.served_fraction += MEAN_SMOOTHING * (job.served - self.served_fraction)

    def record_speed(self, job: Job, attempt: Attempt, done_fraction: float, now_ms: float) -> None:
        """Update a worker's time per unit of work, where the request states the job's work."""
        if not job.work or not attempt.started or done_fraction <= MIN_DONE_FRACTION:
            return
        sample = (now_ms - attempt.started_at_ms) / (job.work * done_fraction)
        worker = attempt.worker
        is_recent = now_ms - worker.ms_per_work_unit_at_ms < SPEED_MAX_AGE_MS
        previous = worker.ms_per_work_unit if is_recent else sample
        worker.ms_per_work_unit = previous + WORKER_SPEED_SMOOTHING * (sample - previous)
        worker.ms_per_work_unit_at_ms = now_ms
        self.ms_per_work_unit += (
            MEAN_SMOOTHING * (sample - self.ms_per_work_unit) if self.ms_per_work_unit else sample
        )
