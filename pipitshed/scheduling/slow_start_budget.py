"""The budget of workers in slow start: how many jobs this dispatcher sends to one in a given time.

A worker that has just started falls over if all dispatchers together send it more than `overload_multiple`
times what it can do by then, in any window of `overload_window_ms`. No dispatcher knows what the others send,
so each one keeps to its part, by a token bucket for each such worker. A job that no other worker can take
waits for a token.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from pipitshed.scheduling.capacity_estimate import ServiceStatistics
from pipitshed.scheduling.job_state import Job
from pipitshed.scheduling.settings import Settings
from pipitshed.scheduling.slow_start import capacity_fraction, is_warming_up
from pipitshed.scheduling.worker_state import TokenBucket, Worker
from pipitshed.scheduling.worker_throughput import WorkerThroughput

BURST_WINDOW_FRACTION = 0.5  # of what is sent in an overload window, the part that may be sent at once
PARTS_SUM = 2.0  # the most to which all dispatchers' parts of a worker add up, as a multiple of its capacity
MIN_CAPACITY_FRACTION = 0.01  # of a worker that starts at nothing
OVERDRAFT_JOBS = 2.0  # sent beyond the budget at times, to even out chance where nothing waits


@dataclass(frozen=True, slots=True)
class SlowStartWait:
    """A job has to wait, as the workers that it may go to are in slow start or have just been.

    Attributes:
        until_ms: When one of them may get a job; inf if that is unknown.
        latest_start_ms: Until when one of them is likely to end the job in time.
    """

    until_ms: float
    latest_start_ms: float


class SlowStartBudget:
    """The token buckets of all workers in slow start.

    Args:
        settings: Of the dispatcher.
        throughput: What warm workers have borne.
        statistics: The work of the classes' jobs.
        seed: Of the random phases, by which the buckets of many dispatchers do not fill at the same time.
    """

    __slots__ = ("settings", "_throughput", "_statistics", "_rng")

    def __init__(
        self, settings: Settings, throughput: WorkerThroughput, statistics: ServiceStatistics, seed: int
    ) -> None:
        self.settings = settings
        self._throughput = throughput
        self._statistics = statistics
        self._rng = random.Random(seed)

    @property
    def is_limited(self) -> bool:
        """Whether the settings say how much a worker in slow start bears."""
        guarantees = self.settings.guarantees
        return guarantees.slow_start_ms > 0 and guarantees.overload_multiple > 0

    def permits(self, worker: Worker, job: Job, now_ms: float) -> bool:
        """Whether a worker in slow start may get a job that other workers can take as well.

        A new job may overdraw the budget a little, so that what is sent evenly is not cut by chance. Jobs
        that waited could all come at once, and those that wait now go first.
        """
        if not self.is_limited:
            return True
        bucket = self._refilled_bucket(worker, job, now_ms)
        is_new = now_ms <= job.submitted_at_ms
        window_ms = self.settings.guarantees.overload_window_ms
        if is_new and now_ms - bucket.denied_at_ms > window_ms:
            return bucket.tokens >= 1.0 - OVERDRAFT_JOBS
        is_in_time = now_ms <= self.latest_start_ms(worker, job, now_ms)
        return bucket.tokens >= 1.0 and self.has_room(worker) and is_in_time

    def ready_at_ms(self, worker: Worker, job: Job, now_ms: float) -> float:
        """The time at which a worker in slow start may get a job that no other worker can take.

        It is inf while the worker has as many jobs as it can run, so that none waits in its queue.
        """
        bucket = self._refilled_bucket(worker, job, now_ms)
        has_room = self.has_room(worker)
        if bucket.tokens >= 1.0 and has_room:
            return now_ms
        bucket.denied_at_ms = now_ms
        if not has_room:
            return math.inf
        return now_ms + (1.0 - bucket.tokens) / self._jobs_per_ms(worker, job, now_ms)

    def latest_start_ms(self, worker: Worker, job: Job, now_ms: float) -> float:
        """The time until which a worker in slow start is likely to end a job before its deadline.

        A job whose whole time is short for these workers may start until half of it has passed.
        """
        warm_ms = self._throughput.service_time_ms(worker.kind, job.job_class)
        service_time_ms = warm_ms / self._capacity_fraction(worker, now_ms)
        return job.deadline_ms - min(service_time_ms, (job.deadline_ms - job.submitted_at_ms) / 2)

    def record_sent(self, worker: Worker, job: Job, now_ms: float) -> None:
        """Take the tokens of a job that is sent; the bucket goes once the worker is warm."""
        if is_warming_up(worker, self.settings.guarantees.slow_start_ms, now_ms):
            bucket = self._refilled_bucket(worker, job, now_ms)
            bucket.tokens -= max(1.0, self._statistics.relative_work(job))
        else:
            worker.slow_start_bucket = None

    def _refilled_bucket(self, worker: Worker, job: Job, now_ms: float) -> TokenBucket:
        """The worker's bucket with the tokens that it has by now."""
        jobs_per_ms = self._jobs_per_ms(worker, job, now_ms)
        burst = BURST_WINDOW_FRACTION * jobs_per_ms * self.settings.guarantees.overload_window_ms
        bucket = worker.slow_start_bucket
        if bucket is None:
            # Parts of far less than one job add up to the right number over all dispatchers only by chance.
            bucket = worker.slow_start_bucket = TokenBucket(burst + self._rng.random(), now_ms)
            return bucket
        limit = max(1.0, burst, bucket.tokens)
        bucket.tokens = min(limit, bucket.tokens + jobs_per_ms * (now_ms - bucket.updated_at_ms))
        bucket.updated_at_ms = now_ms
        return bucket

    def has_room(self, worker: Worker) -> bool:
        """Whether the worker has fewer of this dispatcher's jobs than it can run of them at a time."""
        part = self._throughput.running_part(worker.kind, self.settings.scheduler_count)
        return worker.in_flight_count < max(1.0, part)

    def _jobs_per_ms(self, worker: Worker, job: Job, now_ms: float) -> float:
        """This dispatcher's part of the jobs that a worker can do at its present capacity."""
        settings = self.settings
        multiple = settings.guarantees.overload_multiple / ((1 + BURST_WINDOW_FRACTION) * PARTS_SUM)
        part = self._throughput.jobs_per_ms(worker.kind, job.job_class, settings.scheduler_count)
        return min(1.0, multiple) * self._capacity_fraction(worker, now_ms) * part

    def _capacity_fraction(self, worker: Worker, now_ms: float) -> float:
        return max(MIN_CAPACITY_FRACTION, capacity_fraction(worker, self.settings.guarantees, now_ms))
