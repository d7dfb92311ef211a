"""What one worker bears: an estimate of this dispatcher's part of its throughput, for each kind of worker.

By Little's law, the throughput is the number of jobs that a worker runs at a time, divided by their service
time.
"""

from __future__ import annotations

from collections import defaultdict

from pipitshed.scheduling.capacity_estimate import DEFAULT_WORKER_SLOTS
from pipitshed.scheduling.settings import JobClass

SMOOTHING = 0.05  # weight of a new sample in a running mean of many
MIN_SERVICE_TIME_MS = 1.0
MEAN_MARGIN = 1.5  # on the mean number of running jobs, as the load varies
PEAK_DECAY = 0.01  # by each sample, towards what is running then


class _KindThroughput:
    """The running jobs and service times of the workers of one kind."""

    __slots__ = ("mean_running", "drawn_count", "peak_running", "mean_service_time_ms", "served_count")

    def __init__(self) -> None:
        self.mean_running = 0.0  # this dispatcher's jobs at one warm worker
        self.drawn_count = 0
        self.peak_running = 0.0  # the most of these
        self.mean_service_time_ms = 0.0  # of a job at full capacity
        self.served_count = 0


class WorkerThroughput:
    """The estimates by kind of worker."""

    __slots__ = ("_by_kind",)

    def __init__(self) -> None:
        self._by_kind: defaultdict[int, _KindThroughput] = defaultdict(_KindThroughput)

    def record_running(self, kind: int, running_count: int) -> None:
        """Record the jobs that a warm worker of this kind runs when it is drawn at random."""
        estimate = self._by_kind[kind]
        estimate.drawn_count += 1
        weight = max(SMOOTHING, 1 / estimate.drawn_count)
        estimate.mean_running += weight * (running_count - estimate.mean_running)

    def record_started(self, kind: int, running_count: int) -> None:
        """Record the jobs that a warm worker of this kind runs, with the one that has just started."""
        estimate = self._by_kind[kind]
        if running_count > estimate.peak_running:
            estimate.peak_running = running_count
        else:
            estimate.peak_running += PEAK_DECAY * (running_count - estimate.peak_running)

    def record_served(self, kind: int, service_time_ms: float) -> None:
        """Record the service time that a job would have had at full capacity, in ms."""
        estimate = self._by_kind[kind]
        estimate.served_count += 1
        weight = max(SMOOTHING, 1 / estimate.served_count)
        estimate.mean_service_time_ms += weight * (service_time_ms - estimate.mean_service_time_ms)

    def running_part(self, kind: int, scheduler_count: int) -> float:
        """This dispatcher's part of the jobs that a warm worker of this kind can run at a time.

        It is the larger one of what workers have run of this dispatcher's jobs, with a margin, and an equal
        part of the most that one has run at a time.
        """
        estimate = self._by_kind[kind]
        peak_running = estimate.peak_running or DEFAULT_WORKER_SLOTS
        return max(MEAN_MARGIN * estimate.mean_running, peak_running / scheduler_count)

    def jobs_per_ms(self, kind: int, job_class: JobClass, scheduler_count: int) -> float:
        """This dispatcher's part of what a warm worker of this kind bears, in jobs per ms; above 0."""
        return self.running_part(kind, scheduler_count) / self.service_time_ms(kind, job_class)

    def service_time_ms(self, kind: int, job_class: JobClass) -> float:
        """The mean service time at a warm worker of this kind; the class's objective before the first one."""
        estimate = self._by_kind[kind]
        if not estimate.served_count:  # a kind that is known serves as an example
            estimate = max(self._by_kind.values(), key=lambda known: known.served_count)
        known_ms = estimate.mean_service_time_ms if estimate.served_count else job_class.latency_objective_ms
        return max(MIN_SERVICE_TIME_MS, known_ms)
