"""The state that a dispatcher keeps of one job and its attempts; the rules are in other modules."""

from __future__ import annotations

import math

from pipitshed.scheduling.events import UNKNOWN_CELL, JobSubmitted, WorkerId
from pipitshed.scheduling.settings import JobClass
from pipitshed.scheduling.worker_state import Worker

# The workers that a job may go to: those of a zone, of a cell, or all.
Scope = tuple[str, int | WorkerId] | None


def cell_scope(cell: int, worker: WorkerId) -> Scope:
    """The workers that recognise repeats of this worker's jobs, where those of one cell do.

    A worker of unknown cell may be in any, so it shares its jobs with no other one.
    """
    return "cell", worker if cell == UNKNOWN_CELL else cell


class Attempt:
    """One dispatch of a job to a worker."""

    __slots__ = (
        "worker",
        "zone",
        "cell",
        "dispatched_at_ms",
        "started_at_ms",
        "last_progress_at_ms",
        "in_flight",
        "started",
        "capacity_recorded",
        "cancelled",
        "end_deferred",
        "not_executed",
    )

    def __init__(self, worker: Worker, now_ms: float) -> None:
        self.worker = worker
        self.zone, self.cell = worker.zone, worker.cell  # of the dispatch, as the worker may move later
        self.dispatched_at_ms = now_ms
        self.started_at_ms = now_ms  # time of the dispatch until the start is reported
        self.last_progress_at_ms = now_ms
        self.in_flight = True
        self.started = False
        self.capacity_recorded = False  # whether the attempt window already counts it
        self.cancelled = False
        self.end_deferred = False  # cancelled or timed out, and still outstanding at its worker
        self.not_executed = False  # the outcome proves that the worker never ran the job


class Job:
    """A client's job, kept until it has its final answer and no attempt is in flight."""

    __slots__ = (
        "id",
        "job_class",
        "class_index",
        "compatible_interfaces",
        "slots",
        "work",
        "submitted_at_ms",
        "deadline_ms",
        "attempts",
        "finished",
        "streaming",
        "served",
        "resume_at_ms",
        "latest_slow_start_ms",
        "wake_at_ms",
        "no_capacity_count",
        "reset_count",
        "error_count",
        "departed_worker_count",
        "min_allowed_attempts",
        "allowed_failure_probability",
    )

    def __init__(self, event: JobSubmitted, job_class: JobClass, now_ms: float) -> None:
        self.id = event.job_id
        self.job_class = job_class
        self.class_index = event.job_class
        self.compatible_interfaces = event.compatible_interfaces  # None for all
        self.slots = event.slots
        self.work = event.work
        self.submitted_at_ms = now_ms
        self.deadline_ms = now_ms + event.remaining_ms
        self.attempts: list[Attempt] = []
        self.finished = False
        self.streaming = False
        self.served = False
        self.resume_at_ms = now_ms  # earliest time of the next attempt
        self.latest_slow_start_ms: float | None = None  # latest time to start in slow start; if it has waited
        self.wake_at_ms = math.inf  # time at which the earliest timer for the job fires
        self.no_capacity_count = 0  # attempts that found no capacity
        self.reset_count = 0  # attempts whose connection broke
        self.error_count = 0  # attempts that ended in an error
        self.departed_worker_count = 0  # attempts not run because their worker had left or was draining
        self.min_allowed_attempts = 0  # total, raised when an attempt is replaced
        self.allowed_failure_probability = 1.0

    def attempts_in_flight(self) -> list[Attempt]:
        """The attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.in_flight]

    def first_possible_execution(self) -> Attempt | None:
        """The first attempt that may have run."""
        for attempt in self.attempts:
            if not attempt.not_executed:
                return attempt
        return None
