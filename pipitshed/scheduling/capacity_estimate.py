"""What is estimated of the workers' capacity: recent attempts, the load, service times."""

from __future__ import annotations

from pipitshed.scheduling.job_state import Attempt, Job
from pipitshed.scheduling.recent_counts import AttemptWindow
from pipitshed.scheduling.settings import Settings
from pipitshed.scheduling.worker_state import Worker

WINDOW_ATTEMPT_COUNT = 30  # the paper's window for Equation 1
WINDOW_MAX_AGE_MS = 30_000.0  # older attempts say nothing of the present load
BUSY_PROBABILITY = 0.5  # no-capacity probability above which the workers count as busy
MEAN_SMOOTHING = 0.05  # weight of a new sample in a running mean
WORKER_SPEED_SMOOTHING = 0.5  # weight of a new sample in one worker's speed
SPEED_MAX_AGE_MS = 10_000.0  # after which what was seen of a worker's speed is void
MIN_DONE_FRACTION = 0.05  # progress below this is too little to derive a speed from
DEFAULT_WORKER_SLOTS = 4.0  # a worker's slots while no report has told them
CROWDED_SLOT_FRACTION = 0.5  # of a worker's slots, in use before a dispatch, from which it found no capacity


def new_attempt_window() -> AttemptWindow:
    """An empty window of attempts, for the no-capacity probability."""
    return AttemptWindow(WINDOW_ATTEMPT_COUNT, WINDOW_MAX_AGE_MS)


def missed_objective(job: Job, service_time_ms: float) -> bool:
    """Whether a served job took longer than its class's latency objective for its work."""
    job_class = job.job_class
    work = job.work or service_time_ms / 2
    return service_time_ms > job_class.latency_objective_ms + job_class.latency_objective_per_work * work


class LoadEstimate:
    """The workers' slots and the load on them, from the load reports that come with outcomes."""

    __slots__ = ("own_slots", "total_slots", "_slots_by_kind", "_report_index", "_scheduler_count")

    def __init__(self, settings: Settings) -> None:
        self.own_slots = 0.0  # mean slots in use by own jobs on a worker that reports
        self.total_slots = 0.0  # the same for the jobs of all dispatchers; 0 while nothing is reported
        self._slots_by_kind: dict[int, float] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read reports by these settings from now on."""
        self._report_index = {name: index for index, name in enumerate(settings.report_fields)}
        self._scheduler_count = settings.scheduler_count

    def worker_slots(self, worker: Worker) -> float:
        """The slots of a worker: the most that any of its kind reported, or a default."""
        return self._slots_by_kind.get(worker.kind) or DEFAULT_WORKER_SLOTS

    def own_load_fraction(self) -> float:
        """This dispatcher's part of all jobs: by the reports, or an equal one where there are none."""
        return self.own_slots / self.total_slots if self.total_slots else 1.0 / self._scheduler_count

    def is_crowded(self, worker: Worker) -> bool:
        """Whether own jobs take up more of the worker than this dispatcher's part of half its slots."""
        return (
            worker.reserved_slots
            > CROWDED_SLOT_FRACTION * self.worker_slots(worker) * self.own_load_fraction()
        )

    def record_report(self, worker: Worker, report: tuple[float, ...]) -> None:
        """Learn a worker's slots and the load on it.

        A report may lack some of free slots, waiting jobs and jobs in hand: what it lacks follows from the
        others and from the most slots seen.
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
        in_hand = slots - (free or 0.0) + (queued or 0.0) if in_flight is None else in_flight
        self.own_slots += MEAN_SMOOTHING * (worker.reserved_slots - self.own_slots)
        self.total_slots += MEAN_SMOOTHING * (max(worker.reserved_slots, in_hand) - self.total_slots)


class ServiceStatistics:
    """Running means over the jobs of the recent past."""

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
        self.mean_slot_time_ms = 0.0  # of all classes: service time by the slots that the job took
        self.mean_priority_weight = 0.0
        self.mean_value = 0.0  # priority weight for the work
        self.ms_per_work_unit = 0.0  # 0 while unknown
        self.served_fraction = 1.0  # of the jobs that were admitted

    def add_classes(self, class_count: int) -> None:
        """Make place for classes that the settings have added."""
        self.mean_service_time_ms += [0.0] * (class_count - len(self.mean_service_time_ms))

    def relative_work(self, job: Job) -> float:
        """A job's work as a multiple of the mean job's."""
        if not self.mean_slot_time_ms:
            return job.slots
        return job.slots * self.mean_service_time_ms[job.class_index] / self.mean_slot_time_ms

    def relative_value(self, job: Job, weight_by_work: bool) -> float:
        """A job's priority weight for its work as a multiple of the mean job's; 1 while unknown."""
        work = 1.0 if weight_by_work else self.mean_service_time_ms[job.class_index] * job.slots
        return job.job_class.priority_weight / work / self.mean_value if work and self.mean_value else 1.0

    def record_served(self, job: Job, service_time_ms: float, weight_by_work: bool) -> None:
        """Take a served job into the means."""
        means = self.mean_service_time_ms
        means[job.class_index] += MEAN_SMOOTHING * (service_time_ms - means[job.class_index])
        self.mean_slot_time_ms += MEAN_SMOOTHING * (service_time_ms * job.slots - self.mean_slot_time_ms)
        self.mean_priority_weight += MEAN_SMOOTHING * (
            job.job_class.priority_weight - self.mean_priority_weight
        )
        work = 1.0 if weight_by_work else self.mean_slot_time_ms or 1.0
        self.mean_value = self.mean_priority_weight / work

    def record_finished(self, job: Job) -> None:
        """Take a job that got its final answer into the served fraction, unless it was shed at once."""
        if job.attempts or job.no_capacity_count:
            self.served_fraction += MEAN_SMOOTHING * (job.served - self.served_fraction)

    def record_speed(self, job: Job, attempt: Attempt, done_fraction: float, now_ms: float) -> None:
        """Learn how fast a worker works, where the job came with a hint of its work."""
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
