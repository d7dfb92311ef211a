"""What a dispatcher knows of one job and its attempts. No rule stands here."""

from __future__ import annotations

import math

from pipitshed.scheduling.events import JobSubmitted
from pipitshed.scheduling.settings import JobClass
from pipitshed.scheduling.worker_state import Worker

Scope = tuple[str, int] | None  # the workers a job may go to: a zone, a cell, or all of them


class Attempt:
    """One dispatch of a job to a worker."""

    __slots__ = (
        "worker",
        "dispatched_at_ms",
        "started_at_ms",
        "last_progress_at_ms",
        "in_flight",
        "started",
        "capacity_recorded",
        "cancelled",
        "not_executed",
    )

    def __init__(self, worker: Worker, now_ms: float) -> None:
        self.worker = worker
        self.dispatched_at_ms = now_ms
        self.started_at_ms = now_ms  # the dispatch, until the start is reported
        self.last_progress_at_ms = now_ms
        self.in_flight = True
        self.started = False
        self.capacity_recorded = False  # whether it counts in the attempt window already
        self.cancelled = False
        self.not_executed = False  # its outcome proves that it never ran


class Job:
    """One client's job, until its final answer and the last outcome of its attempts."""

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
        self.resume_at_ms = now_ms  # no attempt before then
        self.wake_at_ms = math.inf  # when the earliest timer set for it fires
        self.no_capacity_count = 0  # attempts that found no capacity
        self.reset_count = 0  # attempts whose connection broke
        self.error_count = 0  # attempts that ended in an error
        self.departed_worker_count = 0  # attempts that never ran, as their worker had left or was draining
        self.min_allowed_attempts = 0  # in all, guaranteed by a replaced attempt
        self.allowed_failure_probability = 1.0

    def attempts_in_flight(self) -> list[Attempt]:
        """The attempts whose outcome has not come in."""
        return [attempt for attempt in self.attempts if attempt.in_flight]

    def first_possible_execution(self) -> Attempt | None:
        """The first attempt that may have run."""
        for attempt in self.attempts:
            if not attempt.not_executed:
                return attempt
        return None
