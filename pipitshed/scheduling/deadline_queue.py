"""Jobs that wait for a worker in slow start, the one with the earliest deadline first."""

from __future__ import annotations

import heapq
from collections.abc import Container

from pipitshed.scheduling.job_state import Job


class DeadlineQueue:
    """The waiting jobs of one pool of workers.

    A job is dropped when it comes first and waits no longer, or is too late to start in slow start.
    """

    __slots__ = ("_heap", "_ids")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Job]] = []  # deadline, job id, job
        self._ids: set[int] = set()

    def add(self, job: Job) -> None:
        """Add a job, unless it is in the queue."""
        if job.id not in self._ids:
            self._ids.add(job.id)
            heapq.heappush(self._heap, (job.deadline_ms, job.id, job))

    def first(self, waiting_ids: Container[int], now_ms: float) -> Job | None:
        """The job with the earliest deadline of those that still wait; None if there is none."""
        while self._heap:
            _, job_id, job = self._heap[0]
            latest_ms = job.latest_slow_start_ms  # None for a retry, which has its own pause
            if job_id in waiting_ids and latest_ms is not None and now_ms <= latest_ms:
                return job
            heapq.heappop(self._heap)
            self._ids.discard(job_id)
        return None
