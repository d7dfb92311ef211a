"""Outlier ejection: when a worker is passed over, for how long, and what lets it back.

A worker is ejected when it has no capacity and when it fails jobs, each time for longer while that repeats.
One that works slowly is no outlier for good: a few draws still choose it (see worker_selection).
"""

from __future__ import annotations

import random

from pipitshed.scheduling.capacity_estimate import SPEED_MAX_AGE_MS
from pipitshed.scheduling.worker_state import Worker

EJECTION_MS = 300.0  # mean length of the first ejection for no capacity; the first for an error is twice that
MAX_EJECTION_DOUBLINGS = 5  # keeps ejections short enough that jobs try the worker again within seconds
SLOW_SPEED_RATIO = 2.0  # times the mean time for a unit of work from which a worker counts as slow
GOLDEN_RATIO_FRACTION = 0.6180339887  # times the job's id, modulo 1: evenly spread without a random draw


def is_ejected(worker: Worker, now_ms: float) -> bool:
    """Whether the worker is passed over at present."""
    return worker.ejected_until_ms > now_ms or worker.error_ejected_until_ms > now_ms


def is_slow(worker: Worker, mean_ms_per_work_unit: float, now_ms: float) -> bool:
    """Whether the worker was seen lately to take much longer for its work than the mean."""
    return (
        worker.ms_per_work_unit > SLOW_SPEED_RATIO * mean_ms_per_work_unit
        and now_ms - worker.ms_per_work_unit_at_ms < SPEED_MAX_AGE_MS
    )


def eject_for_no_capacity(worker: Worker, now_ms: float, rng: random.Random) -> None:
    """Eject a worker that rejected a job, or did not start it in time.

    The newest such attempt decides, so this may also end a longer ejection for no capacity sooner.
    """
    worker.ejected_until_ms = now_ms + EJECTION_MS * 2**worker.consecutive_rejections * rng.uniform(0.5, 1.5)
    worker.consecutive_rejections = min(worker.consecutive_rejections + 1, MAX_EJECTION_DOUBLINGS)


def eject_for_error(worker: Worker, job_id: int, now_ms: float) -> None:
    """Eject a worker that failed a job.

    A worker that fails jobs at once always looks idle, so without this the draws would prefer it.
    """
    worker.error_count = min(worker.error_count + 1, 2 * MAX_EJECTION_DOUBLINGS)
    doublings = min(worker.error_count, MAX_EJECTION_DOUBLINGS)
    ejection_ms = EJECTION_MS * 2**doublings * (0.5 + job_id * GOLDEN_RATIO_FRACTION % 1.0)
    worker.error_ejected_until_ms = max(worker.error_ejected_until_ms, now_ms + ejection_ms)


def eject_until(worker: Worker, until_ms: float) -> None:
    """Eject a worker at least until the time that it named itself."""
    worker.ejected_until_ms = max(worker.ejected_until_ms, until_ms)


def end_capacity_ejection(worker: Worker) -> None:
    """End the ejection of a worker that had capacity; one that fails jobs starts them all the same."""
    worker.consecutive_rejections = 0
    worker.ejected_until_ms = 0.0


def end_all_ejections(worker: Worker) -> None:
    """End the ejection, for whatever cause: the worker's process is a new one."""
    end_capacity_ejection(worker)
    worker.error_ejected_until_ms = 0.0


def decrement_error_count(worker: Worker) -> None:
    """Let a served job make up for one error; a worker that fails every second job stays known for it."""
    worker.error_count = max(0, worker.error_count - 1)
